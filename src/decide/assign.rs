//! Which VM takes which shard.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{ShardName, VmName};

/// A shard and its owner, as far as one is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwnership<'a> {
    /// The shard.
    pub shard: &'a ShardName,
    /// The live owner.
    pub owner: Option<&'a VmName>,
}

/// A VM that can own shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The VM.
    pub vm: &'a VmName,
    /// What it can carry beside others; at least 1.
    pub capacity: u32,
}

/// How many shards above its even share a VM keeps before it gives one up.
const TOLERATED_EXCESS: u64 = 1;

/// The shards without a live owner that `me` is to take.
///
/// Every VM gives each such shard to the candidate with the lowest load for its capacity, so that
/// VMs with the same view agree; where views differ, the table lets one of them through.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::assign::{Candidate, ShardOwnership, shards_to_take};
/// use chestnutlug::model::{ShardName, VmName};
///
/// let (a, b) = (VmName::from("a"), VmName::from("b"));
/// let (s, t) = (ShardName::from("s"), ShardName::from("t"));
/// let holdings = [ShardOwnership { shard: &s, owner: Some(&a) }, ShardOwnership { shard: &t, owner: None }];
/// let vms = [Candidate { vm: &a, capacity: 1 }, Candidate { vm: &b, capacity: 1 }];
/// assert_eq!(shards_to_take(&holdings, &vms, &b), [&t]);
/// assert!(shards_to_take(&holdings, &vms, &a).is_empty());
/// ```
pub fn shards_to_take<'a>(
    holdings: &[ShardOwnership<'a>],
    candidates: &[Candidate<'_>],
    me: &VmName,
) -> Vec<&'a ShardName> {
    let mut counts = owned_counts(holdings);
    let mut mine = Vec::new();
    let mut free: Vec<&ShardOwnership<'a>> =
        holdings.iter().filter(|h| h.owner.is_none()).collect();
    free.sort_by_key(|holding| holding.shard);
    for holding in free {
        let Some(chosen) = least_loaded(holding.shard, candidates, &counts) else {
            break;
        };
        *counts.entry(chosen.clone()).or_default() += 1;
        if chosen == me {
            mine.push(holding.shard);
        }
    }
    mine
}

fn owned_counts(holdings: &[ShardOwnership<'_>]) -> BTreeMap<VmName, u64> {
    let mut counts = BTreeMap::new();
    for owner in holdings.iter().filter_map(|holding| holding.owner) {
        *counts.entry(owner.clone()).or_default() += 1;
    }
    counts
}

fn least_loaded<'a>(
    shard: &ShardName,
    candidates: &'a [Candidate<'_>],
    counts: &BTreeMap<VmName, u64>,
) -> Option<&'a VmName> {
    let cost = |candidate: &Candidate<'_>| {
        let owned = counts.get(candidate.vm).copied().unwrap_or(0);
        let load = (owned + 1) * 1_000 / u64::from(candidate.capacity.max(1));
        (
            load,
            xxh3_64(format!("{shard}/{}", candidate.vm).as_bytes()),
        )
    };
    let chosen = candidates.iter().min_by_key(|candidate| cost(candidate));
    chosen.map(|candidate| candidate.vm)
}

/// A shard that `me` is to give up, so that a VM with far fewer can take it.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::assign::{Candidate, ShardOwnership, shard_to_release};
/// use chestnutlug::model::{ShardName, VmName};
///
/// let (a, b) = (VmName::from("a"), VmName::from("b"));
/// let names: Vec<ShardName> = (0..4).map(|i| ShardName::new(format!("s{i}"))).collect();
/// let holdings: Vec<ShardOwnership<'_>> =
///     names.iter().map(|shard| ShardOwnership { shard, owner: Some(&a) }).collect();
/// let vms = [Candidate { vm: &a, capacity: 1 }, Candidate { vm: &b, capacity: 1 }];
/// assert!(shard_to_release(&holdings, &vms, &a).is_some());
/// assert!(shard_to_release(&holdings[..2], &vms, &a).is_none());
/// ```
pub fn shard_to_release<'a>(
    holdings: &[ShardOwnership<'a>],
    candidates: &[Candidate<'_>],
    me: &VmName,
) -> Option<&'a ShardName> {
    let total: u64 = candidates
        .iter()
        .map(|c| u64::from(c.capacity.max(1)))
        .sum();
    let own = candidates.iter().find(|c| c.vm == me)?;
    let even = (holdings.len() as u64 * u64::from(own.capacity.max(1))).div_ceil(total);
    let mut mine: Vec<&'a ShardName> = holdings
        .iter()
        .filter(|holding| holding.owner == Some(me))
        .map(|holding| holding.shard)
        .collect();
    mine.sort();
    let excess = mine.len() as u64 > even + TOLERATED_EXCESS;
    mine.last().copied().filter(|_| excess)
}
