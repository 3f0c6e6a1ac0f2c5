//! When a VM claims a shard that has never had an owner.
//!
//! At the first start, all VMs look for the owner of each shard at about the same time and do not know
//! each other yet. Whoever claims a shard first owns it for seconds, so that a VM with little CPU waits
//! longer, and so does a VM that already owns shards.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::message::Member;
use super::shards::ShardId;

/// The range of a delay that differs by VM and shard, so that equal VMs share the shards.
const SPREAD_MS: u64 = 400;

/// The additional delay of a VM that would have one core for the shard; it is longer in proportion on a
/// VM with less.
const ONE_CORE_DELAY_MS: u64 = 200;

/// The maximum of that delay, so that small VMs on their own still claim the shards before traffic
/// starts.
const MAX_CPU_DELAY_MS: u64 = 2_500;

/// How long `member` waits before it claims a shard that has never had an owner.
///
/// # Examples
///
/// ```
/// use chestnutlug::coordinator::first_claim::first_claim_delay;
/// use chestnutlug::coordinator::message::Member;
/// use chestnutlug::coordinator::shards::ShardId;
/// use chestnutlug::model::VmName;
///
/// let member = |cpu_milli| Member {
///     vm: VmName::new("vm-1"),
///     address: "127.0.0.1:1".parse().unwrap(),
///     started_unix_ms: 0,
///     cpu_milli,
///     owned: 0,
/// };
/// let shard = ShardId(0);
/// assert!(first_claim_delay(&member(500), shard) < first_claim_delay(&member(90), shard));
/// ```
pub fn first_claim_delay(member: &Member, shard: ShardId) -> Duration {
    let key = format!("{} {shard}", member.vm);
    let spread_ms = xxh3_64(key.as_bytes()) % SPREAD_MS;
    let cpu_milli = u64::from(member.cpu_milli_per_shard(member.owned + 1));
    let delay_ms = ONE_CORE_DELAY_MS * 1_000 / cpu_milli.max(1);
    Duration::from_millis(spread_ms + delay_ms.min(MAX_CPU_DELAY_MS))
}
