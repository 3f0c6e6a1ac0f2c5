//! Merges the contents of several files, a later one refining an earlier one key by key.

use std::collections::BTreeMap;
use std::sync::Arc;

use toml::{Table, Value};

use super::finding::{Finding, SourceLocation};
use super::parse::{EntryDeclaration, KeyPath, Leaf, ParsedSource};
use super::schema::REMOVED_KEY;
use super::value_type::{KeySchema, ValueType};

/// The most entries of a configuration.
pub const MAX_ENTRIES: usize = 50_000;

/// The values of all files together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedValues {
    /// The values in force, by key.
    pub values: BTreeMap<KeyPath, Leaf>,
    /// The tables and named entries, and where each was first described.
    pub entries: BTreeMap<KeyPath, SourceLocation>,
    /// The entries that a file took away, and where.
    pub removed: BTreeMap<KeyPath, SourceLocation>,
}

impl MergedValues {
    /// Lets `content` refine what was merged before.
    pub fn merge(&mut self, content: ParsedSource, findings: &mut Vec<Finding>) {
        for mention in content.declarations {
            if mention.removed {
                self.remove(mention, findings);
            } else {
                self.removed.remove(&mention.path);
                self.entries.entry(mention.path).or_insert(mention.location);
            }
        }
        let leaves = content.leaves.into_iter();
        self.values
            .extend(leaves.map(|leaf| (leaf.path.clone(), leaf)));
        if self.entries.len() > MAX_ENTRIES
            && let Some(location) = self.entries.values().next_back()
        {
            let problem = format!("there are more than {MAX_ENTRIES} entries");
            let reason = "a configuration is bounded";
            findings.push(Finding::new(location, problem, reason, "remove entries"));
        }
    }

    fn remove(&mut self, mention: EntryDeclaration, findings: &mut Vec<Finding>) {
        if !self.entries.contains_key(&mention.path) {
            let problem = format!("`{}` is taken away", mention.path);
            let reason = "no earlier file describes it";
            let remedy = format!("remove the entry, or check its name and `{REMOVED_KEY}`");
            findings.push(Finding::new(&mention.location, problem, reason, remedy));
        }
        remove_within(&mut self.values, &mention.path);
        remove_within(&mut self.entries, &mention.path);
        self.removed.insert(mention.path, mention.location);
    }

    /// Adds a finding for each key that must be set and is not.
    pub fn check_required(&self, fields: &'static [KeySchema], findings: &mut Vec<Finding>) {
        for (path, location) in &self.entries {
            for field in fields_at(fields, path) {
                let key = path.join(field.name);
                let set = self.values.contains_key(&key) || self.entries.contains_key(&key);
                if field.required && !set {
                    let problem = match path.keys() {
                        [] => format!("there is no `{}`", field.name),
                        _ => format!("`{path}` has no `{}`", field.name),
                    };
                    let remedy = format!("set it to {}", field.value_type.expected());
                    findings.push(Finding::new(
                        location,
                        problem,
                        "the key must be set",
                        remedy,
                    ));
                }
            }
        }
    }

    /// The merged values as one table.
    pub fn to_table(&self) -> Table {
        let mut root = Table::new();
        for path in self.entries.keys() {
            table_at(&mut root, path.keys());
        }
        for (path, leaf) in &self.values {
            let Some((key, above)) = path.keys().split_last() else {
                continue;
            };
            if let (Some(table), Some(value)) = (table_at(&mut root, above), &leaf.value) {
                table.insert(key.to_string(), value.clone());
            }
        }
        root
    }

    /// The accepted value of `path` as text, with its place.
    pub fn text(&self, path: &KeyPath) -> Option<(&str, &SourceLocation)> {
        let leaf = self.values.get(path)?;
        Some((leaf.value.as_ref()?.as_str()?, &leaf.location))
    }

    /// The accepted value of `path` as a whole number, with its place.
    pub fn integer(&self, path: &KeyPath) -> Option<(i64, &SourceLocation)> {
        let leaf = self.values.get(path)?;
        Some((leaf.value.as_ref()?.as_integer()?, &leaf.location))
    }

    /// The entries of `section`, with the place where each was first described.
    pub fn section<'a>(
        &'a self,
        section: &'a str,
    ) -> impl Iterator<Item = (&'a KeyPath, &'a SourceLocation)> {
        let start = KeyPath::default().join(section);
        let end = start.clone();
        let from = self.entries.range(start..);
        let within = from.take_while(move |(path, _)| path.is_within(&end));
        within.filter(|(path, _)| path.keys().len() == 2)
    }
}

fn remove_within<T>(map: &mut BTreeMap<KeyPath, T>, entry: &KeyPath) {
    let from = map.range(entry.clone()..).map(|(path, _)| path);
    let within: Vec<KeyPath> = from
        .take_while(|path| path.is_within(entry))
        .cloned()
        .collect();
    for path in within {
        map.remove(&path);
    }
}

/// The keys that the table at `path` may hold.
fn fields_at(fields: &'static [KeySchema], path: &KeyPath) -> &'static [KeySchema] {
    let mut fields = fields;
    let mut keys = path.keys().iter();
    while let Some(key) = keys.next() {
        let found = fields.iter().find(|field| field.name == &**key);
        fields = match found.map(|field| &field.value_type) {
            Some(ValueType::Table(below)) => below,
            Some(ValueType::Entries(below)) => {
                keys.next();
                below
            }
            _ => &[],
        };
    }
    fields
}

fn table_at<'a>(root: &'a mut Table, keys: &[Arc<str>]) -> Option<&'a mut Table> {
    let mut table = root;
    for key in keys {
        let value = table
            .entry(&**key)
            .or_insert_with(|| Value::Table(Table::new()));
        table = value.as_table_mut()?;
    }
    Some(table)
}
