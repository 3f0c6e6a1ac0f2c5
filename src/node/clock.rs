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
        }
    }

    /// The time since the clock was created.
    pub fn now(&self) -> Time {
        let elapsed = read_monotonic().saturating_sub(self.start);
        Time(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// The wall-clock time since the Unix epoch. Only for reports to operators: no scheduling
    /// decision depends on the wall clock.
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
