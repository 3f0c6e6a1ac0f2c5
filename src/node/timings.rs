//! The timings of a node's shards, derived from its settings.

use std::time::Duration;

use crate::settings::Settings;
use crate::shard::ShardTimings;
use crate::shard::worker_session::WorkerCallTimings;

/// The timings of a shard in a cell of `vms` live VMs and `shards` shards of workers.
pub fn shard_timings(settings: &Settings, vms: usize, shards: usize) -> ShardTimings {
    ShardTimings {
        calls: WorkerCallTimings {
            task_lease: Duration::from_millis(settings.task_lease_ms),
            ..WorkerCallTimings::default()
        },
        max_detached: Duration::from_millis(settings.detached_ms),
        min_commit_interval: min_commit_interval(settings, vms, shards),
        ..ShardTimings::default()
    }
}

/// The shortest interval between two transactions of a shard at which all shards together stay
/// within the part of the table's write budget that the heartbeats leave.
fn min_commit_interval(settings: &Settings, vms: usize, shards: usize) -> Duration {
    let heartbeats = vms as u64 * 1_000 / settings.heartbeat_ms.max(1);
    let budget = u64::from(settings.table_writes_per_s).saturating_sub(heartbeats);
    Duration::from_micros(shards as u64 * 1_000_000 / budget.max(1))
}
