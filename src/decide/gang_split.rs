//! Cross-shard gangs: how their tasks are split over shards, how long reservations are held, and
//! when the next round starts.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::backoff::backoff;
use super::index::fitting_tasks;
use crate::model::{Resources, ShardName};

/// Reservation timeout in the first round.
const BASE_RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_DOUBLINGS: u32 = 6;

/// Maximum delay after a failed round, as a multiple of the time for which the job held
/// reservations.
const RETRY_DELAY_FACTOR: u32 = 4;

/// Initial and maximum delay of a job that held no reservations.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(200);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(10);

/// Shards are chosen until they can hold this many times the tasks of the job, if there are enough
/// shards, so that no part needs a whole shard.
const CAPACITY_FACTOR: u64 = 2;

/// Number of tasks of a given size that an idle shard can hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardCapacity {
    /// The shard.
    pub shard: ShardName,
    /// Maximum number of tasks.
    pub max_tasks: u64,
}

/// Number of tasks of a job that one shard takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardShare {
    /// The shard.
    pub shard: ShardName,
    /// Number of tasks.
    pub tasks: u32,
}

/// Returns how many tasks that need `need` fit on workers with these capacities.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::gang_split::total_fitting_tasks;
/// use chestnutlug::model::Resources;
///
/// let cores = |n: u32| Resources { cpu_milli: n * 1_000, ..Resources::default() };
/// assert_eq!(total_fitting_tasks(&cores(3), &[cores(16), cores(4)]), 6);
/// ```
pub fn total_fitting_tasks(need: &Resources, capacities: &[Resources]) -> u64 {
    let each = capacities
        .iter()
        .map(|capacity| u64::from(fitting_tasks(need, capacity)));
    each.sum()
}

/// Splits `tasks` over shards in proportion to their capacities; the result is ordered by shard
/// name. `rotation` selects among the shards if not all are needed. Returns `None` if the shards
/// together cannot hold all tasks.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::gang_split::{ShardCapacity, split_tasks};
///
/// let capacity = |shard: &str, max_tasks| ShardCapacity { shard: shard.into(), max_tasks };
/// let capacities = [capacity("b", 30), capacity("a", 10)];
/// let shares = split_tasks(&capacities, 20, 0).unwrap();
/// assert_eq!((shares[0].shard.as_str(), shares[0].tasks), ("a", 5));
/// assert_eq!((shares[1].shard.as_str(), shares[1].tasks), ("b", 15));
/// ```
pub fn split_tasks(
    capacities: &[ShardCapacity],
    tasks: u32,
    rotation: u64,
) -> Option<Vec<ShardShare>> {
    let mut chosen = choose_shards(capacities, tasks, rotation);
    let total: u64 = chosen.iter().map(|capacity| capacity.max_tasks).sum();
    if total < u64::from(tasks) {
        return None;
    }
    chosen.sort_by(|a, b| a.shard.cmp(&b.shard));
    let mut remaining = u64::from(tasks);
    let mut remaining_capacity = total;
    let mut shares = Vec::new();
    for capacity in chosen {
        // Rounded up, since the later shards may not be able to hold the rest.
        let tasks_here = (remaining * capacity.max_tasks)
            .div_ceil(remaining_capacity)
            .min(remaining);
        remaining_capacity -= capacity.max_tasks;
        remaining -= tasks_here;
        if tasks_here > 0 {
            shares.push(ShardShare {
                shard: capacity.shard.clone(),
                tasks: u32::try_from(tasks_here).unwrap_or(u32::MAX),
            });
        }
    }
    Some(shares)
}

fn choose_shards(capacities: &[ShardCapacity], tasks: u32, rotation: u64) -> Vec<&ShardCapacity> {
    let mut usable: Vec<&ShardCapacity> = capacities
        .iter()
        .filter(|capacity| capacity.max_tasks > 0)
        .collect();
    let len = usable.len().max(1) as u64;
    usable.rotate_left((rotation % len) as usize);
    let wanted = u64::from(tasks) * CAPACITY_FACTOR;
    let mut sum = 0;
    let last_needed = usable.iter().position(|capacity| {
        sum += capacity.max_tasks;
        sum >= wanted
    });
    usable.truncate(last_needed.map_or(usable.len(), |last| last + 1));
    usable
}

/// Returns how long reservations are held after `failed_rounds` failed rounds. The time doubles
/// with each round, so that even a job that needs most workers is placed eventually.
pub fn reservation_timeout(failed_rounds: u32) -> Duration {
    BASE_RESERVATION_TIMEOUT * (1 << failed_rounds.min(MAX_DOUBLINGS))
}

/// Returns the delay after a failed round in which the job held reservations for `held`. It bounds
/// the share of the time for which the job blocks other work. Half of it is random, so that two
/// jobs do not collide repeatedly.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::gang_split::retry_delay;
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let after = retry_delay(Duration::from_secs(5), 1, &mut rng);
/// assert!(after >= Duration::from_secs(10) && after <= Duration::from_secs(20));
/// ```
pub fn retry_delay(held: Duration, failed_rounds: u32, rng: &mut SmallRng) -> Duration {
    let min = backoff(failed_rounds, RETRY_DELAY_BASE, RETRY_DELAY_MAX, rng);
    let max = held * RETRY_DELAY_FACTOR;
    min.max(max.mul_f64(rng.random_range(0.5..=1.0)))
}
