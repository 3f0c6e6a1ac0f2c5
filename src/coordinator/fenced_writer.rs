//! Transactions of the owner, each of which proves that it still is the owner.

use std::time::Duration;

use serde::Serialize;

use super::layout::{self, OwnerRecord};
use super::reader::{self, CALL_TIMEOUT};
use super::shards::ShardId;
use crate::port::record_store::{
    Record, RecordKey, SharedRecordStore, StoreCall, StoreError, StoreReply, Transaction,
};
use crate::workflow::record::{self, WorkflowRecord};
use crate::workflow::{CommitBatch, WorkflowId};

/// Before a transaction without a result is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The most entries of a batch: a transaction holds at most 100, of which the owner's record takes two
/// and the list of workers one.
pub(super) const MAX_ENTRIES: usize = 97;

/// How often a transaction that the store did not take is sent, so that a short disturbance refuses
/// nothing and a longer one is noticed within a quarter of the shortest objective of 250 ms.
const TRIES_NOT_DONE: u32 = 2;

/// Why a batch is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum WriteError {
    /// The process no longer owns the shard.
    #[error("another process owns the shard")]
    Fenced,
    /// The store did nothing, and will not.
    #[error("the store did not take the transaction")]
    NotDone,
}

/// What a batch met that is recorded now.
#[derive(Debug, Default)]
pub(super) struct WriteOutcome {
    /// New workflows that had a record already.
    pub(super) existing: Vec<(WorkflowId, WorkflowRecord)>,
}

/// Tells how the store serves the owner.
pub(super) trait StoreObserver: Send + Sync {
    /// A call failed; the transaction is repeated.
    fn failed(&self, error: &StoreError);
    /// A call succeeded.
    fn succeeded(&self);
}

/// Writes batches, one at a time.
#[derive(Debug, Clone)]
pub(super) struct FencedWriter {
    shard: ShardId,
    pub(super) owner: OwnerRecord,
    /// The version of the owner's record.
    version: u64,
}

impl FencedWriter {
    /// Tries to make `owner` the owner of the shard after the record of `version`, with 0 for none; `None` where
    /// another process was faster.
    pub(super) async fn claim(
        records: &SharedRecordStore,
        shard: ShardId,
        owner: OwnerRecord,
        version: u64,
    ) -> Result<Option<Self>, StoreError> {
        let transaction = Transaction {
            expected: vec![(layout::owner_key(shard), version)],
            puts: vec![(layout::owner_key(shard), encode(&owner)?)],
            removals: Vec::new(),
        };
        let call = StoreCall::Commit(transaction);
        match records.call(&call, CALL_TIMEOUT).await {
            Ok(StoreReply::Committed { version }) => Ok(Some(Self {
                shard,
                owner,
                version,
            })),
            Ok(_) | Err(StoreError::Unknown(_)) => {
                let found = reader::read_owner(records, shard).await?;
                let own = found.filter(|(found, _)| found.is_same_process(&owner));
                Ok(own.map(|(owner, version)| Self {
                    shard,
                    owner,
                    version,
                }))
            }
            Err(error) => Err(error),
        }
    }

    /// Records a batch, however long that takes, unless it is certain that the store does not take
    /// it.
    ///
    /// A transaction without an answer is repeated with the same conditions, of which each change of
    /// the owner's record makes an end; so it takes effect once.
    pub(super) async fn record(
        &mut self,
        records: &SharedRecordStore,
        batch: &CommitBatch,
        released: bool,
        watch: &dyn StoreObserver,
    ) -> Result<WriteOutcome, WriteError> {
        let mut recording = WriteOutcome::default();
        self.owner.transaction += 1;
        self.owner.released = released;
        let mut not_done = 0;
        // Whether a transaction of this batch may still take effect.
        let mut open = false;
        loop {
            let transaction = match self.transaction(batch, &recording) {
                Ok(transaction) => transaction,
                Err(error) => {
                    tracing::error!(%error, "a batch cannot be encoded");
                    return Ok(recording);
                }
            };
            let call = StoreCall::Commit(transaction);
            match records.call(&call, CALL_TIMEOUT).await {
                Ok(StoreReply::Committed { version }) => {
                    self.version = version;
                    watch.succeeded();
                    return Ok(recording);
                }
                Ok(StoreReply::Conflict { records }) => {
                    watch.succeeded();
                    open = false;
                    if self.resolve(&records, &mut recording)? {
                        return Ok(recording);
                    }
                }
                Ok(other) => {
                    tracing::error!(
                        ?other,
                        "the store answered a transaction with something else"
                    );
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Err(error) => {
                    watch.failed(&error);
                    not_done += 1;
                    open |= !matches!(error, StoreError::NotDone(_));
                    if !open && not_done >= TRIES_NOT_DONE {
                        return Err(WriteError::NotDone);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Reads from a conflict what happened: true where the transaction took effect before.
    fn resolve(
        &mut self,
        rows: &[Record],
        recording: &mut WriteOutcome,
    ) -> Result<bool, WriteError> {
        let key = layout::owner_key(self.shard);
        let row = rows.iter().find(|row| row.key == key);
        let found = row.and_then(|row| Some((reader::decode::<OwnerRecord>(row)?, row.version)));
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
        for row in rows.iter().filter(|row| row.key.table == layout::WORKFLOWS) {
            let id = layout::workflow_of(&row.key);
            if let (Ok(id), Some(record)) = (id, reader::decode::<WorkflowRecord>(row)) {
                recording.existing.push((id, record));
            }
        }
        Ok(false)
    }

    fn transaction(
        &self,
        batch: &CommitBatch,
        recording: &WriteOutcome,
    ) -> Result<Transaction, StoreError> {
        let shard = self.shard;
        let mut transaction = Transaction {
            expected: vec![(layout::owner_key(shard), self.version)],
            puts: vec![(layout::owner_key(shard), encode(&self.owner)?)],
            removals: Vec::new(),
        };
        let exists = |id: &WorkflowId| recording.existing.iter().any(|(known, _)| known == id);
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
