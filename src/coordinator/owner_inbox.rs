//! Inbox entries that the owner applies.

use super::layout::InboxEntry;
use super::owner::WorkflowOwner;
use super::reader::InboxRecord;
use crate::model::Time;
use crate::port::record_store::RecordKey;
use crate::workflow::{CancelStatus, SubmitStatus, WorkflowId};

impl WorkflowOwner {
    /// Applies inbox entries and returns the keys of those whose effect is recorded.
    pub(super) fn apply_inbox_entries(
        &mut self,
        inbox: Vec<InboxRecord>,
        now: Time,
    ) -> Vec<RecordKey> {
        let mut recorded = Vec::new();
        for record in inbox {
            let is_recorded = match record.entry {
                InboxEntry::Submitted(spec) => {
                    self.engine.submit_from_inbox(record.id, spec, now) == SubmitStatus::Recorded
                }
                InboxEntry::Cancelled => self.cancel_from_inbox(record.id, now),
            };
            if is_recorded {
                recorded.push(record.key);
            }
        }
        recorded
    }

    /// Applies a cancellation; true if it is recorded. No reply is needed, because the caller got its
    /// response when the entry was written.
    fn cancel_from_inbox(&mut self, id: WorkflowId, now: Time) -> bool {
        match self.engine.cancel(id, None, now) {
            CancelStatus::Ended => true,
            CancelStatus::AwaitingCommit => {
                tracing::info!(request = %id, "applying a cancellation from an inbox of the shard");
                false
            }
            CancelStatus::Unknown => {
                tracing::warn!(request = %id,
                    "inbox entry cancels an unknown workflow; it stays in the inbox until the workflow is known");
                false
            }
        }
    }
}
