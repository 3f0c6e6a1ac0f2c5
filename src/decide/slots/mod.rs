//! The slots of one service's backend servers, as their owner keeps them.
//!
//! A slot is given out as a grant that holds for a bounded time. Grants are counted per backend
//! server until they are given back or have surely lapsed, and are never more than its slots. One VM
//! holds at most half of a backend server's slots. After a change of the owner that many are withheld
//! for each VM that may hold grants of earlier epochs, until it has told which it still uses, or
//! the longest of them have surely lapsed: a VM that is lost costs half the slots, not all.

mod choose;
mod drain;
mod takeover;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;

use super::route::{BackendKey, Router};
use crate::error::Refusal;
use crate::message::{SlotGrant, SlotUse};
use crate::model::{BackendInfo, BackendName, Time, VmName, ZoneName};
use drain::DrainRate;
use takeover::Takeover;

slotmap::new_key_type! {
    /// A request that waits for a slot.
    pub struct WaiterKey;
}

/// How long after a grant's end its slot stays taken: the holder's clock may run slower, and the
/// backend server needs a moment to notice that its connection was closed.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(500);

/// The most waiting requests that are tried for free slots at once, those aside that wait for the
/// same slots as one that was tried before.
const MAX_TRIED: usize = 16;

/// The shortest and the longest time that a refused request is told to wait, in milliseconds.
const RETRY_MS: std::ops::RangeInclusive<u64> = 100..=10_000;

/// Names a grant across epochs.
type GrantName = (u64, u64);

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest<'a> {
    /// The asking VM.
    pub vm: &'a VmName,
    /// The zone of the asking VM.
    pub zone: Option<&'a ZoneName>,
    /// How long the grant is to hold, from now.
    pub valid: Duration,
    /// Backend servers that were tried before; others are preferred.
    pub tried: &'a [BackendName],
}

/// What became of a request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum AcquireOutcome {
    /// It has a slot.
    Granted(SlotGrant),
    /// It waits; [`SlotAllocator::advance`] tells how the wait ends.
    Waiting(WaiterKey),
    /// It gets none.
    Refused(Refusal),
}

/// How the wait of a request ended.
pub type Ended = (WaiterKey, Result<SlotGrant, Refusal>);

#[derive(Clone, Debug)]
struct Backend {
    info: BackendInfo,
    in_use: u32,
    in_use_by: HashMap<VmName, u32>,
    configured: bool,
}

