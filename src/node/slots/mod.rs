//! Slots of backend servers: granting them as an owner, and requesting them as an entry VM.
//!
//! As the owner of a service, a VM grants slots from the service's
//! [`SlotAllocator`](crate::decide::slots::SlotAllocator). As an entry VM, it requests a slot from
//! the owner for each request of a caller, uses the slot while the grant is valid, and releases it.
//! A VM that has lost a service, and a VM that the new owner has asked for its grants, use no grant
//! of an earlier epoch for a new request.

mod acquire;
mod active_grants;
mod grant;
mod pause_detector;
mod slot;
mod slot_cache;
mod takeover;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

pub use acquire::SlotRequest;
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
use crate::port::peer::SharedPeerClient;
use acquire::ServiceRequests;
use active_grants::ActiveGrants;
use grant::ServiceSlots;
use pause_detector::PauseDetector;
use slot_cache::{MAX_REUSE_AGE, SlotCache};

/// The identity of this process among the VMs.
#[derive(Clone, Debug)]
pub struct VmIdentity {
    /// The VM.
    pub vm: VmName,
    /// The process on the VM.
    pub incarnation: u64,
    /// The availability zone of the VM.
    pub zone: ZoneName,
}

/// Grants slots of the services that this VM owns, and requests slots of any service.
///
/// Its methods must be called within a tokio runtime.
pub struct SlotService {
    identity: VmIdentity,
    directory: Arc<dyn ShardDirectory>,
    peers: SharedPeerClient,
    config: Arc<ConfigHolder>,
    clock: Clock,
    weak_self: Weak<Self>,
    state: Mutex<State>,
    active_grants: Mutex<ActiveGrants>,
    requests: Mutex<HashMap<ServiceName, Arc<ServiceRequests>>>,
    cache: Mutex<SlotCache>,
}

#[derive(Default)]
struct State {
    owned: HashMap<ServiceName, ServiceSlots>,
    draining: HashSet<BackendName>,
    recent_vms: HashMap<VmName, (VmInfo, Time)>,
    max_grant_validity: Duration,
    pause_detector: PauseDetector,
}

impl SlotService {
    /// Creates a slot service that does not own the slots of any service yet.
    pub fn new(
        identity: VmIdentity,
        directory: Arc<dyn ShardDirectory>,
        peers: SharedPeerClient,
        config: Arc<ConfigHolder>,
    ) -> Arc<Self> {
        let service = Arc::new_cyclic(|weak_self| Self {
            identity,
            directory,
            peers,
            config,
            clock: Clock::start(),
            weak_self: weak_self.clone(),
            state: Mutex::default(),
            active_grants: Mutex::default(),
            requests: Mutex::default(),
            cache: Mutex::default(),
        });
        let weak = Arc::downgrade(&service);
        tokio::spawn(takeover::watch_vms(weak));
        service
    }

    /// Creates the slot service of the node that `parts` belong to.
    pub fn for_node(parts: &SlotServiceParts) -> Arc<Self> {
        let identity = VmIdentity {
            vm: parts.me.vm.clone(),
            incarnation: parts.me.incarnation,
            zone: parts.settings.zone.clone(),
        };
        let (directory, peers) = (parts.directory.clone(), parts.peers.clone());
        Self::new(identity, directory, peers, parts.config.clone())
    }

    /// The number of requests that wait for slots of all services that this VM owns.
    pub fn total_waiting_requests(&self) -> usize {
        let state = self.state();
        state
            .owned
            .values()
            .map(|owned| owned.allocator.waiting())
            .sum()
    }

    /// The number of granted slots of `backend`; 0 if this VM does not own `service`.
    pub fn in_use(&self, service: &ServiceName, backend: &BackendName) -> u32 {
        let state = self.state();
        let owned = state.owned.get(service);
        owned.map_or(0, |owned| owned.allocator.in_use(backend))
    }

    /// Sets whether slots that other VMs granted are cached for further requests, which is the
    /// default. Otherwise each request asks the owner for a slot.
    pub fn set_reuse(&self, reuse: bool) {
        self.cache().set_enabled(reuse);
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
        let service_config = cfg.service.get(service)?;
        Some(Duration::from_millis(service_config.timeout_ms))
    }

    fn max_waiting(&self, service: &ServiceName) -> usize {
        let cfg = self.config();
        let service_config = cfg.service.get(service);
        service_config.map_or(0, |service_config| service_config.max_waiting as usize)
    }

