//! The guaranteed rate of an account's submissions: a generic cell rate algorithm (GCRA).
//!
//! Each submission conforms from a certain time on. Up to the guaranteed rate, that is when it is
//! accepted; beyond, it is one interval after the previous one. Submissions of a short burst conform at
//! once.

use std::time::Duration;

use crate::model::Time;

common! { value
/// How many submissions may exceed the guaranteed rate, and for how long.
pub struct RateBurst {
    /// The time over which the rate is judged, in milliseconds. What it yields in this time conforms at
    /// once.
    pub window_ms: u64,
    /// The submissions in each window that conform beyond the rate, over all shards together.
    pub submissions: u32,
}}

/// The time of a submission that never conforms, because no rate is guaranteed.
pub(super) const NEVER: Time = Time(u64::MAX);

/// The guaranteed rate of an account, and what has been admitted under it.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::Time;
/// use chestnutlug::workflow::{AccountRate, RateBurst};
///
/// let mut rate = AccountRate::new(1.0, RateBurst { window_ms: 2_000, submissions: 0 }, 1.0);
/// let now = Time::from_millis(10_000);
/// // A burst of 2 s, and the first submission after it.
/// assert!((0..3).all(|_| rate.admit(now) == now));
/// assert_eq!(rate.admit(now), Time::from_millis(11_000));
/// assert_eq!(rate.admit(now), Time::from_millis(12_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountRate {
    /// The interval between two submissions at the rate, in microseconds; `None` without a rate.
    interval_us: Option<u64>,
    /// How far a submission may be ahead of its time, in microseconds.
    burst_us: u64,
    /// When the next submission would be admitted if all came at the rate.
    theoretical_arrival: Time,
}

impl AccountRate {
    /// The part `share` of a rate, under which nothing has been admitted yet. A rate that is not positive
    /// guarantees nothing.
    pub fn new(submissions_per_s: f64, burst: RateBurst, share: f64) -> Self {
        const MICROS_PER_S: f64 = 1e6;
        let window_s = burst.window_ms as f64 / 1_000.0;
        let beyond_per_s = if burst.window_ms > 0 {
            f64::from(burst.submissions) / window_s
        } else {
            0.0
        };
        let rate = (submissions_per_s + beyond_per_s) * share;
        // The conversion saturates, so that an interval may be as long as time itself.
        let interval_us = (submissions_per_s > 0.0 && rate > 0.0).then(|| MICROS_PER_S / rate);
        Self {
            interval_us: interval_us.map(|micros| micros as u64),
            burst_us: burst.window_ms.saturating_mul(1_000),
            theoretical_arrival: Time::default(),
        }
    }

    /// Whether any rate is guaranteed.
    pub fn is_positive(&self) -> bool {
        self.interval_us.is_some()
    }

    /// Admits a submission that is accepted at `now`, and returns from when on it conforms.
    pub fn admit(&mut self, now: Time) -> Time {
        let Some(interval_us) = self.interval_us else {
            return NEVER;
        };
        let arrival = self.theoretical_arrival.max(now);
        self.theoretical_arrival = arrival + Duration::from_micros(interval_us);
        Time(arrival.0.saturating_sub(self.burst_us)).max(now)
    }

    /// Returns the share of the rate of a submission that did not need it, because it was refused or
    /// ended before it conformed. The last share that was admitted becomes free, so that the
    /// submissions that conform up to any time are no more than before.
    pub fn refund(&mut self) {
        let interval_us = self.interval_us.unwrap_or(0);
        let arrival = self.theoretical_arrival.0.saturating_sub(interval_us);
        self.theoretical_arrival = Time(arrival);
    }
}
