//! The asking side: a slot from whichever VM owns the service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

use super::keep::ASK_AGAIN;
use super::kept::REUSE;
use super::slot::Grant;
use super::{GrantedSlot, SlotService};
use crate::config::service_shard;
use crate::decide::slots::AcquireRequest;
use crate::error::Refusal;
use crate::message::{Reply, Request, SlotGrant, SlotUse};
use crate::model::{BackendName, ServiceName};
use crate::node::api::OwnerInfo;
use crate::port::peer::PeerError;

/// The most requests for slots of one service that are under way to its owner; the rest waits here,
/// so that slots that are given back find their way.
const MAX_ASKING: usize = 16;

/// How long to wait before the owner is looked up again.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// How often a wait at an owner checks that the owner is still the same.
const OWNER_CHECK: Duration = Duration::from_millis(100);

/// How much longer than the validity a reply is waited for.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// How long one attempt to give a slot back may take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// How many times a slot is given back before it is left to lapse.
const MAX_RELEASES: u32 = 4;

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Backend servers that were tried before.
    pub tried: &'a [BackendName],
}

/// Requests of this VM that wait for slots of one service.
pub(super) struct Asks {
    asking: Semaphore,
    waiting: AtomicU32,
}

impl Asks {
    fn new() -> Self {
        Self {
            asking: Semaphore::new(MAX_ASKING),
            waiting: AtomicU32::new(0),
        }
    }
}

/// Counts one waiting request.
struct Counted<'a>(&'a AtomicU32);

