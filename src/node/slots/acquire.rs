//! Requests slots from the owner of a service, on this VM or another, and releases them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

use super::grant::ASK_AGAIN_CODE;
use super::slot::ReceivedGrant;
use super::slot_cache::MAX_REUSE_AGE;
use super::{GrantedSlot, SlotService};
use crate::config::service_shard;
use crate::decide::slots::AcquireRequest;
use crate::error::Refusal;
use crate::message::{Reply, Request, SlotGrant, SlotUse};
use crate::model::{BackendName, ServiceName};
use crate::node::api::OwnerInfo;
use crate::port::peer::PeerError;

/// The maximum number of slot requests of one service in flight to its owner. Further requests wait
/// on this VM, so that the releases of slots still get through to the owner.
const MAX_IN_FLIGHT_REQUESTS: usize = 16;

/// Interval between two lookups of the owner.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a request that waits at an owner checks that the owner is still the same.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How much longer than the requested validity to wait for a reply.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// Timeout of one attempt to release a slot.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of attempts to release a slot before its grant is left to expire.
const MAX_RELEASE_ATTEMPTS: u32 = 4;

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// When the request for which the slot is needed must have ended.
    pub deadline: Instant,
    /// Backend servers that this request has already tried.
    pub tried: &'a [BackendName],
}

/// The slot requests of this VM for one service: a limit on those in flight, and the number that
/// wait.
pub(super) struct ServiceRequests {
    in_flight: Semaphore,
    waiting: AtomicU32,
}

impl ServiceRequests {
    fn new() -> Self {
        Self {
            in_flight: Semaphore::new(MAX_IN_FLIGHT_REQUESTS),
            waiting: AtomicU32::new(0),
        }
    }
}

/// Counts a waiting request until it is dropped.
struct WaitingGuard<'a>(&'a AtomicU32);

