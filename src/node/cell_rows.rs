//! The heartbeat and shard rows, which each member of the cell reads at every heartbeat.

use rustc_hash::FxHashMap;

use super::api::{OwnerInfo, VmInfo};
use super::context::NodeContext;
use super::directory::DirectorySnapshot;
use crate::decide::lease::LeaseTracker;
use crate::model::{ShardName, Time};
use crate::port::table::{Condition, Row, Table, TableError, Txn, Write, scan_all};
use crate::shard::rows::{CELL_PREFIX, OwnerRef, SHARD_PREFIX, ShardRow, VM_PREFIX, decode};

/// A shard's row with its version in the table.
#[derive(Clone, Debug)]
pub struct VersionedShardRow {
    /// The row.
    pub row: ShardRow,
    /// The version of the row.
    pub version: u64,
}

/// Awaits `read` and returns its output together with the time at which it ended.
pub async fn with_end_time<T>(context: &NodeContext, read: impl Future<Output = T>) -> (T, Time) {
    let output = read.await;
    (output, context.clock.now())
}

/// The rows of VMs and shards, read together by one scan so that they show the same moment.
///
/// # Examples
///
/// ```
/// use chestnutlug::node::cell_rows::CellRows;
/// use chestnutlug::port::table::Row;
///
/// let row = |key: &str| Row { key: key.to_owned(), value: Vec::new(), version: 1 };
/// let rows = CellRows::from_rows(vec![row("c/shard/s1"), row("c/vm/vm-1"), row("c/else")]);
/// assert_eq!(rows.vms.len(), 1);
/// assert_eq!(rows.shards.len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellRows {
    /// The heartbeat rows of VMs.
    pub vms: Vec<Row>,
    /// The rows of shards.
    pub shards: Vec<Row>,
}

impl CellRows {
    /// Sorts rows by their keys. Skips rows of other kinds, which a later version of the program
    /// may write.
    pub fn from_rows(rows: Vec<Row>) -> Self {
        let (vms, rest): (Vec<Row>, Vec<Row>) = rows
            .into_iter()
            .partition(|row| row.key.starts_with(VM_PREFIX));
        let shards = rest
            .into_iter()
            .filter(|row| row.key.starts_with(SHARD_PREFIX));
        Self {
            vms,
            shards: shards.collect(),
        }
    }

    /// Reads the rows from the table.
    ///
    /// # Errors
    ///
    /// Returns the first error of a page.
    pub async fn read(table: &dyn Table) -> Result<Self, TableError> {
        let rows = scan_all(table, CELL_PREFIX).await?;
        Ok(Self::from_rows(rows))
    }
}

/// A transaction that makes one write without a condition.
pub fn unconditional_txn(write: Write) -> Txn {
    Txn {
        conditions: Vec::new(),
        writes: vec![write],
    }
}

/// A transaction that deletes `row` unless it has changed since it was read.
pub fn deletion_txn(row: &Row) -> Txn {
    let key = row.key.clone();
    let condition = Condition {
        key: key.clone(),
        version: row.version,
    };
    Txn {
        conditions: vec![condition],
        writes: vec![Write::Delete { key }],
    }
}

/// Decodes rows; skips those that this version of the program cannot decode.
pub fn decode_rows<T: serde::de::DeserializeOwned>(rows: &[Row]) -> Vec<T> {
    rows.iter()
        .filter_map(|row| decode::<T>(&row.value).ok())
        .collect()
}

/// Decodes shard rows, by shard; skips those that this version of the program cannot decode.
pub fn decode_shard_rows(rows: &[Row]) -> FxHashMap<ShardName, VersionedShardRow> {
    let shards = rows.iter().filter_map(|row| {
        let name = row.key.strip_prefix(SHARD_PREFIX)?;
        let shard_row = VersionedShardRow {
            row: decode(&row.value).ok()?,
            version: row.version,
        };
        Some((ShardName::new(name), shard_row))
    });
    shards.collect()
}

/// The directory of the process `me`: the live VMs, and the owners of shards that are live.
pub fn directory_snapshot(
    leases: &LeaseTracker,
    shard_rows: &FxHashMap<ShardName, VersionedShardRow>,
    me: &OwnerRef,
) -> DirectorySnapshot {
    let vms = leases.live().map(|row| VmInfo {
        vm: row.vm.clone(),
        incarnation: row.incarnation,
        address: row.peers,
    });
    let vms: Vec<VmInfo> = vms.collect();
    let owners = shard_rows.iter().filter_map(|(shard, shard_row)| {
        let owner = shard_row.row.owner.as_ref()?;
        let is_owner = |vm: &&VmInfo| vm.vm == owner.vm && vm.incarnation == owner.incarnation;
        let vm = vms.iter().find(is_owner)?;
        let owner = OwnerInfo {
            vm: vm.vm.clone(),
            incarnation: vm.incarnation,
            address: vm.address,
            epoch: shard_row.row.epoch,
            local: *owner == *me,
        };
        Some((shard.clone(), owner))
    });
    DirectorySnapshot {
        owners: owners.collect(),
        vms: vms.clone(),
    }
}
