//! Which tasks are blamed for the crash of a worker, and when a task is given up.
//!
//! A task can crash each worker that starts it, and a crashed worker reports no end of its runs. All
//! tasks that had just started there are blamed. A blamed task starts again on probation: for
//! [`PROBATION`], no other workflow starts a task on its worker, so that a further crash is blamed
//! on few others. A worker may return under another name, so that a worker that stays silent until
//! its leases have expired is taken as crashed until the same process responds again.
//!
//! A worker that has neither confirmed a run nor answered a later poll may have crashed before the
//! start arrived, and the run is not blamed. Later starts of such a task are sent with a poll.

use std::time::Duration;

use super::spec::TaskId;

/// How many workers may crash under a task before the task is given up.
pub const MAX_CRASHES: usize = 3;

/// How long a run has to last, with a worker that still responds, before it is not blamed for a
/// crash.
pub const PROBATION: Duration = Duration::from_millis(500);

/// A run that was on a worker when the worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// Whether the run may have started on the worker.
    pub may_have_started: bool,
    /// Whether the worker is known to have been alive after the start was sent. Otherwise it may
    /// have crashed before the start arrived.
    pub outlived_start: bool,
    /// How long the worker responded after the start of the run.
    pub lasted: Duration,
}

/// The runs that are blamed for the crash of their worker.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::crash::{LostRun, PROBATION, blamed};
///
/// let task = "00c0ffee00c0ffee.0.0.0".parse().unwrap();
/// let lasted = PROBATION / 2;
/// let recent = LostRun { task, run: 1, may_have_started: true, outlived_start: true, lasted };
/// let settled = LostRun { lasted: PROBATION, ..recent };
/// let unanswered = LostRun { outlived_start: false, ..recent };
/// assert_eq!(blamed(&[recent, settled, unanswered]).collect::<Vec<_>>(), [recent]);
/// ```
pub fn blamed(runs: &[LostRun]) -> impl Iterator<Item = LostRun> + '_ {
    let is_blamed =
        |run: &&LostRun| run.may_have_started && run.outlived_start && run.lasted < PROBATION;
    runs.iter().filter(is_blamed).copied()
}

/// On how many workers a blamed step may have runs on probation, if `settled` of its runs have
/// passed theirs: few workers crash under a step that crashes them, and any other step soon runs at
/// its full width.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::crash::max_workers_on_probation;
///
/// assert_eq!(max_workers_on_probation(0), 1);
/// assert_eq!(max_workers_on_probation(4), 4);
/// ```
pub fn max_workers_on_probation(settled: usize) -> usize {
    settled.max(1)
}
