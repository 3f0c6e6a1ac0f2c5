//! A batch of changes that is committed in one transaction.

use crate::model::WorkerName;
use crate::port::executor::WorkerListing;
use crate::workflow::assignment::Assignment;
use crate::workflow::fleet::WorkerKey;
use crate::workflow::record::{WorkflowProgress, WorkflowRecord, WorkflowStatus, text_len};
use crate::workflow::recorded::CommittedWrite;
use crate::workflow::spec::{TaskId, WorkflowId};

/// The acknowledgement of a worker's ended runs, which is sent once a batch is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndAck {
    pub(super) worker: WorkerKey,
    pub(super) boot: u64,
    pub(super) sequence: u64,
}

/// The limits of one batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchLimits {
    /// The maximum number of entries in the transaction.
    pub entries: usize,
    /// The maximum size of the records in the transaction, in bytes of their base64 text.
    pub bytes: usize,
}

/// Changes that are committed in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// New workflows. A record that already exists is not overwritten.
    pub added: Vec<(WorkflowId, WorkflowRecord)>,
    /// Parts of the progress of workflows, to be written.
    pub progress: Vec<(WorkflowId, u64, WorkflowProgress)>,
    /// Workflows that have ended: their record is replaced, and the first part of their progress is
    /// removed.
    pub ended: Vec<(WorkflowId, WorkflowStatus)>,
    /// Further parts of the progress of ended workflows, to be removed.
    pub obsolete: Vec<(WorkflowId, u64)>,
    /// The changed parts of the list of workers that tasks may run on. An empty part is removed.
    pub workers: Vec<(u32, Vec<WorkerListing>)>,
    /// Workers that are assigned to another shard, or by another shard to this one.
    pub assignments: Vec<(WorkerName, Assignment)>,
    pub(super) end_acks: Vec<EndAck>,
    /// Placed runs whose start requests are sent after the commit.
    pub(super) starts: Vec<(WorkerKey, TaskId, u32)>,
    /// The size of the records.
    pub(super) bytes: usize,
}

impl CommitBatch {
    /// The number of entries in the transaction: a precondition and a record for a new workflow, a
    /// record and a removal for one that has ended.
    fn entries(&self) -> usize {
        2 * (self.added.len() + self.ended.len())
            + self.progress.len()
            + self.obsolete.len()
            + self.workers.len()
            + self.assignments.len()
    }

    /// The number of changes, each of which could be committed alone.
    pub(super) fn changes(&self) -> usize {
        self.added.len()
            + self.ended.len()
            + self.progress.len()
            + self.obsolete.len()
            + self.workers.len()
            + self.assignments.len()
    }

    /// Whether the batch contains no changes.
    pub fn is_empty(&self) -> bool {
        self.changes() == 0
    }

    /// Logs what the batch has written or removed, and for how many workers it acknowledges ends of runs.
    /// The further parts are named, since they are few.
    pub(super) fn log_committed(&self, write: CommittedWrite) {
        if self.is_empty() {
            return;
        }
        let written = self.progress.iter().map(|(id, part, _)| (*id, *part));
        let further = written.filter(|(_, part)| *part > 0);
        tracing::info!(
            transaction = write.transaction(),
            added = self.added.len(),
            progress = self.progress.len(),
            further_parts = names(further),
            ended = self.ended.len(),
            removed = names(self.obsolete.iter().copied()),
            acknowledged = self.end_acks.len(),
            "a batch of workflow changes is committed"
        );
    }

    /// Logs what the batch would have written or removed if the store had applied it.
    pub fn log_not_applied(&self) {
        tracing::warn!(
            refused = self.added.len(),
            progress = self.progress.len(),
            ended = self.ended.len(),
            removed = self.obsolete.len(),
            "the store does not apply a batch of workflow changes; refusing its new workflows"
        );
    }

    /// Whether `entries` more with a record of `len` bytes fit.
    pub(super) fn has_room(&self, limits: &BatchLimits, entries: usize, len: usize) -> bool {
        self.entries() + entries <= limits.entries && self.bytes + text_len(len) <= limits.bytes
    }
}

/// The names of parts of the progress of workflows.
fn names(parts: impl Iterator<Item = (WorkflowId, u64)>) -> String {
    let names: Vec<String> = parts.map(|(id, part)| format!("{id}.{part}")).collect();
    names.join(" ")
}