impl<'a> WaitingGuard<'a> {
    fn new(waiting: &'a AtomicU32, max_waiting: u32) -> Option<Self> {
        let before = waiting.fetch_add(1, Ordering::Relaxed);
        let guard = Self(waiting);
        (before < max_waiting).then_some(guard)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlotService {
    /// Acquires a slot for a request; waits if none is free.
    ///
    /// # Errors
    ///
    /// Returns a refusal of certainty `not_run`: nothing was sent to a backend server.
    pub async fn acquire(self: &Arc<Self>, req: &SlotRequest<'_>) -> Result<GrantedSlot, Refusal> {
        if let Some(slot) = self.take_cached(req) {
            return Ok(slot);
        }
        let started = Instant::now();
        // A quarter of the time is reserved for the request itself.
        let wait_until = started + req.deadline.saturating_duration_since(started) * 3 / 4;
        let requests = self.requests_of(req.service);
        let max_waiting = u32::try_from(self.max_waiting(req.service)).unwrap_or(u32::MAX);
        let Some(_guard) = WaitingGuard::new(
            &requests.waiting,
            max_waiting.saturating_add(MAX_IN_FLIGHT_REQUESTS as u32),
        ) else {
            let refusal = Refusal::not_run("queue_full", "too many requests wait for a slot");
            return Err(refusal.retry_after(1_000));
        };
        let mut refusal = Refusal::not_run("no_owner", "no VM grants slots of this service now");
        while Instant::now() < wait_until {
            let latest_refusal = match self.request_from_owner(req, wait_until, &requests).await {
                Ok(slot) => return Ok(slot),
                Err(RequestError::Refused(refusal)) if refusal.code != ASK_AGAIN_CODE => {
                    return Err(refusal);
                }
                Err(RequestError::Refused(refusal)) => refusal,
                Err(RequestError::NoOwner) => refusal.clone(),
                Err(RequestError::Peer(error)) => Refusal::not_run("owner_lost", error.to_string()),
            };
            refusal = latest_refusal;
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(refusal.retry_after(500))
    }

    pub(super) fn requests_of(&self, service: &ServiceName) -> Arc<ServiceRequests> {
        let mut requests = self.requests.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(requests) = requests.get(service) {
            return requests.clone();
        }
        let created = Arc::new(ServiceRequests::new());
        requests.insert(service.clone(), created.clone());
        created
    }

    pub(super) async fn request_from_owner(
        self: &Arc<Self>,
        req: &SlotRequest<'_>,
        wait_until: Instant,
        requests: &ServiceRequests,
    ) -> Result<GrantedSlot, RequestError> {
        let shard = service_shard(req.service);
        let owner = self
            .directory
            .owner_of(&shard)
            .ok_or(RequestError::NoOwner)?;
        let requested_at = Instant::now();
        let valid = req.deadline.saturating_duration_since(requested_at);
        if owner.local {
            let local_request = AcquireRequest {
                vm: &self.identity.vm,
                zone: Some(&self.identity.zone),
                valid,
                tried: req.tried,
            };
            let reply = self.grant(req.service, &local_request).await;
            return self.accept_reply(req, requested_at, false, reply);
        }
        let permit = tokio::time::timeout_at(wait_until.into(), requests.in_flight.acquire());
        let Ok(Ok(_permit)) = permit.await else {
            let refusal = Refusal::not_run("no_free_slot", "no slot became free in time");
            return Err(RequestError::Refused(refusal.retry_after(1_000)));
        };
        // A slot may have been cached during the wait.
        if let Some(slot) = self.take_cached(req) {
            return Ok(slot);
        }
        self.request_from_peer(req, &owner).await
    }

    /// Requests a slot from another VM for as long as that VM is the owner.
    async fn request_from_peer(
        self: &Arc<Self>,
        req: &SlotRequest<'_>,
        owner: &OwnerInfo,
    ) -> Result<GrantedSlot, RequestError> {
        let requested_at = Instant::now();
        // The slot may be reused for further requests.
        let valid = req.deadline.saturating_duration_since(requested_at) + MAX_REUSE_AGE;
        let request = Request::Acquire {
            service: req.service.clone(),
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            valid_ms: u64::try_from(valid.as_millis()).unwrap_or(u64::MAX),
            tried: req.tried.to_vec(),
            zone: self.identity.zone.clone(),
        };
        let (slots, address) = (self.clone(), owner.address);
        let (service, deadline) = (req.service.clone(), req.deadline);
        // The call continues if the caller's request is dropped, so that its slot is released.
        let mut call = tokio::spawn(async move {
            let timeout = valid + REPLY_MARGIN;
            let reply = slots.peers.call(address, &request, timeout).await;
            let req = SlotRequest {
                service: &service,
                deadline,
                tried: &[],
            };
            slots.accept_reply(&req, requested_at, true, reply.map_err(RequestError::Peer)?)
        });
        let shard = service_shard(req.service);
        loop {
            tokio::select! {
                ended = &mut call => {
                    let lost = |e| RequestError::Peer(PeerError::NoReply(format!("{e}")));
                    return ended.map_err(lost)?;
                }
                () = tokio::time::sleep(OWNER_CHECK_INTERVAL) => {
                    let current = self.directory.owner_of(&shard);
                    if current.as_ref() != Some(owner) {
                        return Err(RequestError::NoOwner);
                    }
                }
            }
        }
    }

    fn accept_reply(
        self: &Arc<Self>,
        req: &SlotRequest<'_>,
        requested_at: Instant,
        is_remote: bool,
        reply: Reply,
    ) -> Result<GrantedSlot, RequestError> {
        match reply {
            Reply::Granted(slot) => {
                let grant = ReceivedGrant {
                    requested_at,
                    valid_until: requested_at + Duration::from_millis(slot.valid_ms),
                    is_remote,
                    slot,
                };
                Ok(GrantedSlot::new(self.clone(), req, grant))
            }
            Reply::Refused(refusal) => Err(RequestError::Refused(refusal)),
            _ => Err(RequestError::NoOwner),
        }
    }

    /// Releases a slot to this VM itself; returns `false` if another VM owns the service.
    pub(super) fn release_locally(
        &self,
        service: &ServiceName,
        grant: &SlotGrant,
        usage: &SlotUse,
    ) -> bool {
        let owner = self.directory.owner_of(&service_shard(service));
        if !owner.is_some_and(|owner| owner.local) {
            return false;
        }
        self.active_grants().end_use(service, grant);
        self.release_grant(service, grant, usage) == Reply::Released
    }

    /// Releases a slot to the owner of the service; if that fails, the grant expires.
    pub(super) async fn release(&self, service: &ServiceName, grant: &SlotGrant, usage: &SlotUse) {
        self.active_grants().end_use(service, grant);
        let shard = service_shard(service);
        let request = Request::Release {
            service: service.clone(),
            grant: grant.clone(),
            used: *usage,
        };
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let reply = match self.directory.owner_of(&shard) {
                Some(owner) if owner.local => Some(self.release_grant(service, grant, usage)),
                Some(owner) => {
                    let call = self.peers.call(owner.address, &request, RELEASE_TIMEOUT);
                    call.await.ok()
                }
                None => None,
            };
            if reply == Some(Reply::Released) {
                return;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        tracing::debug!(
            %service,
            id = grant.id,
            "cannot release a slot to the owner of the service; its grant expires instead"
        );
    }
}

/// Why an owner did not grant a slot.
pub(super) enum RequestError {
    /// There is no owner, or the VM that was asked is not the owner.
    NoOwner,
    /// The owner refused.
    Refused(Refusal),
    /// The call to the owner failed.
    Peer(PeerError),
}
