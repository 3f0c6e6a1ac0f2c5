//! Failure tracking for workers, to set aside those that fail everything they start.

use std::time::Duration;

use super::JobKey;
use crate::model::Time;

/// Maximum number of failed jobs in a row that are counted.
const MAX_FAILURES: usize = 8;
const MIN_FAILURES: usize = 3;
/// Maximum probability that failures in a row set a healthy worker aside.
const MAX_FALSE_POSITIVE_RATE: f64 = 1e-5;
const MAX_DOUBLINGS: u32 = 6;

/// Returns the number of jobs that have to fail in a row on a worker before it is set aside.
/// `failed` and `succeeded` count attempts on all workers; the threshold is high enough that a
/// healthy worker hardly ever reaches it.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::health::failure_threshold;
///
/// assert_eq!(failure_threshold(0, 1_000), 3);
/// assert_eq!(failure_threshold(200, 800), 8);
/// ```
pub fn failure_threshold(failed: u32, succeeded: u32) -> usize {
    let failure_rate =
        (f64::from(failed) + 1.0) / (f64::from(failed) + f64::from(succeeded) + 20.0);
    let threshold = (MAX_FALSE_POSITIVE_RATE.ln() / failure_rate.min(0.9).ln()).ceil();
    (threshold as usize).clamp(MIN_FAILURES, MAX_FAILURES)
}

/// Failure history of a worker.
///
/// A job counts as one failure however often it fails, so that one bad job does not set a worker
/// aside. A success clears the history.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::{JobKey, health::WorkerHealth};
/// use chestnutlug::model::Time;
/// use slotmap::SlotMap;
///
/// let mut jobs = SlotMap::<JobKey, ()>::with_key();
/// let mut health = WorkerHealth::default();
/// let bad_job = jobs.insert(());
/// for _ in 0..10 {
///     assert_eq!(health.record_failure(bad_job), 1);
/// }
/// assert_eq!(health.record_failure(jobs.insert(())), 2);
/// assert_eq!(health.record_failure(jobs.insert(())), 3);
/// health.set_aside(Time::default(), Duration::from_secs(30));
/// assert!(!health.is_probe_due(Time::from_millis(29_000)));
/// assert!(health.is_probe_due(Time::from_millis(30_000)));
/// ```
#[derive(Debug, Default)]
pub struct WorkerHealth {
    failed_jobs: Vec<JobKey>,
    set_aside: Option<SetAsidePeriod>,
    times_set_aside: u32,
}

#[derive(Clone, Copy, Debug)]
struct SetAsidePeriod {
    until: Time,
    probing: bool,
}

impl WorkerHealth {
    /// Records a failed task of `job`; returns the number of jobs that failed in a row.
    pub fn record_failure(&mut self, job: JobKey) -> usize {
        if !self.failed_jobs.contains(&job) && self.failed_jobs.len() < MAX_FAILURES {
            self.failed_jobs.push(job);
        }
        self.failed_jobs.len()
    }

    /// Records a success: clears the failures and takes the worker back into service.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.set_aside = None;
        self.times_set_aside = 0;
    }

    /// Removes the failure of `job`, which is known to fail on any worker.
    pub fn discard_failure(&mut self, job: JobKey) {
        self.failed_jobs.retain(|&failed| failed != job);
    }

    /// Sets the worker aside for `base`, doubled each further time until a success.
    pub fn set_aside(&mut self, now: Time, base: Duration) {
        let wait = base.saturating_mul(1 << self.times_set_aside.min(MAX_DOUBLINGS));
        self.times_set_aside += 1;
        self.set_aside = Some(SetAsidePeriod {
            until: now + wait,
            probing: false,
        });
    }

    /// Returns whether the worker is set aside.
    pub fn is_set_aside(&self) -> bool {
        self.set_aside.is_some()
    }

    /// Returns whether the worker is set aside and may be given one task as a probe.
    pub fn is_probe_due(&self, now: Time) -> bool {
        self.set_aside
            .is_some_and(|period| !period.probing && now >= period.until)
    }

    /// Returns when the next probe is due; zero if the worker is not set aside.
    pub fn next_probe_at(&self) -> Time {
        self.set_aside
            .map_or(Time::default(), |period| period.until)
    }

    /// Records that a probe was started.
    pub fn probe_started(&mut self) {
        if let Some(period) = &mut self.set_aside {
            period.probing = true;
        }
    }

    /// Records that a probe ended without a result.
    pub fn probe_aborted(&mut self) {
        if let Some(period) = &mut self.set_aside {
            period.probing = false;
        }
    }
}
