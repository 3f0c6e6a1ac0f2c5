//! Caches released slots for a short time, so that the next request need not ask the owner.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use super::grant::UNUSED;
use super::slot::ReceivedGrant;
use super::{GrantedSlot, SlotRequest, SlotService};
use crate::config::service_shard;
use crate::message::SlotUse;
use crate::model::ServiceName;

/// The age up to which a slot may be used for further requests, from when it was requested.
pub(super) const MAX_REUSE_AGE: Duration = Duration::from_millis(250);

/// The age from which a slot is renewed instead of cached, from when it was requested.
const RENEW_AGE: Duration = Duration::from_millis(125);

/// How long a slot stays in the cache without being used.
const MAX_IDLE: Duration = Duration::from_millis(20);

/// Interval between evictions of expired slots.
const SWEEP_INTERVAL: Duration = Duration::from_millis(5);

/// The maximum number of cached slots of one service.
const MAX_CACHED_SLOTS: usize = 16;

/// The cached slots of each service.
#[derive(Default)]
pub(super) struct SlotCache {
    services: HashMap<ServiceName, ServiceCache>,
    disabled: bool,
}

#[derive(Default)]
struct ServiceCache {
    slots: Vec<CachedSlot>,
    is_sweeping: bool,
}

struct CachedSlot {
    grant: ReceivedGrant,
    usage: SlotUse,
    cached_at: Instant,
}

impl SlotCache {
    /// Sets whether slots are cached at all.
    pub(super) fn set_enabled(&mut self, enabled: bool) {
        self.disabled = !enabled;
    }

    fn of(&mut self, service: &ServiceName) -> &mut ServiceCache {
        self.services.entry(service.clone()).or_default()
    }
}

impl SlotService {
    /// Caches a slot whose request has ended, or renews it if it is too old; returns `false` if it
    /// must be released.
    pub(super) fn try_cache(
        &self,
        service: &ServiceName,
        grant: &ReceivedGrant,
        usage: &SlotUse,
    ) -> bool {
        let now = Instant::now();
        let is_healthy = usage.succeeded && !usage.leaving && usage.latency_us > 0;
        if !is_healthy || !grant.is_remote || grant.slot.scarce || self.cache().disabled {
            return false;
        }
        if now >= grant.requested_at + RENEW_AGE {
            self.renew(service, grant, usage);
            return true;
        }
        let cached = CachedSlot {
            grant: grant.clone(),
            usage: *usage,
            cached_at: now,
        };
        if !self.insert_cached(service, cached) {
            return false;
        }
        self.active_grants().end_use(service, &grant.slot);
        true
    }

    fn insert_cached(&self, service: &ServiceName, cached: CachedSlot) -> bool {
        let mut caches = self.cache();
        let cache = caches.of(service);
        if cache.slots.len() >= MAX_CACHED_SLOTS {
            return false;
        }
        cache.slots.push(cached);
        if !std::mem::replace(&mut cache.is_sweeping, true) {
            tokio::spawn(run_sweeper(self.weak_self.clone(), service.clone()));
        }
        true
    }

    /// Releases a slot that is too old and requests a new one for the cache, so that no request has
    /// to wait for it.
    fn renew(&self, service: &ServiceName, expired: &ReceivedGrant, usage: &SlotUse) {
        let Some(slots) = self.weak_self.upgrade() else {
            return;
        };
        let (service, expired, usage) = (service.clone(), expired.slot.clone(), *usage);
        tokio::spawn(async move {
            slots.release(&service, &expired, &usage).await;
            let Some(timeout) = slots.timeout(&service) else {
                return;
            };
            let now = Instant::now();
            let req = SlotRequest {
                service: &service,
                deadline: now + timeout,
                tried: &[],
            };
            let requests = slots.requests_of(&service);
            let Ok(fresh) = slots
                .request_from_owner(&req, now + RENEW_AGE, &requests)
                .await
            else {
                return;
            };
            let grant = fresh.into_grant();
            let cached = CachedSlot {
                grant: grant.clone(),
                usage: UNUSED,
                cached_at: Instant::now(),
            };
            let is_cacheable = grant.is_remote && !grant.slot.scarce;
            if !is_cacheable || !slots.insert_cached(&service, cached) {
                slots.release(&service, &grant.slot, &UNUSED).await;
            }
        });
    }

    /// Takes a slot from the cache that is valid for as long as `req` needs it.
    pub(super) fn take_cached(self: &Arc<Self>, req: &SlotRequest<'_>) -> Option<GrantedSlot> {
        let now = Instant::now();
        let grant = loop {
            let cached = self.cache().of(req.service).slots.pop()?;
            if self.is_usable(&cached.grant, req, now) {
                break cached.grant;
            }
            self.release_cached(req.service, cached);
        };
        Some(GrantedSlot::new(self.clone(), req, grant))
    }

    fn is_usable(&self, grant: &ReceivedGrant, req: &SlotRequest<'_>, now: Instant) -> bool {
        let owner = self.directory.owner_of(&service_shard(req.service));
        let backend = &grant.slot.backend;
        owner.is_some_and(|owner| owner.epoch == grant.slot.epoch)
            && now < grant.requested_at + MAX_REUSE_AGE
            && grant.valid_until >= req.deadline
            && !req.tried.contains(backend)
            && self.active_grants().allows(req.service, &grant.slot)
            && !self.state().draining.contains(backend)
            && self.config().backend.contains_key(backend)
    }

    fn release_cached(&self, service: &ServiceName, cached: CachedSlot) {
        let Some(slots) = self.weak_self.upgrade() else {
            return;
        };
        let service = service.clone();
        tokio::spawn(async move {
            slots
                .release(&service, &cached.grant.slot, &cached.usage)
                .await
        });
    }

    /// Releases expired slots; returns `false` if the cache of the service is empty then.
    fn evict_expired(&self, service: &ServiceName) -> bool {
        let now = Instant::now();
        let mut caches = self.cache();
        let cache = caches.of(service);
        let expired = |cached: &mut CachedSlot| {
            now >= cached.cached_at + MAX_IDLE || now >= cached.grant.requested_at + MAX_REUSE_AGE
        };
        let evicted: Vec<CachedSlot> = cache.slots.extract_if(.., expired).collect();
        cache.is_sweeping = !cache.slots.is_empty();
        let has_more = cache.is_sweeping;
        drop(caches);
        for cached in evicted {
            self.release_cached(service, cached);
        }
        has_more
    }
}

/// Evicts expired slots until the cache of the service is empty.
async fn run_sweeper(slots: Weak<SlotService>, service: ServiceName) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let has_more = slots
            .upgrade()
            .is_some_and(|slots| slots.evict_expired(&service));
        if !has_more {
            return;
        }
    }
}
