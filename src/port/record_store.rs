//! The platform's transactional store of records, grouped by table and partition.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::BoxFuture;

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordKey {
    /// The table.
    pub table: String,
    /// The partition. A transaction changes records of one partition only.
    pub partition: String,
    /// The key within the table and partition.
    pub key: String,
}

impl RecordKey {
    /// Creates the key of the record `key` in `table` and `partition`.
    pub fn new(table: &str, partition: &str, key: impl Into<String>) -> Self {
        Self {
            table: table.to_owned(),
            partition: partition.to_owned(),
            key: key.into(),
        }
    }
}

/// A record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: RecordKey,
    /// The value; `None` if the record was removed or does not exist.
    pub value: Option<Vec<u8>>,
    /// The version, which increases with each write of the record; 0 if the record does not exist.
    pub version: u64,
}

/// Changes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The preconditions: the versions that records must have, 0 if a record must not exist.
    pub expected: Vec<(RecordKey, u64)>,
    /// The records to write.
    pub puts: Vec<(RecordKey, Vec<u8>)>,
    /// The records to remove.
    pub removals: Vec<RecordKey>,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Applies a transaction.
    Commit(Transaction),
    /// Reads one page of a partition of a table, ordered by key.
    Scan {
        /// The table.
        table: String,
        /// The partition.
        partition: String,
        /// The first key, inclusive.
        from: String,
        /// The end of the keys, exclusive.
        to: Option<String>,
        /// The maximum number of records.
        limit: u32,
    },
    /// Reads the changes of a table since a version, in order.
    Changes {
        /// The table.
        table: String,
        /// The version up to which changes are already known.
        after: u64,
        /// How long the store may wait for a change, in milliseconds.
        wait_ms: u32,
    },
}

/// The response of the store to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The transaction was committed.
    Committed {
        /// The new version of its records.
        version: u64,
    },
    /// The transaction was not committed, since a precondition did not hold.
    Conflict {
        /// The records of the preconditions. A record that does not exist has version 0 or is left
        /// out.
        records: Vec<Record>,
    },
    /// The records as of one point in time.
    Records {
        /// The records.
        records: Vec<Record>,
        /// Whether more follow.
        truncated: bool,
        /// The latest version of the store.
        version: u64,
    },
    /// The requested changes are no longer available; the table must be read again.
    HistoryGone,
}

/// Why a request to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    /// The request had no effect.
    #[error("the store did nothing: {0}")]
    NotDone(String),
    /// No response arrived; a transaction may have taken effect, or may still do so.
    #[error("no answer of the store: {0}")]
    Unknown(String),
    /// The store rejects the request; repeating it does not help.
    #[error("the store rejects the call: {0}")]
    Rejected(String),
}

/// A transactional store of records.
pub trait RecordStore: Send + Sync + 'static {
    /// Sends a request and waits up to `timeout` for the response.
    ///
    /// # Errors
    ///
    /// See [`StoreError`]. Only after [`StoreError::Unknown`] is the outcome of a transaction
    /// unknown.
    fn call<'a>(
        &'a self,
        call: &'a StoreCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<StoreReply, StoreError>>;
}

/// Shared access to the store.
pub type SharedRecordStore = Arc<dyn RecordStore>;
