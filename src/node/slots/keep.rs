//! The owner's side: granting slots and taking them back.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::SlotService;
use crate::decide::slots::{AcquireOutcome, AcquireRequest, SlotAllocator, WaiterKey};
use crate::error::Refusal;
use crate::message::{Reply, SlotGrant, SlotUse};
use crate::model::{ServiceName, Time};

/// The most requests of other VMs that wait at this VM; each occupies the peers' listener.
const MAX_REMOTE_WAITING: usize = 128;

/// The code of a refusal after which the asking VM asks again by itself.
pub(super) const ASK_AGAIN: &str = "ask_again";

type Wait = oneshot::Sender<Result<SlotGrant, Refusal>>;

/// A service that this VM owns.
pub(super) struct Owned {
    pub(super) keeper: SlotAllocator,
    waits: HashMap<WaiterKey, Wait>,
    pub(super) wake: Arc<Notify>,
}

impl Owned {
    pub(super) fn new(epoch: u64, max_waiting: usize) -> Self {
        Self {
            keeper: SlotAllocator::new(epoch, max_waiting),
            waits: HashMap::new(),
            wake: Arc::default(),
        }
    }

    /// Lets time pass and tells the requests whose wait ended.
    pub(super) fn serve(&mut self, now: Time) {
        let mut ended = Vec::new();
        self.keeper.advance(now, &mut ended);
        while !ended.is_empty() {
            for (waiter, end) in std::mem::take(&mut ended) {
                self.tell(waiter, end, now);
            }
            self.keeper.advance(now, &mut ended);
        }
    }

    fn tell(&mut self, waiter: WaiterKey, end: Result<SlotGrant, Refusal>, now: Time) {
        let untold = match self.waits.remove(&waiter) {
            Some(tx) => tx.send(end).err(),
            None => Some(end),
        };
        if let Some(Ok(grant)) = untold {
            self.keeper.release(&grant, &UNUSED, now);
        }
    }
}

/// The use of a slot on which nothing was sent or measured.
pub(super) const UNUSED: SlotUse = SlotUse {
    succeeded: true,
    latency_us: 0,
    leaving: false,
};

/// Lets time pass at the keeper of `service` until it is owned under another epoch.
pub(super) async fn tick(
    service: Weak<SlotService>,
    name: ServiceName,
    epoch: u64,
    wake: Arc<Notify>,
) {
    loop {
        let next = match service.upgrade() {
            Some(service) => service.tick(&name, epoch),
            None => None,
        };
        let Some(pause) = next else {
            return;
        };
        let _ = tokio::time::timeout(pause, wake.notified()).await;
    }
}

/// How long a keeper without waiting requests is left alone.
const IDLE: Duration = Duration::from_secs(5);

impl SlotService {
    /// Serves once and tells how long to pause; `None` where the epoch is over.
    fn tick(&self, name: &ServiceName, epoch: u64) -> Option<Duration> {
        let now = self.now();
        let mut state = self.state();
        let owned = state.owned.get_mut(name)?;
        if owned.keeper.epoch() != epoch {
            return None;
        }
        owned.serve(now);
        let next = owned.keeper.next_deadline();
        let pause = next.map_or(IDLE, |at| at.since(now).max(Duration::from_millis(1)));
        Some(pause)
    }

    /// Grants a slot, after a wait where none is free.
    pub(super) async fn grant(&self, service: &ServiceName, ask: &AcquireRequest<'_>) -> Reply {
        let waiting = match self.begin_grant(service, ask) {
            Ok(waiting) => waiting,
            Err(reply) => return reply,
        };
        match waiting.end().await {
            Some(Ok(grant)) => Reply::Granted(grant),
            Some(Err(refusal)) => Reply::Refused(refusal),
            // The service was disowned during the wait.
            None => Reply::NotOwner,
        }
    }

    fn begin_grant(
        &self,
        service: &ServiceName,
        ask: &AcquireRequest<'_>,
    ) -> Result<Waiting<'_>, Reply> {
        let now = self.now();
        let mut state = self.state();
        let longest = state.longest;
        let epoch = state.owned.get(service).map(|owned| owned.keeper.epoch());
        if !epoch.is_some_and(|epoch| self.owns(&state, service, epoch)) {
            return Err(Reply::NotOwner);
        }
        let Some(owned) = state.owned.get_mut(service) else {
            return Err(Reply::NotOwner);
        };
        let remote = ask.vm != &self.identity.vm;
        if remote && owned.waits.len() >= MAX_REMOTE_WAITING {
            let refusal = Refusal::not_run(ASK_AGAIN, "too many requests of other VMs wait");
            return Err(Reply::Refused(refusal.retry_after(20)));
        }
        let ask = AcquireRequest {
            valid: ask.valid.min(longest),
            ..*ask
        };
        match owned.keeper.acquire(&ask, now) {
            AcquireOutcome::Granted(grant) => Err(Reply::Granted(grant)),
            AcquireOutcome::Refused(refusal) => Err(Reply::Refused(refusal)),
            AcquireOutcome::Waiting(waiter) => {
                let (tx, rx) = oneshot::channel();
                owned.waits.insert(waiter, tx);
                owned.wake.notify_one();
                Ok(Waiting {
                    slots: self,
                    service: service.clone(),
                    waiter,
                    rx,
                })
            }
        }
    }

    /// Takes a slot back and hands it to the next request.
    pub(super) fn take_back(
        &self,
        service: &ServiceName,
        grant: &SlotGrant,
        used: &SlotUse,
    ) -> Reply {
        let now = self.now();
        let mut state = self.state();
        let Some(owned) = state.owned.get_mut(service) else {
            return Reply::NotOwner;
        };
        owned.keeper.release(grant, used, now);
        owned.serve(now);
        Reply::Released
    }
}

/// A wait for a slot; dropping it gives it up.
struct Waiting<'a> {
    slots: &'a SlotService,
    service: ServiceName,
    waiter: WaiterKey,
    rx: oneshot::Receiver<Result<SlotGrant, Refusal>>,
}

impl Waiting<'_> {
    async fn end(mut self) -> Option<Result<SlotGrant, Refusal>> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.rx.close();
        match self.rx.try_recv() {
            Ok(Ok(grant)) => {
                self.slots.take_back(&self.service, &grant, &UNUSED);
            }
            Ok(Err(_)) => {}
            Err(_) => {
                if let Some(owned) = self.slots.state().owned.get_mut(&self.service) {
                    owned.waits.remove(&self.waiter);
                    owned.keeper.cancel_wait(self.waiter);
                }
            }
        }
    }
}
