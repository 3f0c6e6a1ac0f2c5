//! The clock of this process.

use std::time::{Instant, SystemTime};

use crate::model::Time;

/// A monotonic clock that counts from its creation.
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
    start: Instant,
}

impl Clock {
    /// A clock that starts now, at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the clock was created.
    pub fn now(&self) -> Time {
        let micros = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time(micros)
    }

    /// The wall-clock time since the Unix epoch. Only for reports to operators: no scheduling
    /// decision depends on the wall clock.
    pub fn unix_now(&self) -> Time {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let micros = since.map_or(0, |since| since.as_micros());
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
