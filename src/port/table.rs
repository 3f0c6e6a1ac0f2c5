//! The platform's transactional table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::BoxFuture;

/// Maximum number of rows that a transaction may write.
pub const MAX_TXN_ROWS: usize = 256;

/// Maximum number of rows in a page of a scan.
pub const MAX_PAGE_ROWS: usize = 1_000;

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, which the table does not interpret.
    pub value: Vec<u8>,
    /// The version: 1 after the first write, and one higher after each further write.
    pub version: u64,
}

/// A precondition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that the row must have; 0 if the row must not exist.
    pub version: u64,
}

/// A write to a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Inserts or replaces the row.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
    },
    /// Deletes the row. A later put starts at version 1 again.
    Delete {
        /// The key.
        key: String,
    },
}

impl Write {
    /// Returns the key of the row.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// A conditional transaction, which is applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The preconditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The writes; at most [`MAX_TXN_ROWS`].
    pub writes: Vec<Write>,
}

/// Why a call to the table, the object store or the list of VMs failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum TableError {
    /// A precondition did not hold; nothing was written.
    #[error("conflict on {key}")]
    Conflict {
        /// The key of the first precondition that did not hold.
        key: String,
    },
    /// The platform refused the call or is unreachable; nothing was written.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// No response arrived. The outcome is unknown: the writes may have taken effect, or may still
    /// do so.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The transaction is malformed or too large; nothing was written.
    #[error("invalid: {0}")]
    Invalid(String),
}

/// The platform's transactional table.
pub trait Table: Send + Sync + 'static {
    /// Commits `txn` if all its preconditions hold.
    ///
    /// # Errors
    ///
    /// See [`TableError`]. Only after [`TableError::Unanswered`] is the outcome unknown.
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>>;

    /// Reads one row; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>>;

    /// Reads, in key order, up to [`MAX_PAGE_ROWS`] rows whose keys start with `prefix` and follow
    /// `after`. A page with fewer rows is the last one.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>>;
}

/// Shared access to the table.
pub type SharedTable = Arc<dyn Table>;

/// Reads all rows whose keys start with `prefix`, page by page.
///
/// # Errors
///
/// Returns the error of the first page that cannot be read.
pub async fn scan_all(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, TableError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let page = table.scan(prefix, after.as_deref()).await?;
        let is_last = page.len() < MAX_PAGE_ROWS;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}