    /// Whether this VM owns `service` under `epoch` now. After a pause of the process, the
    /// directory counts as stale until there was time to read it again.
    fn owns(&self, state: &State, service: &ServiceName, epoch: u64) -> bool {
        if state.pause_detector.is_directory_stale(self.now()) {
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

    fn cache(&self) -> MutexGuard<'_, SlotCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn active_grants(&self) -> MutexGuard<'_, ActiveGrants> {
        self.active_grants
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotGranter for SlotService {
    fn start_granting(&self, service: &ServiceName, epoch: u64) {
        let (now, cfg) = (self.now(), self.config());
        let mut owned = ServiceSlots::new(epoch, self.max_waiting(service));
        let mut state = self.state();
        state.raise_max_grant_validity(&cfg);
        owned.allocator.set_draining(state.draining.clone());
        owned.allocator.set_backends(&cfg.backends_of(service), now);
        // There are no grants of an epoch before the first.
        if epoch > 1
            && let Some(slots) = self.weak_self.upgrade()
        {
            let holders = state.update_possible_holders(self.directory.live_vms(), now);
            let names = holders.iter().map(|holder| holder.vm.clone());
            owned
                .allocator
                .take_over(names, state.max_grant_validity, now);
            tokio::spawn(takeover::query_holders(
                slots,
                service.clone(),
                epoch,
                holders,
            ));
        }
        let wake = owned.wake.clone();
        tokio::spawn(grant::run_ticks(
            self.weak_self.clone(),
            service.clone(),
            epoch,
            wake,
        ));
        state.owned.insert(service.clone(), owned);
    }

    fn waiting_requests(&self, service: &ServiceName) -> u64 {
        let state = self.state();
        let owned = state.owned.get(service);
        owned.map_or(0, |owned| owned.allocator.waiting() as u64)
    }

    fn granted_slots(&self, service: &ServiceName) -> u64 {
        let backends = self.config().backends_of(service);
        let granted = backends
            .iter()
            .map(|backend| u64::from(self.in_use(service, &backend.name)));
        granted.sum()
    }

    fn stop_granting(&self, service: &ServiceName) {
        // Dropping the waiters makes their requests look up the next owner.
        self.state().owned.remove(service);
    }

    fn configure(&self, cfg: &CellConfig) {
        let now = self.now();
        let mut state = self.state();
        state.raise_max_grant_validity(cfg);
        for (service, owned) in &mut state.owned {
            owned.allocator.set_backends(&cfg.backends_of(service), now);
            if let Some(service_config) = cfg.service.get(service) {
                let max_waiting = service_config.max_waiting as usize;
                owned.allocator.set_max_waiting(max_waiting);
            }
            owned.advance(now);
        }
    }

    fn set_leaving(&self, draining: &[String]) {
        let now = self.now();
        let draining: HashSet<BackendName> = draining.iter().map(BackendName::new).collect();
        let mut state = self.state();
        for owned in state.owned.values_mut() {
            owned.allocator.set_draining(draining.clone());
            owned.advance(now);
        }
        state.draining = draining;
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
                    let req = AcquireRequest {
                        vm: &vm,
                        zone: Some(&zone),
                        valid: Duration::from_millis(valid_ms),
                        tried: &tried,
                    };
                    self.grant(&service, &req).await
                }
                Request::Release {
                    service,
                    grant,
                    used,
                } => self.release_grant(&service, &grant, &used),
                Request::HeldSlots { service, epoch } => Reply::Held {
                    incarnation: self.identity.incarnation,
                    grants: self.active_grants().fence(&service, epoch, Instant::now()),
                },
                _ => Reply::NotOwner,
            }
        })
    }
}

impl State {
    /// Raises the maximum validity of grants to that of `cfg`.
    fn raise_max_grant_validity(&mut self, cfg: &CellConfig) {
        let max_timeout = cfg
            .service
            .values()
            .map(|service_config| service_config.timeout_ms)
            .max();
        let max_validity = Duration::from_millis(max_timeout.unwrap_or(0)) + MAX_REUSE_AGE;
        self.max_grant_validity = self.max_grant_validity.max(max_validity);
    }

    /// Records that `vms` are live now. Returns all VMs that may hold grants: those that were live
    /// within the maximum validity of a grant.
    fn update_possible_holders(&mut self, vms: Vec<VmInfo>, now: Time) -> Vec<VmInfo> {
        for vm in vms {
            self.recent_vms.insert(vm.vm.clone(), (vm, now));
        }
        let max_grant_validity = self.max_grant_validity;
        self.recent_vms
            .retain(|_, (_, seen_at)| now.since(*seen_at) <= max_grant_validity);
        self.recent_vms.values().map(|(vm, _)| vm.clone()).collect()
    }
}
