//! Detects pauses of this process, for example while its machine is suspended.

use std::time::Duration;

use crate::model::Time;

/// The shortest gap between two ticks that counts as a pause. Other VMs consider a VM lost only
/// after a longer time, and may then have taken over what it owned.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// How long after a pause the directory counts as stale.
const STALE_PERIOD: Duration = Duration::from_secs(1);

/// Detects pauses as gaps between regular ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PauseDetector {
    last_tick: Option<Time>,
    stale_until: Time,
}

impl PauseDetector {
    /// Records a tick.
    pub(super) fn tick(&mut self, now: Time) {
        if self.is_gap(now) {
            self.stale_until = now + STALE_PERIOD;
        }
        self.last_tick = Some(now);
    }

    /// Whether the process has paused so recently that its directory may be out of date.
    pub(super) fn is_directory_stale(&self, now: Time) -> bool {
        self.is_gap(now) || now < self.stale_until
    }

    fn is_gap(&self, now: Time) -> bool {
        self.last_tick
            .is_some_and(|last_tick| now.since(last_tick) >= MIN_PAUSE)
    }
}
