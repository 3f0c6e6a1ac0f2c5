//! Allocation of the slots of one service's backend servers, as done by the service's owner.
//!
//! A slot is granted for a bounded time. A grant counts against its backend server until it is
//! released or has certainly expired, and the grants never exceed the server's slots. One VM holds
//! at most half of a backend server's slots. After a change of the owner, that many slots are
//! withheld for each VM that may hold grants of earlier epochs, until the VM has reported which
//! grants it still uses or the longest of them has certainly expired. A lost VM thus costs half of
//! the slots, not all.

mod choose;
mod release_rate;
mod takeover;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;

use super::route::{BackendKey, Router};
use crate::error::Refusal;
use crate::message::{SlotGrant, SlotUse};
use crate::model::{BackendInfo, BackendName, Time, VmName, ZoneName};
use release_rate::ReleaseRate;
use takeover::Takeover;

slotmap::new_key_type! {
    /// Identifies a request that waits for a slot.
    pub struct WaiterKey;
}

/// How long a slot stays taken after its grant has expired: the holder's clock may run slower, and
/// the backend server needs some time to notice that its connection was closed.
pub const GRANT_EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of waiting requests for which a slot is searched at a time, not counting those
/// that wait for the same slots as one for which none was found.
const MAX_WAITERS_TRIED: usize = 16;

/// Minimum and maximum time after which a refused request may be retried, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=10_000;

/// Identifies a grant across epochs: the epoch and the number within it.
type GrantId = (u64, u64);

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest<'a> {
    /// Requesting VM.
    pub vm: &'a VmName,
    /// Zone of the requesting VM.
    pub zone: Option<&'a ZoneName>,
    /// Requested validity of the grant, from now.
    pub valid: Duration,
    /// Backend servers that were already tried; others are preferred.
    pub tried: &'a [BackendName],
}

/// Outcome of a request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum AcquireOutcome {
    /// A slot was granted.
    Granted(SlotGrant),
    /// The request waits; [`SlotAllocator::advance`] returns the result of the wait.
    Waiting(WaiterKey),
    /// The request was refused.
    Refused(Refusal),
}

/// Result of a request that has waited.
pub type WaitResult = (WaiterKey, Result<SlotGrant, Refusal>);

#[derive(Clone, Debug)]
struct Backend {
    info: BackendInfo,
    in_use: u32,
    in_use_by: HashMap<VmName, u32>,
    configured: bool,
}

