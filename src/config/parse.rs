//! Parses one TOML text against a schema into values with their locations, and findings.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Value};

use super::closest_match::closest_match;
use super::finding::{Finding, SourceLocation};
use super::schema::REMOVED_KEY;
use super::value_type::{KeySchema, ValueType, check_name};

/// The path of a key, from the root of the input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyPath(Arc<[Arc<str>]>);

impl KeyPath {
    /// The path of `key` in the table at this path.
    #[must_use]
    pub fn join(&self, key: &str) -> Self {
        let keys = self.0.iter().cloned();
        Self(keys.chain([key.into()]).collect())
    }

    /// The keys, from the root.
    pub fn keys(&self) -> &[Arc<str>] {
        &self.0
    }

    /// Whether this path is `entry` or a key within it.
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

/// A value that a source sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaf {
    /// The path of the key.
    pub path: KeyPath,
    /// The value; `None` if it is invalid.
    pub value: Option<Value>,
    /// The location of the key.
    pub location: SourceLocation,
}

/// A table or named entry that a source declares or removes.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryDeclaration {
    /// The path of the entry.
    pub path: KeyPath,
    /// The location of the declaration.
    pub location: SourceLocation,
    /// Whether the source removes the entry.
    pub removed: bool,
}

/// The values and entries of one source.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedSource {
    /// The values.
    pub leaves: Vec<Leaf>,
    /// The declared and removed entries.
    pub declarations: Vec<EntryDeclaration>,
    /// Whether the text is valid TOML.
    pub well_formed: bool,
}

/// Parses `text` against the schema `fields` and adds errors to `findings`.
///
/// A text that is not valid TOML yields no values, since a guess at a malformed line could be
/// wrong.
pub fn parse_source(
    file: &str,
    text: &str,
    fields: &'static [KeySchema],
    findings: &mut Vec<Finding>,
) -> ParsedSource {
    let line_index = LineIndex::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let location = line_index.location(error.span().map_or(0, |span| span.start));
        let problem = error.message().lines().collect::<Vec<_>>().join(", ");
        findings.push(Finding::new(
            &location,
            problem,
            "the file is not valid TOML",
            "correct the line",
        ));
    }
    let mut parser = Parser {
        line_index,
        findings,
        parsed: ParsedSource {
            well_formed: errors.is_empty(),
            ..ParsedSource::default()
        },
    };
    if errors.is_empty() {
        parser.table(root.get_ref(), fields, &KeyPath::default());
    }
    parser.parsed
}

/// The byte offsets at which the lines of a text start.
struct LineIndex<'a> {
    file: Arc<str>,
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(file: &str, text: &'a str) -> Self {
        let ends = text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            file: file.into(),
            text,
            line_starts: std::iter::once(0).chain(ends).collect(),
        }
    }

    fn location(&self, offset: usize) -> SourceLocation {
        let line = self.line_starts.partition_point(|&start| start <= offset);
        let before = self.text.get(self.line_starts[line - 1]..offset);
        let column = before.map_or(0, |before| before.chars().count()) + 1;
        SourceLocation {
            source: self.file.clone(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

struct Parser<'a> {
    line_index: LineIndex<'a>,
    findings: &'a mut Vec<Finding>,
    parsed: ParsedSource,
}

impl Parser<'_> {
    fn table(&mut self, table: &DeTable<'_>, fields: &'static [KeySchema], path: &KeyPath) {
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let location = self.line_index.location(key.span().start);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.value(&field.value_type, value, &path.join(name), &location),
                None => self.unknown_key(name, fields, path, &location),
            }
        }
    }

    fn unknown_key(
        &mut self,
        name: &str,
        fields: &[KeySchema],
        path: &KeyPath,
        location: &SourceLocation,
    ) {
        let known = fields.iter().map(|field| field.name);
        let remedy = match closest_match(name, known.clone()) {
            Some(closest) => format!("write `{closest}`"),
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
                self.declare(path, location, false);
                self.table(table, fields, path);
            }
            (ValueType::Entries(fields), DeValue::Table(table)) => {
                for (name, entry) in table {
                    let location = self.line_index.location(name.span().start);
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
        if let Err(invalid) = &read {
            let problem = format!("`{path}`: {}", invalid.problem);
            let finding = Finding::new(location, problem, &invalid.reason, &invalid.remedy);
            self.findings.push(finding);
        }
        self.parsed.leaves.push(Leaf {
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
            let finding = Finding::new(location, problem, "an entry is a table of keys", remedy);
            self.findings.push(finding);
            return;
        };
        match table.get(REMOVED_KEY) {
            None => {
                self.declare(&path, location, false);
                self.table(table, fields, &path);
            }
            Some(removed) => self.declare_removed(&path, table, removed.get_ref(), location),
        }
    }

    fn declare_removed(
        &mut self,
        path: &KeyPath,
        table: &DeTable<'_>,
        removed: &DeValue<'_>,
        location: &SourceLocation,
    ) {
        if table.len() > 1 || removed.as_bool() != Some(true) {
            let problem = format!("`{path}.{REMOVED_KEY}` is not `true`, or not the only key");
            let reason = "an entry is either removed or declared";
            let remedy = format!("write only `{REMOVED_KEY} = true`, or delete `{REMOVED_KEY}`");
            self.findings
                .push(Finding::new(location, problem, reason, remedy));
        }
        self.declare(path, location, true);
    }

    fn declare(&mut self, path: &KeyPath, location: &SourceLocation, removed: bool) {
        self.parsed.declarations.push(EntryDeclaration {
            path: path.clone(),
            location: location.clone(),
            removed,
        });
    }
}
