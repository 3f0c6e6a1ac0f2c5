//! The shard owners and live VMs, as this node last read them from the table.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rustc_hash::FxHashMap;

use super::api::{OwnerInfo, ShardDirectory, VmInfo};
use crate::model::ShardName;

/// The shard owners and live VMs at one reading of the table.
#[derive(Clone, Debug, Default)]
pub struct DirectorySnapshot {
    /// The owners of shards.
    pub owners: FxHashMap<ShardName, OwnerInfo>,
    /// The live VMs.
    pub vms: Vec<VmInfo>,
}

/// A directory that is replaced as a whole with each reading of the table.
#[derive(Debug, Default)]
pub struct SnapshotDirectory {
    snapshot: ArcSwap<DirectorySnapshot>,
}

impl SnapshotDirectory {
    /// Replaces the snapshot.
    pub fn replace(&self, snapshot: DirectorySnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// The current snapshot.
    pub fn snapshot(&self) -> Arc<DirectorySnapshot> {
        self.snapshot.load_full()
    }

    /// The live VMs at other addresses than `own_address`.
    pub fn others(&self, own_address: SocketAddr) -> Vec<VmInfo> {
        let snapshot = self.snapshot.load();
        let others = snapshot.vms.iter().filter(|vm| vm.address != own_address);
        others.cloned().collect()
    }
}

impl ShardDirectory for SnapshotDirectory {
    fn owner_of(&self, shard: &ShardName) -> Option<OwnerInfo> {
        self.snapshot.load().owners.get(shard).cloned()
    }

    fn live_vms(&self) -> Vec<VmInfo> {
        self.snapshot.load().vms.clone()
    }
}
