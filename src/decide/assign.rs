//! Assignment of shards to VMs.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{ShardName, VmName};

/// A shard and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwnership<'a> {
    /// The shard.
    pub shard: &'a ShardName,
    /// Owner, if it is live.
    pub owner: Option<&'a VmName>,
}

/// A VM that may own shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The VM.
    pub vm: &'a VmName,
    /// Relative capacity of the VM; at least 1.
    pub capacity: u32,
}

/// How many shards above its even share a VM keeps before it releases one.
const MAX_EXCESS_SHARDS: u64 = 1;

/// Returns the shards without a live owner that `me` has to take.
///
/// Each such shard goes to the candidate with the lowest load relative to its capacity, so that VMs
/// with the same view agree. If their views differ, the conditional write to the table lets only
/// one of them take the shard.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::assign::{Candidate, ShardOwnership, shards_to_take};
/// use chestnutlug::model::{ShardName, VmName};
///
/// let (a, b) = (VmName::from("a"), VmName::from("b"));
/// let (s, t) = (ShardName::from("s"), ShardName::from("t"));
/// let ownerships = [
///     ShardOwnership { shard: &s, owner: Some(&a) },
///     ShardOwnership { shard: &t, owner: None },
/// ];
/// let vms = [Candidate { vm: &a, capacity: 1 }, Candidate { vm: &b, capacity: 1 }];
/// assert_eq!(shards_to_take(&ownerships, &vms, &b), [&t]);
/// assert!(shards_to_take(&ownerships, &vms, &a).is_empty());
/// ```
pub fn shards_to_take<'a>(
    ownerships: &[ShardOwnership<'a>],
    candidates: &[Candidate<'_>],
    me: &VmName,
) -> Vec<&'a ShardName> {
    let mut counts = owned_counts(ownerships);
    let mut mine = Vec::new();
    let mut unowned: Vec<&ShardOwnership<'a>> = ownerships
        .iter()
        .filter(|ownership| ownership.owner.is_none())
        .collect();
    unowned.sort_by_key(|ownership| ownership.shard);
    for ownership in unowned {
        let Some(chosen) = least_loaded(ownership.shard, candidates, &counts) else {
            break;
        };
        *counts.entry(chosen.clone()).or_default() += 1;
        if chosen == me {
            mine.push(ownership.shard);
        }
    }
    mine
}

fn owned_counts(ownerships: &[ShardOwnership<'_>]) -> BTreeMap<VmName, u64> {
    let mut counts = BTreeMap::new();
    for owner in ownerships.iter().filter_map(|ownership| ownership.owner) {
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

/// Returns a shard that `me` has to release because it owns more than its even share allows, so
/// that a VM with fewer shards can take it.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::assign::{Candidate, ShardOwnership, shard_to_release};
/// use chestnutlug::model::{ShardName, VmName};
///
/// let (a, b) = (VmName::from("a"), VmName::from("b"));
/// let names: Vec<ShardName> = (0..4).map(|i| ShardName::new(format!("s{i}"))).collect();
/// let ownerships: Vec<ShardOwnership<'_>> =
///     names.iter().map(|shard| ShardOwnership { shard, owner: Some(&a) }).collect();
/// let vms = [Candidate { vm: &a, capacity: 1 }, Candidate { vm: &b, capacity: 1 }];
/// assert!(shard_to_release(&ownerships, &vms, &a).is_some());
/// assert!(shard_to_release(&ownerships[..2], &vms, &a).is_none());
/// ```
pub fn shard_to_release<'a>(
    ownerships: &[ShardOwnership<'a>],
    candidates: &[Candidate<'_>],
    me: &VmName,
) -> Option<&'a ShardName> {
    let total: u64 = candidates
        .iter()
        .map(|c| u64::from(c.capacity.max(1)))
        .sum();
    let own = candidates.iter().find(|c| c.vm == me)?;
    let even_share = (ownerships.len() as u64 * u64::from(own.capacity.max(1))).div_ceil(total);
    let mut mine: Vec<&'a ShardName> = ownerships
        .iter()
        .filter(|ownership| ownership.owner == Some(me))
        .map(|ownership| ownership.shard)
        .collect();
    mine.sort();
    let is_excessive = mine.len() as u64 > even_share + MAX_EXCESS_SHARDS;
    mine.last().copied().filter(|_| is_excessive)
}
