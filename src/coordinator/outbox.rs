//! Writes inbox entries for owners to the store, several in one transaction.
//!
//! While an owner is unreachable, each VM writes the requests of its callers to the owner's inboxes.
//! One transaction per entry would exceed the rate limit of the store, so entries that arrive while a
//! transaction is in flight are batched into the next one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::fenced_writer::{MAX_BATCH_BYTES, encode};
use super::layout::{self, InboxEntry};
use super::reader::CALL_TIMEOUT;
use super::shards::ShardId;
use crate::model::VmName;
use crate::port::record_store::{
    SharedRecordStore, StoreCall, StoreError, StoreReply, Transaction,
};
use crate::workflow::WorkflowId;
use crate::workflow::record::{self, text_len};

/// The maximum number of entries in one transaction.
const MAX_ENTRIES: usize = 48;

/// The delay before each transaction, in which entries accumulate. With it, seven VMs with one
/// transaction in flight each stay below the 200 transactions per second that a partition accepts.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// An entry that is not written yet, with the channel for the result.
struct PendingEntry {
    id: WorkflowId,
    entry: InboxEntry,
    tx: oneshot::Sender<Result<(), StoreError>>,
}

/// The entries for one shard's owner.
#[derive(Default)]
struct ShardQueue {
    entries: Vec<PendingEntry>,
    /// Whether a task is writing the entries.
    writing: bool,
}

/// The number of entries, at least one, that fit in one transaction.
fn batch_len(entries: &[PendingEntry]) -> usize {
    let mut bytes = 0;
    let fits = |pending: &&PendingEntry| {
        // An entry that cannot be encoded is found when the transaction is.
        let len = record::encoded_len(&pending.entry).unwrap_or(0);
        bytes += text_len(len);
        bytes <= MAX_BATCH_BYTES
    };
    let count = entries.iter().take(MAX_ENTRIES).take_while(fits).count();
    count.max(1).min(entries.len())
}

/// Writes inbox entries.
#[derive(Clone)]
pub(super) struct Outbox {
    /// The number of the inbox that this VM tries first.
    first_inbox: u16,
    store: SharedRecordStore,
    queues: Arc<Mutex<HashMap<ShardId, ShardQueue>>>,
}

impl Outbox {
    /// The outbox of a VM; different VMs start with different inboxes.
    pub(super) fn new(vm: &VmName, store: SharedRecordStore) -> Self {
        let first_inbox = xxh3_64(vm.as_str().as_bytes()) % u64::from(layout::INBOXES_PER_SHARD);
        Self {
            first_inbox: u16::try_from(first_inbox).unwrap_or(0),
            store,
            queues: Arc::default(),
        }
    }

    /// Writes an entry to an inbox of the shard.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store, and [`StoreError::Unknown`] if the transaction is still in
    /// flight after `timeout`.
    pub(super) async fn write(
        &self,
        shard: ShardId,
        id: WorkflowId,
        entry: InboxEntry,
        timeout: Duration,
    ) -> Result<(), StoreError> {
        let (tx, rx) = oneshot::channel();
        let start_writing = {
            let mut queues = self.lock();
            let queue = queues.entry(shard).or_default();
            queue.entries.push(PendingEntry { id, entry, tx });
            !std::mem::replace(&mut queue.writing, true)
        };
        if start_writing {
            tokio::spawn(self.clone().write_all(shard));
        }
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(StoreError::Unknown("the process ends".to_owned())),
            Err(_) => Err(StoreError::Unknown("no result in time".to_owned())),
        }
    }

    /// Writes the queued entries of the shard, batch by batch, until the queue is empty.
    async fn write_all(self, shard: ShardId) {
        loop {
            tokio::time::sleep(BATCH_DELAY).await;
            let entries = {
                let mut queues = self.lock();
                let queue = queues.entry(shard).or_default();
                // Entries whose callers have timed out before the write are dropped.
                queue.entries.retain(|entry| !entry.tx.is_closed());
                let count = batch_len(&queue.entries);
                let entries: Vec<PendingEntry> = queue.entries.drain(..count).collect();
                queue.writing = !entries.is_empty();
                entries
            };
            if entries.is_empty() {
                return;
            }
            let result = self.write_entries(shard, &entries).await;
            tracing::info!(
                shard = shard.0,
                rows = entries.len(),
                ?result,
                "a write of entries to an inbox of the shard is finished"
            );
            if matches!(result, Err(StoreError::Rejected(_))) && entries.len() > 1 {
                self.write_one_by_one(shard, entries).await;
                continue;
            }
            for entry in entries {
                // The receiver may have timed out.
                let _ = entry.tx.send(result.clone());
            }
        }
    }

    /// Writes the entries of a rejected transaction, of which one may be the reason, in a transaction
    /// each.
    async fn write_one_by_one(&self, shard: ShardId, entries: Vec<PendingEntry>) {
        for entry in entries {
            let result = self
                .write_entries(shard, std::slice::from_ref(&entry))
                .await;
            if let Err(error) = &result {
                tracing::error!(request = %entry.id, %error,
                    "the store does not take an inbox entry of a rejected transaction");
            }
            // The receiver may have timed out.
            let _ = entry.tx.send(result);
        }
    }

    /// Writes the entries to the first inbox that accepts them.
    async fn write_entries(
        &self,
        shard: ShardId,
        entries: &[PendingEntry],
    ) -> Result<(), StoreError> {
        let mut result = Err(StoreError::NotDone("there is no inbox".to_owned()));
        for offset in 0..layout::INBOXES_PER_SHARD {
            let inbox = layout::inbox_partition(
                shard,
                (self.first_inbox + offset) % layout::INBOXES_PER_SHARD,
            );
            result = self.write_to(&inbox, entries).await;
            if !matches!(result, Err(StoreError::NotDone(_))) {
                return result;
            }
        }
        result
    }

    async fn write_to(&self, inbox: &str, entries: &[PendingEntry]) -> Result<(), StoreError> {
        let put = |pending: &PendingEntry| {
            let key = layout::inbox_entry_key(inbox, pending.id, &pending.entry);
            Ok((key, encode(&pending.entry)?))
        };
        let puts: Result<Vec<_>, StoreError> = entries.iter().map(put).collect();
        let call = StoreCall::Commit(Transaction {
            puts: puts?,
            ..Transaction::default()
        });
        match self.store.call(&call, CALL_TIMEOUT).await? {
            StoreReply::Committed { .. } => Ok(()),
            other => Err(StoreError::Unknown(format!(
                "an unexpected reply: {other:?}"
            ))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ShardId, ShardQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
