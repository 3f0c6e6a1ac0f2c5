//! The oracle: counts broken invariants from the journals of the stand-ins and from what callers
//! were told.
//!
//! It shares no code with the decisions, and takes nothing from the system's own word.

mod machines;
mod work;

use serde::{Deserialize, Serialize};

use crate::model::WorkerName;
use crate::standin::{backend, worker};

/// The most findings that are kept in words.
const MAX_FINDINGS: usize = 100;

/// What a caller was told about its work in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedOutcome {
    /// It is done: all tasks succeeded, or the whole answer came.
    Finished,
    /// An answer came that is cut or another caller's.
    Garbled,
    /// It ran and failed.
    Failed,
    /// It was cancelled, and nothing of it runs any more.
    Cancelled,
    /// It did not run and will not.
    NotRun,
    /// Whether it ran cannot be known.
    Unknown,
    /// It was accepted, and no end has been told.
    Accepted,
    /// Nothing: no answer reached the caller.
    #[serde(rename = "nothing")]
    NoResponse,
}

/// A piece of work and what its caller was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWork {
    /// The caller's own name of the work, unique among all callers: `work` in the payload of a
    /// job, `x-request-id` of a request.
    pub work: String,
    /// How many tasks it has; 1 for a request.
    pub tasks: u32,
    /// Whether it may run again.
    pub idempotent: bool,
    /// What the caller was told.
    #[serde(rename = "told")]
    pub outcome: ReportedOutcome,
}

/// What the stand-ins and the callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observations<'a> {
    /// The journals of workers, each in its own order.
    pub workers: &'a [worker::JournalEntry],
    /// The journals of backend servers, each in its own order.
    pub backends: &'a [backend::JournalEntry],
    /// The callers' claims.
    pub reported: &'a [ReportedWork],
    /// Workers whose process was killed, with the time in microseconds since the Unix epoch.
    pub killed_workers: &'a [(WorkerName, u64)],
}

/// How strictly the evidence is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOptions {
    /// How far the clocks of two journals may differ, in microseconds.
    pub clock_tolerance_us: u64,
    /// How long a leaving backend server may still be given work, in microseconds.
    pub draining_grace_us: u64,
    /// Whether ends may be lost to faults: then idempotent work may run again until the end of a
    /// run that succeeded was acknowledged.
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

/// What the oracle found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Pieces of work.
    pub submitted: u64,
    /// Pieces of work that callers were told are done.
    pub finished: u64,
    /// Pieces of work that callers were told did not run.
    pub refused: u64,
    /// Pieces of work whose end callers cannot know.
    pub unknown: u64,
    /// Accepted work without an end, or told to be done and not done.
    pub lost: u64,
    /// Work done again after it was done.
    pub doubled: u64,
    /// Starts that took a worker beyond what it holds.
    pub overcommitted: u64,
    /// Tasks that ran in two places at once.
    pub overlapping: u64,
    /// Work that ran although its caller was told that it did not.
    pub not_run_but_ran: u64,
    /// Non-idempotent work that was started more than once.
    pub non_idempotent_repeated: u64,
    /// Work that went on or began after its caller was told that it was cancelled or done.
    pub ran_on: u64,
    /// Answers that were cut or another caller's.
    pub garbled: u64,
    /// Requests given to a backend server beyond its slots.
    pub slots_exceeded: u64,
    /// Connections opened to a backend server beyond its limit.
    pub connections_exceeded: u64,
    /// Requests given to a backend server that had been leaving for longer than the grace.
    pub given_while_leaving: u64,
    /// What was found, in words; the first of many.
    pub findings: Vec<String>,
}

impl Verdict {
    /// How many times an invariant was broken.
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

    fn found(&mut self, counter: fn(&mut Self) -> &mut u64, finding: impl FnOnce() -> String) {
        *counter(self) += 1;
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(finding());
        }
    }
}

/// Judges the evidence.
///
/// # Examples
///
/// ```
/// use chestnutlug::oracle::{ReportedWork, Observations, CheckOptions, ReportedOutcome, check_invariants};
///
/// let claims = [ReportedWork {
///     work: "swap-1".to_owned(),
///     tasks: 1,
///     idempotent: true,
///     outcome: ReportedOutcome::Finished,
/// }];
/// let evidence = Observations { reported: &claims, ..Observations::default() };
/// let verdict = check_invariants(evidence, CheckOptions::default());
/// assert_eq!(verdict.lost, 1, "nothing in the journals shows that it ran");
/// ```
pub fn check_invariants(evidence: Observations<'_>, rules: CheckOptions) -> Verdict {
    let mut verdict = Verdict::default();
    machines::judge_workers(evidence, &mut verdict);
    machines::judge_backends(evidence, rules, &mut verdict);
    work::judge_work(evidence, rules, &mut verdict);
    verdict
}
