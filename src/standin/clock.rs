//! Clock for the timestamps of the stand-ins' journals.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::model::Time;

/// Monotonic clock that starts at the wall-clock time, so that the journals of stand-ins on one
/// machine can be merged.
#[derive(Clone, Copy, Debug)]
pub struct JournalClock {
    started_at: Instant,
    unix_start: Duration,
}

impl JournalClock {
    /// Starts the clock at the current wall-clock time, which is read only once.
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started_at: Instant::now(),
            unix_start: unix_start.unwrap_or_default(),
        }
    }

    /// Current time since the Unix epoch.
    pub fn now(&self) -> Time {
        Time::default() + self.unix_start + self.started_at.elapsed()
    }

    /// Converts `time` to an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.started_at + time.since(Time::default() + self.unix_start)
    }
}
