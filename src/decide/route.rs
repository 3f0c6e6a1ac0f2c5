//! Selection of the backend server for a request.
//!
//! The cost of a backend server is its expected latency: the measured latency, raised by slots in
//! use and by recent failures, plus a round trip if it is in another zone. A measurement decays
//! while it is not renewed, so that a slow backend server is tried again.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::message::SlotUse;
use crate::model::Time;

slotmap::new_key_type! {
    /// Identifies a backend server within one service.
    pub struct BackendKey;
}

/// Time until a backend server that joins later may use all of its slots.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// How long a backend server counts as draining after it reported so itself, if the platform's list
/// does not confirm it.
pub const SELF_REPORT_TTL: Duration = Duration::from_secs(600);

/// Number of failures in a row that set a backend server aside.
pub const MAX_FAILURES: u32 = 5;

/// Initial time for which a backend server is set aside; each failed probe doubles it.
pub const SET_ASIDE_BASE: Duration = Duration::from_secs(2);

/// Maximum time for which a backend server is set aside before the next probe.
pub const SET_ASIDE_MAX: Duration = Duration::from_secs(60);

/// Round trip to another zone, in microseconds.
const CROSS_ZONE_US: f64 = 3_000.0;

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Weight of the newest success or failure in the moving average.
const FAILURE_WEIGHT: f64 = 0.1;

/// How many times its cost is added for a backend server whose requests all fail.
const FAILURE_COST_FACTOR: f64 = 9.0;

/// Time in which an unused latency measurement loses half of its value.
const LATENCY_HALVING_TIME: Duration = Duration::from_secs(10);

/// Recent latency, failures and availability of a backend server.
#[derive(Clone, Debug)]
struct BackendHealth {
    latency_us: f64,
    failure_share: f64,
    failures_in_row: u32,
    measured_at: Time,
    slow_start_began: Option<Time>,
    set_aside: Option<SetAsidePeriod>,
    listed_draining: bool,
    reported_draining_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct SetAsidePeriod {
    until: Time,
    backoff: Duration,
}

/// Tracks the latency and the failures of backend servers and computes their costs.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::route::{BackendKey, Router};
/// use chestnutlug::message::SlotUse;
/// use chestnutlug::model::Time;
///
/// let mut keys = slotmap::SlotMap::<BackendKey, ()>::with_key();
/// let (fast, slow) = (keys.insert(()), keys.insert(()));
/// let now = Time::from_millis(1);
/// let mut router = Router::default();
/// router.add(fast, false, now);
/// router.add(slow, false, now);
/// let used = |latency_us| SlotUse { succeeded: true, latency_us, leaving: false };
/// router.record_use(fast, &used(1_000), now);
/// router.record_use(slow, &used(9_000), now);
/// assert!(router.cost(fast, 7, 8, true, now) < router.cost(slow, 0, 8, true, now));
/// router.set_listed_draining(fast, true);
/// assert_eq!(router.usable_slots(fast, 8, now), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Router {
    backends: SecondaryMap<BackendKey, BackendHealth>,
}

impl Router {
    /// Adds a backend server. With `slow_start`, its usable slots increase gradually.
    pub fn add(&mut self, key: BackendKey, slow_start: bool, now: Time) {
        let health = BackendHealth {
            latency_us: 0.0,
            failure_share: 0.0,
            failures_in_row: 0,
            measured_at: now,
            slow_start_began: slow_start.then_some(now),
            set_aside: None,
            listed_draining: false,
            reported_draining_at: None,
        };
        self.backends.insert(key, health);
    }

    /// Removes a backend server.
    pub fn remove(&mut self, key: BackendKey) {
        self.backends.remove(key);
    }

    /// Sets whether the platform's list shows the backend server as draining. When the list no
    /// longer shows it, the backend server's own report is discarded too.
    pub fn set_listed_draining(&mut self, key: BackendKey, draining: bool) {
        let Some(health) = self.backends.get_mut(key) else {
            return;
        };
        if health.listed_draining && !draining {
            health.reported_draining_at = None;
        }
        health.listed_draining = draining;
    }

