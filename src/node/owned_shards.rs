//! The shards that this process owns.

use std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};

use kameo::actor::ActorRef;
use rustc_hash::FxHashMap;

use super::owner::ShardOwner;
use crate::model::ShardName;
use crate::shard::rows::OwnerRef;

/// An owned shard of workers.
#[derive(Clone)]
pub struct OwnedShard {
    /// The actor that runs the shard's owner.
    pub actor: ActorRef<ShardOwner>,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// The previous owner, until its process is known to have ended.
    pub previous_owner: Option<OwnerRef>,
}

/// A service whose slots this process owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedService {
    /// The epoch of the ownership.
    pub epoch: u64,
    /// The version of the shard's row.
    pub version: u64,
}

/// The shards of workers that this process owns, by name.
#[derive(Default)]
pub struct OwnedShards {
    shards: RwLock<FxHashMap<ShardName, OwnedShard>>,
}

impl OwnedShards {
    /// The actor of `shard`, if this process owns it.
    pub fn get(&self, shard: &ShardName) -> Option<ActorRef<ShardOwner>> {
        self.read().get(shard).map(|owned| owned.actor.clone())
    }

    /// All owned shards.
    pub fn all(&self) -> Vec<(ShardName, OwnedShard)> {
        let shards = self.read();
        let all = shards.iter();
        all.map(|(name, owned)| (name.clone(), owned.clone()))
            .collect()
    }

    /// The number of owned shards.
    pub fn count(&self) -> usize {
        self.read().len()
    }

    /// Whether `shard` is owned.
    pub fn contains(&self, shard: &ShardName) -> bool {
        self.read().contains_key(shard)
    }

    /// Adds a shard.
    pub fn insert(&self, shard: ShardName, owned: OwnedShard) {
        self.write().insert(shard, owned);
    }

    /// Removes `shard` if it is owned under `epoch`.
    pub fn remove(&self, shard: &ShardName, epoch: u64) {
        let mut shards = self.write();
        if shards.get(shard).is_some_and(|owned| owned.epoch == epoch) {
            shards.remove(shard);
        }
    }

    /// Records that the previous owner's process of `shard` has ended.
    pub fn clear_previous_owner(&self, shard: &ShardName) {
        if let Some(owned) = self.write().get_mut(shard) {
            owned.previous_owner = None;
        }
    }

    /// Removes and returns all shards.
    pub fn clear(&self) -> Vec<OwnedShard> {
        self.write().drain().map(|(_, owned)| owned).collect()
    }

    fn read(&self) -> RwLockReadGuard<'_, FxHashMap<ShardName, OwnedShard>> {
        self.shards.read().unwrap_or_else(|e| e.into_inner())
    }

    fn write(&self) -> RwLockWriteGuard<'_, FxHashMap<ShardName, OwnedShard>> {
        self.shards.write().unwrap_or_else(|e| e.into_inner())
    }
}
