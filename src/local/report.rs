//! Final report of a run, from the journals of the stand-ins.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::callers::SubmittedWork;
use crate::oracle::{CheckOptions, Observations, ReportedWork, Verdict, check_invariants};
use crate::standin::{backend, worker};

/// Journals of the stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// Entries of all workers.
    pub workers: Vec<worker::JournalEntry>,
    /// Entries of all backend servers.
    pub backends: Vec<backend::JournalEntry>,
}

/// Waiting times of a kind of work, from the submission to the first start on a worker or backend
/// server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WaitingTimes {
    /// Number of jobs and requests that started.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}

/// Final report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunReport {
    /// Violated invariants and counts of the work.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Number of requests aborted and shards not released by the planned stops.
    pub unclean_stops: usize,
    /// Waiting times by kind of work.
    pub waiting: BTreeMap<String, WaitingTimes>,
}

impl RunReport {
    /// Checks the invariants of a run and summarizes its waiting times.
    pub fn new(submitted: &[SubmittedWork], journals: &Journals, unclean_stops: usize) -> Self {
        let reported: Vec<ReportedWork> =
            submitted.iter().map(|work| work.reported.clone()).collect();
        let observations = Observations {
            workers: &journals.workers,
            backends: &journals.backends,
            reported: &reported,
            killed_workers: &[],
        };
        Self {
            verdict: check_invariants(observations, CheckOptions::default()),
            unclean_stops,
            waiting: waiting_times(submitted, journals),
        }
    }

    /// Whether all invariants held and all stops were clean.
    pub fn is_clean(&self) -> bool {
        self.verdict.violations() == 0 && self.unclean_stops == 0
    }
}

/// First start of each work item, in microseconds since the Unix epoch.
fn start_times(journals: &Journals) -> HashMap<&str, u64> {
    let tasks = journals
        .workers
        .iter()
        .filter(|entry| entry.event == worker::JournalEvent::Started)
        .filter_map(|entry| Some((entry.work.as_deref()?, entry.time_us)));
    let requests = journals
        .backends
        .iter()
        .filter(|entry| entry.event == backend::JournalEvent::Begin)
        .filter_map(|entry| Some((entry.request.as_deref()?, entry.time_us)));
    let mut first = HashMap::new();
    for (work, at) in tasks.chain(requests) {
        let earliest = first.entry(work).or_insert(at);
        *earliest = at.min(*earliest);
    }
    first
}

fn waiting_times(
    submitted: &[SubmittedWork],
    journals: &Journals,
) -> BTreeMap<String, WaitingTimes> {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    let start_times = start_times(journals);
    let mut by_kind: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    for work in submitted {
        let Some(&at) = start_times.get(work.reported.work.as_str()) else {
            continue;
        };
        let histogram = by_kind
            .entry(work.kind.to_owned())
            .or_insert_with(|| Histogram::new(3).expect("3 significant digits are supported"));
        let waiting_us = at.saturating_sub(work.submitted_us);
        histogram
            .record(waiting_us)
            .expect("the histogram resizes itself");
    }
    let ms = |micros: u64| micros as f64 / MICROS_PER_MILLI;
    let summaries = by_kind.into_iter().map(|(kind, histogram)| {
        let summary = WaitingTimes {
            count: histogram.len(),
            p50_ms: ms(histogram.value_at_quantile(0.5)),
            p99_ms: ms(histogram.value_at_quantile(0.99)),
            max_ms: ms(histogram.max()),
        };
        (kind, summary)
    });
    summaries.collect()
}