    /// Returns whether the backend server is draining, according to the list or to its own report.
    pub fn is_draining(&self, key: BackendKey, now: Time) -> bool {
        self.backends.get(key).is_some_and(|h| h.is_draining(now))
    }

    /// Returns whether the backend server is set aside because of failures.
    pub fn is_set_aside(&self, key: BackendKey) -> bool {
        self.backends
            .get(key)
            .is_some_and(|h| h.set_aside.is_some())
    }

    /// Returns how many of its `slots` may be in use now.
    pub fn usable_slots(&self, key: BackendKey, slots: u32, now: Time) -> u32 {
        match self.backends.get(key) {
            Some(health) => health.usable_slots(slots, now),
            None => 0,
        }
    }

    /// Returns the expected latency in microseconds, with `in_use` of its `slots` in use.
    pub fn cost(
        &self,
        key: BackendKey,
        in_use: u32,
        slots: u32,
        same_zone: bool,
        now: Time,
    ) -> f64 {
        let Some(health) = self.backends.get(key) else {
            return f64::INFINITY;
        };
        if health.set_aside.is_some() {
            // A due probe takes precedence, otherwise the backend server would stay set aside.
            return 0.0;
        }
        let utilization = f64::from(in_use) / f64::from(slots.max(1));
        let failure_factor = 1.0 + FAILURE_COST_FACTOR * health.failure_share;
        let zone_us = if same_zone { 0.0 } else { CROSS_ZONE_US };
        // The constant lets the slots in use decide between backend servers without measurements.
        (health.expected_us(now) + 1.0) * (1.0 + utilization) * failure_factor + zone_us
    }

    /// Records how a request ended.
    pub fn record_use(&mut self, key: BackendKey, used: &SlotUse, now: Time) {
        let set_aside = self
            .backends
            .values()
            .filter(|h| h.set_aside.is_some())
            .count();
        let may_set_aside = set_aside < self.backends.len() / 2;
        let Some(health) = self.backends.get_mut(key) else {
            return;
        };
        if used.leaving {
            health.reported_draining_at = Some(now);
        }
        if used.succeeded {
            health.record_success(used.latency_us, now);
        } else {
            health.record_failure(may_set_aside, now);
        }
    }
}

impl BackendHealth {
    fn is_draining(&self, now: Time) -> bool {
        let is_reported = self
            .reported_draining_at
            .is_some_and(|at| now.since(at) < SELF_REPORT_TTL);
        self.listed_draining || is_reported
    }

    fn usable_slots(&self, slots: u32, now: Time) -> u32 {
        if self.is_draining(now) {
            return 0;
        }
        if let Some(set_aside) = self.set_aside {
            return u32::from(now >= set_aside.until).min(slots);
        }
        let Some(since) = self.slow_start_began else {
            return slots;
        };
        let share = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        let ramped = 1.0 + f64::from(slots) * share;
        (ramped as u32).min(slots)
    }

    fn expected_us(&self, now: Time) -> f64 {
        let unused = now.since(self.measured_at).as_secs_f64();
        self.latency_us / (1.0 + unused / LATENCY_HALVING_TIME.as_secs_f64())
    }

    fn record_success(&mut self, latency_us: u64, now: Time) {
        self.failures_in_row = 0;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        if self.set_aside.take().is_some() {
            self.slow_start_began = Some(now);
        }
        if latency_us == 0 {
            return;
        }
        let latest = latency_us as f64;
        self.latency_us = match self.latency_us {
            0.0 => latest,
            old => old + LATENCY_WEIGHT * (latest - old),
        };
        self.measured_at = now;
    }

    fn record_failure(&mut self, may_set_aside: bool, now: Time) {
        self.failures_in_row += 1;
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        let backoff = match self.set_aside {
            // Requests that were sent before it was set aside are no new evidence.
            Some(set_aside) if now < set_aside.until => return,
            Some(set_aside) => (set_aside.backoff * 2).min(SET_ASIDE_MAX),
            None if self.failures_in_row >= MAX_FAILURES && may_set_aside => SET_ASIDE_BASE,
            None => return,
        };
        let until = now + backoff;
        self.set_aside = Some(SetAsidePeriod { until, backoff });
    }
}
