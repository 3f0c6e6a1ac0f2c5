//! All-at-once jobs over several shards: which shard takes how many tasks, how long parts are held,
//! and when the next try comes.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::backoff::backoff;
use super::index::slots;
use crate::model::{Resources, ShardName};

/// How long parts are held in the first round.
const FIRST_HOLD: Duration = Duration::from_secs(5);

const MAX_DOUBLINGS: u32 = 6;

/// How long a job pauses at most, as a multiple of how long it held parts.
const PAUSE_HOLDS: u32 = 4;

/// The first and the longest pause of a job that held nothing.
const PAUSE_BASE: Duration = Duration::from_millis(200);
const PAUSE_MAX: Duration = Duration::from_secs(10);

/// How many times a job's tasks the chosen shards hold, where there are enough of them, so that no
/// part needs a whole shard.
const SPARE: u64 = 2;

/// How many tasks of a size a shard holds while nothing else runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardCapacity {
    /// The shard.
    pub shard: ShardName,
    /// The tasks that it holds.
    pub max_tasks: u64,
}

/// What one shard takes of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardShare {
    /// The shard.
    pub shard: ShardName,
    /// How many tasks.
    pub tasks: u32,
}

/// How many tasks that need `need` the workers of such capacities hold.
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
    let each = capacities.iter().map(|room| u64::from(slots(need, room)));
    each.sum()
}

/// Shares `tasks` out by the room of the shards; the shares are in the order of names. `turn`
/// chooses among the shards where not all are needed. `None` where all together hold fewer.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::gang_split::{ShardCapacity, split_tasks};
///
/// let room = |shard: &str, max_tasks| ShardCapacity { shard: shard.into(), max_tasks };
/// let rooms = [room("b", 30), room("a", 10)];
/// let shares = split_tasks(&rooms, 20, 0).unwrap();
/// assert_eq!((shares[0].shard.as_str(), shares[0].tasks), ("a", 5));
/// assert_eq!((shares[1].shard.as_str(), shares[1].tasks), ("b", 15));
/// ```
pub fn split_tasks(rooms: &[ShardCapacity], tasks: u32, turn: u64) -> Option<Vec<ShardShare>> {
    let mut chosen = choose(rooms, tasks, turn);
    let total: u64 = chosen.iter().map(|room| room.max_tasks).sum();
    if total < u64::from(tasks) {
        return None;
    }
    chosen.sort_by(|a, b| a.shard.cmp(&b.shard));
    let mut left = u64::from(tasks);
    let mut room_left = total;
    let mut shares = Vec::new();
    for room in chosen {
        // What the later shards cannot hold is taken here.
        let part = (left * room.max_tasks).div_ceil(room_left).min(left);
        room_left -= room.max_tasks;
        left -= part;
        if part > 0 {
            shares.push(ShardShare {
                shard: room.shard.clone(),
                tasks: u32::try_from(part).unwrap_or(u32::MAX),
            });
        }
    }
    Some(shares)
}

fn choose(rooms: &[ShardCapacity], tasks: u32, turn: u64) -> Vec<&ShardCapacity> {
    let mut usable: Vec<&ShardCapacity> = rooms.iter().filter(|room| room.max_tasks > 0).collect();
    let len = usable.len().max(1) as u64;
    usable.rotate_left((turn % len) as usize);
    let wanted = u64::from(tasks) * SPARE;
    let mut sum = 0;
    let enough = usable.iter().position(|room| {
        sum += room.max_tasks;
        sum >= wanted
    });
    usable.truncate(enough.map_or(usable.len(), |last| last + 1));
    usable
}

/// How long parts are held in a round after `tries` rounds in vain: it doubles, so that even a job
/// that needs most workers is placed in the end.
pub fn reservation_timeout(tries: u32) -> Duration {
    FIRST_HOLD * (1 << tries.min(MAX_DOUBLINGS))
}

/// How long a job waits after a round in vain in which it held parts for `held`, so that the rest
/// loses a bounded share of the time to it. Half is drawn at random, so that two jobs do not meet
/// again and again.
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
pub fn retry_delay(held: Duration, tries: u32, rng: &mut SmallRng) -> Duration {
    let least = backoff(tries, PAUSE_BASE, PAUSE_MAX, rng);
    let most = held * PAUSE_HOLDS;
    least.max(most.mul_f64(rng.random_range(0.5..=1.0)))
}
