//! Cross-shard gangs: jobs whose tasks start together or not at all, in several shards.
//!
//! The owner of the job's shard reserves a part of the gang in each chosen shard, in the order of
//! the shards' names, records all placements in one transaction, and then polls the parts until
//! they end. Each part is a job of its own in its shard. `cross_shard` implements the side of the
//! gang's owner, `part` the side of the owners of the parts' shards.

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

/// The maximum number of cross-shard gangs that one shard keeps at a time.
const MAX_CROSS_SHARD_GANGS: usize = 64;

/// The state of cross-shard gangs and their parts at one owner.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    /// The gangs whose job belongs to this shard, by job number.
    pub cross_shard: BTreeMap<u64, CrossShardGang>,
    /// The parts that are reserved in this shard and not known to be recorded, by job number.
    pub parts: BTreeMap<u64, ReservedPart>,
    /// The capacities of the workers of each shard.
    worker_capacities: BTreeMap<ShardName, Vec<Resources>>,
}

impl Gangs {
    /// Sets the worker capacities from the workers of all configured shards.
    pub fn set_capacities(&mut self, shards: &BTreeMap<ShardName, Vec<WorkerInfo>>) {
        let capacities = |workers: &[WorkerInfo]| workers.iter().map(|w| w.capacity).collect();
        let shards = shards.iter();
        let by_shard = shards.map(|(shard, workers)| (shard.clone(), capacities(workers)));
        self.worker_capacities = by_shard.collect();
    }

    /// How many tasks that need `need` fit into each shard while nothing else runs there.
    fn shard_capacities(&self, need: &Resources) -> Vec<ShardCapacity> {
        let capacities = self
            .worker_capacities
            .iter()
            .map(|(shard, workers)| ShardCapacity {
                shard: shard.clone(),
                max_tasks: total_fitting_tasks(need, workers),
            });
        capacities.collect()
    }
}
