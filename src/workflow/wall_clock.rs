//! Readings of the wall clock, which relate the times of this process to times that other processes
//! record.

use std::time::Duration;

use crate::model::Time;

/// The longest age that counts. The wall clocks of VMs differ and jump by seconds; an age above a day
/// comes from a clock that was wrong, or belongs to work for which the order by seconds does not matter.
pub const MAX_AGE: Duration = Duration::from_secs(24 * 60 * 60);

/// A reading of the wall clock.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::model::Time;
/// use chestnutlug::workflow::wall_clock::WallClock;
///
/// let accepted_at = Time::from_millis(100_000);
/// let earlier = WallClock { at: accepted_at + Duration::from_millis(20), unix_ms: 5_020 };
/// let unix_ms = earlier.unix_ms_of(accepted_at);
/// assert_eq!(unix_ms, 5_000);
///
/// // Another process, whose times have another start, reads it 11 s later.
/// let later = WallClock { at: Time::from_millis(30_000), unix_ms: 16_000 };
/// assert_eq!(later.time_of(unix_ms), Time::from_millis(19_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallClock {
    /// When the clock was read, on the monotonic clock of this process.
    pub at: Time,
    /// What it showed, in milliseconds since 1970.
    pub unix_ms: u64,
}

impl WallClock {
    /// What the wall clock showed at `time`, which is not later than the reading, in milliseconds since
    /// 1970.
    pub fn unix_ms_of(&self, time: Time) -> u64 {
        let age_ms = u64::try_from(self.at.since(time).as_millis()).unwrap_or(u64::MAX);
        self.unix_ms.saturating_sub(age_ms)
    }

    /// When the wall clock showed `unix_ms`, on the monotonic clock of this process: not later than the
    /// reading, and at most [`MAX_AGE`] earlier.
    pub fn time_of(&self, unix_ms: u64) -> Time {
        let age = Duration::from_millis(self.unix_ms.saturating_sub(unix_ms));
        self.at.saturating_sub(age.min(MAX_AGE))
    }
}
