//! A slot on the asking side, from its grant to its return.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::keep::UNUSED;
use super::{SlotRequest, SlotService};
use crate::message::{SlotGrant, SlotUse};
use crate::model::{BackendName, ServiceName};

/// How long a slot is kept after its request was cut off, so that the backend server notices the
/// closed connection before the slot is granted again.
const CUT_MARGIN: Duration = Duration::from_millis(100);

/// A slot that was granted and on which nothing was sent yet; dropping it gives it back.
#[derive(Debug)]
pub struct GrantedSlot(Lease);

/// A slot on which a request was sent. It is given back by [`ActiveSlot::release`], or some time
/// after it was dropped.
#[derive(Debug)]
pub struct ActiveSlot(Lease);

/// A grant as this VM got it.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) slot: SlotGrant,
    /// When it was asked for.
    pub(super) asked: Instant,
    /// When it ends.
    pub(super) valid_until: Instant,
    /// Whether another VM granted it.
    pub(super) remote: bool,
}

struct Lease {
    slots: Arc<SlotService>,
    service: ServiceName,
    grant: Grant,
    /// When the request on it must have ended.
    deadline: Instant,
    used: SlotUse,
    /// Whether a request may be under way at the backend server still.
    under_way: bool,
    /// Whether the grant lives on elsewhere.
    moved: bool,
}

impl GrantedSlot {
    pub(super) fn new(slots: Arc<SlotService>, ask: &SlotRequest<'_>, grant: Grant) -> Self {
        Self(Lease {
            slots,
            service: ask.service.clone(),
            deadline: grant.valid_until.min(ask.deadline),
            grant,
            used: UNUSED,
            under_way: false,
            moved: false,
        })
    }

    /// Takes the grant out, which is then given back by others.
    pub(super) fn into_grant(mut self) -> Grant {
        self.0.moved = true;
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

    /// Begins to use the slot; called right before the request is sent. `None` where its time is
    /// over or the service has a new owner.
    pub fn activate(mut self) -> Option<ActiveSlot> {
        let lease = &mut self.0;
        let mut held = lease.slots.held();
        let now = Instant::now();
        let begun = held.begin(&lease.service, &lease.grant.slot, lease.deadline, now);
        drop(held);
        if !begun {
            return None;
        }
        lease.under_way = true;
        Some(ActiveSlot(self.0))
    }

    /// Gives the slot back after the backend server could not be reached.
    pub fn release_unreachable(mut self) {
        self.0.used = SlotUse {
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

    /// Gives the slot back; called once the answer was read to its end or nothing was sent.
    pub fn release(mut self, used: SlotUse) {
        self.0.used = used;
        self.0.under_way = false;
    }

    /// Gives the slot back a moment later; called once the connection was closed during the
    /// request.
    pub fn release_aborted(mut self, used: SlotUse) {
        self.0.used = used;
    }
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut shown = f.debug_struct("Lease");
        shown.field("grant", &self.grant).finish_non_exhaustive()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.moved {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (slots, service) = (self.slots.clone(), self.service.clone());
        let (grant, used) = (self.grant.slot.clone(), self.used);
        let under_way = self.under_way;
        if !under_way && slots.keep(&service, &self.grant, &used) {
            return;
        }
        if !under_way && slots.release_locally(&service, &grant, &used) {
            return;
        }
        runtime.spawn(async move {
            if under_way {
                tokio::time::sleep(CUT_MARGIN).await;
            }
            slots.release(&service, &grant, &used).await;
        });
    }
}
