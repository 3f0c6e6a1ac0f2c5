//! Slots of backend servers: the owner's side and the asking side of one VM.
//!
//! As the owner of a service, a VM grants slots out of the service's
//! [`SlotAllocator`](crate::decide::slots::SlotAllocator). As an entry VM, it asks the owner for a slot per
//! request, uses it within its time and gives it back. A VM that lost a service and a VM
//! that the new owner asked use no grant of an earlier epoch for a new request.

mod ask;
mod held;
mod keep;
mod kept;
mod pauses;
mod slot;
mod takeover;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

pub use ask::SlotRequest;
pub use slot::{ActiveSlot, GrantedSlot};

use crate::config::{CellConfig, service_shard};
use crate::decide::slots::AcquireRequest;
use crate::message::{Reply, Request};
use crate::model::{BackendName, ServiceName, Time, VmName, ZoneName};
use crate::node::api::{ShardDirectory, VmInfo};
use crate::node::clock::Clock;
use crate::node::config::ConfigHolder;
use crate::node::slot_granter::SlotGranter;
use crate::node::start::SlotServiceParts;
use crate::port::BoxFuture;
use crate::port::peer::SharedPeers;
use ask::Asks;
use held::Held;
use keep::Owned;
use kept::{Kept, REUSE};
use pauses::Pauses;

/// Who this process is among the VMs.
#[derive(Clone, Debug)]
pub struct VmIdentity {
    /// The VM.
    pub vm: VmName,
    /// The process on it.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Grants slots of the services that this VM owns, and asks for slots of any service.
///
/// Its methods must be called within a tokio runtime.
pub struct SlotService {
    identity: VmIdentity,
    directory: Arc<dyn ShardDirectory>,
    peers: SharedPeers,
    config: Arc<ConfigHolder>,
    clock: Clock,
    me: Weak<Self>,
    state: Mutex<State>,
    held: Mutex<Held>,
    asks: Mutex<HashMap<ServiceName, Arc<Asks>>>,
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct State {
    owned: HashMap<ServiceName, Owned>,
    leaving: HashSet<BackendName>,
    seen: HashMap<VmName, (VmInfo, Time)>,
    longest: Duration,
    pauses: Pauses,
}

impl SlotService {
    /// A service that owns nothing yet.
    pub fn new(
        identity: VmIdentity,
        directory: Arc<dyn ShardDirectory>,
        peers: SharedPeers,
        config: Arc<ConfigHolder>,
    ) -> Arc<Self> {
        let service = Arc::new_cyclic(|me| Self {
            identity,
            directory,
            peers,
            config,
            clock: Clock::start(),
            me: me.clone(),
            state: Mutex::default(),
            held: Mutex::default(),
            asks: Mutex::default(),
            kept: Mutex::default(),
        });
        let weak = Arc::downgrade(&service);
        tokio::spawn(takeover::watch_vms(weak));
        service
    }

    /// The slots of the node that `parts` belong to.
    pub fn of_node(parts: &SlotServiceParts) -> Arc<Self> {
        let identity = VmIdentity {
            vm: parts.me.vm.clone(),
            incarnation: parts.me.incarnation,
            zone: parts.settings.zone.clone(),
        };
        let (directory, peers) = (parts.directory.clone(), parts.peers.clone());
        Self::new(identity, directory, peers, parts.config.clone())
    }

    /// How many requests wait at this VM as an owner, over all services.
    pub fn waiting(&self) -> usize {
        let state = self.state();
        state
            .owned
            .values()
            .map(|owned| owned.keeper.waiting())
            .sum()
    }

    /// How many slots of `backend` are taken, as far as this VM owns `service`.
    pub fn in_use(&self, service: &ServiceName, backend: &BackendName) -> u32 {
        let state = self.state();
        let owned = state.owned.get(service);
        owned.map_or(0, |owned| owned.keeper.in_use(backend))
    }

    /// Sets whether slots of other VMs are kept for further requests, as they are at first; without
    /// that each request asks the owner.
    pub fn set_reuse(&self, reuse: bool) {
        self.kept().set_enabled(reuse);
    }

