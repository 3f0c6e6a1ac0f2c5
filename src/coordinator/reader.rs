//! Reads workflows, owner records and inbox entries from the store.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use futures_util::future::join_all;
use serde::de::DeserializeOwned;

use super::layout::{self, InboxEntry, OwnerRecord};
use super::shards::ShardId;
use crate::model::WorkerName;
use crate::port::executor::WorkerListing;
use crate::port::record_store::{
    Record, RecordKey, SharedRecordStore, StoreCall, StoreError, StoreReply,
};
use crate::workflow::record::{
    self, RecordCodecError, WorkflowProgress, WorkflowRecord, WorkflowState, WorkflowStatus,
};
use crate::workflow::{Assignment, WorkflowId};

/// The timeout of one store call. The store responds within 4 ms, and up to sixty times slower during a
/// disturbance.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum number of records per page.
const PAGE_SIZE: u32 = 500;

/// The parts of a workflow's progress, by number.
pub(super) type ProgressParts = Vec<(u64, WorkflowProgress)>;

/// All records that a new owner of a shard loads.
#[derive(Debug, Default)]
pub(super) struct ShardSnapshot {
    pub(super) workflows: Vec<(WorkflowId, WorkflowRecord, ProgressParts)>,
    /// The parts of the list of workers.
    pub(super) workers: Vec<(u32, Vec<WorkerListing>)>,
    pub(super) assignments: Vec<(WorkerName, Assignment)>,
    pub(super) inbox_entries: Vec<InboxRecord>,
}

/// An inbox entry with its key in the store.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct InboxRecord {
    pub(super) id: WorkflowId,
    pub(super) entry: InboxEntry,
    pub(super) key: RecordKey,
}

/// The call that reads the record with this key, or else the next one.
pub(super) fn read_call(key: &RecordKey) -> StoreCall {
    StoreCall::Scan {
        table: key.table.clone(),
        partition: key.partition.clone(),
        from: key.key.clone(),
        to: None,
        limit: 1,
    }
}

/// Reads one record; `None` if it is absent.
pub(super) async fn read_one(
    store: &SharedRecordStore,
    key: &RecordKey,
) -> Result<Option<Record>, StoreError> {
    match store.call(&read_call(key), CALL_TIMEOUT).await? {
        StoreReply::Records { records, .. } => {
            Ok(records.into_iter().find(|record| record.key == *key))
        }
        other => Err(unexpected(&other)),
    }
}

/// Reads the owner record of a shard, with its version.
pub(super) async fn read_owner(
    store: &SharedRecordStore,
    shard: ShardId,
) -> Result<Option<(OwnerRecord, u64)>, StoreError> {
    let Some(record) = read_one(store, &layout::owner_key(shard)).await? else {
        return Ok(None);
    };
    let version = record.version;
    Ok(decode_owner(&record).map(|owner| (owner, version)))
}

/// Reads the state and the account of a workflow; `None` if the store has neither a record nor an inbox
/// entry of it.
pub(super) async fn read_status(
    store: &SharedRecordStore,
    shard: ShardId,
    id: WorkflowId,
) -> Result<Option<WorkflowStatus>, StoreError> {
    let workflow = read_one(store, &layout::workflow_key(shard, id)).await?;
    let active = match workflow.as_ref().map(decode::<WorkflowRecord>) {
        Some(Some(WorkflowRecord::Active { spec, .. })) => Some(spec),
        Some(Some(ended)) => return Ok(ended.ended()),
        Some(None) => return Err(StoreError::Rejected("the record cannot be read".to_owned())),
        None => None,
    };
    let inboxes = read_inbox_entries_of(store, shard, id).await;
    let entries = || inboxes.iter().flatten().flatten();
    let submitted = entries().find_map(|entry| match entry {
        InboxEntry::Submitted(spec) => Some(spec),
        InboxEntry::Cancelled => None,
    });
    let Some(spec) = active.as_ref().or(submitted) else {
        // An inbox that cannot be read may hold the workflow.
        let read_error = inboxes.into_iter().find_map(Result::err);
        return read_error.map_or(Ok(None), Err);
    };
    let cancelled = entries().any(|entry| *entry == InboxEntry::Cancelled);
    let state = if cancelled {
        WorkflowState::Cancelled
    } else if has_progress(store, shard, id).await? {
        WorkflowState::Running
    } else {
        WorkflowState::Queued
    };
    let account = spec.account.clone();
    Ok(Some(WorkflowStatus { state, account }))
}