impl Backend {
    fn used_by(&self, vm: &VmName) -> u32 {
        self.in_use_by.get(vm).copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
struct Outstanding {
    vm: VmName,
    backend: BackendKey,
    lapses: Time,
}

#[derive(Clone, Debug)]
struct Waiter {
    vm: VmName,
    zone: Option<ZoneName>,
    tried: Vec<BackendName>,
    asked: Time,
    valid: Duration,
    until: Time,
}

/// Keeps the slots of one service for one epoch of its owner.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::slots::{AcquireOutcome, AcquireRequest, SlotAllocator};
/// use chestnutlug::model::{BackendInfo, Time};
///
/// let backend = BackendInfo {
///     name: "b1".into(),
///     zone: "z1".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     slots: 1,
///     connections: 8,
/// };
/// let now = Time::from_millis(1);
/// let mut keeper = SlotAllocator::new(7, 10);
/// keeper.set_backends(&[backend], now);
/// let ask = AcquireRequest { vm: &"vm-1".into(), zone: None, valid: Duration::from_secs(1), tried: &[] };
/// assert!(matches!(keeper.acquire(&ask, now), AcquireOutcome::Granted(_)));
/// assert!(matches!(keeper.acquire(&ask, now), AcquireOutcome::Waiting(_)));
/// ```
#[derive(Clone, Debug)]
pub struct SlotAllocator {
    epoch: u64,
    next_id: u64,
    max_waiting: usize,
    backends: SlotMap<BackendKey, Backend>,
    by_name: HashMap<BackendName, BackendKey>,
    leaving: HashSet<BackendName>,
    router: Router,
    grants: HashMap<GrantName, Outstanding>,
    lapses: BTreeSet<(Time, GrantName)>,
    waiters: SlotMap<WaiterKey, Waiter>,
    queue: VecDeque<WaiterKey>,
    takeover: Option<Takeover>,
    drain: DrainRate,
}

impl SlotAllocator {
    /// A keeper without backend servers; at most `max_waiting` requests wait.
    pub fn new(epoch: u64, max_waiting: usize) -> Self {
        Self {
            epoch,
            next_id: 0,
            max_waiting,
            backends: SlotMap::with_key(),
            by_name: HashMap::new(),
            leaving: HashSet::new(),
            router: Router::default(),
            grants: HashMap::new(),
            lapses: BTreeSet::new(),
            waiters: SlotMap::with_key(),
            queue: VecDeque::new(),
            takeover: None,
            drain: DrainRate::default(),
        }
    }

    /// The epoch of the ownership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sets how many requests may wait.
    pub fn set_max_waiting(&mut self, max_waiting: usize) {
        self.max_waiting = max_waiting;
    }

    /// Sets the backend servers. Those that join an earlier set start slowly; one that is no longer
    /// there gets no new work, and its outstanding grants stay counted.
    pub fn set_backends(&mut self, infos: &[BackendInfo], now: Time) {
        let slow_start = !self.backends.is_empty();
        for backend in self.backends.values_mut() {
            backend.configured = false;
        }
        for info in infos {
            self.set_backend(info, slow_start, now);
        }
        self.drop_unused();
    }

    fn set_backend(&mut self, info: &BackendInfo, slow_start: bool, now: Time) {
        if let Some(&key) = self.by_name.get(&info.name) {
            let backend = &mut self.backends[key];
            backend.info = info.clone();
            backend.configured = true;
            return;
        }
        let key = self.backends.insert(Backend {
            info: info.clone(),
            in_use: 0,
            in_use_by: HashMap::new(),
            configured: true,
        });
        self.by_name.insert(info.name.clone(), key);
        self.router.add(key, slow_start, now);
        let leaving = self.leaving.contains(&info.name);
        self.router.set_listed_leaving(key, leaving);
    }

    fn drop_unused(&mut self) {
        let (by_name, router) = (&mut self.by_name, &mut self.router);
        self.backends.retain(|key, backend| {
            let keep = backend.configured || backend.in_use > 0;
            if !keep {
                by_name.remove(&backend.info.name);
                router.remove(key);
            }
            keep
        });
    }

    /// Sets which backend servers the platform's list shows as leaving.
    pub fn set_draining(&mut self, leaving: HashSet<BackendName>) {
        for (key, backend) in &self.backends {
            let listed = leaving.contains(&backend.info.name);
            self.router.set_listed_leaving(key, listed);
        }
        self.leaving = leaving;
    }

    /// Takes a slot, or waits for one behind the requests that came before.
    pub fn acquire(&mut self, ask: &AcquireRequest<'_>, now: Time) -> AcquireOutcome {
        self.settle(now);
        if !self.has_eligible(now) {
            let refusal = Refusal::not_run("no_backend", "no backend server takes new work");
            return AcquireOutcome::Refused(refusal.retry_after(*RETRY_MS.start() * 10));
        }
        // Requests of other VMs wait because nothing that they may take is free.
        let first_of_vm = !self.waiters.values().any(|waiter| &waiter.vm == ask.vm);
        if first_of_vm && let Some(grant) = self.grant(ask, now) {
            return AcquireOutcome::Granted(grant);
        }
        if self.queue.len() >= self.max_waiting {
            let reason = format!("{} requests wait for a slot already", self.queue.len());
            let refusal = Refusal::not_run("queue_full", reason);
            return AcquireOutcome::Refused(refusal.retry_after(self.retry_ms(now)));
        }
        let waiter = self.waiters.insert(Waiter {
            vm: ask.vm.clone(),
            zone: ask.zone.cloned(),
            tried: ask.tried.to_vec(),
            asked: now,
            valid: ask.valid,
            // The rest of the time is left to the work itself.
            until: now + ask.valid * 3 / 4,
        });
        self.queue.push_back(waiter);
        AcquireOutcome::Waiting(waiter)
    }

    /// Gives up a wait.
    pub fn cancel_wait(&mut self, waiter: WaiterKey) {
        if self.waiters.remove(waiter).is_some() {
            self.queue.retain(|&key| key != waiter);
        }
    }

    /// Gives a slot back; `false` where the grant is not known or has lapsed.
    pub fn release(&mut self, grant: &SlotGrant, used: &SlotUse, now: Time) -> bool {
        let name = name_of(grant);
        let Some(outstanding) = self.uncount(name) else {
            if let Some(takeover) = &mut self.takeover {
                takeover.released.insert(name);
            }
            return false;
        };
        self.router.finished(outstanding.backend, used, now);
        self.drain.count(now);
        self.drop_unused_one(outstanding.backend);
        true
    }

    /// Lets time pass: lapses grants, ends waits, hands free slots to waiting requests, and appends
    /// each wait that ended to `ended`.
    pub fn advance(&mut self, now: Time, ended: &mut Vec<Ended>) {
        self.settle(now);
        self.end_waits(now, ended);
        let queue = std::mem::take(&mut self.queue);
        let mut stuck: Vec<WaiterKey> = Vec::new();
        for key in queue {
            match self.serve_waiter(key, &mut stuck, now) {
                Some(grant) => ended.push((key, Ok(grant))),
                None => self.queue.push_back(key),
            }
        }
    }

    /// A slot for a waiting request. Those that got none are noted in `stuck`; requests of the same
    /// VM that tried the same backend servers get none either.
    fn serve_waiter(
        &mut self,
        key: WaiterKey,
        stuck: &mut Vec<WaiterKey>,
        now: Time,
    ) -> Option<SlotGrant> {
        let waiter = &self.waiters[key];
        let alike = |other: &WaiterKey| {
            let other = &self.waiters[*other];
            other.vm == waiter.vm && other.tried == waiter.tried
        };
        if stuck.len() >= MAX_TRIED || stuck.iter().any(alike) {
            return None;
        }
        let waiter = waiter.clone();
        let ask = AcquireRequest {
            vm: &waiter.vm,
            zone: waiter.zone.as_ref(),
            // A grant holds from when it was asked for.
            valid: (waiter.asked + waiter.valid).since(now),
            tried: &waiter.tried,
        };
        let Some(grant) = self.grant(&ask, now) else {
            stuck.push(key);
            return None;
        };
        self.waiters.remove(key);
        Some(SlotGrant {
            valid_ms: millis(waiter.valid),
            scarce: true,
            ..grant
        })
    }

    /// When [`advance`](Self::advance) has something to do at the latest; `None` while nothing
    /// waits.
    pub fn next_deadline(&self) -> Option<Time> {
        let first = *self.queue.front()?;
        let waits = self.waiters.get(first).map(|waiter| waiter.until);
        let lapse = self.lapses.first().map(|(at, _)| *at);
        let takeover = self.takeover.as_ref().map(|takeover| takeover.until);
        [waits, lapse, takeover].into_iter().flatten().min()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many slots of `backend` are taken.
    pub fn in_use(&self, backend: &BackendName) -> u32 {
        let key = self.by_name.get(backend);
        key.map_or(0, |&key| self.backends[key].in_use)
    }

    fn settle(&mut self, now: Time) {
        while let Some(&(at, name)) = self.lapses.first()
            && at <= now
        {
            if let Some(lapsed) = self.uncount(name) {
                self.drop_unused_one(lapsed.backend);
            }
        }
        let over = |t: &mut Takeover| t.unanswered.is_empty() || t.until <= now;
        self.takeover.take_if(over);
    }

    fn end_waits(&mut self, now: Time, ended: &mut Vec<Ended>) {
        let eligible = self.has_eligible(now);
        let retry_ms = self.retry_ms(now);
        let waiters = &mut self.waiters;
        self.queue.retain(|&key| {
            let over = waiters.get(key).is_none_or(|waiter| waiter.until <= now);
            if over || !eligible {
                waiters.remove(key);
                let refusal = Refusal::not_run("no_free_slot", "no slot became free in time");
                ended.push((key, Err(refusal.retry_after(retry_ms))));
            }
            !over && eligible
        });
    }

    fn grant(&mut self, ask: &AcquireRequest<'_>, now: Time) -> Option<SlotGrant> {
        let key = self.choose(ask, now)?;
        self.next_id += 1;
        let grant = SlotGrant {
            id: self.next_id,
            epoch: self.epoch,
            backend: self.backends[key].info.name.clone(),
            valid_ms: millis(ask.valid),
            scarce: false,
        };
        let outstanding = Outstanding {
            vm: ask.vm.clone(),
            backend: key,
            lapses: now + ask.valid + LAPSE_MARGIN,
        };
        self.count(name_of(&grant), outstanding);
        Some(grant)
    }

    fn count(&mut self, name: GrantName, outstanding: Outstanding) {
        let backend = &mut self.backends[outstanding.backend];
        backend.in_use += 1;
        *backend.in_use_by.entry(outstanding.vm.clone()).or_default() += 1;
        self.lapses.insert((outstanding.lapses, name));
        self.grants.insert(name, outstanding);
    }

    fn uncount(&mut self, name: GrantName) -> Option<Outstanding> {
        let outstanding = self.grants.remove(&name)?;
        self.lapses.remove(&(outstanding.lapses, name));
        let backend = &mut self.backends[outstanding.backend];
        backend.in_use -= 1;
        if let Some(used) = backend.in_use_by.get_mut(&outstanding.vm) {
            *used -= 1;
            if *used == 0 {
                backend.in_use_by.remove(&outstanding.vm);
            }
        }
        Some(outstanding)
    }

    fn drop_unused_one(&mut self, key: BackendKey) {
        let unused = |b: &Backend| !b.configured && b.in_use == 0;
        if self.backends.get(key).is_some_and(unused) {
            self.drop_unused();
        }
    }

    /// How long the requests that wait now are expected to take, in milliseconds.
    fn retry_ms(&self, now: Time) -> u64 {
        let withheld = self.takeover.as_ref().map(|t| t.until.since(now));
        let drained = self.drain.time_for(self.queue.len() + 1, now);
        let wait = withheld.unwrap_or(Duration::ZERO).max(drained);
        let ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        ms.clamp(*RETRY_MS.start(), *RETRY_MS.end())
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn name_of(grant: &SlotGrant) -> GrantName {
    (grant.epoch, grant.id)
}
