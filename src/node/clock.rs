//! The clock of this process.

use std::time::{Duration, SystemTime};

use nix::time::{ClockId, clock_gettime};

use crate::model::Time;

/// The system's monotonic clock. On Linux, it also counts while the machine is suspended, because
/// leases of others expire in that time.
#[cfg(target_os = "linux")]
const MONOTONIC: ClockId = ClockId::CLOCK_BOOTTIME;
#[cfg(not(target_os = "linux"))]
const MONOTONIC: ClockId = ClockId::CLOCK_MONOTONIC;

/// A monotonic clock that counts from its creation, also while the machine is suspended.
///
/// # Examples
///
/// ```
/// use chestnutlug::node::clock::Clock;
///
/// let clock = Clock::start();
/// let earlier = clock.now();
/// assert!(clock.now() >= earlier);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    /// The time at which the clock started.
    origin: Time,
}

impl Clock {
    /// A clock that starts now, at zero.
    ///
    /// # Panics
    ///
    /// Panics if the system has no monotonic clock.
    pub fn start() -> Self {
        Self {
            start: read_monotonic(),
            origin: Time::default(),
        }
    }

    /// A clock that starts now, at `time`. It can express times before its start.
    ///
    /// # Panics
    ///
    /// Panics if the system has no monotonic clock.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::model::Time;
    /// use chestnutlug::node::clock::Clock;
    ///
    /// let time = Time::from_millis(60_000);
    /// assert!(Clock::start_at(time).now() >= time);
    /// ```
    pub fn start_at(time: Time) -> Self {
        Self {
            origin: time,
            ..Self::start()
        }
    }

    /// The time since the clock was created, plus the time at which it started.
    pub fn now(&self) -> Time {
        let elapsed = read_monotonic().saturating_sub(self.start);
        self.origin + elapsed
    }

    /// The wall-clock time since the Unix epoch. It may jump: of the scheduling decisions, only the
    /// occurrences of recurring workflows and the order of waiting steps after a takeover depend on it.
    pub fn unix_now(&self) -> Time {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let micros = since.map_or(0, |since| since.as_micros());
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

fn read_monotonic() -> Duration {
    let time = clock_gettime(MONOTONIC).expect("the system has a monotonic clock");
    Duration::from(time)
}
