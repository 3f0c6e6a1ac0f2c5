//! Differences between two configurations, key by key.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use super::CellConfig;
use super::parse::KeyPath;
use crate::error::{Error, Result};

common! { record
/// One key that differs.
pub struct KeyChange {
    /// The key.
    pub key: KeyPath,
    /// The earlier value; `None` where the key is new.
    pub before: Option<Value>,
    /// The later value; `None` where the key is gone.
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

/// All keys that differ, in their order.
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
    /// What turns `before` into `after`.
    ///
    /// # Errors
    ///
    /// Returns an error where a number is too large for TOML; no checked configuration holds one.
    pub fn between(before: &CellConfig, after: &CellConfig) -> Result<Self> {
        let before = flat(before)?;
        let mut after = flat(after)?;
        let mut changes = Vec::new();
        for (key, value) in before {
            let now = after.remove(&key);
            if now.as_ref() != Some(&value) {
                changes.push(KeyChange {
                    key,
                    before: Some(value),
                    after: now,
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

    /// The configuration that the changes make of `before`. It is not checked: compare its digest
    /// with one that was.
    ///
    /// # Errors
    ///
    /// Returns an error where the changes do not fit `before`.
    pub fn apply_to(&self, before: &CellConfig) -> Result<CellConfig> {
        let mut whole = Table::try_from(before).map_err(|e| Error::Other(e.to_string()))?;
        for change in &self.0 {
            let replaced = replace(&mut whole, change.key.keys(), change.after.clone());
            if replaced != change.before {
                let text = format!("the change does not fit: {change}");
                return Err(Error::Other(text));
            }
        }
        CellConfig::deserialize(whole).map_err(|e| Error::Other(e.to_string()))
    }

    /// The changes.
    pub fn changes(&self) -> &[KeyChange] {
        &self.0
    }

    /// Whether nothing differs.
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

/// The values of a configuration by key; an empty table stands for itself.
fn flat(config: &CellConfig) -> Result<BTreeMap<KeyPath, Value>> {
    let whole = Value::try_from(config).map_err(|e| Error::Other(e.to_string()))?;
    let mut values = BTreeMap::new();
    flatten(KeyPath::default(), whole, &mut values);
    Ok(values)
}

fn flatten(path: KeyPath, value: Value, values: &mut BTreeMap<KeyPath, Value>) {
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (key, below) in table {
                flatten(path.join(&key), below, values);
            }
        }
        // Sections without entries are the same as absent ones.
        Value::Table(_) if path.keys().len() < 2 => {}
        other => {
            values.insert(path, other);
        }
    }
}

/// Sets or removes a value and returns the one before. A table that becomes empty goes away.
fn replace(table: &mut Table, keys: &[Arc<str>], value: Option<Value>) -> Option<Value> {
    let (key, below) = keys.split_first()?;
    if below.is_empty() {
        return match value {
            Some(value) => table.insert(key.to_string(), value),
            None => table.remove(&**key),
        };
    }
    let inner = table
        .entry(&**key)
        .or_insert_with(|| Value::Table(Table::new()));
    let inner = inner.as_table_mut()?;
    let replaced = replace(inner, below, value);
    if inner.is_empty() {
        table.remove(&**key);
    }
    replaced
}
