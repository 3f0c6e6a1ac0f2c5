//! Which backend server's slot a request gets.

use slotmap::Key;

use super::{AcquireRequest, SlotAllocator};
use crate::decide::route::BackendKey;
use crate::model::Time;

impl SlotAllocator {
    /// Whether any backend server takes new work.
    pub(super) fn has_eligible(&self, now: Time) -> bool {
        let mut backends = self.backends.iter();
        backends
            .any(|(key, b)| b.configured && b.info.slots > 0 && !self.router.is_leaving(key, now))
    }

    /// The cheapest backend server with a free slot. One that was tried before is chosen only
    /// where no other takes work.
    pub(super) fn choose(&self, ask: &AcquireRequest<'_>, now: Time) -> Option<BackendKey> {
        let unanswered = self.takeover.as_ref().map_or(0, |t| t.unanswered.len());
        let unanswered = u32::try_from(unanswered).unwrap_or(u32::MAX);
        let mut untried_takes_work = false;
        let mut best: Option<(bool, f64, BackendKey)> = None;
        for (key, backend) in &self.backends {
            let room = match backend.configured {
                true => self.router.room(key, backend.info.slots, now),
                false => 0,
            };
            let again = ask.tried.contains(&backend.info.name);
            untried_takes_work |= room > 0 && !again;
            let slots = backend.info.slots;
            let withheld = share_of_vm(slots).saturating_mul(unanswered);
            let free = backend.in_use < room && backend.in_use.saturating_add(withheld) < slots;
            if !free || backend.used_by(ask.vm) >= share_of_vm(slots) {
                continue;
            }
            let near = ask.zone.is_none_or(|zone| zone == &backend.info.zone);
            let cost = self.router.cost(key, backend.in_use, slots, near, now);
            let better =
                |&(a, c, k): &(bool, f64, BackendKey)| (again, cost, key.data()) < (a, c, k.data());
            if best.as_ref().is_none_or(better) {
                best = Some((again, cost, key));
            }
        }
        let (again, _, key) = best?;
        (!again || !untried_takes_work).then_some(key)
    }
}

/// The most of `slots` that one VM holds.
fn share_of_vm(slots: u32) -> u32 {
    slots.div_ceil(2)
}
