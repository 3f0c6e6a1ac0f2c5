//! Forwards changes to the owner of a shard: of the list of workers, of the inboxes and of queues.

use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

use super::event::Event;
use super::fenced_writer::MAX_BATCH_ENTRIES;
use super::limit_share_feeder;
use super::owner::{WorkflowOwner, WorkflowOwnerPorts};
use super::reader::{self, CALL_TIMEOUT, InboxRecord};
use super::shards::ShardId;
use crate::port::record_store::{RecordKey, StoreCall, StoreError, Transaction};
use crate::workflow::EnginePolicies;

/// How long a read of the worker feed waits for a change. A dead connection is detected after this plus
/// the timeout of the call, which is within the 5 s in which an owner that was cut off has to learn of
/// workers that leave.
const WORKERS_WAIT: Duration = Duration::from_millis(1_500);

/// The interval between two reads of the inboxes. With the 300 ms of a slow call, it stays within the
/// 3 s in which a cancellation has to take effect.
const INBOX_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two reads of the inboxes while entries are likely: after a change of owners or
/// after an entry was found.
const BUSY_INBOX_INTERVAL: Duration = Duration::from_millis(200);

/// How long inbox entries are likely. Other VMs learn of a new owner within several pings.
const BUSY_INBOX_PERIOD: Duration = Duration::from_secs(3);

/// The interval between two full reads of the list of workers, in addition to its feed. The owner has
/// to know of a worker that leaves within 2 s, after which no task may start there.
const WORKERS_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(1_500);

/// The delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Retries a read until it succeeds.
pub(super) async fn retry<T, F>(read: impl Fn() -> F) -> T
where
    F: Future<Output = Result<T, StoreError>>,
{
    loop {
        match read().await {
            Ok(value) => return value,
            Err(error) => {
                tracing::warn!(%error, "new shard owner cannot read from the store; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Starts all tasks that forward changes to the owner.
pub(super) fn spawn_all(
    tasks: &mut JoinSet<()>,
    ports: &WorkflowOwnerPorts,
    shard: ShardId,
    owner: &ActorRef<WorkflowOwner>,
    workers_version: u64,
    inbox_entries: Vec<InboxRecord>,
    policies: &watch::Receiver<EnginePolicies>,
) {
    let (ports, owner) = (|| ports.clone(), || owner.clone());
    tasks.spawn(forward_worker_changes(ports(), owner(), workers_version));
    tasks.spawn(forward_inbox(ports(), shard, owner(), inbox_entries));
    tasks.spawn(forward_policies(policies.clone(), owner()));
    tasks.spawn(limit_share_feeder::forward_records(
        ports(),
        owner(),
        policies.clone(),
    ));
    tasks.spawn(limit_share_feeder::write_changes(
        ports(),
        owner(),
        policies.clone(),
    ));
}

/// Forwards changes of the list of workers.
pub(super) async fn forward_worker_changes(
    ports: WorkflowOwnerPorts,
    owner: ActorRef<WorkflowOwner>,
    version: u64,
) {
    let mut version = Some(version);
    let mut snapshot_at = ports.clock.now();
    loop {
        // A feed may miss changes when the store truncates its history.
        if ports.clock.now().since(snapshot_at) >= WORKERS_SNAPSHOT_INTERVAL {
            version = None;
        }
        match ports.feeds.workers(version, WORKERS_WAIT).await {
            Ok(update) => {
                version = Some(update.version);
                if update.is_snapshot {
                    snapshot_at = ports.clock.now();
                }
                let changed = update.is_snapshot || !update.items.is_empty();
                if changed && owner.tell(Event::Workers(update)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::warn!(%error, version, "cannot read the list of workers; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Forwards inbox entries, starting with `initial`, the ones loaded with the shard, and removes the
/// entries whose effect the owner has recorded.
pub(super) async fn forward_inbox(
    ports: WorkflowOwnerPorts,
    shard: ShardId,
    owner: ActorRef<WorkflowOwner>,
    initial: Vec<InboxRecord>,
) {
    let mut entries = initial;
    let mut busy_until = ports.clock.now() + BUSY_INBOX_PERIOD;
    loop {
        if !entries.is_empty() {
            busy_until = ports.clock.now() + BUSY_INBOX_PERIOD;
            let (tx, rx) = oneshot::channel();
            let sent = owner.tell(Event::InboxEntries(entries, tx)).await;
            let (Ok(()), Ok(recorded)) = (sent, rx.await) else {
                return;
            };
            remove_recorded(&ports, recorded).await;
        }
        let busy = ports.clock.now() < busy_until;
        let interval = if busy {
            BUSY_INBOX_INTERVAL
        } else {
            INBOX_INTERVAL
        };
        tokio::time::sleep(interval).await;
        entries = reader::read_inboxes(&ports.store, shard).await;
    }
}

/// Removes inbox entries whose effect is recorded. Entries that cannot be removed are found again by
/// the next read.
async fn remove_recorded(ports: &WorkflowOwnerPorts, mut recorded: Vec<RecordKey>) {
    recorded.sort_by(|a, b| a.partition.cmp(&b.partition));
    for keys in recorded.chunk_by(|a, b| a.partition == b.partition) {
        for removals in keys.chunks(MAX_BATCH_ENTRIES) {
            let call = StoreCall::Commit(Transaction {
                removals: removals.to_vec(),
                ..Transaction::default()
            });
            if let Err(error) = ports.store.call(&call, CALL_TIMEOUT).await {
                tracing::warn!(%error,
                    "cannot remove inbox entries that are recorded; the next read of the inboxes finds them again");
            }
        }
    }
}

/// Forwards the queues and client accounts of each new configuration.
pub(super) async fn forward_policies(
    mut policies: watch::Receiver<EnginePolicies>,
    owner: ActorRef<WorkflowOwner>,
) {
    loop {
        let current = policies.borrow_and_update().clone();
        if owner.tell(Event::Policies(current)).await.is_err() {
            return;
        }
        if policies.changed().await.is_err() {
            return;
        }
    }
}
