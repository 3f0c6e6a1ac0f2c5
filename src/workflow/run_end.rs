//! What the end of a run means for its task.
//!
//! A worker lists the ends of runs until they are acknowledged, so that an end may arrive when the
//! task has another run, waits for one, or is done. Only the end of the current run may make a task
//! wait again.

use crate::port::executor::RunEnd;

/// The kind of a step, as far as the ends of its runs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepKind {
    /// Each task is done once one of its runs is.
    Ordinary,
    /// The tasks run together, and all are done once one is.
    Gang,
    /// The tasks are never done; they run until the workflow is cancelled.
    Lasting,
}

/// How an ended run relates to its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It was the current run of the task or gang.
    Current,
    /// The task or gang has another run.
    Superseded,
    /// The task or gang has no run.
    Waiting,
    /// The task is done.
    Done,
}

/// What the end of a run changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndAction {
    /// The task or gang is done. Its other runs, if any, are stopped.
    Complete,
    /// The task waits for its next run.
    Requeue,
    /// The task goes on waiting, and may resume from the checkpoint of the ended run.
    KeepCheckpoint,
    /// Nothing changes.
    Ignore,
}

/// Decides what the end of a run changes.
///
/// # Examples
///
/// ```
/// use chestnutlug::port::executor::RunEnd;
/// use chestnutlug::workflow::run_end::{EndAction, Standing, StepKind, action};
///
/// let late = action(StepKind::Lasting, RunEnd::Done, Standing::Superseded);
/// assert_eq!(late, EndAction::Ignore);
/// let late = action(StepKind::Ordinary, RunEnd::Done, Standing::Superseded);
/// assert_eq!(late, EndAction::Complete);
/// ```
pub fn action(kind: StepKind, end: RunEnd, standing: Standing) -> EndAction {
    let completes = end == RunEnd::Done && kind != StepKind::Lasting;
    match standing {
        Standing::Done => EndAction::Ignore,
        _ if completes => EndAction::Complete,
        Standing::Current => EndAction::Requeue,
        Standing::Superseded => EndAction::Ignore,
        Standing::Waiting => EndAction::KeepCheckpoint,
    }
}

/// Whether the end of a run counts as a failure of its task. Failures of earlier runs count too.
///
/// # Examples
///
/// ```
/// use chestnutlug::port::executor::RunEnd;
/// use chestnutlug::workflow::run_end::{Standing, StepKind, counts_as_failure};
///
/// assert!(counts_as_failure(StepKind::Gang, RunEnd::Failed, Standing::Superseded));
/// assert!(!counts_as_failure(StepKind::Lasting, RunEnd::Failed, Standing::Current));
/// ```
pub fn counts_as_failure(kind: StepKind, end: RunEnd, standing: Standing) -> bool {
    end == RunEnd::Failed && kind != StepKind::Lasting && standing != Standing::Done
}
