//! State of the jobs, attempts and workers of a simulation.

use super::workload::Arrival;
use crate::decide::{AttemptEnd, JobKey, WorkerKey};
use crate::model::Resources;

/// Scheduled event of a task: its job, its index, and the version of the attempt. The event is
/// ignored if the attempt has a newer version by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    End(JobKey, u32, u64),
    Report(JobKey, u32, u64),
}

#[derive(Debug)]
pub(super) struct SimJob {
    pub arrival: Arrival,
    pub kind: &'static str,
    pub remaining_tasks: u32,
    /// For each task, whether it was never started.
    pub never_started: Vec<bool>,
    /// Remaining run time of each task, in milliseconds.
    pub remaining_ms: Vec<u64>,
    /// Number of attempts of each task.
    pub attempt_counts: Vec<u32>,
}

#[derive(Debug)]
pub(super) struct SimAttempt {
    /// Version of the scheduled events; older ones are ignored.
    pub event_version: u64,
    pub worker: WorkerKey,
    pub reserved: Resources,
    pub reported: Resources,
    /// Resources that the attempt may use.
    pub allowed: Resources,
    /// Time of the last update of `remaining_ms`, in milliseconds.
    pub updated_ms: u64,
    pub remaining_ms: u64,
    pub end: AttemptEnd,
}

#[derive(Debug, Default)]
pub(super) struct SimWorker {
    pub failing: bool,
    /// Sum over the attempts of the larger of the reserved and the reported resources.
    pub allocated: Resources,
}