/// Whether the store has any part of the progress of a workflow.
async fn has_progress(
    store: &SharedRecordStore,
    shard: ShardId,
    id: WorkflowId,
) -> Result<bool, StoreError> {
    let (from, to) = layout::progress_key_range(id);
    let call = StoreCall::Scan {
        table: layout::PROGRESS.to_owned(),
        partition: layout::shard_partition(shard),
        from,
        to: Some(to),
        limit: 1,
    };
    match store.call(&call, CALL_TIMEOUT).await? {
        StoreReply::Records { records, .. } => Ok(!records.is_empty()),
        other => Err(unexpected(&other)),
    }
}

/// Reads all records of a shard that a new owner needs. A workflow with a record that cannot be
/// decoded is left out, because its tasks may be running or done.
pub(super) async fn read_all(
    store: &SharedRecordStore,
    shard: ShardId,
) -> Result<ShardSnapshot, StoreError> {
    let inbox_entries = read_inboxes(store, shard).await;
    let partition = layout::shard_partition(shard);
    let workflows = scan(store, layout::WORKFLOWS, &partition).await?;
    let progress = scan(store, layout::PROGRESS, &partition).await?;
    let workers = scan(store, layout::WORKERS, &partition).await?;
    let assignments = scan(store, layout::ASSIGNMENTS, &partition).await?;
    let mut unreadable = HashSet::new();
    let mut parts: HashMap<WorkflowId, ProgressParts> = HashMap::new();
    for record in &progress {
        let Some(id) = workflow_id(record) else {
            continue;
        };
        match (layout::part_of(&record.key), decode(record)) {
            (Some(part), Some(progress)) => parts.entry(id).or_default().push((part, progress)),
            _ => {
                unreadable.insert(id);
            }
        }
    }
    for inbox_record in &inbox_entries {
        if inbox_record.entry == InboxEntry::Cancelled {
            let cancelled = WorkflowProgress {
                cancelled: true,
                ..WorkflowProgress::default()
            };
            let parts = parts.entry(inbox_record.id).or_default();
            parts.push((0, cancelled));
        }
    }
    let workflows = workflows.iter().filter_map(|record| {
        let id = workflow_id(record)?;
        let record = decode::<WorkflowRecord>(record)?;
        if unreadable.contains(&id) && record.ended().is_none() {
            tracing::error!(request = %id,
                "the progress of a workflow cannot be read; leaving the workflow out");
            return None;
        }
        Some((id, record, parts.remove(&id).unwrap_or_default()))
    });
    let workers = workers.iter().filter_map(|record| {
        let part = u32::try_from(layout::part_of(&record.key)?).ok()?;
        Some((part, decode(record)?))
    });
    Ok(ShardSnapshot {
        workflows: workflows.collect(),
        workers: workers.collect(),
        assignments: assignments.iter().filter_map(decode).collect(),
        inbox_entries,
    })
}

/// Reads the entries of the shard's inboxes. Submissions come first, because a cancellation may belong
/// to one of them. An inbox that cannot be read is skipped until the next call.
pub(super) async fn read_inboxes(store: &SharedRecordStore, shard: ShardId) -> Vec<InboxRecord> {
    let inboxes = (0..layout::INBOXES_PER_SHARD).map(|number| async move {
        let partition = layout::inbox_partition(shard, number);
        scan(store, layout::INBOX_ENTRIES, &partition).await
    });
    let mut entries = Vec::new();
    for records in join_all(inboxes).await {
        match records {
            Ok(records) => entries.extend(records.into_iter().filter_map(|record| {
                Some(InboxRecord {
                    id: workflow_id(&record)?,
                    entry: decode(&record)?,
                    key: record.key,
                })
            })),
            Err(error) => {
                tracing::warn!(shard = shard.0, %error,
                    "cannot read an inbox of the shard; skipping it until the next poll")
            }
        }
    }
    entries.sort_by_key(|inbox_record| inbox_record.entry == InboxEntry::Cancelled);
    entries
}

