//! Rows of the stand-in table, and the rate limit of its operations.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::model::Time;
use crate::port::table::{MAX_PAGE_ROWS, MAX_TXN_ROWS, Row, TableError, Txn, Write};

/// Maximum burst, as a fraction of the operations allowed per second.
const BURST_SHARE: f64 = 0.25;

/// Rows of a table, each with its version.
#[derive(Clone, Debug, Default)]
pub struct TableRows {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
}

impl TableRows {
    /// Applies `txn` if all its conditions hold.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Conflict`] or [`TableError::Invalid`]; nothing was written then.
    pub fn commit(&mut self, txn: &Txn) -> Result<(), TableError> {
        if txn.writes.len() > MAX_TXN_ROWS {
            let rows = txn.writes.len();
            return Err(TableError::Invalid(format!("{rows} rows")));
        }
        for condition in &txn.conditions {
            if self.version(&condition.key) != condition.version {
                let key = condition.key.clone();
                return Err(TableError::Conflict { key });
            }
        }
        for write in &txn.writes {
            self.write(write);
        }
        Ok(())
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let version = self.version(key) + 1;
                self.rows.insert(key.clone(), (version, value.clone()));
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }

    /// Reads one row.
    pub fn read(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(row(key, *version, value))
    }

    /// Reads a page of rows whose keys start with `prefix` and come after `after`, in key order.
    pub fn scan(&self, prefix: &str, after: Option<&str>) -> Vec<Row> {
        let start = match after {
            Some(key) if key >= prefix => Bound::Excluded(key),
            _ => Bound::Included(prefix),
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(MAX_PAGE_ROWS)
            .map(|(key, (version, value))| row(key, *version, value))
            .collect()
    }

    /// Number of rows.
    pub fn count(&self) -> usize {
        self.rows.len()
    }
}

fn row(key: &str, version: u64, value: &[u8]) -> Row {
    Row {
        key: key.to_owned(),
        value: value.to_vec(),
        version,
    }
}

/// Token bucket that limits the rate of operations.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Time>,
}

impl TokenBucket {
    /// Takes a token for one operation from a bucket that refills at `per_s` tokens per second.
    /// Returns whether there was one; without `per_s` there is no limit.
    pub fn take(&mut self, per_s: Option<f64>, now: Time) -> bool {
        let Some(per_s) = per_s else { return true };
        if per_s <= 0.0 {
            return false;
        }
        let burst = (per_s * BURST_SHARE).max(1.0);
        self.tokens = match self.refilled_at {
            Some(at) => (self.tokens + per_s * now.since(at).as_secs_f64()).min(burst),
            None => burst,
        };
        self.refilled_at = Some(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
