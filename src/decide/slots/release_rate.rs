//! Release rate of slots, for estimating waiting times.

use std::time::Duration;

use crate::model::Time;

/// Rate at which slots are released, over about two seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseRate {
    second: u64,
    this_second: u32,
    last_second: u32,
}

impl ReleaseRate {
    /// Records the release of one slot.
    pub(super) fn record(&mut self, now: Time) {
        let second = now.0 / 1_000_000;
        if second != self.second {
            let adjacent = second == self.second + 1;
            self.last_second = if adjacent { self.this_second } else { 0 };
            self.this_second = 0;
            self.second = second;
        }
        self.this_second += 1;
    }

    /// Returns the expected time until `slots` more slots are released.
    pub(super) fn time_for(&self, slots: usize, now: Time) -> Duration {
        let stale = now.0 / 1_000_000 > self.second + 2;
        let per_s = if stale {
            0
        } else {
            self.this_second.max(self.last_second)
        };
        Duration::from_secs_f64(slots as f64 / f64::from(per_s.max(1)))
    }
}
