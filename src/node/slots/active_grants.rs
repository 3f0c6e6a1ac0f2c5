//! The grants that this VM uses for requests in flight.

use std::collections::HashMap;
use std::time::Instant;

use crate::message::SlotGrant;
use crate::model::ServiceName;

/// The grants in use, each with its deadline, and the oldest epoch of each service whose grants may
/// still be used.
#[derive(Debug, Default)]
pub(super) struct ActiveGrants {
    fences: HashMap<ServiceName, u64>,
    grants: HashMap<(ServiceName, u64, u64), (SlotGrant, Instant)>,
}

impl ActiveGrants {
    /// Records that a request is about to be sent on `grant`; returns `false` if it must not be.
    pub(super) fn begin_use(
        &mut self,
        service: &ServiceName,
        grant: &SlotGrant,
        deadline: Instant,
        now: Instant,
    ) -> bool {
        if !self.allows(service, grant) || now >= deadline {
            return false;
        }
        self.fences.insert(service.clone(), grant.epoch);
        let key = (service.clone(), grant.epoch, grant.id);
        self.grants.insert(key, (grant.clone(), deadline));
        true
    }

    /// Whether `grant` is not fenced: no later owner than the one that granted it is known.
    pub(super) fn allows(&self, service: &ServiceName, grant: &SlotGrant) -> bool {
        let fence = self.fences.get(service);
        fence.is_none_or(|fence| grant.epoch >= *fence)
    }

    /// Records that `grant` is no longer in use.
    pub(super) fn end_use(&mut self, service: &ServiceName, grant: &SlotGrant) {
        let key = (service.clone(), grant.epoch, grant.id);
        self.grants.remove(&key);
    }

    /// Fences grants of epochs before `epoch` against new requests. Returns those that are still in
    /// use, each with the rest of its validity.
    pub(super) fn fence(
        &mut self,
        service: &ServiceName,
        epoch: u64,
        now: Instant,
    ) -> Vec<SlotGrant> {
        let fence = self.fences.entry(service.clone()).or_default();
        *fence = epoch.max(*fence);
        let active = self
            .grants
            .iter()
            .filter(|((of, grant_epoch, _), _)| of == service && *grant_epoch < epoch);
        let remaining = active.map(|(_, (grant, deadline))| {
            let remaining = deadline.saturating_duration_since(now);
            let valid_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
            SlotGrant {
                valid_ms: valid_ms.saturating_add(1),
                ..grant.clone()
            }
        });
        remaining.collect()
    }
}
