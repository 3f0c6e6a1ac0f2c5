//! The closing report of a run, from the stand-ins' journals.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::callers::SubmittedWork;
use crate::oracle::{CheckOptions, Observations, ReportedWork, Verdict, check_invariants};
use crate::standin::{backend, worker};

/// The journals of the stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// Of the workers.
    pub workers: Vec<worker::JournalEntry>,
    /// Of the backend servers.
    pub backends: Vec<backend::JournalEntry>,
}

/// How long a kind of work waited, from its submission to its beginning on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Waiting {
    /// How many tasks and requests began.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The longest, in milliseconds.
    pub max_ms: f64,
}

/// The closing report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunReport {
    /// What the oracle found.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Requests cut off and shards not handed over by the planned stops.
    pub unclean_stops: usize,
    /// How long each kind waited.
    pub waiting: BTreeMap<String, Waiting>,
}

impl RunReport {
    /// Judges a run.
    pub fn new(told: &[SubmittedWork], journals: &Journals, unclean_stops: usize) -> Self {
        let claims: Vec<ReportedWork> = told.iter().map(|told| told.claim.clone()).collect();
        let evidence = Observations {
            workers: &journals.workers,
            backends: &journals.backends,
            reported: &claims,
            killed_workers: &[],
        };
        Self {
            verdict: check_invariants(evidence, CheckOptions::default()),
            unclean_stops,
            waiting: waiting(told, journals),
        }
    }

    /// Whether every invariant held.
    pub fn is_clean(&self) -> bool {
        self.verdict.violations() == 0 && self.unclean_stops == 0
    }
}

/// When each piece of work first began, in microseconds since the Unix epoch.
fn beginnings(journals: &Journals) -> HashMap<&str, u64> {
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

fn waiting(told: &[SubmittedWork], journals: &Journals) -> BTreeMap<String, Waiting> {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    let began = beginnings(journals);
    let mut by_kind: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    for told in told {
        let Some(&at) = began.get(told.claim.work.as_str()) else {
            continue;
        };
        let histogram = by_kind
            .entry(told.kind.to_owned())
            .or_insert_with(|| Histogram::new(3).expect("three digits are in range"));
        let waited = at.saturating_sub(told.submitted_us);
        histogram.record(waited).expect("the histogram grows");
    }
    let ms = |micros: u64| micros as f64 / MICROS_PER_MILLI;
    let summaries = by_kind.into_iter().map(|(kind, histogram)| {
        let summary = Waiting {
            count: histogram.len(),
            p50_ms: ms(histogram.value_at_quantile(0.5)),
            p99_ms: ms(histogram.value_at_quantile(0.99)),
            max_ms: ms(histogram.max()),
        };
        (kind, summary)
    });
    summaries.collect()
}