impl<'a> Counted<'a> {
    fn new(waiting: &'a AtomicU32, most: u32) -> Option<Self> {
        let before = waiting.fetch_add(1, Ordering::Relaxed);
        let counted = Self(waiting);
        (before < most).then_some(counted)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlotService {
    /// Takes a slot for a request, after a wait where none is free.
    ///
    /// # Errors
    ///
    /// Returns a refusal of certainty `not_run`: nothing was sent.
    pub async fn acquire(self: &Arc<Self>, ask: &SlotRequest<'_>) -> Result<GrantedSlot, Refusal> {
        if let Some(slot) = self.take_kept(ask) {
            return Ok(slot);
        }
        let begun = Instant::now();
        // A part of the time is left to the work itself.
        let until = begun + ask.deadline.saturating_duration_since(begun) * 3 / 4;
        let asks = self.asks_of(ask.service);
        let most = u32::try_from(self.max_waiting(ask.service)).unwrap_or(u32::MAX);
        let Some(_counted) = Counted::new(&asks.waiting, most.saturating_add(MAX_ASKING as u32))
        else {
            let refusal = Refusal::not_run("queue_full", "too many requests wait for a slot");
            return Err(refusal.retry_after(1_000));
        };
        let mut refusal = Refusal::not_run("no_owner", "no VM grants slots of this service now");
        while Instant::now() < until {
            let again = match self.ask_owner(ask, until, &asks).await {
                Ok(slot) => return Ok(slot),
                Err(AskError::Refused(refusal)) if refusal.code != ASK_AGAIN => {
                    return Err(refusal);
                }
                Err(AskError::Refused(refusal)) => refusal,
                Err(AskError::NoOwner) => refusal.clone(),
                Err(AskError::Peer(error)) => Refusal::not_run("owner_lost", error.to_string()),
            };
            refusal = again;
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        Err(refusal.retry_after(500))
    }

    pub(super) fn asks_of(&self, service: &ServiceName) -> Arc<Asks> {
        let mut asks = self.asks.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(asks) = asks.get(service) {
            return asks.clone();
        }
        let made = Arc::new(Asks::new());
        asks.insert(service.clone(), made.clone());
        made
    }

    pub(super) async fn ask_owner(
        self: &Arc<Self>,
        ask: &SlotRequest<'_>,
        until: Instant,
        asks: &Asks,
    ) -> Result<GrantedSlot, AskError> {
        let shard = service_shard(ask.service);
        let owner = self.directory.owner_of(&shard).ok_or(AskError::NoOwner)?;
        let asked = Instant::now();
        let valid = ask.deadline.saturating_duration_since(asked);
        if owner.local {
            let local = AcquireRequest {
                vm: &self.identity.vm,
                zone: Some(&self.identity.zone),
                valid,
                tried: ask.tried,
            };
            let reply = self.grant(ask.service, &local).await;
            return self.granted(ask, asked, false, reply);
        }
        let permit = tokio::time::timeout_at(until.into(), asks.asking.acquire());
        let Ok(Ok(_permit)) = permit.await else {
            let refusal = Refusal::not_run("no_free_slot", "no slot became free in time");
            return Err(AskError::Refused(refusal.retry_after(1_000)));
        };
        // One may have become free during the wait.
        if let Some(slot) = self.take_kept(ask) {
            return Ok(slot);
        }
        self.ask_remote(ask, &owner).await
    }

    /// Asks another VM, for as long as it is the owner.
    async fn ask_remote(
        self: &Arc<Self>,
        ask: &SlotRequest<'_>,
        owner: &OwnerInfo,
    ) -> Result<GrantedSlot, AskError> {
        let asked = Instant::now();
        // The slot may serve further requests for a moment.
        let valid = ask.deadline.saturating_duration_since(asked) + REUSE;
        let request = Request::Acquire {
            service: ask.service.clone(),
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            valid_ms: u64::try_from(valid.as_millis()).unwrap_or(u64::MAX),
            tried: ask.tried.to_vec(),
            zone: self.identity.zone.clone(),
        };
        let (slots, address) = (self.clone(), owner.address);
        let (service, deadline) = (ask.service.clone(), ask.deadline);
        // The call outlives a caller that goes away, so that a slot it brings is given back.
        let mut call = tokio::spawn(async move {
            let timeout = valid + REPLY_MARGIN;
            let reply = slots.peers.call(address, &request, timeout).await;
            let ask = SlotRequest {
                service: &service,
                deadline,
                tried: &[],
            };
            slots.granted(&ask, asked, true, reply.map_err(AskError::Peer)?)
        });
        let shard = service_shard(ask.service);
        loop {
            tokio::select! {
                ended = &mut call => {
                    let lost = |e| AskError::Peer(PeerError::NoReply(format!("{e}")));
                    return ended.map_err(lost)?;
                }
                () = tokio::time::sleep(OWNER_CHECK) => {
                    let current = self.directory.owner_of(&shard);
                    if current.as_ref() != Some(owner) {
                        return Err(AskError::NoOwner);
                    }
                }
            }
        }
    }

    fn granted(
        self: &Arc<Self>,
        ask: &SlotRequest<'_>,
        asked: Instant,
        remote: bool,
        reply: Reply,
    ) -> Result<GrantedSlot, AskError> {
        match reply {
            Reply::Granted(slot) => {
                let grant = Grant {
                    asked,
                    valid_until: asked + Duration::from_millis(slot.valid_ms),
                    remote,
                    slot,
                };
                Ok(GrantedSlot::new(self.clone(), ask, grant))
            }
            Reply::Refused(refusal) => Err(AskError::Refused(refusal)),
            _ => Err(AskError::NoOwner),
        }
    }

    /// Gives a slot back to this VM itself; `false` where another VM owns the service.
    pub(super) fn release_locally(
        &self,
        service: &ServiceName,
        grant: &SlotGrant,
        used: &SlotUse,
    ) -> bool {
        let owner = self.directory.owner_of(&service_shard(service));
        if !owner.is_some_and(|owner| owner.local) {
            return false;
        }
        self.held().end(service, grant);
        self.take_back(service, grant, used) == Reply::Released
    }

    /// Gives a slot back to whichever VM owns the service; a slot that cannot be given back lapses.
    pub(super) async fn release(&self, service: &ServiceName, grant: &SlotGrant, used: &SlotUse) {
        self.held().end(service, grant);
        let shard = service_shard(service);
        let request = Request::Release {
            service: service.clone(),
            grant: grant.clone(),
            used: *used,
        };
        for _ in 0..MAX_RELEASES {
            let reply = match self.directory.owner_of(&shard) {
                Some(owner) if owner.local => Some(self.take_back(service, grant, used)),
                Some(owner) => {
                    let call = self.peers.call(owner.address, &request, RELEASE_TIMEOUT);
                    call.await.ok()
                }
                None => None,
            };
            if reply == Some(Reply::Released) {
                return;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        tracing::debug!(%service, id = grant.id, "a slot was not given back and will lapse");
    }
}

/// Why an owner gave no slot.
pub(super) enum AskError {
    /// There is none, or another one.
    NoOwner,
    /// It refused.
    Refused(Refusal),
    /// It did not answer.
    Peer(PeerError),
}
