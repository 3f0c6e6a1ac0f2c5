//! Reads one text against a shape: every value with its place, and every finding.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Value};

use super::closest_match::closest_match;
use super::finding::{Finding, SourceLocation};
use super::schema::REMOVED_KEY;
use super::value_type::{KeySchema, ValueType, check_name};

/// The path of a key, from the top of the input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyPath(Arc<[Arc<str>]>);

impl KeyPath {
    /// The path of `key` below this one.
    #[must_use]
    pub fn join(&self, key: &str) -> Self {
        let keys = self.0.iter().cloned();
        Self(keys.chain([key.into()]).collect())
    }

    /// The keys, from the top.
    pub fn keys(&self) -> &[Arc<str>] {
        &self.0
    }

    /// Whether this path is `entry` or lies below it.
    pub fn is_within(&self, entry: &Self) -> bool {
        self.0.starts_with(&entry.0)
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, key) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str(".")?;
            }
            let bare = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
            if !key.is_empty() && key.chars().all(bare) {
                f.write_str(key)?;
            } else {
                write!(f, "{key:?}")?;
            }
        }
        Ok(())
    }
}

/// A value that a text sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaf {
    /// Its key.
    pub path: KeyPath,
    /// The value; `None` where it was not accepted.
    pub value: Option<Value>,
    /// Where the key stands.
    pub location: SourceLocation,
}

/// A named entry that a text mentions.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryDeclaration {
    /// The entry's path.
    pub path: KeyPath,
    /// Where the entry begins.
    pub location: SourceLocation,
    /// Whether the text takes the entry away.
    pub removed: bool,
}

/// What one text holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedSource {
    /// The values that it sets.
    pub leaves: Vec<Leaf>,
    /// The entries that it mentions.
    pub declarations: Vec<EntryDeclaration>,
    /// Whether it is well-formed.
    pub well_formed: bool,
}

/// Reads `text` against `fields`, and adds what is wrong to `findings`.
///
/// A text that is not well-formed gives no values: what a broken line meant is not guessed.
pub fn parse_source(
    file: &str,
    text: &str,
    fields: &'static [KeySchema],
    findings: &mut Vec<Finding>,
) -> ParsedSource {
    let lines = Lines::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let location = lines.location(error.span().map_or(0, |span| span.start));
        let problem = error.message().lines().collect::<Vec<_>>().join(", ");
        findings.push(Finding::new(
            &location,
            problem,
            "the file is not well-formed TOML",
            "mend the line",
        ));
    }
    let mut walk = Walk {
        lines,
        findings,
        content: ParsedSource {
            well_formed: errors.is_empty(),
            ..ParsedSource::default()
        },
    };
    if errors.is_empty() {
        walk.table(root.get_ref(), fields, &KeyPath::default());
    }
    walk.content
}

/// Where the lines of a text begin.
struct Lines<'a> {
    file: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(file: &str, text: &'a str) -> Self {
        let ends = text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            file: file.into(),
            text,
            starts: std::iter::once(0).chain(ends).collect(),
        }
    }

    fn location(&self, offset: usize) -> SourceLocation {
        let line = self.starts.partition_point(|&start| start <= offset);
        let before = self.text.get(self.starts[line - 1]..offset);
        let column = before.map_or(0, |before| before.chars().count()) + 1;
        SourceLocation {
            source: self.file.clone(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

struct Walk<'a> {
    lines: Lines<'a>,
    findings: &'a mut Vec<Finding>,
    content: ParsedSource,
}

impl Walk<'_> {
    fn table(&mut self, table: &DeTable<'_>, fields: &'static [KeySchema], path: &KeyPath) {
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let location = self.lines.location(key.span().start);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.value(&field.value_type, value, &path.join(name), &location),
                None => self.unknown(name, fields, path, &location),
            }
        }
    }

    fn unknown(
        &mut self,
        name: &str,
        fields: &[KeySchema],
        path: &KeyPath,
        location: &SourceLocation,
    ) {
        let known = fields.iter().map(|field| field.name);
        let remedy = match closest_match(name, known.clone()) {
            Some(near) => format!("write `{near}`"),
            None => format!("use one of {}", known.collect::<Vec<_>>().join(", ")),
        };
        let problem = format!("unknown key `{}`", path.join(name));
        let reason = "it would have no effect";
        self.findings
            .push(Finding::new(location, problem, reason, remedy));
    }

    fn value(
        &mut self,
        value_type: &'static ValueType,
        value: &Spanned<DeValue<'_>>,
        path: &KeyPath,
        location: &SourceLocation,
    ) {
        match (value_type, value.get_ref()) {
            (ValueType::Table(fields), DeValue::Table(table)) => {
                self.mention(path, location, false);
                self.table(table, fields, path);
            }
            (ValueType::Entries(fields), DeValue::Table(table)) => {
                for (name, entry) in table {
                    let location = self.lines.location(name.span().start);
                    self.entry(name.get_ref(), entry, fields, path, &location);
                }
            }
            (_, other) => self.leaf(value_type, other, path, location),
        }
    }

    fn leaf(
        &mut self,
        value_type: &ValueType,
        value: &DeValue<'_>,
        path: &KeyPath,
        location: &SourceLocation,
    ) {
        let read = value_type.read(value);
        if let Err(mismatch) = &read {
            let problem = format!("`{path}`: {}", mismatch.problem);
            let finding = Finding::new(location, problem, &mismatch.reason, &mismatch.remedy);
            self.findings.push(finding);
        }
        self.content.leaves.push(Leaf {
            path: path.clone(),
            value: read.ok(),
            location: location.clone(),
        });
    }

    fn entry(
        &mut self,
        name: &str,
        entry: &Spanned<DeValue<'_>>,
        fields: &'static [KeySchema],
        section: &KeyPath,
        location: &SourceLocation,
    ) {
        let path = section.join(name);
        if let Err(reason) = check_name(name) {
            let problem = format!("the name of `{path}` is not accepted");
            let remedy = format!("use {}", ValueType::Name.expected());
            self.findings
                .push(Finding::new(location, problem, reason, remedy));
        }
        let DeValue::Table(table) = entry.get_ref() else {
            let problem = format!("`{path}` is not a table");
            let remedy = format!("write a header such as [{path}]");
            let finding = Finding::new(location, problem, "an entry has keys of its own", remedy);
            self.findings.push(finding);
            return;
        };
        match table.get(REMOVED_KEY) {
            None => {
                self.mention(&path, location, false);
                self.table(table, fields, &path);
            }
            Some(removed) => self.removal(&path, table, removed.get_ref(), location),
        }
    }

    fn removal(
        &mut self,
        path: &KeyPath,
        table: &DeTable<'_>,
        removed: &DeValue<'_>,
        location: &SourceLocation,
    ) {
        if table.len() > 1 || removed.as_bool() != Some(true) {
            let problem = format!("`{path}.{REMOVED_KEY}` is not `true` alone");
            let reason = "an entry is either taken away or described";
            let remedy = format!("write only `{REMOVED_KEY} = true`, or leave it out");
            self.findings
                .push(Finding::new(location, problem, reason, remedy));
        }
        self.mention(path, location, true);
    }

    fn mention(&mut self, path: &KeyPath, location: &SourceLocation, removed: bool) {
        self.content.declarations.push(EntryDeclaration {
            path: path.clone(),
            location: location.clone(),
            removed,
        });
    }
}
