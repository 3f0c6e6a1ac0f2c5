//! The VMs that take part, and which of them owns the workflows.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::message::{Member, OwnerHint};
use crate::model::Time;

/// A member that was not heard of for so long is dropped: several pings.
const MEMBER_SILENCE: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Known {
    members: Vec<(Member, Time)>,
    owner: Option<OwnerHint>,
    /// Whether the owner left the last question without an answer.
    owner_silent: bool,
    /// When another VM was last heard of.
    heard_at: Option<Time>,
    /// Turns with each failed relay, so that another VM is asked first.
    turn: usize,
}

/// What a VM knows of the others.
#[derive(Debug)]
pub struct Directory {
    me: Member,
    seeds: Vec<SocketAddr>,
    known: Mutex<Known>,
}

impl Directory {
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
    pub fn own(&self) -> SocketAddr {
        self.me.address
    }

    /// The owner, as far as known.
    pub fn owner(&self) -> Option<OwnerHint> {
        self.lock().owner
    }

    /// Notes who owns the workflows; an earlier owner than the known one is passed over.
    pub fn set_owner(&self, hint: OwnerHint) {
        let mut known = self.lock();
        if known.owner.is_none_or(|owner| owner.epoch <= hint.epoch) {
            if known.owner != Some(hint) {
                known.owner_silent = false;
            }
            known.owner = Some(hint);
        }
    }

    /// Whether the owner left the last question without an answer.
    pub fn is_owner_silent(&self) -> bool {
        self.lock().owner_silent
    }

    /// Notes whether the owner answered.
    pub fn owner_answered(&self, answered: bool) {
        self.lock().owner_silent = !answered;
    }

    /// Notes that a member lives.
    pub fn heard(&self, member: Member, now: Time) {
        let mut known = self.lock();
        known.members.retain(|(other, at)| {
            other.address != member.address && now.since(*at) < MEMBER_SILENCE
        });
        known.heard_at = Some(now);
        known.members.push((member, now));
    }

    /// When another VM last told that it lives.
    pub fn heard_at(&self) -> Option<Time> {
        self.lock().heard_at
    }

    /// Takes up the members that the owner knows.
    pub fn set_members(&self, members: Vec<Member>, now: Time) {
        let mut known = self.lock();
        known.members = members.into_iter().map(|member| (member, now)).collect();
    }

    /// This VM and the members that were heard of lately.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let known = self.lock();
        let others = known.members.iter();
        let others = others.filter(|(member, at)| {
            member.address != self.me.address && now.since(*at) < MEMBER_SILENCE
        });
        let others = others.map(|(member, _)| member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Up to `most` other VMs to ask for calls of the store.
    pub fn relays(&self, most: usize) -> Vec<SocketAddr> {
        let known = self.lock();
        let members = known.members.iter().map(|(member, _)| member.address);
        let mut others: Vec<SocketAddr> =
            members.filter(|other| *other != self.me.address).collect();
        if others.is_empty() {
            others.clone_from(&self.seeds);
        }
        others.sort_unstable();
        let count = others.len().max(1);
        others.rotate_left(known.turn % count);
        others.truncate(most);
        others
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
