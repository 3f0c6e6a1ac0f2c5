//! Reads of the records of workflows.

use std::time::Duration;

use serde::de::DeserializeOwned;

use super::layout::{self, Handover, OwnerRecord};
use super::shards::Shard;
use crate::port::executor::WorkerListing;
use crate::port::records::{Record, RecordKey, SharedRecords, StoreCall, StoreError, StoreReply};
use crate::workflow::WorkflowId;
use crate::workflow::record::{self, Progress, WorkflowRecord, WorkflowState};

/// How long one call may take; the store answers in 4 ms, and up to sixty times slower when it is
/// disturbed.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The most records of one page.
const PAGE: u32 = 500;

/// Everything that a new owner reads.
#[derive(Debug, Default)]
pub(super) struct Recorded {
    pub(super) workflows: Vec<(WorkflowId, WorkflowRecord, Progress)>,
    pub(super) workers: Vec<WorkerListing>,
    pub(super) handovers: Vec<(WorkflowId, Handover)>,
}

/// Reads one record; `None` where it is absent.
pub(super) async fn read_one(
    records: &SharedRecords,
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
    records: &SharedRecords,
    shard: Shard,
) -> Result<Option<(OwnerRecord, u64)>, StoreError> {
    let Some(row) = read_one(records, &layout::owner_key(shard)).await? else {
        return Ok(None);
    };
    let version = row.version;
    Ok(decode::<OwnerRecord>(&row).map(|owner| (owner, version)))
}

/// Reads how a workflow stands; `None` where it is not recorded.
pub(super) async fn read_state(
    records: &SharedRecords,
    shard: Shard,
    id: WorkflowId,
) -> Result<Option<WorkflowState>, StoreError> {
    let recorded = read_one(records, &layout::workflow_key(shard, id)).await?;
    let active = match recorded.as_ref().map(decode::<WorkflowRecord>) {
        Some(Some(WorkflowRecord::Ended(state))) => return Ok(Some(state)),
        Some(Some(WorkflowRecord::Active(_))) => true,
        Some(None) => return Err(StoreError::Rejected("the record cannot be read".to_owned())),
        None => false,
    };
    if !active {
        let handed_over = read_one(records, &layout::submitted_key(shard, id)).await?;
        if handed_over.is_none() {
            return Ok(None);
        }
    }
    let progress = read_one(records, &layout::progress_key(shard, id)).await?;
    let progress = progress.and_then(|row| decode::<Progress>(&row));
    let cancelled = read_one(records, &layout::cancelled_key(shard, id)).await?;
    let cancelled = cancelled.is_some() || progress.as_ref().is_some_and(|known| known.cancelled);
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
    records: &SharedRecords,
    shard: Shard,
) -> Result<Recorded, StoreError> {
    let handovers = read_handovers(records, shard).await?;
    let partition = layout::partition(shard);
    let workflows = scan(records, layout::WORKFLOWS, &partition).await?;
    let progress = scan(records, layout::PROGRESS, &partition).await?;
    let workers = read_one(records, &layout::workers_key(shard)).await?;
    let mut known: std::collections::HashMap<WorkflowId, Progress> = progress
        .iter()
        .filter_map(|row| Some((id_of(row)?, decode::<Progress>(row)?)))
        .collect();
    for (id, handover) in &handovers {
        if *handover == Handover::Cancelled {
            known.entry(*id).or_default().cancelled = true;
        }
    }
    let workflows = workflows.iter().filter_map(|row| {
        let id = id_of(row)?;
        let record = decode::<WorkflowRecord>(row)?;
        Some((id, record, known.remove(&id).unwrap_or_default()))
    });
    Ok(Recorded {
        workflows: workflows.collect(),
        workers: workers.and_then(|row| decode(&row)).unwrap_or_default(),
        handovers,
    })
}

/// Reads the handovers that no owner has taken yet: workflows first, since a cancellation may be of
/// one of them.
pub(super) async fn read_handovers(
    records: &SharedRecords,
    shard: Shard,
) -> Result<Vec<(WorkflowId, Handover)>, StoreError> {
    let rows = scan(records, layout::HANDOVERS, &layout::inbox(shard)).await?;
    let mut handovers: Vec<(WorkflowId, Handover)> = rows
        .iter()
        .filter_map(|row| Some((id_of(row)?, decode(row)?)))
        .collect();
    handovers.sort_by_key(|(_, handover)| *handover == Handover::Cancelled);
    Ok(handovers)
}

async fn scan(
    records: &SharedRecords,
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
