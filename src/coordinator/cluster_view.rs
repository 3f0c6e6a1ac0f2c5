//! The VMs that take part, and which of them own the workflows.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::message::{Member, OwnerHint};
use super::shards::ShardId;
use crate::model::Time;

/// A member that was not heard of for so long is dropped: several pings.
const MEMBER_SILENCE: Duration = Duration::from_secs(3);

/// The least time between two shards that this VM gives up for a larger one: others learn within
/// several pings how many shards each VM owns.
const YIELD_INTERVAL: Duration = Duration::from_secs(2);

/// The owner of one shard.
#[derive(Clone, Copy, Debug, Default)]
struct KnownOwner {
    hint: Option<OwnerHint>,
    /// Whether it left the last question without an answer.
    silent: bool,
}

#[derive(Debug, Default)]
struct Known {
    /// Members that told this VM themselves that they live.
    heard: Vec<(Member, Time)>,
    /// Members that an owner has told of.
    told: Vec<(Member, Time)>,
    owners: HashMap<ShardId, KnownOwner>,
    /// How many shards this VM owns.
    owned: u16,
    /// When this VM last gave up a shard for a larger one.
    yielded_at: Option<Time>,
    /// When another VM was last heard of.
    heard_at: Option<Time>,
    /// Turns with each failed relay, so that another VM is asked first.
    turn: usize,
}

/// What a VM knows of the others.
#[derive(Debug)]
pub struct ClusterView {
    me: Member,
    seeds: Vec<SocketAddr>,
    known: Mutex<Known>,
}

impl ClusterView {
    /// The directory of the VM `me`, which at first knows the others at `seeds` only.
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address);
        let seeds = seeds.collect();
        Self {
            me,
            seeds,
            known: Mutex::default(),
        }
    }

    /// Where this VM is reached.
    pub fn local_address(&self) -> SocketAddr {
        self.me.address
    }

    /// This VM, with how many shards it owns now.
    pub fn local_member(&self) -> Member {
        Member {
            owned: self.lock().owned,
            ..self.me.clone()
        }
    }

    /// Notes that this VM owns one more shard.
    pub fn shard_acquired(&self) {
        self.lock().owned += 1;
    }

    /// Notes that this VM owns one shard less.
    pub fn shard_released(&self) {
        let mut known = self.lock();
        known.owned = known.owned.saturating_sub(1);
    }

    /// Whether this VM may give up a shard for a larger VM now; notes that it does.
    pub fn try_begin_yield(&self, now: Time) -> bool {
        let mut known = self.lock();
        let rested = known
            .yielded_at
            .is_none_or(|at| now.since(at) >= YIELD_INTERVAL);
        if rested {
            known.yielded_at = Some(now);
        }
        rested
    }

    /// The owner of a shard, as far as known.
    pub fn owner(&self, shard: ShardId) -> Option<OwnerHint> {
        self.lock().owners.get(&shard)?.hint
    }

    /// Notes who owns a shard; an earlier owner than the known one is passed over.
    pub fn set_owner(&self, shard: ShardId, hint: OwnerHint) {
        let mut known = self.lock();
        let owner = known.owners.entry(shard).or_default();
        if owner.hint.is_none_or(|owner| owner.epoch <= hint.epoch) {
            if owner.hint != Some(hint) {
                owner.silent = false;
            }
            owner.hint = Some(hint);
        }
    }

    /// Whether the owner left the last question without an answer.
    pub fn is_owner_unresponsive(&self, shard: ShardId) -> bool {
        let known = self.lock();
        known.owners.get(&shard).is_some_and(|owner| owner.silent)
    }

    /// Notes whether the owner answered.
    pub fn set_owner_responsive(&self, shard: ShardId, answered: bool) {
        self.lock().owners.entry(shard).or_default().silent = !answered;
    }

    /// Whether an owner that answers is known, from which this VM learns what other VMs know.
    pub fn has_responsive_owner(&self) -> bool {
        let known = self.lock();
        let mut owners = known.owners.values();
        owners.any(|owner| !owner.silent && owner.hint.is_some())
    }

    /// Notes that a member lives.
    pub fn record_heartbeat(&self, member: Member, now: Time) {
        let mut known = self.lock();
        known.heard_at = Some(now);
        refresh(&mut known.heard, member, now);
    }

    /// When another VM last told that it lives.
    pub fn last_heartbeat(&self) -> Option<Time> {
        self.lock().heard_at
    }

    /// Takes up the members that an owner has heard of.
    pub fn merge_reported_members(&self, members: Vec<Member>, now: Time) {
        let mut known = self.lock();
        for member in members {
            refresh(&mut known.told, member, now);
        }
    }

    /// This VM and the members that told it lately that they live. Members that others told of are
    /// left out, so that VMs do not keep a lost one known among each other.
    pub fn live_members(&self, now: Time) -> Vec<Member> {
        let me = self.local_member();
        let known = self.lock();
        let lately = |(member, at): &(Member, Time)| {
            (now.since(*at) < MEMBER_SILENCE).then(|| member.clone())
        };
        let others = known.heard.iter().filter_map(lately);
        std::iter::once(me).chain(others).collect()
    }

    /// This VM and the members that were heard or told of lately.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let mut members = self.live_members(now);
        let known = self.lock();
        for (member, at) in &known.told {
            let listed = members.iter().any(|other| other.address == member.address);
            if !listed && now.since(*at) < MEMBER_SILENCE {
                members.push(member.clone());
            }
        }
        members
    }

    /// Up to `most` other VMs to ask for calls of the store; each VM begins with another one, and
    /// owners of shards come last, as they have the most to do.
    pub fn relays(&self, most: usize) -> Vec<SocketAddr> {
        let known = self.lock();
        let members = known.told.iter().chain(&known.heard);
        let members = members.map(|(member, _)| (member.address, member.owned > 0));
        let mut owns: BTreeMap<SocketAddr, bool> = members.collect();
        if owns.is_empty() {
            owns = self.seeds.iter().map(|seed| (*seed, false)).collect();
        }
        owns.remove(&self.me.address);
        let (owners, mut others): (Vec<_>, Vec<_>) = owns.into_iter().partition(|(_, owns)| *owns);
        // The truncated hash serves as well as the whole one.
        let first = known
            .turn
            .wrapping_add(xxh3_64(self.me.vm.as_str().as_bytes()) as usize);
        let count = others.len().max(1);
        others.rotate_left(first % count);
        let in_order = others.into_iter().chain(owners);
        in_order.take(most).map(|(address, _)| address).collect()
    }

    /// Notes that a relay did not help, so that another is asked first.
    pub fn relay_failed(&self, address: SocketAddr) {
        tracing::debug!(%address, "a VM could not make a call of the store for this one");
        self.lock().turn += 1;
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Notes that `member` lived at `now`, and forgets those that were silent for long.
fn refresh(known: &mut Vec<(Member, Time)>, member: Member, now: Time) {
    known.retain(|(other, at)| other.address != member.address && now.since(*at) < MEMBER_SILENCE);
    known.push((member, now));
}
