//! A table in memory.

use std::collections::BTreeMap;

use chestnutlug::port::table::{Condition, Row, TableError, Txn, Write};

/// Versioned rows that are changed by conditional transactions.
#[derive(Debug, Default)]
pub struct MemoryTable(BTreeMap<String, (Vec<u8>, u64)>);

impl MemoryTable {
    pub fn version(&self, key: &str) -> u64 {
        self.0.get(key).map_or(0, |row| row.1)
    }

    pub fn get(&self, key: &str) -> Option<Row> {
        let (value, version) = self.0.get(key)?;
        Some(Row {
            key: key.to_owned(),
            value: value.clone(),
            version: *version,
        })
    }

    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let keys = self.0.keys().filter(|key| key.starts_with(prefix));
        keys.filter_map(|key| self.get(key)).collect()
    }

    pub fn put(&mut self, key: &str, value: &[u8]) {
        let version = self.version(key) + 1;
        self.0.insert(key.to_owned(), (value.to_vec(), version));
    }

    /// Applies all writes of `txn` if all its conditions hold, otherwise none.
    pub fn apply(&mut self, txn: &Txn) -> Result<(), TableError> {
        let fails = |c: &&Condition| self.version(&c.key) != c.version;
        if let Some(condition) = txn.conditions.iter().find(fails) {
            let key = condition.key.clone();
            return Err(TableError::Conflict { key });
        }
        for write in &txn.writes {
            match write {
                Write::Put { key, value } => self.put(key, value),
                Write::Delete { key } => {
                    self.0.remove(key);
                }
            }
        }
        Ok(())
    }
}
