//! A slot on the VM that requested it, from its grant to its release.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::grant::UNUSED;
use super::{SlotRequest, SlotService};
use crate::message::{SlotGrant, SlotUse};
use crate::model::{BackendName, ServiceName};

/// Delay before the slot of an aborted request is released, so that the backend server notices the
/// closed connection before the slot is granted again.
const ABORT_MARGIN: Duration = Duration::from_millis(100);

/// A granted slot on which nothing was sent yet; dropping it releases it.
#[derive(Debug)]
pub struct GrantedSlot(SlotGuard);

/// A slot on which a request was sent. It is released by [`ActiveSlot::release`], or some time
/// after it was dropped.
#[derive(Debug)]
pub struct ActiveSlot(SlotGuard);

/// A grant as this VM received it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedGrant {
    pub(super) slot: SlotGrant,
    /// When the grant was requested.
    pub(super) requested_at: Instant,
    /// When the grant expires.
    pub(super) valid_until: Instant,
    /// Whether another VM granted it.
    pub(super) is_remote: bool,
}

struct SlotGuard {
    slots: Arc<SlotService>,
    service: ServiceName,
    grant: ReceivedGrant,
    /// When the request on the slot must have ended.
    deadline: Instant,
    usage: SlotUse,
    /// Whether a request may still be in flight at the backend server.
    in_flight: bool,
    /// Whether the grant was taken out, so that dropping the guard does not release it.
    transferred: bool,
}

impl GrantedSlot {
    pub(super) fn new(
        slots: Arc<SlotService>,
        req: &SlotRequest<'_>,
        grant: ReceivedGrant,
    ) -> Self {
        Self(SlotGuard {
            slots,
            service: req.service.clone(),
            deadline: grant.valid_until.min(req.deadline),
            grant,
            usage: UNUSED,
            in_flight: false,
            transferred: false,
        })
    }

    /// Takes the grant out; the caller must then release it.
    pub(super) fn into_grant(mut self) -> ReceivedGrant {
        self.0.transferred = true;
        self.0.grant.clone()
    }

    /// The backend server.
    pub fn backend(&self) -> &BackendName {
        &self.0.grant.slot.backend
    }

    /// When the slot must no longer be used.
    pub fn deadline(&self) -> Instant {
        self.0.deadline
    }

    /// Begins to use the slot; called right before the request is sent. Returns `None` if the slot
    /// has expired or the service has a new owner.
    pub fn activate(mut self) -> Option<ActiveSlot> {
        let guard = &mut self.0;
        let mut active_grants = guard.slots.active_grants();
        let now = Instant::now();
        let may_use =
            active_grants.begin_use(&guard.service, &guard.grant.slot, guard.deadline, now);
        drop(active_grants);
        if !may_use {
            return None;
        }
        guard.in_flight = true;
        Some(ActiveSlot(self.0))
    }

    /// Releases the slot after the backend server could not be reached.
    pub fn release_unreachable(mut self) {
        self.0.usage = SlotUse {
            succeeded: false,
            ..UNUSED
        };
    }
}

impl ActiveSlot {
    /// The backend server.
    pub fn backend(&self) -> &BackendName {
        &self.0.grant.slot.backend
    }

    /// When the request must have ended.
    pub fn deadline(&self) -> Instant {
        self.0.deadline
    }

    /// Releases the slot; called once the response was read to its end, or if nothing was sent.
    pub fn release(mut self, usage: SlotUse) {
        self.0.usage = usage;
        self.0.in_flight = false;
    }

    /// Releases the slot after a short delay; called once the connection was closed during the
    /// request.
    pub fn release_aborted(mut self, usage: SlotUse) {
        self.0.usage = usage;
    }
}

impl std::fmt::Debug for SlotGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut debug = f.debug_struct("SlotGuard");
        debug.field("grant", &self.grant).finish_non_exhaustive()
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.transferred {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (slots, service) = (self.slots.clone(), self.service.clone());
        let (grant, usage) = (self.grant.slot.clone(), self.usage);
        let in_flight = self.in_flight;
        if !in_flight && slots.try_cache(&service, &self.grant, &usage) {
            return;
        }
        if !in_flight && slots.release_locally(&service, &grant, &usage) {
            return;
        }
        runtime.spawn(async move {
            if in_flight {
                tokio::time::sleep(ABORT_MARGIN).await;
            }
            slots.release(&service, &grant, &usage).await;
        });
    }
}
