//! Where the records of workflows lie in the store.
//!
//! All records of one owner lie in the partition of its shard, since a transaction changes one
//! partition only. What other VMs hand over lies in inboxes, partitions beside it, so that they never
//! hold up the owner's transactions and may write while some partitions are down.

use serde::{Deserialize, Serialize};

use super::shards::ShardId;
use crate::model::VmName;
use crate::port::record_store::RecordKey;
use crate::workflow::{ParseIdError, WorkflowId, WorkflowSpec};

/// How many shards there are.
const SHARDS: &str = "shards";

/// Who owns a shard.
pub(super) const OWNERS: &str = "owners";

/// One record for each workflow.
pub(super) const WORKFLOWS: &str = "workflows";

/// What has happened to workflows that have not ended.
pub(super) const PROGRESS: &str = "progress";

/// What VMs wrote while they did not reach the owner.
pub(super) const HANDOVERS: &str = "handovers";

/// The key of records of which each partition has one.
const ONLY_KEY: &str = "main";

/// The table of the list of workers that tasks may run on.
pub(super) const WORKERS: &str = "workers";

/// Who owns a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerRecord {
    /// The VM.
    pub(super) vm: VmName,
    /// Where other VMs reach it.
    pub(super) address: std::net::SocketAddr,
    /// When its process started, which tells it from earlier ones of the same VM.
    pub(super) started_unix_ms: u64,
    /// Grows from owner to owner; the fencing token at workers.
    pub(super) epoch: u64,
    /// Grows with each transaction of the owner, so that a lost answer can be resolved.
    pub(super) transaction: u64,
    /// Whether the owner has given up, so that another may follow at once.
    pub(super) released: bool,
}

impl OwnerRecord {
    /// Whether both were written by the same process.
    pub(super) fn is_same_process(&self, other: &Self) -> bool {
        self.vm == other.vm && self.started_unix_ms == other.started_unix_ms
    }
}

/// What a VM wrote for the owner to find.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum InboxEntry {
    /// A workflow; its submitter was told that it is accepted.
    Submitted(WorkflowSpec),
    /// A cancellation.
    Cancelled,
}

/// The partition of a shard.
pub(super) fn partition(shard: ShardId) -> String {
    format!("shard-{shard}")
}

/// How many inboxes a shard has: where a third of the partitions is down, all three are in one of
/// thirty outages.
pub(super) const INBOXES: u16 = 3;

/// The partition of one of the shard's inboxes.
pub(super) fn inbox(shard: ShardId, number: u16) -> String {
    format!("inbox-{shard}-{number}")
}

/// The first key and the end of the keys of what is handed over about a workflow.
pub(super) fn handover_keys(id: WorkflowId) -> (String, String) {
    (format!("{id}."), format!("{id}/"))
}

/// The record of how many shards there are.
pub(super) fn shards_key() -> RecordKey {
    RecordKey::new(SHARDS, SHARDS, ONLY_KEY)
}

/// The record of a shard's owner.
pub(super) fn owner_key(shard: ShardId) -> RecordKey {
    RecordKey::new(OWNERS, &partition(shard), ONLY_KEY)
}

/// The record of the list of a shard's workers.
pub(super) fn workers_key(shard: ShardId) -> RecordKey {
    RecordKey::new(WORKERS, &partition(shard), ONLY_KEY)
}

/// The record of a workflow.
pub(super) fn workflow_key(shard: ShardId, id: WorkflowId) -> RecordKey {
    RecordKey::new(WORKFLOWS, &partition(shard), id.to_string())
}

/// The record of a workflow's progress.
pub(super) fn progress_key(shard: ShardId, id: WorkflowId) -> RecordKey {
    RecordKey::new(PROGRESS, &partition(shard), id.to_string())
}

/// The record of a handover in an inbox.
pub(super) fn handover_key(inbox: &str, id: WorkflowId, handover: &InboxEntry) -> RecordKey {
    let kind = match handover {
        InboxEntry::Submitted(_) => "submitted",
        InboxEntry::Cancelled => "cancelled",
    };
    RecordKey::new(HANDOVERS, inbox, format!("{id}.{kind}"))
}

/// The workflow that a record is about.
pub(super) fn workflow_of(key: &RecordKey) -> Result<WorkflowId, ParseIdError> {
    let name = key.key.split('.').next().unwrap_or_default();
    name.parse()
}
