//! The platform's transactional store of records, grouped by table and partition.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::BoxFuture;

/// Where a record lies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordKey {
    /// The table.
    pub table: String,
    /// The partition; one transaction changes records of one partition.
    pub partition: String,
    /// The key within both.
    pub key: String,
}

impl RecordKey {
    /// The record `key` of `table` and `partition`.
    pub fn new(table: &str, partition: &str, key: impl Into<String>) -> Self {
        Self {
            table: table.to_owned(),
            partition: partition.to_owned(),
            key: key.into(),
        }
    }
}

/// A record as the store has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where it lies.
    pub key: RecordKey,
    /// Its content; `None` where it was removed or is absent.
    pub value: Option<Vec<u8>>,
    /// Grows with each write of it; 0 where it is absent.
    pub version: u64,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The versions that records must have; 0 stands for absent.
    pub expected: Vec<(RecordKey, u64)>,
    /// Records to write.
    pub puts: Vec<(RecordKey, Vec<u8>)>,
    /// Records to remove.
    pub removals: Vec<RecordKey>,
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Applies a transaction.
    Commit(Transaction),
    /// Reads one page of a partition of a table, in the order of keys.
    Scan {
        /// The table.
        table: String,
        /// The partition.
        partition: String,
        /// The first key.
        from: String,
        /// Reads no key at or after this one.
        to: Option<String>,
        /// At most so many records.
        limit: u32,
    },
    /// Reads what has changed in a table since a version, in order.
    Changes {
        /// The table.
        table: String,
        /// The version up to which changes are known.
        after: u64,
        /// How long the store may wait for a change, in milliseconds.
        wait_ms: u32,
    },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The transaction took effect and gave its records this version.
    Committed {
        /// The version.
        version: u64,
    },
    /// The transaction did not take effect; the records of its conditions are these.
    Conflict {
        /// The records, absent ones with version 0 or left out.
        records: Vec<Record>,
    },
    /// Records, as of one moment.
    Records {
        /// The records.
        records: Vec<Record>,
        /// Whether more follow.
        truncated: bool,
        /// The newest version of the store.
        version: u64,
    },
    /// The changes asked for are no longer known; the table has to be read anew.
    HistoryGone,
}

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    /// The store did nothing.
    #[error("the store did nothing: {0}")]
    NotDone(String),
    /// No answer came; a transaction may take effect, also later.
    #[error("no answer of the store: {0}")]
    Unknown(String),
    /// The store does not accept the call; repeating it does not help.
    #[error("the store rejects the call: {0}")]
    Rejected(String),
}

/// The store.
pub trait RecordStore: Send + Sync + 'static {
    /// Makes one call, within `timeout`.
    ///
    /// # Errors
    ///
    /// See [`StoreError`]; only [`StoreError::Unknown`] leaves a transaction's effect open.
    fn call<'a>(
        &'a self,
        call: &'a StoreCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<StoreReply, StoreError>>;
}

/// Shared access to the store.
pub type SharedRecordStore = Arc<dyn RecordStore>;
