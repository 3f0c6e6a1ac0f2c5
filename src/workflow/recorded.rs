//! What proves that the store has a record.
//!
//! A worker, a caller or another owner is told that something is recorded, and a record is removed
//! because another one replaces it, only with the write that has taken effect or the read that found
//! the record.

use std::fmt;

use super::record::WorkflowRecord;
use super::spec::WorkflowId;

/// A write of an owner that has taken effect, by the number of its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommittedWrite(u64);

impl CommittedWrite {
    /// The transaction with this number of the owner has taken effect, as an answer of the store shows.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::workflow::recorded::CommittedWrite;
    ///
    /// assert_eq!(CommittedWrite::new(7).transaction(), 7);
    /// ```
    pub fn new(transaction: u64) -> Self {
        Self(transaction)
    }

    /// The number of the transaction.
    pub fn transaction(self) -> u64 {
        self.0
    }
}

/// What shows that the store has a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Recorded {
    /// The owner read it, for example when it took over the shard.
    #[default]
    Read,
    /// The owner wrote it.
    Written(CommittedWrite),
}

impl fmt::Display for Recorded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read => f.write_str("a read"),
            Self::Written(write) => write!(f, "transaction {}", write.transaction()),
        }
    }
}

/// The proof that the record of a workflow says that it has ended. The parts of its progress are not
/// needed any more.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub(super) struct RecordedEnd {
    id: WorkflowId,
    by: Recorded,
}

impl RecordedEnd {
    /// `write` has recorded the end of the workflow.
    pub(super) fn by_write(id: WorkflowId, write: CommittedWrite) -> Self {
        let by = Recorded::Written(write);
        Self { id, by }
    }

    /// The record of the workflow in the store; `None` if it does not say that the workflow has ended.
    pub(super) fn by_read(id: WorkflowId, record: &WorkflowRecord) -> Option<Self> {
        let by = Recorded::Read;
        record.ended().map(|_| Self { id, by })
    }

    /// The workflow.
    pub(super) fn id(&self) -> WorkflowId {
        self.id
    }

    /// What shows that its end is recorded.
    pub(super) fn by(&self) -> Recorded {
        self.by
    }
}
