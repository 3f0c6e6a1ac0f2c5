//! Reads of the records of workflows.

use std::time::Duration;

use futures_util::future::join_all;
use serde::de::DeserializeOwned;

use super::layout::{self, InboxEntry, OwnerRecord};
use super::shards::ShardId;
use crate::port::executor::WorkerListing;
use crate::port::record_store::{
    Record, RecordKey, SharedRecordStore, StoreCall, StoreError, StoreReply,
};
use crate::workflow::WorkflowId;
use crate::workflow::record::{self, WorkflowProgress, WorkflowRecord, WorkflowState};

/// How long one call may take; the store answers in 4 ms, and up to sixty times slower when it is
/// disturbed.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The most records of one page.
const PAGE: u32 = 500;

/// Everything that a new owner reads.
#[derive(Debug, Default)]
pub(super) struct ShardSnapshot {
    pub(super) workflows: Vec<(WorkflowId, WorkflowRecord, WorkflowProgress)>,
    pub(super) workers: Vec<WorkerListing>,
    pub(super) handovers: Vec<InboxRecord>,
}

/// A handover, and where it lies.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct InboxRecord {
    pub(super) id: WorkflowId,
    pub(super) handover: InboxEntry,
    pub(super) key: RecordKey,
}

/// Reads one record; `None` where it is absent.
pub(super) async fn read_one(
    records: &SharedRecordStore,
    key: &RecordKey,
) -> Result<Option<Record>, StoreError> {
    let call = StoreCall::Scan {
        table: key.table.clone(),
        partition: key.partition.clone(),
        from: key.key.clone(),
        to: None,
        limit: 1,
    };
    match records.call(&call, CALL_TIMEOUT).await? {
        StoreReply::Records { records, .. } => {
            Ok(records.into_iter().find(|record| record.key == *key))
        }
        other => Err(unexpected(&other)),
    }
}

/// Reads who owns the shard, with the version of the record.
pub(super) async fn read_owner(
    records: &SharedRecordStore,
    shard: ShardId,
) -> Result<Option<(OwnerRecord, u64)>, StoreError> {
    let Some(row) = read_one(records, &layout::owner_key(shard)).await? else {
        return Ok(None);
    };
    let version = row.version;
    Ok(decode::<OwnerRecord>(&row).map(|owner| (owner, version)))
}

/// Reads how a workflow stands; `None` where it is not recorded.
pub(super) async fn read_state(
    records: &SharedRecordStore,
    shard: ShardId,
    id: WorkflowId,
) -> Result<Option<WorkflowState>, StoreError> {
    let recorded = read_one(records, &layout::workflow_key(shard, id)).await?;
    let active = match recorded.as_ref().map(decode::<WorkflowRecord>) {
        Some(Some(WorkflowRecord::Ended(state))) => return Ok(Some(state)),
        Some(Some(WorkflowRecord::Active(_))) => true,
        Some(None) => return Err(StoreError::Rejected("the record cannot be read".to_owned())),
        None => false,
    };
    let handovers = read_handovers_of(records, shard, id).await;
    let handed = |wanted: fn(&InboxEntry) -> bool| {
        let found = handovers.iter().flatten();
        found.flatten().any(wanted)
    };
    if !active && !handed(|handover| matches!(handover, InboxEntry::Submitted(_))) {
        // An inbox that cannot be read may hold the workflow.
        let unread = handovers.into_iter().find_map(Result::err);
        return unread.map_or(Ok(None), Err);
    }
    let progress = read_one(records, &layout::progress_key(shard, id)).await?;
    let progress = progress.and_then(|row| decode::<WorkflowProgress>(&row));
    let cancelled = handed(|handover| *handover == InboxEntry::Cancelled)
        || progress.as_ref().is_some_and(|known| known.cancelled);
    Ok(Some(if cancelled {
        WorkflowState::Cancelled
    } else if progress.is_some() {
        WorkflowState::Running
    } else {
        WorkflowState::Queued
    }))
}

