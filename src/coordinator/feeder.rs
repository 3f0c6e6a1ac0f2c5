//! Tells an owner of changes: of workers, of what other VMs hand over, and of queues.

use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::sync::{oneshot, watch};

use super::event::Event;
use super::fenced_writer::MAX_ENTRIES;
use super::owner::{WorkflowOwner, WorkflowOwnerPorts};
use super::reader::{self, CALL_TIMEOUT, InboxRecord};
use super::shards::{ShardId, ShardMap};
use crate::port::record_store::{RecordKey, StoreCall, StoreError, Transaction};
use crate::workflow::QueuePolicy;

/// How long the feed of workers waits for a change. A connection that has gone silent is noticed
/// after this and the timeout of the call, within the 5 s in which an owner that was cut off has to
/// know of workers that leave.
const WORKERS_WAIT: Duration = Duration::from_millis(1_500);

/// Between two looks for what VMs wrote that did not reach the owner; with the 300 ms of a slow
/// call it stays within the 3 s in which a cancellation has to take effect.
const HANDOVERS_INTERVAL: Duration = Duration::from_secs(1);

/// Between two such looks while handovers are likely: after a change of owners or a handover.
const HANDOVERS_SOON: Duration = Duration::from_millis(200);

/// How long handovers are likely: VMs hear of a new owner within several pings.
const HANDOVERS_LIKELY: Duration = Duration::from_secs(3);

/// The list of workers is read as a whole so often, beside its feed: a worker that leaves has to be
/// known within the 2 s after which no task may start there.
const WHOLE_INTERVAL: Duration = Duration::from_millis(1_500);

/// After a feed failed it is read again after so long.
const FEED_RETRY: Duration = Duration::from_millis(200);

/// Repeats a read until it succeeds.
pub(super) async fn retry<T, F>(read: impl Fn() -> F) -> T
where
    F: Future<Output = Result<T, StoreError>>,
{
    loop {
        match read().await {
            Ok(found) => return found,
            Err(error) => {
                tracing::warn!(%error, "a read of a new owner is repeated");
                tokio::time::sleep(FEED_RETRY).await;
            }
        }
    }
}

/// Tells the owner of changes to the workers of its shard.
pub(super) async fn feed_workers(
    ports: WorkflowOwnerPorts,
    shard: ShardId,
    map: ShardMap,
    owner: ActorRef<WorkflowOwner>,
    version: u64,
) {
    let mut version = Some(version);
    let mut whole_at = ports.clock.now();
    loop {
        // A feed whose history is cut may have passed over changes.
        if ports.clock.now().since(whole_at) >= WHOLE_INTERVAL {
            version = None;
        }
        match ports.feeds.workers(version, WORKERS_WAIT).await {
            Ok(mut news) => {
                news.items
                    .retain(|change| map.of_worker(change.worker()) == shard);
                version = Some(news.version);
                if news.is_snapshot {
                    whole_at = ports.clock.now();
                }
                let changed = news.is_snapshot || !news.items.is_empty();
                if changed && owner.tell(Event::Workers(news)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::warn!(%error, version, "the list of workers cannot be read");
                tokio::time::sleep(FEED_RETRY).await;
            }
        }
    }
}

/// Tells the owner of handovers, first of those that its VM has `read` already, and removes those that
/// the owner has recorded.
pub(super) async fn feed_handovers(
    ports: WorkflowOwnerPorts,
    shard: ShardId,
    owner: ActorRef<WorkflowOwner>,
    read: Vec<InboxRecord>,
) {
    let mut handovers = read;
    let mut likely_until = ports.clock.now() + HANDOVERS_LIKELY;
    loop {
        if !handovers.is_empty() {
            likely_until = ports.clock.now() + HANDOVERS_LIKELY;
            let (tx, rx) = oneshot::channel();
            let told = owner.tell(Event::InboxEntries(handovers, tx)).await;
            let (Ok(()), Ok(settled)) = (told, rx.await) else {
                return;
            };
            remove_settled(&ports, settled).await;
        }
        let likely = ports.clock.now() < likely_until;
        let pause = if likely {
            HANDOVERS_SOON
        } else {
            HANDOVERS_INTERVAL
        };
        tokio::time::sleep(pause).await;
        handovers = reader::read_handovers(&ports.records, shard).await;
    }
}

/// Removes handovers whose effect is recorded; those that stay are found again.
async fn remove_settled(ports: &WorkflowOwnerPorts, mut settled: Vec<RecordKey>) {
    settled.sort_by(|a, b| a.partition.cmp(&b.partition));
    for of_inbox in settled.chunk_by(|a, b| a.partition == b.partition) {
        for removals in of_inbox.chunks(MAX_ENTRIES) {
            let call = StoreCall::Commit(Transaction {
                removals: removals.to_vec(),
                ..Transaction::default()
            });
            if let Err(error) = ports.records.call(&call, CALL_TIMEOUT).await {
                tracing::warn!(%error, "handovers that are recorded cannot be removed now");
            }
        }
    }
}

/// Tells the owner of the queues of each configuration.
pub(super) async fn feed_queues(
    mut queues: watch::Receiver<Vec<QueuePolicy>>,
    owner: ActorRef<WorkflowOwner>,
) {
    loop {
        let current = queues.borrow_and_update().clone();
        if owner.tell(Event::Queues(current)).await.is_err() {
            return;
        }
        if queues.changed().await.is_err() {
            return;
        }
    }
}
