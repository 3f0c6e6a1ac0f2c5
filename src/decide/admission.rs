//! Adaptive limit on the number of requests that a VM handles concurrently (AIMD).
//!
//! The limit grows by one for every `limit` requests while the VM itself adds little delay and more
//! than half of the limit is in use. It shrinks by a factor when the delay exceeds its target. The
//! delay does not include the time at backend servers, so that slow backend servers do not shrink
//! the limit.

use std::time::Duration;

use crate::error::Refusal;
use crate::model::Time;

/// Settings of a [`ConcurrencyLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimits {
    /// Minimum of the limit.
    pub min: u32,
    /// Maximum of the limit.
    pub max: u32,
    /// Initial limit.
    pub initial: u32,
    /// Delay added by the VM itself above which the limit shrinks.
    pub target_delay: Duration,
    /// Minimum time between two decreases of the limit.
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

/// Factor by which the limit shrinks.
const DECREASE_FACTOR: f64 = 0.9;

/// Weight of the newest delay in the moving average.
const DELAY_EWMA_WEIGHT: f64 = 0.1;

/// Limits the number of requests that a VM handles concurrently.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::admission::{ConcurrencyLimiter, ConcurrencyLimits};
/// use chestnutlug::model::Time;
///
/// let limits = ConcurrencyLimits { min: 1, initial: 1, ..ConcurrencyLimits::default() };
/// let mut limiter = ConcurrencyLimiter::new(limits);
/// let now = Time::from_millis(1);
/// limiter.admit().unwrap();
/// assert_eq!(limiter.admit().unwrap_err().code, "overloaded");
/// limiter.release(Some(Duration::ZERO), now);
/// assert!(limiter.admit().is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limits: ConcurrencyLimits,
    limit: f64,
    in_progress: u32,
    mean_delay_s: f64,
    last_decrease: Option<Time>,
}

impl ConcurrencyLimiter {
    /// Creates a limiter with the given settings.
    pub fn new(limits: ConcurrencyLimits) -> Self {
        Self {
            limits,
            limit: f64::from(limits.initial.clamp(limits.min, limits.max)),
            in_progress: 0,
            mean_delay_s: 0.0,
            last_decrease: None,
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Admits a request; each admitted request has to be followed by one
    /// [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// Returns a refusal of certainty `not_run` if the limit is reached.
    pub fn admit(&mut self) -> Result<(), Refusal> {
        if self.in_progress >= self.limit() {
            let reason = format!("this VM works on {} requests already", self.in_progress);
            let refusal = Refusal::not_run("overloaded", reason);
            let cooldown_ms = u64::try_from(self.limits.cooldown.as_millis()).unwrap_or(u64::MAX);
            return Err(refusal.retry_after(cooldown_ms));
        }
        self.in_progress += 1;
        Ok(())
    }

    /// Ends an admitted request. `delay` is the delay that the VM itself added to it, if it was
    /// measured.
    pub fn release(&mut self, delay: Option<Duration>, now: Time) {
        let is_saturated = self.in_progress * 2 > self.limit();
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(delay) = delay {
            self.mean_delay_s += DELAY_EWMA_WEIGHT * (delay.as_secs_f64() - self.mean_delay_s);
        }
        if self.mean_delay_s > self.limits.target_delay.as_secs_f64() {
            self.decrease(now);
        } else if is_saturated {
            let max = f64::from(self.limits.max);
            self.limit = (self.limit + 1.0 / self.limit).min(max);
        }
    }

    fn decrease(&mut self, now: Time) {
        let has_cooled_down = |at: Time| now.since(at) >= self.limits.cooldown;
        if !self.last_decrease.is_none_or(has_cooled_down) {
            return;
        }
        self.last_decrease = Some(now);
        let min = f64::from(self.limits.min);
        self.limit = (self.limit * DECREASE_FACTOR).max(min);
    }
}
