//! All-at-once jobs over several shards.
//!
//! The owner of the job's shard reserves a part in each of the others, in the order of their names,
//! records all placements by one transaction, and follows the parts to their ends. Each part is a
//! job of its own in its shard. `span` is the side of the job's owner, `part` that of the owners
//! of the parts' shards.

mod admit;
mod cross_shard;
mod follow;
mod part;
mod transaction;

use std::collections::BTreeMap;

use crate::decide::gang_split::{ShardCapacity, total_fitting_tasks};
use crate::model::{Resources, ShardName, WorkerInfo};

pub(super) use cross_shard::CrossShardGang;
pub(super) use part::ReservedPart;

/// The most jobs over several shards that one shard keeps at a time.
const MAX_SPANS: usize = 64;

/// What an owner keeps of jobs over several shards.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    /// Jobs of this shard, by number.
    pub spans: BTreeMap<u64, CrossShardGang>,
    /// Parts that are reserved here and not known to be recorded, by number.
    pub parts: BTreeMap<u64, ReservedPart>,
    /// What the workers of each shard hold.
    shards: BTreeMap<ShardName, Vec<Resources>>,
}

impl Gangs {
    /// Takes the workers of all shards of a configuration.
    pub fn set_shards(&mut self, shards: &BTreeMap<ShardName, Vec<WorkerInfo>>) {
        let capacities = |workers: &[WorkerInfo]| workers.iter().map(|w| w.capacity).collect();
        let shards = shards.iter();
        let known = shards.map(|(shard, workers)| (shard.clone(), capacities(workers)));
        self.shards = known.collect();
    }

    /// How many tasks of a size each shard holds.
    fn rooms(&self, need: &Resources) -> Vec<ShardCapacity> {
        let rooms = self.shards.iter().map(|(shard, workers)| ShardCapacity {
            shard: shard.clone(),
            max_tasks: total_fitting_tasks(need, workers),
        });
        rooms.collect()
    }
}
