//! Commits the owner's batches, each on the condition that the process still owns the shard.

use std::time::Duration;

use serde::Serialize;

use super::layout::{self, OwnerRecord};
use super::reader::{self, CALL_TIMEOUT};
use super::shards::ShardId;
use crate::model::Time;
use crate::node::clock::Clock;
use crate::port::record_store::{
    Record, RecordKey, SharedRecordStore, StoreCall, StoreError, StoreReply, Transaction,
};
use crate::workflow::record::{self, WorkflowRecord};
use crate::workflow::recorded::CommittedWrite;
use crate::workflow::{BatchLimits, CommitBatch, WorkflowId};

/// The delay before a transaction is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of entries of a batch. A transaction holds at most 100, of which the owner record
/// takes two.
pub(super) const MAX_BATCH_ENTRIES: usize = 98;

/// The maximum size of the records in a transaction, which is limited to 1 MB.
pub(super) const MAX_BATCH_BYTES: usize = 800_000;

/// The limits of a batch.
pub(super) const BATCH_LIMITS: BatchLimits = BatchLimits {
    entries: MAX_BATCH_ENTRIES,
    bytes: MAX_BATCH_BYTES,
};

/// How often a transaction is sent that the store did not apply. Two tries bridge a short disturbance
/// without refusing workflows; a longer one is detected within a quarter of the shortest latency
/// objective of 250 ms.
const MAX_TRIES_NOT_DONE: u32 = 2;

/// Why a batch is not committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum WriteError {
    /// Another process owns the shard.
    #[error("another process owns the shard")]
    Fenced,
    /// The store did not apply the transaction, and will not apply it later.
    #[error("the store did not take the transaction")]
    NotDone,
    /// The store will never apply this batch: it rejected the batch and then applied a transaction
    /// without it, which was sent at `sent_at`.
    #[error("the store rejects the batch")]
    Rejected { sent_at: Time },
}

/// The outcome of a committed batch.
#[derive(Debug)]
pub(super) struct WriteOutcome {
    /// The transaction that took effect.
    pub(super) write: CommittedWrite,
    /// Workflows of the batch that were in the store already; their records are not overwritten.
    pub(super) existing: Vec<(WorkflowId, WorkflowRecord)>,
    /// When the first try was sent that may have taken effect.
    pub(super) sent_at: Time,
}

/// Receives the results of store calls.
pub(super) trait StoreObserver: Send + Sync {
    /// Called when a call fails; the transaction may be retried.
    fn on_failure(&self, error: &StoreError);
    /// Called when a call succeeds.
    fn on_success(&self);
}

/// Commits the batches of a shard's owner, one at a time.
#[derive(Debug, Clone)]
pub(super) struct FencedWriter {
    shard: ShardId,
    pub(super) owner: OwnerRecord,
    /// The version of the owner record that each transaction expects.
    version: u64,
    clock: Clock,
}

impl FencedWriter {
    /// Claims the shard: writes `owner` if the owner record still has `version`, or 0 if there is none.
    /// Returns `None` if another process has claimed the shard.
    pub(super) async fn claim(
        store: &SharedRecordStore,
        shard: ShardId,
        owner: OwnerRecord,
        version: u64,
        clock: Clock,
    ) -> Result<Option<Self>, StoreError> {
        let transaction = Transaction {
            expected: vec![(layout::owner_key(shard), version)],
            puts: vec![(layout::owner_key(shard), encode_owner(&owner)?)],
            removals: Vec::new(),
        };
        let call = StoreCall::Commit(transaction);
        match store.call(&call, CALL_TIMEOUT).await {
            Ok(StoreReply::Committed { version }) => Ok(Some(Self {
                shard,
                owner,
                version,
                clock,
            })),
            Ok(_) | Err(StoreError::Unknown(_)) => {
                let found = reader::read_owner(store, shard).await?;
                // The record of an earlier epoch of this process does not show that the claim took
                // effect.
                let is_own = |found: &OwnerRecord| {
                    found.is_same_process(&owner) && found.epoch == owner.epoch
                };
                let own = found.filter(|(found, _)| is_own(found));
                Ok(own.map(|(owner, version)| Self {
                    shard,
                    owner,
                    version,
                    clock,
                }))
            }
            Err(error) => Err(error),
        }
    }