    /// Whether the configuration in force is known.
    pub fn is_ready(&self) -> bool {
        self.config.is_ready()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<CellConfig> {
        self.config.config()
    }

    fn timeout(&self, service: &ServiceName) -> Option<Duration> {
        let cfg = self.config();
        let described = cfg.service.get(service)?;
        Some(Duration::from_millis(described.timeout_ms))
    }

    fn max_waiting(&self, service: &ServiceName) -> usize {
        let cfg = self.config();
        let described = cfg.service.get(service);
        described.map_or(0, |described| described.max_waiting as usize)
    }

    /// Whether this VM is the owner of `service` under `epoch` at this moment. After a pause of
    /// the process the directory is not believed until it had time to be read again.
    fn owns(&self, state: &State, service: &ServiceName, epoch: u64) -> bool {
        if state.pauses.is_suspect(self.now()) {
            return false;
        }
        let owner = self.directory.owner_of(&service_shard(service));
        owner.is_some_and(|owner| owner.local && owner.epoch == epoch)
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotGranter for SlotService {
    fn start_granting(&self, service: &ServiceName, epoch: u64) {
        let (now, cfg) = (self.now(), self.config());
        let mut owned = Owned::new(epoch, self.max_waiting(service));
        let mut state = self.state();
        state.note_timeouts(&cfg);
        owned.keeper.set_draining(state.leaving.clone());
        owned.keeper.set_backends(&cfg.backends_of(service), now);
        // No grant can be older than the first epoch.
        if epoch > 1
            && let Some(slots) = self.me.upgrade()
        {
            let asked = state.may_hold(self.directory.live_vms(), now);
            let names = asked.iter().map(|known| known.vm.clone());
            owned.keeper.take_over(names, state.longest, now);
            tokio::spawn(takeover::ask_all(slots, service.clone(), epoch, asked));
        }
        let wake = owned.wake.clone();
        tokio::spawn(keep::tick(self.me.clone(), service.clone(), epoch, wake));
        state.owned.insert(service.clone(), owned);
    }

    fn waiting_requests(&self, service: &ServiceName) -> u64 {
        let state = self.state();
        let owned = state.owned.get(service);
        owned.map_or(0, |owned| owned.keeper.waiting() as u64)
    }

    fn granted_slots(&self, service: &ServiceName) -> u64 {
        let backends = self.config().backends_of(service);
        let held = backends
            .iter()
            .map(|backend| u64::from(self.in_use(service, &backend.name)));
        held.sum()
    }

    fn stop_granting(&self, service: &ServiceName) {
        // Requests that wait are told to ask the next owner.
        self.state().owned.remove(service);
    }

    fn configure(&self, cfg: &CellConfig) {
        let now = self.now();
        let mut state = self.state();
        state.note_timeouts(cfg);
        for (service, owned) in &mut state.owned {
            owned.keeper.set_backends(&cfg.backends_of(service), now);
            if let Some(described) = cfg.service.get(service) {
                let max_waiting = described.max_waiting as usize;
                owned.keeper.set_max_waiting(max_waiting);
            }
            owned.serve(now);
        }
    }

    fn set_leaving(&self, leaving: &[String]) {
        let now = self.now();
        let leaving: HashSet<BackendName> = leaving.iter().map(BackendName::new).collect();
        let mut state = self.state();
        for owned in state.owned.values_mut() {
            owned.keeper.set_draining(leaving.clone());
            owned.serve(now);
        }
        state.leaving = leaving;
    }

    fn handle(&self, request: Request) -> BoxFuture<'_, Reply> {
        Box::pin(async move {
            match request {
                Request::Acquire {
                    service,
                    vm,
                    valid_ms,
                    tried,
                    zone,
                    ..
                } => {
                    let ask = AcquireRequest {
                        vm: &vm,
                        zone: Some(&zone),
                        valid: Duration::from_millis(valid_ms),
                        tried: &tried,
                    };
                    self.grant(&service, &ask).await
                }
                Request::Release {
                    service,
                    grant,
                    used,
                } => self.take_back(&service, &grant, &used),
                Request::HeldSlots { service, epoch } => {
                    Reply::Held(self.held().fence(&service, epoch, Instant::now()))
                }
                _ => Reply::NotOwner,
            }
        })
    }
}

impl State {
    /// Raises the longest time for which a grant may hold.
    fn note_timeouts(&mut self, cfg: &CellConfig) {
        let most = cfg
            .service
            .values()
            .map(|described| described.timeout_ms)
            .max();
        let most = Duration::from_millis(most.unwrap_or(0)) + REUSE;
        self.longest = self.longest.max(most);
    }

    /// `vms` and those that were seen lately.
    fn may_hold(&mut self, vms: Vec<VmInfo>, now: Time) -> Vec<VmInfo> {
        for known in vms {
            self.seen.insert(known.vm.clone(), (known, now));
        }
        let longest = self.longest;
        self.seen.retain(|_, (_, at)| now.since(*at) <= longest);
        self.seen.values().map(|(known, _)| known.clone()).collect()
    }
}
