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
use crate::workflow::{CommitBatch, WorkflowId};

/// The delay before a transaction is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of entries of a batch. A transaction holds at most 100, of which the owner record
/// takes two and the list of workers one.
pub(super) const MAX_BATCH_ENTRIES: usize = 97;

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
}

/// The outcome of a committed batch.
#[derive(Debug)]
pub(super) struct WriteOutcome {
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
            puts: vec![(layout::owner_key(shard), encode(&owner)?)],
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
        let mut outcome = WriteOutcome {
            existing: Vec::new(),
            sent_at: first_sent_at,
        };
        self.owner.transaction += 1;
        self.owner.released = released;
        let mut failures = 0;
        // Whether a transaction of this batch may still take effect.
        let mut outcome_unknown = false;
        loop {
            let transaction = match self.transaction(batch, &outcome) {
                Ok(transaction) => transaction,
                Err(error) => {
                    tracing::error!(%error,
                        "cannot encode a batch of workflow changes; the batch is dropped");
                    return Ok(outcome);
                }
            };
            let call = StoreCall::Commit(transaction);
            outcome.sent_at = self.clock.now();
            match store.call(&call, CALL_TIMEOUT).await {
                Ok(StoreReply::Committed { version }) => {
                    self.version = version;
                    observer.on_success();
                    return Ok(outcome);
                }
                Ok(StoreReply::Conflict { records }) => {
                    observer.on_success();
                    outcome_unknown = false;
                    if self.resolve_conflict(&records, &mut outcome)? {
                        // It is not known which try took effect.
                        outcome.sent_at = first_sent_at;
                        return Ok(outcome);
                    }
                }
                Ok(other) => {
                    tracing::error!(
                        ?other,
                        "unexpected response of the store to a transaction; it is retried"
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(error) => {
                    observer.on_failure(&error);
                    failures += 1;
                    outcome_unknown |= !matches!(error, StoreError::NotDone(_));
                    if !outcome_unknown && failures >= MAX_TRIES_NOT_DONE {
                        return Err(WriteError::NotDone);
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Resolves a conflict: true if an earlier try of the transaction took effect, false if it has to be
    /// retried with the updated version and without the existing workflows.
    fn resolve_conflict(
        &mut self,
        records: &[Record],
        outcome: &mut WriteOutcome,
    ) -> Result<bool, WriteError> {
        let key = layout::owner_key(self.shard);
        let record = records.iter().find(|record| record.key == key);
        let found = record
            .and_then(|record| Some((reader::decode::<OwnerRecord>(record)?, record.version)));
        let Some((found, version)) = found else {
            return Err(WriteError::Fenced);
        };
        if !found.is_same_process(&self.owner) || found.epoch != self.owner.epoch {
            return Err(WriteError::Fenced);
        }
        if found.transaction == self.owner.transaction {
            self.version = version;
            return Ok(true);
        }
        self.version = version;
        for record in records
            .iter()
            .filter(|record| record.key.table == layout::WORKFLOWS)
        {
            let id = layout::workflow_id_of(&record.key);
            if let (Ok(id), Some(record)) = (id, reader::decode::<WorkflowRecord>(record)) {
                outcome.existing.push((id, record));
            }
        }
        Ok(false)
    }

    fn transaction(
        &self,
        batch: &CommitBatch,
        outcome: &WriteOutcome,
    ) -> Result<Transaction, StoreError> {
        let shard = self.shard;
        let mut transaction = Transaction {
            expected: vec![(layout::owner_key(shard), self.version)],
            puts: vec![(layout::owner_key(shard), encode(&self.owner)?)],
            removals: Vec::new(),
        };
        let exists = |id: &WorkflowId| outcome.existing.iter().any(|(known, _)| known == id);
        for (id, record) in batch.added.iter().filter(|(id, _)| !exists(id)) {
            transaction
                .expected
                .push((layout::workflow_key(shard, *id), 0));
            put(&mut transaction, layout::workflow_key(shard, *id), record)?;
        }
        for (id, progress) in &batch.progress {
            put(&mut transaction, layout::progress_key(shard, *id), progress)?;
        }
        for (id, state) in &batch.ended {
            let record = WorkflowRecord::Ended(*state);
            put(&mut transaction, layout::workflow_key(shard, *id), &record)?;
            transaction.removals.push(layout::progress_key(shard, *id));
        }
        if let Some(workers) = &batch.workers {
            put(&mut transaction, layout::workers_key(shard), workers)?;
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

pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    record::encode(value).map_err(|error| StoreError::Rejected(error.to_string()))
}
