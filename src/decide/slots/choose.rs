//! Selection of the backend server whose slot a request gets.

use slotmap::Key;

use super::{AcquireRequest, SlotAllocator};
use crate::decide::route::BackendKey;
use crate::model::Time;

impl SlotAllocator {
    /// Returns whether any backend server takes new work.
    pub(super) fn has_eligible(&self, now: Time) -> bool {
        let mut backends = self.backends.iter();
        backends
            .any(|(key, b)| b.configured && b.info.slots > 0 && !self.router.is_draining(key, now))
    }

    /// Returns the cheapest backend server with a free slot. A backend server that the request has
    /// already tried is chosen only if no other one takes work.
    pub(super) fn choose(&self, request: &AcquireRequest<'_>, now: Time) -> Option<BackendKey> {
        let unreported = self.takeover.as_ref().map_or(0, |t| t.unreported.len());
        let unreported = u32::try_from(unreported).unwrap_or(u32::MAX);
        let mut untried_available = false;
        let mut best: Option<(bool, f64, BackendKey)> = None;
        for (key, backend) in &self.backends {
            let usable_slots = match backend.configured {
                true => self.router.usable_slots(key, backend.info.slots, now),
                false => 0,
            };
            let tried = request.tried.contains(&backend.info.name);
            untried_available |= usable_slots > 0 && !tried;
            let slots = backend.info.slots;
            let withheld = max_slots_per_vm(slots).saturating_mul(unreported);
            let is_free =
                backend.in_use < usable_slots && backend.in_use.saturating_add(withheld) < slots;
            if !is_free || backend.in_use_by_vm(request.vm) >= max_slots_per_vm(slots) {
                continue;
            }
            let same_zone = request.zone.is_none_or(|zone| zone == &backend.info.zone);
            let cost = self.router.cost(key, backend.in_use, slots, same_zone, now);
            let better =
                |&(a, c, k): &(bool, f64, BackendKey)| (tried, cost, key.data()) < (a, c, k.data());
            if best.as_ref().is_none_or(better) {
                best = Some((tried, cost, key));
            }
        }
        let (tried, _, key) = best?;
        (!tried || !untried_available).then_some(key)
    }
}

/// Returns the maximum number of `slots` that one VM may hold.
fn max_slots_per_vm(slots: u32) -> u32 {
    slots.div_ceil(2)
}
