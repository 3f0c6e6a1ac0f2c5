//! The VMs of the cluster and the owners of shards, as this VM knows them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::message::{Member, OwnerHint};
use super::shards::ShardId;
use crate::model::Time;

/// A member without a heartbeat for this long, several ping intervals, is dropped.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(3);

/// The minimum interval between two handovers from this VM to larger VMs. Other VMs need several pings
/// to learn how many shards each VM owns.
const YIELD_INTERVAL: Duration = Duration::from_secs(2);

/// The owner of one shard.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerEntry {
    hint: Option<OwnerHint>,
    /// Whether the last request to the owner got no reply.
    unresponsive: bool,
}

#[derive(Debug, Default)]
struct ViewState {
    /// Members that sent heartbeats to this VM, with the time of the last one.
    direct_members: Vec<(Member, Time)>,
    /// Members that an owner reported, with the time of the last report.
    reported_members: Vec<(Member, Time)>,
    owners: HashMap<ShardId, OwnerEntry>,
    /// How many shards this VM owns.
    owned: u16,
    /// When this VM last yielded a shard to a larger VM.
    last_yield: Option<Time>,
    /// When another VM last sent a heartbeat.
    last_heartbeat: Option<Time>,
    /// Incremented by each failed relay, so that the next call starts with another VM.
    relay_offset: usize,
}

/// What this VM knows of the members of the cluster and of the owners of shards.
#[derive(Debug)]
pub struct ClusterView {
    local: Member,
    seeds: Vec<SocketAddr>,
    state: Mutex<ViewState>,
}

impl ClusterView {
    /// The view of the VM `local`, which initially knows the other VMs by the addresses `seeds` only.
    pub fn new(local: Member, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != local.address);
        let seeds = seeds.collect();
        Self {
            local,
            seeds,
            state: Mutex::default(),
        }
    }

    /// The address at which other VMs reach this one.
    pub fn local_address(&self) -> SocketAddr {
        self.local.address
    }

    /// This VM, with the current number of shards that it owns.
    pub fn local_member(&self) -> Member {
        Member {
            owned: self.lock().owned,
            ..self.local.clone()
        }
    }

    /// Records that this VM owns one more shard.
    pub fn shard_acquired(&self) {
        self.lock().owned += 1;
    }

    /// Records that this VM owns one shard less.
    pub fn shard_released(&self) {
        let mut state = self.lock();
        state.owned = state.owned.saturating_sub(1);
    }

    /// Whether this VM may yield a shard to a larger VM now; if so, the interval to the next one
    /// starts.
    pub fn try_begin_yield(&self, now: Time) -> bool {
        let mut state = self.lock();
        let interval_passed = state
            .last_yield
            .is_none_or(|at| now.since(at) >= YIELD_INTERVAL);
        if interval_passed {
            state.last_yield = Some(now);
        }
        interval_passed
    }

    /// The owner of a shard, if it is known.
    pub fn owner(&self, shard: ShardId) -> Option<OwnerHint> {
        self.lock().owners.get(&shard)?.hint
    }

    /// Records the owner of a shard; ignored if its epoch is older than that of the known owner.
    pub fn set_owner(&self, shard: ShardId, hint: OwnerHint) {
        let mut state = self.lock();
        let owner = state.owners.entry(shard).or_default();
        if owner.hint.is_none_or(|owner| owner.epoch <= hint.epoch) {
            if owner.hint != Some(hint) {
                owner.unresponsive = false;
            }
            owner.hint = Some(hint);
        }
    }

    /// Whether the last request to the owner got no reply.
    pub fn is_owner_unresponsive(&self, shard: ShardId) -> bool {
        let state = self.lock();
        state
            .owners
            .get(&shard)
            .is_some_and(|owner| owner.unresponsive)
    }

    /// Records whether the owner replied to the last request.
    pub fn set_owner_responsive(&self, shard: ShardId, responsive: bool) {
        self.lock().owners.entry(shard).or_default().unresponsive = !responsive;
    }

    /// Whether a responsive owner is known, whose pongs tell this VM the other members and the
    /// configuration.
    pub fn has_responsive_owner(&self) -> bool {
        let state = self.lock();
        let mut owners = state.owners.values();
        owners.any(|owner| !owner.unresponsive && owner.hint.is_some())
    }

    /// Records a heartbeat of another VM.
    pub fn record_heartbeat(&self, member: Member, now: Time) {
        let mut state = self.lock();
        state.last_heartbeat = Some(now);
        upsert_member(&mut state.direct_members, member, now);
    }

    /// When another VM last sent a heartbeat.
    pub fn last_heartbeat(&self) -> Option<Time> {
        self.lock().last_heartbeat
    }

    /// Merges members that an owner reported.
    pub fn merge_reported_members(&self, members: Vec<Member>, now: Time) {
        let mut state = self.lock();
        for member in members {
            upsert_member(&mut state.reported_members, member, now);
        }
    }

    /// This VM and the members that sent it heartbeats recently. Members that other VMs reported are
    /// left out; otherwise VMs would keep reporting a failed VM to each other.
    pub fn live_members(&self, now: Time) -> Vec<Member> {
        let local = self.local_member();
        let state = self.lock();
        let recent = |(member, at): &(Member, Time)| {
            (now.since(*at) < MEMBER_TIMEOUT).then(|| member.clone())
        };
        let others = state.direct_members.iter().filter_map(recent);
        std::iter::once(local).chain(others).collect()
    }

    /// This VM and the members that sent a heartbeat or were reported recently.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let mut members = self.live_members(now);
        let state = self.lock();
        for (member, at) in &state.reported_members {
            let listed = members.iter().any(|other| other.address == member.address);
            if !listed && now.since(*at) < MEMBER_TIMEOUT {
                members.push(member.clone());
            }
        }
        members
    }

    /// Up to `max` other VMs to relay store calls through. Each VM starts with a different one, and
    /// owners of shards come last, as they have the highest load.
    pub fn relays(&self, max: usize) -> Vec<SocketAddr> {
        let state = self.lock();
        let members = state.reported_members.iter().chain(&state.direct_members);
        let members = members.map(|(member, _)| (member.address, member.owned > 0));
        let mut owns: BTreeMap<SocketAddr, bool> = members.collect();
        if owns.is_empty() {
            owns = self.seeds.iter().map(|seed| (*seed, false)).collect();
        }
        owns.remove(&self.local.address);
        let (owners, mut others): (Vec<_>, Vec<_>) = owns.into_iter().partition(|(_, owns)| *owns);
        // Truncating the hash is harmless: only the start offset depends on it.
        let first = state
            .relay_offset
            .wrapping_add(xxh3_64(self.local.vm.as_str().as_bytes()) as usize);
        let count = others.len().max(1);
        others.rotate_left(first % count);
        let in_order = others.into_iter().chain(owners);
        in_order.take(max).map(|(address, _)| address).collect()
    }

    /// Records a failed relay, so that the next call starts with another VM.
    pub fn relay_failed(&self, address: SocketAddr) {
        tracing::debug!(%address,
            "relaying a store call through another VM fails; the next call starts with a different VM");
        self.lock().relay_offset += 1;
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that `member` was alive at `now`, and drops members that have timed out.
fn upsert_member(members: &mut Vec<(Member, Time)>, member: Member, now: Time) {
    members
        .retain(|(other, at)| other.address != member.address && now.since(*at) < MEMBER_TIMEOUT);
    members.push((member, now));
}
