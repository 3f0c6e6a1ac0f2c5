//! Grants slots as the owner of a service, and takes back released ones.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::SlotService;
use crate::decide::slots::{AcquireOutcome, AcquireRequest, SlotAllocator, WaiterKey};
use crate::error::Refusal;
use crate::message::{Reply, SlotGrant, SlotUse};
use crate::model::{ServiceName, Time};

/// Requests of other VMs are refused while this many requests wait for slots of a service, since
/// each waiting request of another VM occupies the listener for peers.
const MAX_REMOTE_WAITING: usize = 128;

/// The code of a refusal after which the requesting VM tries again by itself.
pub(super) const ASK_AGAIN_CODE: &str = "ask_again";

type WaiterTx = oneshot::Sender<Result<SlotGrant, Refusal>>;

/// The slots of a service that this VM owns, and the requests that wait for them.
pub(super) struct ServiceSlots {
    pub(super) allocator: SlotAllocator,
    waiters: HashMap<WaiterKey, WaiterTx>,
    pub(super) wake: Arc<Notify>,
}

impl ServiceSlots {
    pub(super) fn new(epoch: u64, max_waiting: usize) -> Self {
        Self {
            allocator: SlotAllocator::new(epoch, max_waiting),
            waiters: HashMap::new(),
            wake: Arc::default(),
        }
    }

    /// Lets time pass, and notifies the requests whose wait has ended.
    pub(super) fn advance(&mut self, now: Time) {
        let mut ended = Vec::new();
        self.allocator.advance(now, &mut ended);
        while !ended.is_empty() {
            for (waiter, outcome) in std::mem::take(&mut ended) {
                self.notify(waiter, outcome, now);
            }
            self.allocator.advance(now, &mut ended);
        }
    }

    fn notify(&mut self, waiter: WaiterKey, outcome: Result<SlotGrant, Refusal>, now: Time) {
        let undelivered = match self.waiters.remove(&waiter) {
            Some(tx) => tx.send(outcome).err(),
            None => Some(outcome),
        };
        if let Some(Ok(grant)) = undelivered {
            self.allocator.release(&grant, &UNUSED, now);
        }
    }
}

/// The usage of a slot on which nothing was sent or measured.
pub(super) const UNUSED: SlotUse = SlotUse {
    succeeded: true,
    latency_us: 0,
    leaving: false,
};

/// Lets time pass for the slots of service `name` until it is no longer owned under `epoch`.
pub(super) async fn run_ticks(
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
        let Some(delay) = next else {
            return;
        };
        let _ = tokio::time::timeout(delay, wake.notified()).await;
    }
}

/// Delay until the next tick of a service without a deadline.
const IDLE_DELAY: Duration = Duration::from_secs(5);

impl SlotService {
    /// Lets time pass once and returns the delay until the next tick; `None` once the service is no
    /// longer owned under `epoch`.
    fn tick(&self, name: &ServiceName, epoch: u64) -> Option<Duration> {
        let now = self.now();
        let mut state = self.state();
        let owned = state.owned.get_mut(name)?;
        if owned.allocator.epoch() != epoch {
            return None;
        }
        owned.advance(now);
        let next = owned.allocator.next_deadline();
        let delay = next.map_or(IDLE_DELAY, |at| at.since(now).max(Duration::from_millis(1)));
        Some(delay)
    }

    /// Grants a slot; waits if none is free.
    pub(super) async fn grant(&self, service: &ServiceName, req: &AcquireRequest<'_>) -> Reply {
        let pending = match self.begin_grant(service, req) {
            Ok(pending) => pending,
            Err(reply) => return reply,
        };
        match pending.outcome().await {
            Some(Ok(grant)) => Reply::Granted(grant),
            Some(Err(refusal)) => Reply::Refused(refusal),
            // This VM stopped granting slots of the service during the wait.
            None => Reply::NotOwner,
        }
    }

    fn begin_grant(
        &self,
        service: &ServiceName,
        req: &AcquireRequest<'_>,
    ) -> Result<PendingGrant<'_>, Reply> {
        let now = self.now();
        let mut state = self.state();
        let max_grant_validity = state.max_grant_validity;
        let epoch = state
            .owned
            .get(service)
            .map(|owned| owned.allocator.epoch());
        if !epoch.is_some_and(|epoch| self.owns(&state, service, epoch)) {
            return Err(Reply::NotOwner);
        }
        let Some(owned) = state.owned.get_mut(service) else {
            return Err(Reply::NotOwner);
        };
        let is_remote = req.vm != &self.identity.vm;
        if is_remote && owned.waiters.len() >= MAX_REMOTE_WAITING {
            let refusal = Refusal::not_run(ASK_AGAIN_CODE, "too many requests of other VMs wait");
            return Err(Reply::Refused(refusal.retry_after(20)));
        }
        let req = AcquireRequest {
            valid: req.valid.min(max_grant_validity),
            ..*req
        };
        match owned.allocator.acquire(&req, now) {
            AcquireOutcome::Granted(grant) => Err(Reply::Granted(grant)),
            AcquireOutcome::Refused(refusal) => Err(Reply::Refused(refusal)),
            AcquireOutcome::Waiting(waiter) => {
                let (tx, rx) = oneshot::channel();
                owned.waiters.insert(waiter, tx);
                owned.wake.notify_one();
                Ok(PendingGrant {
                    slots: self,
                    service: service.clone(),
                    waiter,
                    rx,
                })
            }
        }
    }

    /// Takes back a released slot and grants it to the next waiting request.
    pub(super) fn release_grant(
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
        owned.allocator.release(grant, used, now);
        owned.advance(now);
        Reply::Released
    }
}

/// A request that waits for a slot; dropping it cancels the wait.
struct PendingGrant<'a> {
    slots: &'a SlotService,
    service: ServiceName,
    waiter: WaiterKey,
    rx: oneshot::Receiver<Result<SlotGrant, Refusal>>,
}

impl PendingGrant<'_> {
    async fn outcome(mut self) -> Option<Result<SlotGrant, Refusal>> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for PendingGrant<'_> {
    fn drop(&mut self) {
        self.rx.close();
        match self.rx.try_recv() {
            Ok(Ok(grant)) => {
                self.slots.release_grant(&self.service, &grant, &UNUSED);
            }
            Ok(Err(_)) => {}
            Err(_) => {
                if let Some(owned) = self.slots.state().owned.get_mut(&self.service) {
                    owned.waiters.remove(&self.waiter);
                    owned.allocator.cancel_wait(self.waiter);
                }
            }
        }
    }
}
