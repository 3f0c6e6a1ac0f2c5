//! Benchmark of the end-to-end rate of placements: from a caller's job through the table to the
//! start on a worker.

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

const TASKS_PER_JOB: u32 = 30;

const TASK_RUN_MS: u64 = 300;

const TASK_RESOURCES: Resources = Resources {
    cpu_milli: 200,
    memory_mib: 64,
    accelerators: 0,
};

/// Parameters of the benchmark.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// Options of the cell.
    pub cell: CellOptions,
    /// Number of tasks submitted per second.
    pub tasks_per_s: u32,
    /// Duration for which jobs are submitted.
    pub duration: Duration,
}

/// Results of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of tasks submitted per second, as configured.
    pub offered_per_s: f64,
    /// Number of tasks started on workers.
    pub started: u64,
    /// Starts per second, from the first to the last start.
    pub placements_per_s: f64,
    /// Median time from the submission of a job to the start of its tasks, in milliseconds.
    pub start_p50_ms: f64,
    /// 99th percentile of this time, in milliseconds.
    pub start_p99_ms: f64,
    /// Transactions per second committed by the table.
    pub writes_per_s: f64,
    /// Share of the table's maximum rate that these transactions used; absent without a maximum.
    pub write_share: Option<f64>,
    /// Mean number of rows per transaction.
    pub rows_per_write: f64,
    /// Number of jobs that did not succeed.
    pub not_finished: u64,
}

/// Submits jobs at a constant rate and measures the starts of their tasks.
///
/// # Errors
///
/// Returns an error if the cell does not start.
pub async fn run(params: &Params) -> Result<Report> {
    let cell = LocalCell::start(&params.cell).await?;
    let callers = Callers::new(&cell.caller_addresses());
    let before = cell.platform.counters();
    let start = Instant::now();
    let jobs = submit_jobs(&callers, params).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let after = cell.platform.counters();
    let starts = starts(&cell);
    let writes = after.transactions - before.transactions;
    let writes_per_s = writes as f64 / elapsed_s;
    let start_latencies = start_latencies(&jobs, &starts);
    let ms = |quantile| start_latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    let report = Report {
        offered_per_s: f64::from(params.tasks_per_s),
        started: starts.len() as u64,
        placements_per_s: start_rate(&starts),
        start_p50_ms: ms(0.5),
        start_p99_ms: ms(0.99),
        writes_per_s,
        write_share: params
            .cell
            .writes_per_s
            .map(|max| writes_per_s / f64::from(max)),
        rows_per_write: (after.rows_written - before.rows_written) as f64 / writes.max(1) as f64,
        not_finished: jobs
            .iter()
            .filter(|job| job.outcome != ReportedOutcome::Finished)
            .count() as u64,
    };
    cell.stop().await;
    Ok(report)
}

struct SubmittedJob {
    name: String,
    submitted_us: u64,
    outcome: ReportedOutcome,
}

struct TaskStart {
    work: String,
    started_us: u64,
}

async fn submit_jobs(callers: &Callers, params: &Params) -> Vec<SubmittedJob> {
    let jobs_per_s = f64::from(params.tasks_per_s) / f64::from(TASKS_PER_JOB);
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / jobs_per_s));
    let end = Instant::now() + params.duration;
    let mut in_flight = JoinSet::new();
    for index in 0.. {
        interval.tick().await;
        if Instant::now() >= end {
            break;
        }
        let callers = callers.clone();
        in_flight.spawn(async move {
            let work = job(index);
            let (name, submitted_us) = (work.name.clone(), unix_us());
            let outcome = callers.submit(index, work).await.reported.outcome;
            SubmittedJob {
                name,
                submitted_us,
                outcome,
            }
        });
    }
    in_flight.join_all().await
}

fn job(index: usize) -> WorkItem {
    let name = format!("place-{index}");
    let payload = serde_json::json!({ "work": name, "run_ms": TASK_RUN_MS });
    let spec = JobSpec {
        team: "kowhai".into(),
        kind: "heat-map".into(),
        urgency: Urgency::Normal,
        lifetime: Lifetime::Batch,
        idempotent: true,
        all_at_once: false,
        tasks: TASKS_PER_JOB,
        resources: TASK_RESOURCES,
        expected_ms: TASK_RUN_MS,
        payload: payload.to_string(),
    };
    WorkItem {
        name,
        kind: "heat-map",
        submit_as: SubmitAs::Job(Box::new(spec)),
    }
}

fn starts(cell: &LocalCell) -> Vec<TaskStart> {
    let journals = cell
        .workers
        .iter()
        .flat_map(|worker| worker.with(|worker| worker.journal().to_vec()));
    let started = journals.filter(|entry| entry.event == JournalEvent::Started);
    let starts = started.filter_map(|entry| {
        Some(TaskStart {
            work: entry.work?,
            started_us: entry.time_us,
        })
    });
    starts.collect()
}

fn start_rate(starts: &[TaskStart]) -> f64 {
    let first = starts
        .iter()
        .map(|start| start.started_us)
        .min()
        .unwrap_or(0);
    let last = starts
        .iter()
        .map(|start| start.started_us)
        .max()
        .unwrap_or(0);
    let seconds = (last - first) as f64 / 1e6;
    starts.len() as f64 / seconds.max(f64::EPSILON)
}

fn start_latencies(jobs: &[SubmittedJob], starts: &[TaskStart]) -> Histogram<u64> {
    let submitted_us: HashMap<&str, u64> = jobs
        .iter()
        .map(|job| (job.name.as_str(), job.submitted_us))
        .collect();
    let mut start_latencies = Histogram::new(3).expect("3 significant digits are supported");
    for start in starts {
        if let Some(submitted_us) = submitted_us.get(start.work.as_str()) {
            let latency_us = start.started_us.saturating_sub(*submitted_us);
            start_latencies
                .record(latency_us)
                .expect("the histogram resizes itself");
        }
    }
    start_latencies
}
