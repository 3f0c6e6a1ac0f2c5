//! How many requests one VM works on at once.
//!
//! The limit grows by one per round of requests while the VM itself adds little delay and the limit
//! is what holds requests back, and shrinks by a part when the delay exceeds its target. The delay
//! is the VM's own, without the time at backend servers, so that slow work does not shrink it.

use std::time::Duration;

use crate::error::Refusal;
use crate::model::Time;

/// The bounds of a [`ConcurrencyLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimits {
    /// The limit never falls below this.
    pub min: u32,
    /// The limit never grows above this.
    pub max: u32,
    /// The limit at first.
    pub initial: u32,
    /// The delay of the VM itself above which the limit shrinks.
    pub target_delay: Duration,
    /// The shortest time between two reductions.
    pub cooldown: Duration,
}

impl Default for ConcurrencyLimits {
    fn default() -> Self {
        Self {
            min: 16,
            max: 8_192,
            initial: 512,
            target_delay: Duration::from_millis(20),
            cooldown: Duration::from_millis(100),
        }
    }
}

/// The share of the limit that is kept when it shrinks.
const KEPT: f64 = 0.9;

/// The weight of the newest delay.
const DELAY_WEIGHT: f64 = 0.1;

/// Limits the requests that one VM works on at once.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::admission::{ConcurrencyLimits, ConcurrencyLimiter};
/// use chestnutlug::model::Time;
///
/// let mut limiter = ConcurrencyLimiter::new(ConcurrencyLimits { min: 1, initial: 1, ..ConcurrencyLimits::default() });
/// let now = Time::from_millis(1);
/// limiter.admit().unwrap();
/// assert_eq!(limiter.admit().unwrap_err().code, "overloaded");
/// limiter.release(Some(Duration::ZERO), now);
/// assert!(limiter.admit().is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    bounds: ConcurrencyLimits,
    limit: f64,
    in_progress: u32,
    delay_s: f64,
    reduced: Option<Time>,
}

impl ConcurrencyLimiter {
    /// A limiter within `bounds`.
    pub fn new(bounds: ConcurrencyLimits) -> Self {
        Self {
            bounds,
            limit: f64::from(bounds.initial.clamp(bounds.min, bounds.max)),
            in_progress: 0,
            delay_s: 0.0,
            reduced: None,
        }
    }

    /// The most requests at once, as of now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// The requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Takes a request in; each one is [`release`](Self::release) once.
    ///
    /// # Errors
    ///
    /// Returns a refusal of certainty `not_run` at the limit.
    pub fn admit(&mut self) -> Result<(), Refusal> {
        if self.in_progress >= self.limit() {
            let reason = format!("this VM works on {} requests already", self.in_progress);
            let refusal = Refusal::not_run("overloaded", reason);
            let settle_ms = u64::try_from(self.bounds.cooldown.as_millis()).unwrap_or(u64::MAX);
            return Err(refusal.retry_after(settle_ms));
        }
        self.in_progress += 1;
        Ok(())
    }

    /// Notes that the VM no longer works on a request, and the delay that the VM itself added to it
    /// where that was measured.
    pub fn release(&mut self, delay: Option<Duration>, now: Time) {
        let held_back = self.in_progress * 2 > self.limit();
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(delay) = delay {
            self.delay_s += DELAY_WEIGHT * (delay.as_secs_f64() - self.delay_s);
        }
        if self.delay_s > self.bounds.target_delay.as_secs_f64() {
            self.reduce(now);
        } else if held_back {
            let most = f64::from(self.bounds.max);
            self.limit = (self.limit + 1.0 / self.limit).min(most);
        }
    }

    fn reduce(&mut self, now: Time) {
        let settled = |at: Time| now.since(at) >= self.bounds.cooldown;
        if !self.reduced.is_none_or(settled) {
            return;
        }
        self.reduced = Some(now);
        let least = f64::from(self.bounds.min);
        self.limit = (self.limit * KEPT).max(least);
    }
}
