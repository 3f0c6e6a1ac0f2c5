//! What a VM hands over to owners through the store, several rows in one transaction.
//!
//! While an owner is not reached, each VM writes what its callers send. One transaction a row would be
//! more than the store takes, so rows that come while a transaction is under way go with the next.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::fenced_writer::encode;
use super::layout::{self, InboxEntry};
use super::reader::CALL_TIMEOUT;
use super::shards::ShardId;
use crate::model::VmName;
use crate::port::record_store::{
    SharedRecordStore, StoreCall, StoreError, StoreReply, Transaction,
};
use crate::workflow::WorkflowId;

/// The most rows of one transaction: half of what the store allows, since a workflow takes up to
/// 20 KB of the megabyte that a transaction may hold.
const MAX_ROWS: usize = 48;

/// Before a transaction rows gather for so long; seven VMs with one transaction each under way stay
/// below the 200 transactions a second that a partition takes.
const GATHER: Duration = Duration::from_millis(20);

/// A row that waits, and who waits for it.
struct Waiting {
    id: WorkflowId,
    handover: InboxEntry,
    tx: oneshot::Sender<Result<(), StoreError>>,
}

/// Rows for one shard's owner.
#[derive(Default)]
struct Queue {
    rows: Vec<Waiting>,
    /// Whether a task writes them.
    writing: bool,
}

/// Writes handovers.
#[derive(Clone)]
pub(super) struct Outbox {
    /// The inbox that this VM tries first.
    first: u16,
    records: SharedRecordStore,
    queues: Arc<Mutex<HashMap<ShardId, Queue>>>,
}

impl Outbox {
    /// The outbox of a VM; different VMs begin with different inboxes.
    pub(super) fn new(vm: &VmName, records: SharedRecordStore) -> Self {
        let first = xxh3_64(vm.as_str().as_bytes()) % u64::from(layout::INBOXES);
        Self {
            first: u16::try_from(first).unwrap_or(0),
            records,
            queues: Arc::default(),
        }
    }

    /// Writes a row for the owner of the shard.
    ///
    /// # Errors
    ///
    /// Those of the store; [`StoreError::Unknown`] also where the transaction is still under way
    /// after `limit`.
    pub(super) async fn write(
        &self,
        shard: ShardId,
        id: WorkflowId,
        handover: InboxEntry,
        limit: Duration,
    ) -> Result<(), StoreError> {
        let (tx, rx) = oneshot::channel();
        let begins = {
            let mut queues = self.lock();
            let queue = queues.entry(shard).or_default();
            queue.rows.push(Waiting { id, handover, tx });
            !std::mem::replace(&mut queue.writing, true)
        };
        if begins {
            tokio::spawn(self.clone().write_all(shard));
        }
        match tokio::time::timeout(limit, rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(StoreError::Unknown("the process ends".to_owned())),
            Err(_) => Err(StoreError::Unknown("no result in time".to_owned())),
        }
    }

    /// Writes what waits for the shard's owner until nothing waits.
    async fn write_all(self, shard: ShardId) {
        loop {
            tokio::time::sleep(GATHER).await;
            let rows = {
                let mut queues = self.lock();
                let queue = queues.entry(shard).or_default();
                // Rows whose callers gave up before they were sent are not worth a write.
                queue.rows.retain(|row| !row.tx.is_closed());
                let count = queue.rows.len().min(MAX_ROWS);
                let rows: Vec<Waiting> = queue.rows.drain(..count).collect();
                queue.writing = !rows.is_empty();
                rows
            };
            if rows.is_empty() {
                return;
            }
            let result = self.write_rows(shard, &rows).await;
            tracing::info!(
                shard = shard.0,
                rows = rows.len(),
                ?result,
                "handovers are written"
            );
            for row in rows {
                // A caller that no longer waits needs no answer.
                let _ = row.tx.send(result.clone());
            }
        }
    }

    /// Writes rows to the first inbox that takes them.
    async fn write_rows(&self, shard: ShardId, rows: &[Waiting]) -> Result<(), StoreError> {
        let mut result = Err(StoreError::NotDone("there is no inbox".to_owned()));
        for turn in 0..layout::INBOXES {
            let inbox = layout::inbox(shard, (self.first + turn) % layout::INBOXES);
            result = self.write_to(&inbox, rows).await;
            if !matches!(result, Err(StoreError::NotDone(_))) {
                return result;
            }
        }
        result
    }

    async fn write_to(&self, inbox: &str, rows: &[Waiting]) -> Result<(), StoreError> {
        let put = |row: &Waiting| {
            let key = layout::handover_key(inbox, row.id, &row.handover);
            Ok((key, encode(&row.handover)?))
        };
        let puts: Result<Vec<_>, StoreError> = rows.iter().map(put).collect();
        let call = StoreCall::Commit(Transaction {
            puts: puts?,
            ..Transaction::default()
        });
        match self.records.call(&call, CALL_TIMEOUT).await? {
            StoreReply::Committed { .. } => Ok(()),
            other => Err(StoreError::Unknown(format!(
                "an unexpected reply: {other:?}"
            ))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ShardId, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
