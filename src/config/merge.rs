//! Merges several sources; a later one overrides an earlier one key by key.

use std::collections::BTreeMap;
use std::sync::Arc;

use toml::{Table, Value};

use super::finding::{Finding, SourceLocation};
use super::parse::{EntryDeclaration, KeyPath, Leaf, ParsedSource};
use super::schema::REMOVED_KEY;
use super::value_type::{KeySchema, ValueType};

/// Maximum number of entries in a configuration.
pub const MAX_ENTRIES: usize = 50_000;

/// The merged values of several sources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedValues {
    /// The effective values, by key.
    pub values: BTreeMap<KeyPath, Leaf>,
    /// The tables and named entries, with the location of the first declaration.
    pub entries: BTreeMap<KeyPath, SourceLocation>,
    /// The removed entries, with the location of the removal.
    pub removed: BTreeMap<KeyPath, SourceLocation>,
}

impl MergedValues {
    /// Merges `parsed`, which overrides the sources merged before.
    pub fn merge(&mut self, parsed: ParsedSource, findings: &mut Vec<Finding>) {
        for declaration in parsed.declarations {
            if declaration.removed {
                self.remove(declaration, findings);
            } else {
                self.removed.remove(&declaration.path);
                self.entries
                    .entry(declaration.path)
                    .or_insert(declaration.location);
            }
        }
        let leaves = parsed.leaves.into_iter();
        self.values
            .extend(leaves.map(|leaf| (leaf.path.clone(), leaf)));
        if self.entries.len() > MAX_ENTRIES
            && let Some(location) = self.entries.values().next_back()
        {
            let problem = format!("there are more than {MAX_ENTRIES} entries");
            let reason = "the number of entries is limited";
            findings.push(Finding::new(location, problem, reason, "remove entries"));
        }
    }

    fn remove(&mut self, declaration: EntryDeclaration, findings: &mut Vec<Finding>) {
        if !self.entries.contains_key(&declaration.path) {
            let problem = format!("`{}` is removed", declaration.path);
            let reason = "no earlier file declares it";
            let remedy = format!("delete the entry, or check its name and `{REMOVED_KEY}`");
            findings.push(Finding::new(&declaration.location, problem, reason, remedy));
        }
        remove_within(&mut self.values, &declaration.path);
        remove_within(&mut self.entries, &declaration.path);
        self.removed.insert(declaration.path, declaration.location);
    }

    /// Adds a finding for each required key that is not set.
    pub fn check_required(&self, fields: &'static [KeySchema], findings: &mut Vec<Finding>) {
        for (path, location) in &self.entries {
            for field in fields_at(fields, path) {
                let key = path.join(field.name);
                let set = self.values.contains_key(&key) || self.entries.contains_key(&key);
                if field.required && !set {
                    let problem = match path.keys() {
                        [] => format!("`{}` is not set", field.name),
                        _ => format!("`{path}` has no `{}`", field.name),
                    };
                    let remedy = format!("set it to {}", field.value_type.expected());
                    findings.push(Finding::new(
                        location,
                        problem,
                        "the key is required",
                        remedy,
                    ));
                }
            }
        }
    }

    /// Converts the merged values to one TOML table.
    pub fn to_table(&self) -> Table {
        let mut root = Table::new();
        for path in self.entries.keys() {
            table_at(&mut root, path.keys());
        }
        for (path, leaf) in &self.values {
            let Some((key, parents)) = path.keys().split_last() else {
                continue;
            };
            if let (Some(table), Some(value)) = (table_at(&mut root, parents), &leaf.value) {
                table.insert(key.to_string(), value.clone());
            }
        }
        root
    }

    /// The valid value of `path` as a string, with its location.
    pub fn text(&self, path: &KeyPath) -> Option<(&str, &SourceLocation)> {
        let leaf = self.values.get(path)?;
        Some((leaf.value.as_ref()?.as_str()?, &leaf.location))
    }

    /// The valid value of `path` as an integer, with its location.
    pub fn integer(&self, path: &KeyPath) -> Option<(i64, &SourceLocation)> {
        let leaf = self.values.get(path)?;
        Some((leaf.value.as_ref()?.as_integer()?, &leaf.location))
    }

    /// The entries of `section`, with the location of the first declaration.
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

/// The known keys of the table at `path`.
fn fields_at(fields: &'static [KeySchema], path: &KeyPath) -> &'static [KeySchema] {
    let mut fields = fields;
    let mut keys = path.keys().iter();
    while let Some(key) = keys.next() {
        let found = fields.iter().find(|field| field.name == &**key);
        fields = match found.map(|field| &field.value_type) {
            Some(ValueType::Table(nested)) => nested,
            Some(ValueType::Entries(nested)) => {
                keys.next();
                nested
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
