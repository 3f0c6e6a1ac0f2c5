//! Access of callers to the workflows of client accounts.

use super::{Effect, Engine};
use crate::model::AccountName;
use crate::workflow::access::Access;
use crate::workflow::record::WorkflowRecord;
use crate::workflow::spec::WorkflowId;

impl Engine {
    /// Whether a call has access to the workflow. True for one that is unknown.
    pub fn permits(&self, id: WorkflowId, access: &Access) -> bool {
        let known = self.known_account(id);
        known.is_none_or(|account| access.permits(account))
    }

    /// The account of a workflow that is known; `Some(None)` if it has no account.
    pub(super) fn known_account(&self, id: WorkflowId) -> Option<Option<&AccountName>> {
        if let Some(status) = self.ended.get(&id) {
            return Some(status.account.as_ref());
        }
        let active = self.active.get(&id)?;
        Some(active.spec.account.as_ref())
    }

    /// Whether a new workflow has an account, and the record that already exists has another.
    pub(super) fn is_of_other_account(&self, id: WorkflowId, owner: Option<&AccountName>) -> bool {
        let account = self.known_account(id).flatten();
        account.is_some() && owner.is_some() && account != owner
    }

    /// Drops a new workflow whose id turned out to be that of a recorded workflow of another account.
    pub(super) fn give_up_to_other_account(&mut self, id: WorkflowId, record: &WorkflowRecord) {
        tracing::warn!(request = %id, account = ?self.known_account(id).flatten(),
            rule = "workflow id",
            "refusing a workflow because another account has recorded one with its id");
        let tokens = self.commit_queue.submitters.remove(&id).unwrap_or_default();
        let replies = tokens.into_iter().map(Effect::OtherAccount);
        self.effects.extend(replies);
        self.dequeue_steps(id);
        self.active.remove(&id);
        if let Some(status) = record.ended() {
            self.ended.insert(id, status);
        }
    }
}
