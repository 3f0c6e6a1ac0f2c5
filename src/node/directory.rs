//! Who owns what, as this node last read it.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rustc_hash::FxHashMap;

use super::api::{OwnerInfo, ShardDirectory, VmInfo};
use crate::model::ShardName;

/// One reading of the table.
#[derive(Clone, Debug, Default)]
pub struct DirectorySnapshot {
    /// The owners of shards.
    pub owners: FxHashMap<ShardName, OwnerInfo>,
    /// The VMs that live.
    pub vms: Vec<VmInfo>,
}

/// A directory that is replaced as a whole with each reading.
#[derive(Debug, Default)]
pub struct SnapshotDirectory {
    snapshot: ArcSwap<DirectorySnapshot>,
}

impl SnapshotDirectory {
    /// Replaces the reading.
    pub fn replace(&self, snapshot: DirectorySnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// The last reading.
    pub fn snapshot(&self) -> Arc<DirectorySnapshot> {
        self.snapshot.load_full()
    }

    /// The addresses of the other VMs that live.
    pub fn others(&self, me: SocketAddr) -> Vec<VmInfo> {
        let snapshot = self.snapshot.load();
        let others = snapshot.vms.iter().filter(|vm| vm.address != me);
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
