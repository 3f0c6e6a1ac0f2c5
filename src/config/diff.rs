//! The difference between two configurations, key by key.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use super::CellConfig;
use super::parse::KeyPath;
use crate::error::{Error, Result};

common! { record
/// The change of one key.
pub struct KeyChange {
    /// The key.
    pub key: KeyPath,
    /// The old value; `None` if the key was added.
    pub before: Option<Value>,
    /// The new value; `None` if the key was removed.
    pub after: Option<Value>,
}}

impl fmt::Display for KeyChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {} = {before} -> {after}", self.key),
            (Some(before), None) => write!(f, "- {} = {before}", self.key),
            (None, Some(after)) => write!(f, "+ {} = {after}", self.key),
            (None, None) => write!(f, "  {}", self.key),
        }
    }
}

/// The changes between two configurations, ordered by key.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::{CellConfig, ConfigDiff};
///
/// let before = CellConfig::from_text("[team.a]\nbalance_core_hours = 5\n").unwrap();
/// let after = CellConfig::from_text("[team.a]\nbalance_core_hours = 6\n").unwrap();
/// let diff = ConfigDiff::between(&before, &after).unwrap();
/// assert_eq!(diff.to_string(), "~ team.a.balance_core_hours = 5.0 -> 6.0\n");
/// assert_eq!(diff.apply_to(&before).unwrap(), after);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigDiff(Vec<KeyChange>);

impl ConfigDiff {
    /// Returns the changes that turn `before` into `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if a number is too large for TOML, which no checked configuration contains.
    pub fn between(before: &CellConfig, after: &CellConfig) -> Result<Self> {
        let before = values_by_key(before)?;
        let mut after = values_by_key(after)?;
        let mut changes = Vec::new();
        for (key, value) in before {
            let new_value = after.remove(&key);
            if new_value.as_ref() != Some(&value) {
                changes.push(KeyChange {
                    key,
                    before: Some(value),
                    after: new_value,
                });
            }
        }
        changes.extend(after.into_iter().map(|(key, value)| KeyChange {
            key,
            before: None,
            after: Some(value),
        }));
        changes.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(Self(changes))
    }

    /// Applies the changes to `before`. The result is not validated: compare its digest with that
    /// of a validated configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if an old value in the changes differs from the value in `before`.
    pub fn apply_to(&self, before: &CellConfig) -> Result<CellConfig> {
        let mut root = Table::try_from(before).map_err(|e| Error::Other(e.to_string()))?;
        for change in &self.0 {
            let replaced = replace(&mut root, change.key.keys(), change.after.clone());
            if replaced != change.before {
                let text = format!("the change does not match the current value: {change}");
                return Err(Error::Other(text));
            }
        }
        CellConfig::deserialize(root).map_err(|e| Error::Other(e.to_string()))
    }

    /// The changes.
    pub fn changes(&self) -> &[KeyChange] {
        &self.0
    }

    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for ConfigDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.0 {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}

/// The values of a configuration by key path; an empty table counts as a value.
fn values_by_key(config: &CellConfig) -> Result<BTreeMap<KeyPath, Value>> {
    let root = Value::try_from(config).map_err(|e| Error::Other(e.to_string()))?;
    let mut values = BTreeMap::new();
    flatten(KeyPath::default(), root, &mut values);
    Ok(values)
}

fn flatten(path: KeyPath, value: Value, values: &mut BTreeMap<KeyPath, Value>) {
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (key, nested) in table {
                flatten(path.join(&key), nested, values);
            }
        }
        // A section without entries is equivalent to an absent one.
        Value::Table(_) if path.keys().len() < 2 => {}
        other => {
            values.insert(path, other);
        }
    }
}

/// Sets or removes a value and returns the old one. A table that becomes empty is removed.
fn replace(table: &mut Table, keys: &[Arc<str>], value: Option<Value>) -> Option<Value> {
    let (key, rest) = keys.split_first()?;
    if rest.is_empty() {
        return match value {
            Some(value) => table.insert(key.to_string(), value),
            None => table.remove(&**key),
        };
    }
    let inner = table
        .entry(&**key)
        .or_insert_with(|| Value::Table(Table::new()));
    let inner = inner.as_table_mut()?;
    let replaced = replace(inner, rest, value);
    if inner.is_empty() {
        table.remove(&**key);
    }
    replaced
}
