//! Event rate for estimating waiting times.

use std::time::Duration;

use crate::model::Time;

const HALF_LIFE_S: f64 = 10.0;
const MIN_WAIT_MS: u64 = 100;
const MAX_WAIT_MS: u64 = 60_000;

/// Exponentially decayed rate of events.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::rate::EventRate;
/// use chestnutlug::model::Time;
///
/// let mut starts = EventRate::default();
/// for second in 0..120 {
///     starts.record(20, Time::from_millis(second * 1_000));
/// }
/// let now = Time::from_millis(120_000);
/// let wait_ms = starts.wait_ms(100, now);
/// assert!((4_000..7_000).contains(&wait_ms), "{wait_ms}");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    decayed_count: f64,
    last: Time,
    first: Option<Time>,
}

impl EventRate {
    /// Records `events` events at `now`.
    pub fn record(&mut self, events: u32, now: Time) {
        self.decayed_count = self.decayed(now) + f64::from(events);
        self.last = now;
        self.first.get_or_insert(now);
    }

    fn decayed(&self, now: Time) -> f64 {
        let half_lives = now.since(self.last).as_secs_f64() / HALF_LIFE_S;
        self.decayed_count * (-half_lives).exp2()
    }

    /// Returns the number of events per second.
    pub fn per_second(&self, now: Time) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        let elapsed_s = now.since(first).max(Duration::from_secs(1)).as_secs_f64();
        let mean_life_s = HALF_LIFE_S / std::f64::consts::LN_2;
        let window_s = mean_life_s * (1.0 - (-elapsed_s / mean_life_s).exp());
        self.decayed(now) / window_s
    }

    /// Returns the expected time until `events` more events at this rate, in milliseconds, clamped
    /// to a range of 100 ms to 60 s.
    pub fn wait_ms(&self, events: u64, now: Time) -> u64 {
        let wait_ms = events as f64 * 1_000.0 / self.per_second(now).max(1e-3);
        (wait_ms as u64).clamp(MIN_WAIT_MS, MAX_WAIT_MS)
    }
}
