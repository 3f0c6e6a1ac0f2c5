//! Tables, partitions and keys of the records in the store.
//!
//! All records of a shard are in the shard's own partition, because a transaction is limited to one
//! partition. Entries that other VMs write for the owner are in inboxes, separate partitions, so that
//! these writes never block the owner's transactions and still work while some partitions are down.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::shards::ShardId;
use crate::model::{VmName, WorkerName};
use crate::port::record_store::RecordKey;
use crate::workflow::record::{self, RecordCodecError};
use crate::workflow::{LongLeases, ParseIdError, WorkflowId, WorkflowSpec};

/// The table of the record that holds the number of shards.
const SHARDS: &str = "shards";

/// The table of owner records.
pub(super) const OWNERS: &str = "owners";

/// The table of workflows.
pub(super) const WORKFLOWS: &str = "workflows";

/// The table of the progress of workflows that have not ended.
pub(super) const PROGRESS: &str = "progress";

/// The table of inbox entries: requests from VMs that could not reach the owner.
pub(super) const INBOX_ENTRIES: &str = "handovers";

/// The key of records that exist once in each partition.
const SINGLETON_KEY: &str = "main";

/// The table of the lists of workers that tasks may run on.
pub(super) const WORKERS: &str = "workers";

/// The table of workers that were assigned to another shard or by another shard.
pub(super) const ASSIGNMENTS: &str = "assignments";

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerRecord {
    /// The VM.
    pub(super) vm: VmName,
    /// Where other VMs reach it.
    pub(super) address: std::net::SocketAddr,
    /// When its process started, in milliseconds since 1970; distinguishes it from earlier processes on
    /// the same VM.
    pub(super) started_unix_ms: u64,
    /// Increases with each owner; workers use it as the fencing token.
    pub(super) epoch: u64,
    /// Increases with each transaction of the owner. After a lost response it tells whether the
    /// transaction took effect.
    pub(super) transaction: u64,
    /// Whether the owner has released the shard, so that another VM can take over at once.
    pub(super) released: bool,
    /// Where a successor has to wait for longer.
    #[serde(skip)]
    pub(super) long_leases: LongLeases,
}

/// An owner record in the store. Earlier programs write only the owner, and read no more than that.
#[derive(Serialize, Deserialize)]
struct StoredOwner {
    owner: OwnerRecord,
    long_leases: Vec<WorkerName>,
}

impl OwnerRecord {
    /// Whether both records were written by the same process.
    pub(super) fn is_same_process(&self, other: &Self) -> bool {
        self.vm == other.vm && self.started_unix_ms == other.started_unix_ms
    }

    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be serialized.
    pub(super) fn encode(&self) -> Result<Vec<u8>, RecordCodecError> {
        match &self.long_leases {
            LongLeases::AnyWorker => record::encode(self),
            LongLeases::Workers(workers) => record::encode(&StoredOwner {
                owner: self.clone(),
                long_leases: workers.clone(),
            }),
        }
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// See [`RecordCodecError`].
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, RecordCodecError> {
        match record::decode::<StoredOwner>(bytes) {
            Ok(stored) => Ok(Self {
                long_leases: LongLeases::Workers(stored.long_leases),
                ..stored.owner
            }),
            Err(_) => record::decode(bytes),
        }
    }
}

/// A request that a VM wrote to an inbox of the shard for its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum InboxEntry {
    /// A workflow whose caller was told that it is accepted.
    Submitted(WorkflowSpec),
    /// A cancellation.
    Cancelled,
}

/// The partition of a shard.
pub(super) fn shard_partition(shard: ShardId) -> String {
    format!("shard-{shard}")
}

/// The number of inboxes of a shard. While a third of the partitions is down, all three inboxes are
/// down in one of thirty outages.
pub(super) const INBOXES_PER_SHARD: u16 = 3;

/// The partition of one of the shard's inboxes.
pub(super) fn inbox_partition(shard: ShardId, number: u16) -> String {
    format!("inbox-{shard}-{number}")
}

/// The range of keys of inbox entries for a workflow: the first key and the exclusive end.
pub(super) fn inbox_entry_key_range(id: WorkflowId) -> (String, String) {
    (format!("{id}."), format!("{id}/"))
}

/// The key of the record that holds the number of shards.
pub(super) fn shards_key() -> RecordKey {
    RecordKey::new(SHARDS, SHARDS, SINGLETON_KEY)
}

/// The key of a shard's owner record.
pub(super) fn owner_key(shard: ShardId) -> RecordKey {
    RecordKey::new(OWNERS, &shard_partition(shard), SINGLETON_KEY)
}

/// The key of a part of the list of a shard's workers.
pub(super) fn workers_key(shard: ShardId, part: u32) -> RecordKey {
    let key = part_key(SINGLETON_KEY.to_owned(), part.into());
    RecordKey::new(WORKERS, &shard_partition(shard), key)
}

/// The key of the assignment of a worker. Names of workers may have any characters and lengths, so
/// that the key holds a hash.
pub(super) fn assignment_key(shard: ShardId, worker: &WorkerName) -> RecordKey {
    let hash = xxh3_128(worker.as_str().as_bytes());
    RecordKey::new(ASSIGNMENTS, &shard_partition(shard), format!("{hash:032x}"))
}

/// The key of a workflow.
pub(super) fn workflow_key(shard: ShardId, id: WorkflowId) -> RecordKey {
    RecordKey::new(WORKFLOWS, &shard_partition(shard), id.to_string())
}

/// The key of a part of a workflow's progress.
pub(super) fn progress_key(shard: ShardId, id: WorkflowId, part: u64) -> RecordKey {
    RecordKey::new(
        PROGRESS,
        &shard_partition(shard),
        part_key(id.to_string(), part),
    )
}

/// The range of keys of the parts of a workflow's progress: the first key and the exclusive end.
pub(super) fn progress_key_range(id: WorkflowId) -> (String, String) {
    (id.to_string(), format!("{id}/"))
}

/// The key of a part; that of the first part is the key of the whole.
fn part_key(whole: String, part: u64) -> String {
    match part {
        0 => whole,
        part => format!("{whole}.{part}"),
    }
}

/// Parses the number of the part from the key of a part.
pub(super) fn part_of(key: &RecordKey) -> Option<u64> {
    match key.key.split_once('.') {
        Some((_, part)) => part.parse().ok(),
        None => Some(0),
    }
}

/// The key of an entry in the inbox `partition`. The submissions of different accounts have different keys,
/// because entries are written without a condition and one account must not overwrite the accepted
/// workflow of another. Names of accounts may have any characters, so that the key holds a hash.
pub(super) fn inbox_entry_key(partition: &str, id: WorkflowId, entry: &InboxEntry) -> RecordKey {
    let key = match entry {
        InboxEntry::Submitted(spec) => match &spec.account {
            None => format!("{id}.submitted"),
            Some(account) => {
                let hash = xxh3_128(account.as_str().as_bytes());
                format!("{id}.submitted.{hash:032x}")
            }
        },
        InboxEntry::Cancelled => format!("{id}.cancelled"),
    };
    RecordKey::new(INBOX_ENTRIES, partition, key)
}

/// Parses the id of the workflow from the key of a record about it.
pub(super) fn workflow_id_of(key: &RecordKey) -> Result<WorkflowId, ParseIdError> {
    let name = key.key.split('.').next().unwrap_or_default();
    name.parse()
}
