//! What the driver knows of jobs, of runs and of workers.

use super::workload::Arrival;
use crate::decide::{AttemptEnd, JobKey, WorkerKey};
use crate::model::Resources;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    End(JobKey, u32, u64),
    Report(JobKey, u32, u64),
}

#[derive(Debug)]
pub(super) struct SimJob {
    pub arrival: Arrival,
    pub kind: &'static str,
    pub left: u32,
    pub waits: Vec<bool>,
    /// What each task still has to run, in milliseconds.
    pub left_ms: Vec<u64>,
    pub attempts: Vec<u32>,
}

#[derive(Debug)]
pub(super) struct SimRun {
    pub version: u64,
    pub worker: WorkerKey,
    pub reserved: Resources,
    pub reported: Resources,
    /// What it may use.
    pub allowed: Resources,
    /// When what is left was last worked out, in milliseconds.
    pub since_ms: u64,
    pub left_ms: u64,
    pub end: AttemptEnd,
}

#[derive(Debug, Default)]
pub(super) struct SimWorker {
    pub bad: bool,
    /// The sum of the larger of reserved and reported.
    pub counted: Resources,
}