/// Reads the entries for one workflow from each inbox of the shard.
async fn read_inbox_entries_of(
    store: &SharedRecordStore,
    shard: ShardId,
    id: WorkflowId,
) -> Vec<Result<Vec<InboxEntry>, StoreError>> {
    let (from, to) = layout::inbox_entry_key_range(id);
    let inboxes = (0..layout::INBOXES_PER_SHARD).map(|number| {
        let call = StoreCall::Scan {
            table: layout::INBOX_ENTRIES.to_owned(),
            partition: layout::inbox_partition(shard, number),
            from: from.clone(),
            to: Some(to.clone()),
            limit: PAGE_SIZE,
        };
        async move {
            match store.call(&call, CALL_TIMEOUT).await? {
                StoreReply::Records { records, .. } => {
                    Ok(records.iter().filter_map(decode).collect())
                }
                other => Err(unexpected(&other)),
            }
        }
    });
    join_all(inboxes).await
}

/// Reads all records of a partition of a table, page by page.
async fn scan(
    store: &SharedRecordStore,
    table: &str,
    partition: &str,
) -> Result<Vec<Record>, StoreError> {
    let scanned = scan_with_version(store, table, partition).await;
    scanned.map(|(records, _)| records)
}

/// Like [`scan`], with the version of the store when the first page was read. Changes of later pages
/// have later versions.
pub(super) async fn scan_with_version(
    store: &SharedRecordStore,
    table: &str,
    partition: &str,
) -> Result<(Vec<Record>, u64), StoreError> {
    let mut all: Vec<Record> = Vec::new();
    let mut first_version = None;
    loop {
        // `!` sorts before every character of these keys, so this starts right after the last key.
        let from = all.last().map(|last| format!("{}!", last.key.key));
        let call = StoreCall::Scan {
            table: table.to_owned(),
            partition: partition.to_owned(),
            from: from.unwrap_or_default(),
            to: None,
            limit: PAGE_SIZE,
        };
        match store.call(&call, CALL_TIMEOUT).await? {
            StoreReply::Records {
                records,
                truncated,
                version,
            } => {
                let first_version = *first_version.get_or_insert(version);
                let empty = records.is_empty();
                all.extend(records);
                if !truncated || empty {
                    return Ok((all, first_version));
                }
            }
            other => return Err(unexpected(&other)),
        }
    }
}

fn workflow_id(record: &Record) -> Option<WorkflowId> {
    let id = layout::workflow_id_of(&record.key);
    if id.is_err() {
        tracing::error!(key = %record.key.key,
            "invalid workflow id in the key of a store record; skipping the record");
    }
    id.ok()
}

/// Decodes a record; `None` if it is removed or cannot be decoded. The latter is logged.
pub(super) fn decode<T: DeserializeOwned>(record: &Record) -> Option<T> {
    decode_with(record, record::decode)
}

/// Decodes an owner record like [`decode`].
pub(super) fn decode_owner(record: &Record) -> Option<OwnerRecord> {
    decode_with(record, OwnerRecord::decode)
}

fn decode_with<T>(
    record: &Record,
    decode: impl Fn(&[u8]) -> Result<T, RecordCodecError>,
) -> Option<T> {
    let value = record.value.as_deref()?;
    match decode(value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            tracing::error!(table = %record.key.table, key = %record.key.key, %error,
                "cannot decode a store record; skipping it");
            None
        }
    }
}

fn unexpected(reply: &StoreReply) -> StoreError {
    StoreError::Rejected(format!("an unexpected reply: {reply:?}"))
}
