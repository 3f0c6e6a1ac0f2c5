//! Whether the store is available to this VM, and when new submissions are refused because it is not.
//!
//! While the store is down for every path that this VM has, a submission cannot be recorded. It is
//! refused at once, so that its caller can return later, instead of being held until its deadline. One
//! submission at a time is let through to find out whether the store is back.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::decide::admission_estimate::with_jitter;
use crate::model::Time;
use crate::workflow::WorkflowId;

/// New submissions are refused once all calls of the store have failed for this long.
const REFUSE_AFTER: Duration = Duration::from_millis(200);

/// The interval between two submissions that are let through while the store is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The shortest time after which a refused caller may retry: about the time in which another VM takes
/// over from a failed owner.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time after which a refused caller may retry. Four retries then cover an outage of ten
/// seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Time,
    last_probe: Time,
}

/// The results of this VM's store calls, direct or through other VMs.
///
/// # Examples
///
/// ```
/// use chestnutlug::coordinator::availability::StoreAvailability;
/// use chestnutlug::model::Time;
///
/// let store = StoreAvailability::default();
/// store.record_failure(Time::from_millis(0));
/// store.record_failure(Time::from_millis(250));
/// assert!(store.is_down(Time::from_millis(250)));
/// store.record_success();
/// assert!(!store.is_down(Time::from_millis(260)));
/// ```
#[derive(Debug, Default)]
pub struct StoreAvailability {
    outage: Mutex<Option<Outage>>,
}

impl StoreAvailability {
    /// Records a successful call.
    pub fn record_success(&self) {
        *self.lock() = None;
    }

    /// Records a call that failed on each path.
    pub fn record_failure(&self, now: Time) {
        self.lock().get_or_insert(Outage {
            since: now,
            last_probe: now,
        });
    }

    /// Whether all calls have failed for so long that further ones are unlikely to succeed now.
    pub fn is_down(&self, now: Time) -> bool {
        let outage = *self.lock();
        outage.is_some_and(|outage| now.since(outage.since) >= REFUSE_AFTER)
    }

    /// Whether a new submission is refused now. If it is not although the store is down, it is the
    /// next probe.
    pub fn refuses_submission(&self, now: Time) -> bool {
        let mut outage = self.lock();
        let Some(outage) = outage.as_mut() else {
            return false;
        };
        if now.since(outage.since) < REFUSE_AFTER {
            return false;
        }
        if now.since(outage.last_probe) >= PROBE_INTERVAL {
            outage.last_probe = now;
            return false;
        }
        true
    }

    /// When the refused caller of a workflow may retry: later the longer the store has been down, so
    /// that callers with a few retries outlast it. Jitter by the workflow spreads the retries.
    pub fn retry_after(&self, id: WorkflowId, now: Time) -> Duration {
        let outage = *self.lock();
        let age = outage.map_or(Duration::ZERO, |outage| now.since(outage.since));
        let hash = xxhash_rust::xxh3::xxh3_64(&id.0.to_le_bytes());
        with_jitter(age.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER), hash)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Outage>> {
        self.outage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
