//! The rows of the table that a member of the cell reads.

use rustc_hash::FxHashMap;

use super::api::{OwnerInfo, VmInfo};
use super::context::NodeContext;
use super::directory::DirectorySnapshot;
use crate::decide::lease::LeaseTracker;
use crate::model::{ShardName, Time};
use crate::port::table::{Condition, Row, Table, TableError, Txn, Write, scan_all};
use crate::shard::rows::{CELL_PREFIX, OwnerRef, SHARD_PREFIX, ShardRow, VM_PREFIX, decode};

/// A shard as the table showed it.
#[derive(Clone, Debug)]
pub struct VersionedShardRow {
    /// The row.
    pub row: ShardRow,
    /// Its version.
    pub version: u64,
}

/// Awaits a reading and tells when it ended.
pub async fn with_end_time<T>(
    context: &NodeContext,
    reading: impl Future<Output = T>,
) -> (T, Time) {
    let read = reading.await;
    (read, context.clock.now())
}

/// One reading of the rows of VMs and of shards, all of one moment.
///
/// # Examples
///
/// ```
/// use chestnutlug::node::cell_rows::CellRows;
/// use chestnutlug::port::table::Row;
///
/// let row = |key: &str| Row { key: key.to_owned(), value: Vec::new(), version: 1 };
/// let rows = CellRows::of(vec![row("c/shard/s1"), row("c/vm/vm-1"), row("c/else")]);
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
    /// Tells the rows apart by their keys; others, which a later program may write, are left out.
    pub fn of(rows: Vec<Row>) -> Self {
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

    /// Reads all of them.
    ///
    /// # Errors
    ///
    /// Returns the first error of a page.
    pub async fn read(table: &dyn Table) -> Result<Self, TableError> {
        let rows = scan_all(table, CELL_PREFIX).await?;
        Ok(Self::of(rows))
    }
}

/// Makes one change without a condition.
pub fn unconditional_txn(write: Write) -> Txn {
    Txn {
        conditions: Vec::new(),
        writes: vec![write],
    }
}

/// Deletes `row` unless it has changed since.
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

/// The rows that this program can read.
pub fn decode_rows<T: serde::de::DeserializeOwned>(rows: &[Row]) -> Vec<T> {
    rows.iter()
        .filter_map(|row| decode::<T>(&row.value).ok())
        .collect()
}

/// The shards' rows by name.
pub fn decode_shard_rows(rows: &[Row]) -> FxHashMap<ShardName, VersionedShardRow> {
    let shards = rows.iter().filter_map(|row| {
        let name = row.key.strip_prefix(SHARD_PREFIX)?;
        let seen = VersionedShardRow {
            row: decode(&row.value).ok()?,
            version: row.version,
        };
        Some((ShardName::new(name), seen))
    });
    shards.collect()
}

/// Who lives and who owns what, as the rows tell the process `me`.
pub fn directory_snapshot(
    leases: &LeaseTracker,
    seen: &FxHashMap<ShardName, VersionedShardRow>,
    me: &OwnerRef,
) -> DirectorySnapshot {
    let vms = leases.live().map(|row| VmInfo {
        vm: row.vm.clone(),
        incarnation: row.incarnation,
        address: row.peers,
    });
    let vms: Vec<VmInfo> = vms.collect();
    let owners = seen.iter().filter_map(|(shard, seen)| {
        let owner = seen.row.owner.as_ref()?;
        let alive = |vm: &&VmInfo| vm.vm == owner.vm && vm.incarnation == owner.incarnation;
        let vm = vms.iter().find(alive)?;
        let owner = OwnerInfo {
            vm: vm.vm.clone(),
            incarnation: vm.incarnation,
            address: vm.address,
            epoch: seen.row.epoch,
            local: *owner == *me,
        };
        Some((shard.clone(), owner))
    });
    DirectorySnapshot {
        owners: owners.collect(),
        vms: vms.clone(),
    }
}
