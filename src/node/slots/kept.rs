//! Slots that are kept for the next request for a moment, which spares asking the owner.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use super::keep::UNUSED;
use super::slot::Grant;
use super::{GrantedSlot, SlotRequest, SlotService};
use crate::config::service_shard;
use crate::message::SlotUse;
use crate::model::ServiceName;

/// How long after it was granted a slot may be used for further requests.
pub(super) const REUSE: Duration = Duration::from_millis(250);

/// How long after it was granted a slot is replaced rather than kept.
const RENEW: Duration = Duration::from_millis(125);

/// How long a slot is kept without a request.
const IDLE: Duration = Duration::from_millis(20);

/// How often slots that were kept for long are given back.
const SWEEP: Duration = Duration::from_millis(5);

/// The most slots that are kept without a request, per service.
const MAX_KEPT: usize = 16;

/// Kept slots by service.
#[derive(Default)]
pub(super) struct Kept {
    services: HashMap<ServiceName, KeptOf>,
    disabled: bool,
}

#[derive(Default)]
struct KeptOf {
    slots: Vec<KeptSlot>,
    swept: bool,
}

struct KeptSlot {
    grant: Grant,
    used: SlotUse,
    since: Instant,
}

impl Kept {
    /// Sets whether slots are kept at all.
    pub(super) fn set_enabled(&mut self, enabled: bool) {
        self.disabled = !enabled;
    }

    fn of(&mut self, service: &ServiceName) -> &mut KeptOf {
        self.services.entry(service.clone()).or_default()
    }
}

impl SlotService {
    /// Keeps a slot after a request on it ended, or a fresh one in its place; `false` where it has to
    /// be given back.
    pub(super) fn keep(&self, service: &ServiceName, grant: &Grant, used: &SlotUse) -> bool {
        let now = Instant::now();
        let measured = used.succeeded && !used.leaving && used.latency_us > 0;
        if !measured || !grant.remote || grant.slot.scarce || self.kept().disabled {
            return false;
        }
        if now >= grant.asked + RENEW {
            self.renew(service, grant, used);
            return true;
        }
        let one = KeptSlot {
            grant: grant.clone(),
            used: *used,
            since: now,
        };
        if !self.add_kept(service, one) {
            return false;
        }
        self.held().end(service, &grant.slot);
        true
    }

    fn add_kept(&self, service: &ServiceName, one: KeptSlot) -> bool {
        let mut all = self.kept();
        let kept = all.of(service);
        if kept.slots.len() >= MAX_KEPT {
            return false;
        }
        kept.slots.push(one);
        if !std::mem::replace(&mut kept.swept, true) {
            tokio::spawn(sweep(self.me.clone(), service.clone()));
        }
        true
    }

    /// Gives a slot back that was kept for long and asks for a fresh one in its place, so that no
    /// request has to.
    fn renew(&self, service: &ServiceName, old: &Grant, used: &SlotUse) {
        let Some(slots) = self.me.upgrade() else {
            return;
        };
        let (service, old, used) = (service.clone(), old.slot.clone(), *used);
        tokio::spawn(async move {
            slots.release(&service, &old, &used).await;
            let Some(timeout) = slots.timeout(&service) else {
                return;
            };
            let now = Instant::now();
            let ask = SlotRequest {
                service: &service,
                deadline: now + timeout,
                tried: &[],
            };
            let asks = slots.asks_of(&service);
            let Ok(fresh) = slots.ask_owner(&ask, now + RENEW, &asks).await else {
                return;
            };
            let grant = fresh.into_grant();
            let one = KeptSlot {
                grant: grant.clone(),
                used: UNUSED,
                since: Instant::now(),
            };
            let wanted = grant.remote && !grant.slot.scarce;
            if !wanted || !slots.add_kept(&service, one) {
                slots.release(&service, &grant.slot, &UNUSED).await;
            }
        });
    }

    /// A kept slot that holds for as long as `ask` needs it.
    pub(super) fn take_kept(self: &Arc<Self>, ask: &SlotRequest<'_>) -> Option<GrantedSlot> {
        let now = Instant::now();
        let grant = loop {
            let one = self.kept().of(ask.service).slots.pop()?;
            if self.is_usable(&one.grant, ask, now) {
                break one.grant;
            }
            self.give_back(ask.service, one);
        };
        Some(GrantedSlot::new(self.clone(), ask, grant))
    }

    fn is_usable(&self, grant: &Grant, ask: &SlotRequest<'_>, now: Instant) -> bool {
        let owner = self.directory.owner_of(&service_shard(ask.service));
        let backend = &grant.slot.backend;
        owner.is_some_and(|owner| owner.epoch == grant.slot.epoch)
            && now < grant.asked + REUSE
            && grant.valid_until >= ask.deadline
            && !ask.tried.contains(backend)
            && self.held().allows(ask.service, &grant.slot)
            && !self.state().leaving.contains(backend)
            && self.config().backend.contains_key(backend)
    }

    fn give_back(&self, service: &ServiceName, one: KeptSlot) {
        let Some(slots) = self.me.upgrade() else {
            return;
        };
        let service = service.clone();
        tokio::spawn(async move { slots.release(&service, &one.grant.slot, &one.used).await });
    }

    /// Gives back what was kept for long; `false` where nothing is kept any more.
    fn sweep_once(&self, service: &ServiceName) -> bool {
        let now = Instant::now();
        let mut all = self.kept();
        let kept = all.of(service);
        let old = |one: &mut KeptSlot| now >= one.since + IDLE || now >= one.grant.asked + REUSE;
        let given_back: Vec<KeptSlot> = kept.slots.extract_if(.., old).collect();
        kept.swept = !kept.slots.is_empty();
        let more = kept.swept;
        drop(all);
        for one in given_back {
            self.give_back(service, one);
        }
        more
    }
}

/// Gives back slots that were kept for long until none is kept.
async fn sweep(slots: Weak<SlotService>, service: ServiceName) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let more = slots
            .upgrade()
            .is_some_and(|slots| slots.sweep_once(&service));
        if !more {
            return;
        }
    }
}
