//! Placements a second end to end: from a caller's job through the table to the start on a worker.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::error::Result;
use crate::local::callers::{Callers, unix_us};
use crate::local::cell::{CellOptions, LocalCell};
use crate::local::sample::{SubmitAs, WorkItem};
use crate::model::{JobSpec, Lifetime, Resources, Urgency};
use crate::oracle::ReportedOutcome;
use crate::standin::worker::JournalEvent;

/// Tasks of each job.
const TASKS: u32 = 30;

/// How long each task runs, in milliseconds.
const RUN_MS: u64 = 300;

/// What each task needs.
const NEED: Resources = Resources {
    cpu_milli: 200,
    memory_mib: 64,
    accelerators: 0,
};

/// How much is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// The cell.
    pub cell: CellOptions,
    /// Tasks a second that are submitted.
    pub tasks_per_s: u32,
    /// How long work is submitted.
    pub duration: Duration,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Tasks a second that were submitted.
    pub offered_per_s: f64,
    /// Tasks that started on workers.
    pub started: u64,
    /// Starts a second, from the first to the last start.
    pub placements_per_s: f64,
    /// From a job's acceptance by the caller's VM to its tasks' starts, the median, in
    /// milliseconds.
    pub start_p50_ms: f64,
    /// The same, the 99th percentile.
    pub start_p99_ms: f64,
    /// Transactions a second that the table took.
    pub writes_per_s: f64,
    /// The share of the table's budget that they used; absent without a budget.
    pub write_share: Option<f64>,
    /// Rows in each transaction, on average.
    pub rows_per_write: f64,
    /// Jobs that did not end in success.
    pub not_finished: u64,
}

/// Submits jobs at a steady rate and measures their tasks' starts.
///
/// # Errors
///
/// Returns an error where the cell does not start.
pub async fn run(params: &Params) -> Result<Report> {
    let cell = LocalCell::start(&params.cell).await?;
    let callers = Callers::new(&cell.caller_addresses());
    let before = cell.platform.counters();
    let began = Instant::now();
    let told = submit(&callers, params).await;
    let lasted = began.elapsed().as_secs_f64();
    let after = cell.platform.counters();
    let starts = starts(&cell);
    let writes = after.transactions - before.transactions;
    let writes_per_s = writes as f64 / lasted;
    let waits = waits(&told, &starts);
    let ms = |quantile| waits.value_at_quantile(quantile) as f64 / 1_000.0;
    let report = Report {
        offered_per_s: f64::from(params.tasks_per_s),
        started: starts.len() as u64,
        placements_per_s: rate(&starts),
        start_p50_ms: ms(0.5),
        start_p99_ms: ms(0.99),
        writes_per_s,
        write_share: params
            .cell
            .writes_per_s
            .map(|budget| writes_per_s / f64::from(budget)),
        rows_per_write: (after.rows_written - before.rows_written) as f64 / writes.max(1) as f64,
        not_finished: told
            .iter()
            .filter(|told| told.told != ReportedOutcome::Finished)
            .count() as u64,
    };
    cell.stop().await;
    Ok(report)
}

struct Submitted {
    name: String,
    at_us: u64,
    told: ReportedOutcome,
}

struct Started {
    work: String,
    at_us: u64,
}

async fn submit(callers: &Callers, params: &Params) -> Vec<Submitted> {
    let jobs_per_s = f64::from(params.tasks_per_s) / f64::from(TASKS);
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / jobs_per_s));
    let end = Instant::now() + params.duration;
    let mut under_way = JoinSet::new();
    for turn in 0.. {
        interval.tick().await;
        if Instant::now() >= end {
            break;
        }
        let callers = callers.clone();
        under_way.spawn(async move {
            let work = job(turn);
            let (name, at_us) = (work.name.clone(), unix_us());
            let told = callers.submit(turn, work).await.reported.outcome;
            Submitted { name, at_us, told }
        });
    }
    under_way.join_all().await
}

fn job(turn: usize) -> WorkItem {
    let name = format!("place-{turn}");
    let payload = serde_json::json!({ "work": name, "run_ms": RUN_MS });
    let spec = JobSpec {
        team: "kowhai".into(),
        kind: "heat-map".into(),
        urgency: Urgency::Normal,
        lifetime: Lifetime::Batch,
        idempotent: true,
        all_at_once: false,
        tasks: TASKS,
        resources: NEED,
        expected_ms: RUN_MS,
        payload: payload.to_string(),
    };
    WorkItem {
        name,
        kind: "heat-map",
        submit_as: SubmitAs::Job(Box::new(spec)),
    }
}

fn starts(cell: &LocalCell) -> Vec<Started> {
    let journals = cell
        .workers
        .iter()
        .flat_map(|worker| worker.with(|worker| worker.journal().to_vec()));
    let started = journals.filter(|entry| entry.event == JournalEvent::Started);
    let starts = started.filter_map(|entry| {
        Some(Started {
            work: entry.work?,
            at_us: entry.time_us,
        })
    });
    starts.collect()
}

fn rate(starts: &[Started]) -> f64 {
    let first = starts.iter().map(|start| start.at_us).min().unwrap_or(0);
    let last = starts.iter().map(|start| start.at_us).max().unwrap_or(0);
    let seconds = (last - first) as f64 / 1e6;
    starts.len() as f64 / seconds.max(f64::EPSILON)
}

fn waits(submitted: &[Submitted], starts: &[Started]) -> Histogram<u64> {
    let at: HashMap<&str, u64> = submitted
        .iter()
        .map(|job| (job.name.as_str(), job.at_us))
        .collect();
    let mut waits = Histogram::new(3).expect("three digits are in range");
    for start in starts {
        if let Some(submitted) = at.get(start.work.as_str()) {
            let waited = start.at_us.saturating_sub(*submitted);
            waits.record(waited).expect("the histogram grows");
        }
    }
    waits
}
