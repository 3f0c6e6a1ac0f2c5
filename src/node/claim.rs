//! Claims shards, reads their rows, and releases the slots of services.

use super::commit::commit_fenced;
use super::owned_shards::OwnedService;
use crate::config::service_shard;
use crate::model::{ServiceName, ShardName};
use crate::port::table::{Condition, Table, TableError, Txn, Write, scan_all};
use crate::shard::StoredRows;
use crate::shard::commit_queue::CommitOutcome;
use crate::shard::rows::{
    OwnerRef, ShardRow, decode, encode, epoch_key, gangs_prefix, jobs_prefix, shard_key,
    tasks_prefix,
};

/// A shard that was claimed.
#[derive(Debug)]
pub struct ClaimedShard {
    /// The shard's row as this process wrote it.
    pub row: ShardRow,
    /// The version of the row.
    pub version: u64,
    /// The previous owner, unless it released the shard.
    pub previous_owner: Option<OwnerRef>,
}

/// Why a shard was not claimed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// Another process claimed it, or its row has changed since it was read.
    #[error("the shard changed hands")]
    Conflict,
    /// The table failed.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The row cannot be decoded.
    #[error("the shard's row: {0}")]
    Row(#[from] crate::shard::rows::RowError),
}

/// Claims `shard` for `me` if its row still has `expected_version`, which is 0 for an absent row.
///
/// # Errors
///
/// Returns [`ClaimError`]; after an error this process does not own the shard.
pub async fn claim_shard(
    table: &dyn Table,
    shard: &ShardName,
    expected_version: u64,
    me: &OwnerRef,
) -> Result<ClaimedShard, ClaimError> {
    let key = shard_key(shard);
    let current_row = table.read(&key).await?;
    if current_row.as_ref().map_or(0, |row| row.version) != expected_version {
        return Err(ClaimError::Conflict);
    }
    let current = match &current_row {
        Some(row) => decode::<ShardRow>(&row.value)?,
        None => ShardRow {
            owner: None,
            epoch: 0,
            txn: 0,
            unfenced_owners: 0,
        },
    };
    let row = ShardRow {
        owner: Some(me.clone()),
        epoch: current.epoch + 1,
        txn: 0,
        unfenced_owners: match current_row {
            Some(_) => current.unfenced_owners.saturating_add(1),
            None => 0,
        },
    };
    let txn = Txn {
        conditions: vec![Condition {
            key: key.clone(),
            version: expected_version,
        }],
        writes: vec![
            Write::Put {
                key,
                value: encode(&row),
            },
            Write::Put {
                key: epoch_key(shard),
                value: encode(&row.epoch),
            },
        ],
    };
    match commit_fenced(table, &txn).await {
        CommitOutcome::Applied => Ok(ClaimedShard {
            row,
            version: expected_version + 1,
            previous_owner: current.owner,
        }),
        CommitOutcome::Unavailable => Err(TableError::Unavailable("claim".to_owned()).into()),
        CommitOutcome::Exists { .. } | CommitOutcome::Conflict { .. } | CommitOutcome::Fenced => {
            Err(ClaimError::Conflict)
        }
    }
}

/// Reads all rows of a shard.
///
/// # Errors
///
/// Returns the table's error.
pub async fn read_shard_rows(
    table: &dyn Table,
    shard: &ShardName,
) -> Result<StoredRows, TableError> {
    let jobs = scan_all(table, &jobs_prefix(shard)).await?;
    let tasks = scan_all(table, &tasks_prefix(shard)).await?;
    let gangs = scan_all(table, &gangs_prefix(shard)).await?;
    Ok(StoredRows { jobs, tasks, gangs })
}

/// Releases the slots of a service. If the table does not respond, the lease expires instead.
pub async fn release_service(table: &dyn Table, service: &ServiceName, owned: OwnedService) {
    let key = shard_key(&service_shard(service));
    let row = ShardRow {
        owner: None,
        epoch: owned.epoch,
        txn: 0,
        unfenced_owners: 0,
    };
    let txn = Txn {
        conditions: vec![Condition {
            key: key.clone(),
            version: owned.version,
        }],
        writes: vec![Write::Put {
            key,
            value: encode(&row),
        }],
    };
    let _ = table.commit(&txn).await;
}
