//! Reads and writes the records of the shares of accounts' limits for the owner of a shard.

use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::sync::{oneshot, watch};

use super::event::{Event, LimitShareEvent};
use super::limit_share_record::{PARTITION, TABLE};
use super::owner::{WorkflowOwner, WorkflowOwnerPorts};
use super::reader::{self, CALL_TIMEOUT};
use crate::model::{Resources, Time};
use crate::port::record_store::{Record, StoreCall, StoreError, StoreReply, Transaction};
use crate::workflow::EnginePolicies;

/// How long a read of the changes waits for one.
const CHANGES_WAIT_MS: u32 = 1_500;

/// The interval between two full reads, in addition to the changes, whose history may be truncated.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(5);

/// The minimum interval between two reads of changes, and between two decisions. A share moves in three
/// writes: one owner asks for it, one gives it up, one takes it. With a slow store of 300 ms per call
/// this takes less than the 2 s in which an account with work in one shard gets its whole limit, and an
/// owner makes at most five writes per second for any number of accounts.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// The delay before a failed read or write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum delay before a write is repeated that another owner's write preceded, for each such conflict
/// in sequence up to the maximum interval. It is random, so that owners who write at the same time do not
/// do so again; one of them succeeds each time.
const CONFLICT_DELAY: Duration = Duration::from_millis(40);

/// Waits until an account has a limit; false if the process stops.
async fn wait_for_limits(policies: &mut watch::Receiver<EnginePolicies>) -> bool {
    let has_limits = |policies: &EnginePolicies| {
        let mut accounts = policies.accounts.iter().flatten();
        accounts.any(|account| account.limit != Resources::default())
    };
    policies.wait_for(has_limits).await.is_ok()
}

/// Forwards the records and their changes to the owner.
pub(super) async fn forward_records(
    ports: WorkflowOwnerPorts,
    owner: ActorRef<WorkflowOwner>,
    mut policies: watch::Receiver<EnginePolicies>,
) {
    let mut last = None;
    while wait_for_limits(&mut policies).await {
        match read(&ports, &mut last).await {
            Ok((records, complete)) => {
                let event = LimitShareEvent::Records(records, complete);
                if owner.tell(Event::LimitShares(event)).await.is_err() {
                    return;
                }
                tokio::time::sleep(MIN_INTERVAL).await;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot read the shares of accounts' limits; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// What the last full read and the changes since then have returned.
struct LastRead {
    full_at: Time,
    version: u64,
}

/// Waits for changes since the last read, or reads all records if that is due. Returns the records and
/// whether these are all.
async fn read(
    ports: &WorkflowOwnerPorts,
    last: &mut Option<LastRead>,
) -> Result<(Vec<Record>, bool), StoreError> {
    let now = ports.clock.now();
    let recent = last.as_mut();
    let recent = recent.filter(|last| now.since(last.full_at) < FULL_READ_INTERVAL);
    if let Some(recent) = recent {
        let call = StoreCall::Changes {
            table: TABLE.to_owned(),
            after: recent.version,
            wait_ms: CHANGES_WAIT_MS,
        };
        if let StoreReply::Records {
            records,
            truncated,
            version,
        } = ports.store.call(&call, CALL_TIMEOUT).await?
        {
            // The rest of a truncated reply comes after its last record.
            let last_record = records.last().map(|record| record.version);
            recent.version = last_record.filter(|_| truncated).unwrap_or(version);
            return Ok((records, false));
        }
    }
    let (records, version) = reader::scan_with_version(&ports.store, TABLE, PARTITION).await?;
    *last = Some(LastRead {
        full_at: now,
        version,
    });
    Ok((records, true))
}

/// Asks the owner to decide about the shares in intervals, and writes what it changes.
pub(super) async fn write_changes(
    ports: WorkflowOwnerPorts,
    owner: ActorRef<WorkflowOwner>,
    mut policies: watch::Receiver<EnginePolicies>,
) {
    let mut conflicts = 0;
    while wait_for_limits(&mut policies).await {
        let (tx, rx) = oneshot::channel();
        let event = LimitShareEvent::Decide(tx);
        if owner.tell(Event::LimitShares(event)).await.is_err() {
            return;
        }
        // The owner drops the channel if its ownership has ended.
        let Ok((write, is_fencing)) = rx.await else {
            return;
        };
        let Some(transaction) = write else {
            tokio::time::sleep(MIN_INTERVAL).await;
            continue;
        };
        let result = write_once(&ports, transaction).await;
        let is_conflict = matches!(result, Ok(StoreReply::Conflict { .. }));
        conflicts = if is_conflict { conflicts + 1 } else { 0 };
        let delay = match &result {
            // Nothing of the remaining accounts may start before.
            Ok(StoreReply::Committed { .. }) if is_fencing => Duration::ZERO,
            Ok(StoreReply::Conflict { .. }) => {
                let max = CONFLICT_DELAY.saturating_mul(conflicts).min(MIN_INTERVAL);
                max.mul_f64(rand::random())
            }
            Ok(_) => MIN_INTERVAL,
            Err(_) => RETRY_DELAY,
        };
        let event = LimitShareEvent::Written(result);
        if owner.tell(Event::LimitShares(event)).await.is_err() {
            return;
        }
        tokio::time::sleep(delay).await;
    }
}

async fn write_once(
    ports: &WorkflowOwnerPorts,
    transaction: Transaction,
) -> Result<StoreReply, StoreError> {
    let call = StoreCall::Commit(transaction);
    let result = ports.store.call(&call, CALL_TIMEOUT).await;
    if let Err(error) = &result {
        tracing::warn!(%error,
            "cannot write shares of accounts' limits; using the lower of the old and the new ones until it is known");
    }
    result
}
