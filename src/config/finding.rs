//! Findings: the errors in an input, each with its source location.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A location in an input.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SourceLocation {
    /// The file path, or the name of another source such as an environment variable.
    #[serde(rename = "file")]
    pub source: Arc<str>,
    /// The line, from 1; 0 if the location is the whole source.
    pub line: u32,
    /// The column in characters, from 1; 0 if the location is the whole source.
    pub column: u32,
}

impl SourceLocation {
    /// The location of a source as a whole, without a line.
    pub fn whole_source(source: impl Into<Arc<str>>) -> Self {
        Self {
            source: source.into(),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        Ok(())
    }
}

/// One error in an input.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// The location of the error.
    #[serde(rename = "place")]
    pub location: SourceLocation,
    /// The error itself.
    #[serde(rename = "what")]
    pub problem: String,
    /// The reason why the input is not accepted.
    #[serde(rename = "why")]
    pub reason: String,
    /// How to fix it.
    pub remedy: String,
    /// The location of the other value or entry, if the finding is a contradiction between two.
    #[serde(rename = "other", default, skip_serializing_if = "Option::is_none")]
    pub related: Option<SourceLocation>,
}

impl Finding {
    /// Creates a finding at `location`.
    pub fn new(
        location: &SourceLocation,
        problem: impl Into<String>,
        reason: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            location: location.clone(),
            problem: problem.into(),
            reason: reason.into(),
            remedy: remedy.into(),
            related: None,
        }
    }

    /// Adds the location of the contradicting value or entry.
    #[must_use]
    pub fn with_related(mut self, related: &SourceLocation) -> Self {
        self.related = Some(related.clone());
        self
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.location, self.problem, self.reason)?;
        if let Some(related) = &self.related {
            write!(f, " (see {related})")?;
        }
        write!(f, "; {}", self.remedy)
    }
}

/// All findings of one check, ordered by location.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::{Finding, Findings, SourceLocation};
///
/// let location = SourceLocation { source: "10-teams.toml".into(), line: 3, column: 1 };
/// let finding =
///     Finding::new(&location, "unknown key `wieght`", "it has no effect", "write `weight`");
/// let findings = Findings::from(vec![finding]);
/// assert_eq!(
///     findings.to_string(),
///     "10-teams.toml:3:1: unknown key `wieght`; it has no effect; write `weight`\n"
/// );
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// The findings as a slice.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// The number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<Vec<Finding>> for Findings {
    fn from(mut findings: Vec<Finding>) -> Self {
        findings.sort();
        findings.dedup();
        Self(findings)
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self(vec![finding])
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}
