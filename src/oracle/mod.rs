//! A test oracle that counts violated invariants, based on the journals of the stand-ins and the
//! outcomes that callers received.
//!
//! It shares no code with the scheduling decisions and uses nothing that the scheduler reports
//! about itself.

mod machines;
mod work;

use serde::{Deserialize, Serialize};

use crate::model::WorkerName;
use crate::standin::{backend, worker};

/// Maximum number of findings with a description.
const MAX_FINDINGS: usize = 100;

/// The final outcome of a piece of work, as received by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedOutcome {
    /// The work is done: all tasks succeeded, or the complete response arrived.
    Finished,
    /// The response was truncated or belongs to another caller.
    Garbled,
    /// The work ran and failed.
    Failed,
    /// The work was cancelled, and no part of it is running.
    Cancelled,
    /// The work did not run and will not run.
    NotRun,
    /// Whether the work ran is unknown.
    Unknown,
    /// The work was accepted, and no final outcome was reported.
    Accepted,
    /// No response reached the caller.
    #[serde(rename = "nothing")]
    NoResponse,
}

/// A piece of work and the outcome that its caller received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWork {
    /// The caller's name for the work, unique among all callers: `work` in the payload of a job, or
    /// `x-request-id` of a request.
    pub work: String,
    /// Number of tasks; 1 for a request.
    pub tasks: u32,
    /// Whether the work may run again.
    pub idempotent: bool,
    /// The outcome that the caller received.
    #[serde(rename = "told")]
    pub outcome: ReportedOutcome,
}

/// The observations of the stand-ins and the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observations<'a> {
    /// The journals of the workers; the entries of each worker are in order.
    pub workers: &'a [worker::JournalEntry],
    /// The journals of the backend servers; the entries of each server are in order.
    pub backends: &'a [backend::JournalEntry],
    /// The work of all callers.
    pub reported: &'a [ReportedWork],
    /// The workers whose process was killed, with the time in microseconds since the Unix epoch.
    pub killed_workers: &'a [(WorkerName, u64)],
}

/// Options for the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOptions {
    /// The maximum difference between the clocks of two journals, in microseconds.
    pub clock_tolerance_us: u64,
    /// How long a draining backend server may still get requests, in microseconds.
    pub draining_grace_us: u64,
    /// Whether faults may lose the results of attempts. If so, idempotent work may run again until
    /// the result of a successful run was acknowledged.
    pub faults_injected: bool,
}

impl Default for CheckOptions {
    fn default() -> Self {
        Self {
            clock_tolerance_us: 5_000,
            draining_grace_us: 5_000_000,
            faults_injected: false,
        }
    }
}

/// The result of the checks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of pieces of work.
    pub submitted: u64,
    /// Work that was reported as done.
    pub finished: u64,
    /// Work that was reported as not run.
    pub refused: u64,
    /// Work whose outcome is unknown to its caller.
    pub unknown: u64,
    /// Violation: accepted work without a final outcome, or tasks reported as done that did not
    /// succeed.
    pub lost: u64,
    /// Violation: tasks that were run again after they had succeeded, or work that ran as several
    /// jobs.
    pub doubled: u64,
    /// Violation: starts or throttles that exceeded the capacity of a worker.
    pub overcommitted: u64,
    /// Violation: tasks that ran twice at the same time.
    pub overlapping: u64,
    /// Violation: work that ran although it was reported as not run.
    pub not_run_but_ran: u64,
    /// Violation: non-idempotent tasks that were started more than once.
    pub non_idempotent_repeated: u64,
    /// Violation: tasks that were still running although they were reported as cancelled.
    pub ran_on: u64,
    /// Violation: responses that were truncated or belonged to another caller.
    pub garbled: u64,
    /// Violation: requests to a backend server beyond its slots.
    pub slots_exceeded: u64,
    /// Violation: connections to a backend server beyond its limit.
    pub connections_exceeded: u64,
    /// Violation: requests to a backend server that had been draining for longer than the grace
    /// period.
    pub given_while_leaving: u64,
    /// Descriptions of the first violations.
    pub findings: Vec<String>,
}

impl Verdict {
    /// Returns the number of violations.
    pub fn violations(&self) -> u64 {
        self.lost
            + self.doubled
            + self.overcommitted
            + self.overlapping
            + self.not_run_but_ran
            + self.non_idempotent_repeated
            + self.ran_on
            + self.garbled
            + self.slots_exceeded
            + self.connections_exceeded
            + self.given_while_leaving
    }

    fn record(&mut self, counter: fn(&mut Self) -> &mut u64, finding: impl FnOnce() -> String) {
        *counter(self) += 1;
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(finding());
        }
    }
}

/// Checks the invariants against the observations.
///
/// # Examples
///
/// ```
/// use chestnutlug::oracle::{
///     CheckOptions, Observations, ReportedOutcome, ReportedWork, check_invariants,
/// };
///
/// let reported = [ReportedWork {
///     work: "swap-1".to_owned(),
///     tasks: 1,
///     idempotent: true,
///     outcome: ReportedOutcome::Finished,
/// }];
/// let observations = Observations { reported: &reported, ..Observations::default() };
/// let verdict = check_invariants(observations, CheckOptions::default());
/// assert_eq!(verdict.lost, 1, "no journal entry shows that the work ran");
/// ```
pub fn check_invariants(observations: Observations<'_>, options: CheckOptions) -> Verdict {
    let mut verdict = Verdict::default();
    machines::check_workers(observations, &mut verdict);
    machines::check_backends(observations, options, &mut verdict);
    work::check_work(observations, options, &mut verdict);
    verdict
}