impl Backend {
    fn in_use_by_vm(&self, vm: &VmName) -> u32 {
        self.in_use_by.get(vm).copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
struct OutstandingGrant {
    vm: VmName,
    backend: BackendKey,
    expires_at: Time,
}

#[derive(Clone, Debug)]
struct Waiter {
    vm: VmName,
    zone: Option<ZoneName>,
    tried: Vec<BackendName>,
    requested_at: Time,
    valid: Duration,
    deadline: Time,
}

/// Allocates the slots of one service during one epoch of its owner.
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
/// let mut allocator = SlotAllocator::new(7, 10);
/// allocator.set_backends(&[backend], now);
/// let request = AcquireRequest {
///     vm: &"vm-1".into(),
///     zone: None,
///     valid: Duration::from_secs(1),
///     tried: &[],
/// };
/// assert!(matches!(allocator.acquire(&request, now), AcquireOutcome::Granted(_)));
/// assert!(matches!(allocator.acquire(&request, now), AcquireOutcome::Waiting(_)));
/// ```
#[derive(Clone, Debug)]
pub struct SlotAllocator {
    epoch: u64,
    next_id: u64,
    max_waiting: usize,
    backends: SlotMap<BackendKey, Backend>,
    keys_by_name: HashMap<BackendName, BackendKey>,
    draining: HashSet<BackendName>,
    router: Router,
    grants: HashMap<GrantId, OutstandingGrant>,
    expiries: BTreeSet<(Time, GrantId)>,
    waiters: SlotMap<WaiterKey, Waiter>,
    queue: VecDeque<WaiterKey>,
    takeover: Option<Takeover>,
    release_rate: ReleaseRate,
}

impl SlotAllocator {
    /// Creates an allocator without backend servers, with at most `max_waiting` waiting requests.
    pub fn new(epoch: u64, max_waiting: usize) -> Self {
        Self {
            epoch,
            next_id: 0,
            max_waiting,
            backends: SlotMap::with_key(),
            keys_by_name: HashMap::new(),
            draining: HashSet::new(),
            router: Router::default(),
            grants: HashMap::new(),
            expiries: BTreeSet::new(),
            waiters: SlotMap::with_key(),
            queue: VecDeque::new(),
            takeover: None,
            release_rate: ReleaseRate::default(),
        }
    }

    /// Returns the epoch of the ownership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sets the maximum number of waiting requests.
    pub fn set_max_waiting(&mut self, max_waiting: usize) {
        self.max_waiting = max_waiting;
    }

    /// Sets the backend servers. A server that is added to an existing set starts slowly. A server
    /// that is no longer in the set gets no new work, and its outstanding grants remain counted.
    pub fn set_backends(&mut self, infos: &[BackendInfo], now: Time) {
        let slow_start = !self.backends.is_empty();
        for backend in self.backends.values_mut() {
            backend.configured = false;
        }
        for info in infos {
            self.set_backend(info, slow_start, now);
        }
        self.remove_unused();
    }

    fn set_backend(&mut self, info: &BackendInfo, slow_start: bool, now: Time) {
        if let Some(&key) = self.keys_by_name.get(&info.name) {
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
        self.keys_by_name.insert(info.name.clone(), key);
        self.router.add(key, slow_start, now);
        let draining = self.draining.contains(&info.name);
        self.router.set_listed_draining(key, draining);
    }

    fn remove_unused(&mut self) {
        let (keys_by_name, router) = (&mut self.keys_by_name, &mut self.router);
        self.backends.retain(|key, backend| {
            let keep = backend.configured || backend.in_use > 0;
            if !keep {
                keys_by_name.remove(&backend.info.name);
                router.remove(key);
            }
            keep
        });
    }

    /// Sets which backend servers the platform's list shows as draining.
    pub fn set_draining(&mut self, draining: HashSet<BackendName>) {
        for (key, backend) in &self.backends {
            let listed = draining.contains(&backend.info.name);
            self.router.set_listed_draining(key, listed);
        }
        self.draining = draining;
    }

    /// Acquires a slot, or queues the request behind earlier ones.
    pub fn acquire(&mut self, request: &AcquireRequest<'_>, now: Time) -> AcquireOutcome {
        self.expire(now);
        if !self.has_eligible(now) {
            let refusal = Refusal::not_run("no_backend", "no backend server takes new work");
            return AcquireOutcome::Refused(refusal.retry_after(*RETRY_AFTER_MS.start() * 10));
        }
        // Waiting requests of other VMs do not take precedence: nothing that they may take is free.
        let is_first_of_vm = !self.waiters.values().any(|waiter| &waiter.vm == request.vm);
        if is_first_of_vm && let Some(grant) = self.grant(request, now) {
            return AcquireOutcome::Granted(grant);
        }
        if self.queue.len() >= self.max_waiting {
            let reason = format!("{} requests wait for a slot already", self.queue.len());
            let refusal = Refusal::not_run("queue_full", reason);
            return AcquireOutcome::Refused(refusal.retry_after(self.retry_after_ms(now)));
        }
        let waiter = self.waiters.insert(Waiter {
            vm: request.vm.clone(),
            zone: request.zone.cloned(),
            tried: request.tried.to_vec(),
            requested_at: now,
            valid: request.valid,
            // The rest of the validity is left for the work itself.
            deadline: now + request.valid * 3 / 4,
        });
        self.queue.push_back(waiter);
        AcquireOutcome::Waiting(waiter)
    }

    /// Removes a waiting request.
    pub fn cancel_wait(&mut self, waiter: WaiterKey) {
        if self.waiters.remove(waiter).is_some() {
            self.queue.retain(|&key| key != waiter);
        }
    }

    /// Releases a slot; returns `false` if the grant is unknown or has expired.
    pub fn release(&mut self, grant: &SlotGrant, used: &SlotUse, now: Time) -> bool {
        let id = id_of(grant);
        let Some(outstanding) = self.remove_grant(id) else {
            if let Some(takeover) = &mut self.takeover {
                takeover.released.insert(id);
            }
            return false;
        };
        self.router.record_use(outstanding.backend, used, now);
        self.release_rate.record(now);
        self.remove_if_unused(outstanding.backend);
        true
    }

    /// Advances to `now`: expires grants, ends waits, hands free slots to waiting requests, and
    /// appends the result of each wait that ended to `ended`.
    pub fn advance(&mut self, now: Time, ended: &mut Vec<WaitResult>) {
        self.expire(now);
        self.end_expired_waits(now, ended);
        let queue = std::mem::take(&mut self.queue);
        let mut blocked: Vec<WaiterKey> = Vec::new();
        for key in queue {
            match self.serve_waiter(key, &mut blocked, now) {
                Some(grant) => ended.push((key, Ok(grant))),
                None => self.queue.push_back(key),
            }
        }
    }

    /// Grants a slot to a waiting request. Requests without a slot are added to `blocked`, and
    /// requests of the same VM that have tried the same backend servers are skipped.
    fn serve_waiter(
        &mut self,
        key: WaiterKey,
        blocked: &mut Vec<WaiterKey>,
        now: Time,
    ) -> Option<SlotGrant> {
        let waiter = &self.waiters[key];
        let is_alike = |other: &WaiterKey| {
            let other = &self.waiters[*other];
            other.vm == waiter.vm && other.tried == waiter.tried
        };
        if blocked.len() >= MAX_WAITERS_TRIED || blocked.iter().any(is_alike) {
            return None;
        }
        let waiter = waiter.clone();
        let request = AcquireRequest {
            vm: &waiter.vm,
            zone: waiter.zone.as_ref(),
            // The validity of a grant counts from its request.
            valid: (waiter.requested_at + waiter.valid).since(now),
            tried: &waiter.tried,
        };
        let Some(grant) = self.grant(&request, now) else {
            blocked.push(key);
            return None;
        };
        self.waiters.remove(key);
        Some(SlotGrant {
            valid_ms: millis(waiter.valid),
            scarce: true,
            ..grant
        })
    }

    /// Returns the latest time for the next call of [`advance`](Self::advance); `None` if no
    /// request waits.
    pub fn next_deadline(&self) -> Option<Time> {
        let first = *self.queue.front()?;
        let wait = self.waiters.get(first).map(|waiter| waiter.deadline);
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let takeover = self.takeover.as_ref().map(Takeover::next_deadline);
        [wait, expiry, takeover].into_iter().flatten().min()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of slots of `backend` that are in use.
    pub fn in_use(&self, backend: &BackendName) -> u32 {
        let key = self.keys_by_name.get(backend);
        key.map_or(0, |&key| self.backends[key].in_use)
    }

    fn expire(&mut self, now: Time) {
        while let Some(&(at, id)) = self.expiries.first()
            && at <= now
        {
            if let Some(expired) = self.remove_grant(id) {
                self.remove_if_unused(expired.backend);
            }
        }
        self.takeover.take_if(|takeover| takeover.advance(now));
    }

    fn end_expired_waits(&mut self, now: Time, ended: &mut Vec<WaitResult>) {
        let is_eligible = self.has_eligible(now);
        let retry_after_ms = self.retry_after_ms(now);
        let waiters = &mut self.waiters;
        self.queue.retain(|&key| {
            let is_over = waiters.get(key).is_none_or(|waiter| waiter.deadline <= now);
            if is_over || !is_eligible {
                waiters.remove(key);
                let refusal = Refusal::not_run("no_free_slot", "no slot became free in time");
                ended.push((key, Err(refusal.retry_after(retry_after_ms))));
            }
            !is_over && is_eligible
        });
    }

    fn grant(&mut self, request: &AcquireRequest<'_>, now: Time) -> Option<SlotGrant> {
        let key = self.choose(request, now)?;
        self.next_id += 1;
        let grant = SlotGrant {
            id: self.next_id,
            epoch: self.epoch,
            backend: self.backends[key].info.name.clone(),
            valid_ms: millis(request.valid),
            scarce: false,
        };
        let outstanding = OutstandingGrant {
            vm: request.vm.clone(),
            backend: key,
            expires_at: now + request.valid + GRANT_EXPIRY_MARGIN,
        };
        self.add_grant(id_of(&grant), outstanding);
        Some(grant)
    }

    fn add_grant(&mut self, id: GrantId, outstanding: OutstandingGrant) {
        let backend = &mut self.backends[outstanding.backend];
        backend.in_use += 1;
        *backend.in_use_by.entry(outstanding.vm.clone()).or_default() += 1;
        self.expiries.insert((outstanding.expires_at, id));
        self.grants.insert(id, outstanding);
    }

    fn remove_grant(&mut self, id: GrantId) -> Option<OutstandingGrant> {
        let outstanding = self.grants.remove(&id)?;
        self.expiries.remove(&(outstanding.expires_at, id));
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

    fn remove_if_unused(&mut self, key: BackendKey) {
        let is_unused = |b: &Backend| !b.configured && b.in_use == 0;
        if self.backends.get(key).is_some_and(is_unused) {
            self.remove_unused();
        }
    }

    /// Returns the expected time until all requests that wait now are served, in milliseconds.
    fn retry_after_ms(&self, now: Time) -> u64 {
        let withheld = self.takeover.as_ref().map(|t| t.deadline.since(now));
        let release_time = self.release_rate.time_for(self.queue.len() + 1, now);
        let wait = withheld.unwrap_or(Duration::ZERO).max(release_time);
        let ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn id_of(grant: &SlotGrant) -> GrantId {
    (grant.epoch, grant.id)
}