    /// Commits a batch. Retries until the outcome is known and gives up only if the store certainly did
    /// not apply the batch.
    ///
    /// A transaction without a response is retried with the same conditions. Each commit changes the
    /// owner record and so invalidates them; hence the transaction takes effect only once.
    pub(super) async fn commit(
        &mut self,
        store: &SharedRecordStore,
        batch: &CommitBatch,
        released: bool,
        observer: &dyn StoreObserver,
    ) -> Result<WriteOutcome, WriteError> {
        let first_sent_at = self.clock.now();
        self.owner.transaction += 1;
        let mut outcome = WriteOutcome {
            write: CommittedWrite::new(self.owner.transaction),
            existing: Vec::new(),
            sent_at: first_sent_at,
        };
        self.owner.released = released;
        let heartbeat = CommitBatch::default();
        // The number of the rejected transaction. After a rejection the owner record is written
        // alone, which shows whether the batch was the reason.
        let mut rejected = None;
        let mut failures = 0;
        // Whether a transaction of this batch may still take effect.
        let mut outcome_unknown = false;
        loop {
            let contents = if rejected.is_some() {
                &heartbeat
            } else {
                batch
            };
            let transaction = match self.transaction(contents, &outcome) {
                Ok(transaction) => transaction,
                Err(error) if rejected.is_none() => {
                    tracing::error!(%error, "cannot encode a batch of workflow changes");
                    rejected = Some(self.owner.transaction);
                    self.owner.transaction += 1;
                    continue;
                }
                Err(error) => {
                    tracing::error!(%error, "cannot encode the record of a shard's owner");
                    return Err(WriteError::NotDone);
                }
            };
            let call = StoreCall::Commit(transaction);
            outcome.sent_at = self.clock.now();
            match store.call(&call, CALL_TIMEOUT).await {
                Ok(StoreReply::Committed { version }) => {
                    self.version = version;
                    observer.on_success();
                    if rejected.is_some() {
                        let sent_at = outcome.sent_at;
                        return Err(WriteError::Rejected { sent_at });
                    }
                    return Ok(outcome);
                }
                Ok(StoreReply::Conflict { records }) => {
                    observer.on_success();
                    outcome_unknown = false;
                    let applied = self.resolve_conflict(&records, rejected, &mut outcome)?;
                    if applied.is_some() {
                        // It is not known which try took effect.
                        outcome.sent_at = first_sent_at;
                    }
                    match applied {
                        Some(number) if Some(number) == rejected || rejected.is_none() => {
                            return Ok(outcome);
                        }
                        Some(_) => {
                            let sent_at = outcome.sent_at;
                            return Err(WriteError::Rejected { sent_at });
                        }
                        None => {}
                    }
                }
                Ok(other) => {
                    tracing::error!(
                        ?other,
                        "unexpected response of the store to a transaction; it is retried"
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(StoreError::Rejected(reason)) if rejected.is_none() && !batch.is_empty() => {
                    tracing::error!(
                        reason,
                        "the store rejects a batch of workflow changes; isolating the cause"
                    );
                    rejected = Some(self.owner.transaction);
                    self.owner.transaction += 1;
                }
                Err(error) => {
                    observer.on_failure(&error);
                    failures += 1;
                    outcome_unknown |= matches!(error, StoreError::Unknown(_));
                    if !outcome_unknown && failures >= MAX_TRIES_NOT_DONE {
                        return Err(WriteError::NotDone);
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Resolves a conflict. Returns the number of the current transaction, or of the `rejected` one
    /// before it, if a try of it took effect; otherwise the transaction has to be retried with the
    /// updated version and without the existing workflows.
    fn resolve_conflict(
        &mut self,
        records: &[Record],
        rejected: Option<u64>,
        outcome: &mut WriteOutcome,
    ) -> Result<Option<u64>, WriteError> {
        let key = layout::owner_key(self.shard);
        let record = records.iter().find(|record| record.key == key);
        let found = record.and_then(|record| Some((reader::decode_owner(record)?, record.version)));
        let Some((found, version)) = found else {
            return Err(WriteError::Fenced);
        };
        if !found.is_same_process(&self.owner) || found.epoch != self.owner.epoch {
            return Err(WriteError::Fenced);
        }
        self.version = version;
        if found.transaction == self.owner.transaction || Some(found.transaction) == rejected {
            return Ok(Some(found.transaction));
        }
        for record in records
            .iter()
            .filter(|record| record.key.table == layout::WORKFLOWS)
        {
            let id = layout::workflow_id_of(&record.key);
            if let (Ok(id), Some(record)) = (id, reader::decode::<WorkflowRecord>(record)) {
                outcome.existing.push((id, record));
            }
        }
        Ok(None)
    }

    fn transaction(
        &self,
        batch: &CommitBatch,
        outcome: &WriteOutcome,
    ) -> Result<Transaction, StoreError> {
        let shard = self.shard;
        let mut transaction = Transaction {
            expected: vec![(layout::owner_key(shard), self.version)],
            puts: vec![(layout::owner_key(shard), encode_owner(&self.owner)?)],
            removals: Vec::new(),
        };
        let exists = |id: &WorkflowId| outcome.existing.iter().any(|(known, _)| known == id);
        for (id, record) in batch.added.iter().filter(|(id, _)| !exists(id)) {
            transaction
                .expected
                .push((layout::workflow_key(shard, *id), 0));
            put(&mut transaction, layout::workflow_key(shard, *id), record)?;
        }
        for (id, part, progress) in &batch.progress {
            let key = layout::progress_key(shard, *id, *part);
            put(&mut transaction, key, progress)?;
        }
        for (id, status) in &batch.ended {
            let record = status.ended_record();
            put(&mut transaction, layout::workflow_key(shard, *id), &record)?;
            transaction
                .removals
                .push(layout::progress_key(shard, *id, 0));
        }
        for (id, part) in &batch.obsolete {
            let key = layout::progress_key(shard, *id, *part);
            transaction.removals.push(key);
        }
        for (part, workers) in &batch.workers {
            let key = layout::workers_key(shard, *part);
            if workers.is_empty() {
                transaction.removals.push(key);
            } else {
                put(&mut transaction, key, workers)?;
            }
        }
        for (worker, assignment) in &batch.assignments {
            let key = layout::assignment_key(shard, worker);
            put(&mut transaction, key, &(worker, assignment))?;
        }
        Ok(transaction)
    }
}

fn put<T: Serialize>(
    transaction: &mut Transaction,
    key: RecordKey,
    value: &T,
) -> Result<(), StoreError> {
    transaction.puts.push((key, encode(value)?));
    Ok(())
}

fn encode_owner(owner: &OwnerRecord) -> Result<Vec<u8>, StoreError> {
    owner
        .encode()
        .map_err(|error| StoreError::Rejected(error.to_string()))
}

pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    record::encode(value).map_err(|error| StoreError::Rejected(error.to_string()))
}