/// Reads all records of a shard.
pub(super) async fn read_all(
    records: &SharedRecordStore,
    shard: ShardId,
) -> Result<ShardSnapshot, StoreError> {
    let handovers = read_handovers(records, shard).await;
    let partition = layout::partition(shard);
    let workflows = scan(records, layout::WORKFLOWS, &partition).await?;
    let progress = scan(records, layout::PROGRESS, &partition).await?;
    let workers = read_one(records, &layout::workers_key(shard)).await?;
    let mut known: std::collections::HashMap<WorkflowId, WorkflowProgress> = progress
        .iter()
        .filter_map(|row| Some((id_of(row)?, decode::<WorkflowProgress>(row)?)))
        .collect();
    for handed in &handovers {
        if handed.handover == InboxEntry::Cancelled {
            known.entry(handed.id).or_default().cancelled = true;
        }
    }
    let workflows = workflows.iter().filter_map(|row| {
        let id = id_of(row)?;
        let record = decode::<WorkflowRecord>(row)?;
        Some((id, record, known.remove(&id).unwrap_or_default()))
    });
    Ok(ShardSnapshot {
        workflows: workflows.collect(),
        workers: workers.and_then(|row| decode(&row)).unwrap_or_default(),
        handovers,
    })
}

/// Reads the handovers that the owner has not recorded yet: workflows first, since a cancellation may
/// be of one of them. An inbox that cannot be read is left for the next time.
pub(super) async fn read_handovers(
    records: &SharedRecordStore,
    shard: ShardId,
) -> Vec<InboxRecord> {
    let inboxes = (0..layout::INBOXES).map(|number| async move {
        let partition = layout::inbox(shard, number);
        scan(records, layout::HANDOVERS, &partition).await
    });
    let mut handovers = Vec::new();
    for rows in join_all(inboxes).await {
        match rows {
            Ok(rows) => handovers.extend(rows.into_iter().filter_map(|row| {
                Some(InboxRecord {
                    id: id_of(&row)?,
                    handover: decode(&row)?,
                    key: row.key,
                })
            })),
            Err(error) => tracing::warn!(shard = shard.0, %error, "an inbox cannot be read"),
        }
    }
    handovers.sort_by_key(|handed| handed.handover == InboxEntry::Cancelled);
    handovers
}

/// Reads what each inbox of the shard holds about one workflow.
async fn read_handovers_of(
    records: &SharedRecordStore,
    shard: ShardId,
    id: WorkflowId,
) -> Vec<Result<Vec<InboxEntry>, StoreError>> {
    let (from, to) = layout::handover_keys(id);
    let inboxes = (0..layout::INBOXES).map(|number| {
        let call = StoreCall::Scan {
            table: layout::HANDOVERS.to_owned(),
            partition: layout::inbox(shard, number),
            from: from.clone(),
            to: Some(to.clone()),
            limit: PAGE,
        };
        async move {
            match records.call(&call, CALL_TIMEOUT).await? {
                StoreReply::Records { records, .. } => {
                    Ok(records.iter().filter_map(decode).collect())
                }
                other => Err(unexpected(&other)),
            }
        }
    });
    join_all(inboxes).await
}

async fn scan(
    records: &SharedRecordStore,
    table: &str,
    partition: &str,
) -> Result<Vec<Record>, StoreError> {
    let mut rows: Vec<Record> = Vec::new();
    loop {
        // The last key followed by the smallest character that keys of workflows do not contain.
        let from = rows.last().map(|last| format!("{}!", last.key.key));
        let call = StoreCall::Scan {
            table: table.to_owned(),
            partition: partition.to_owned(),
            from: from.unwrap_or_default(),
            to: None,
            limit: PAGE,
        };
        match records.call(&call, CALL_TIMEOUT).await? {
            StoreReply::Records {
                records, truncated, ..
            } => {
                let empty = records.is_empty();
                rows.extend(records);
                if !truncated || empty {
                    return Ok(rows);
                }
            }
            other => return Err(unexpected(&other)),
        }
    }
}

fn id_of(row: &Record) -> Option<WorkflowId> {
    let id = layout::workflow_of(&row.key);
    if id.is_err() {
        tracing::error!(key = %row.key.key, "a record has no workflow's name and is passed over");
    }
    id.ok()
}

/// Decodes a record; one that is removed or cannot be read is `None`, the latter with a log line.
pub(super) fn decode<T: DeserializeOwned>(row: &Record) -> Option<T> {
    let value = row.value.as_deref()?;
    match record::decode(value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            tracing::error!(table = %row.key.table, key = %row.key.key, %error,
                "a record cannot be read and is passed over");
            None
        }
    }
}

fn unexpected(reply: &StoreReply) -> StoreError {
    StoreError::Rejected(format!("an unexpected reply: {reply:?}"))
}
