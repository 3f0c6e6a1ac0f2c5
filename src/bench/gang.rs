//! Benchmark of gangs over several shards, in one process with stand-ins: time from the submission
//! to the last start, and transactions of the table.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::error::Result;
use crate::local::callers::Callers;
use crate::local::cell::{CellOptions, LocalCell};
use crate::local::sample::{SubmitAs, WorkItem};
use crate::model::{JobSpec, Lifetime, Resources, Urgency};
use crate::oracle::ReportedOutcome;
use crate::standin::worker::JournalEvent;

const WORKER_CORES: u32 = 16;

/// Run time of the tasks of a gang, in milliseconds.
const GANG_RUN_MS: u64 = 300;

/// Run time of the tasks of other jobs, in milliseconds.
const OTHER_RUN_MS: u64 = 500;

/// Duration for which the transactions without gangs are counted.
const BASELINE_DURATION: Duration = Duration::from_secs(4);

/// Duration for which the other jobs run before the measurement.
const WARM_UP: Duration = Duration::from_secs(2);

/// Parameters of the benchmark.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// Options of the cell.
    pub cell: CellOptions,
    /// Number of gangs, run one after the other.
    pub gangs: u32,
    /// Share of all processors that each gang needs, in percent.
    pub gang_percent: u32,
    /// Share of all processors that other jobs keep busy, in percent.
    pub load_percent: u32,
}

/// Results of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of tasks of each gang, each with one core.
    pub tasks: u32,
    /// Median time from the submission of a gang to the start of its last task, in milliseconds.
    pub start_p50_ms: f64,
    /// Maximum of this time, in milliseconds.
    pub start_max_ms: f64,
    /// Transactions per gang, in addition to those of the cell without gangs.
    pub writes_per_gang: f64,
    /// Number of gangs that did not succeed.
    pub not_finished: u32,
    /// Number of other jobs that ended on workers.
    pub others_finished: u64,
}

/// Runs gangs one after the other and measures their starts and transactions.
///
/// # Errors
///
/// Returns an error if the cell does not start.
pub async fn run(params: &Params) -> Result<Report> {
    let cell = LocalCell::start(&params.cell).await?;
    let callers = Callers::new(&cell.caller_addresses());
    let cores = params.cell.workers as u32 * WORKER_CORES;
    let other_jobs = start_others(&callers, cores * params.load_percent / 100);
    tokio::time::sleep(WARM_UP).await;
    let baseline_writes_per_s = write_rate(&cell, BASELINE_DURATION).await;
    let tasks = cores * params.gang_percent / 100;
    let mut start_latencies: Histogram<u64> =
        Histogram::new(3).expect("3 significant digits are supported");
    let (mut not_finished, start) = (0, Instant::now());
    let before = cell.platform.counters().transactions;
    for index in 0..params.gangs {
        let name = format!("gang-{index}");
        let submitted = callers
            .submit(index as usize, job(&name, tasks, true, GANG_RUN_MS))
            .await;
        not_finished += u32::from(submitted.reported.outcome != ReportedOutcome::Finished);
        let last_start_us = last_start_us(&cell, &name);
        let latency_us = last_start_us.saturating_sub(submitted.submitted_us);
        start_latencies
            .record(latency_us)
            .expect("the histogram resizes itself");
    }
    let writes = (cell.platform.counters().transactions - before) as f64;
    let baseline_writes = baseline_writes_per_s * start.elapsed().as_secs_f64();
    other_jobs.iter().for_each(JoinHandle::abort);
    let report = Report {
        tasks,
        start_p50_ms: start_latencies.value_at_quantile(0.5) as f64 / 1_000.0,
        start_max_ms: start_latencies.max() as f64 / 1_000.0,
        writes_per_gang: (writes - baseline_writes) / f64::from(params.gangs),
        not_finished,
        others_finished: others_finished(&cell),
    };
    cell.stop().await;
    Ok(report)
}

/// Keeps `cores` cores busy: as many tasks each run jobs of one core, one after the other.
fn start_others(callers: &Callers, cores: u32) -> Vec<JoinHandle<()>> {
    let run_jobs_in_turn = |slot: u32| {
        let callers = callers.clone();
        tokio::spawn(async move {
            for index in 0.. {
                let name = format!("other-{slot}-{index}");
                callers
                    .submit(slot as usize, job(&name, 1, false, OTHER_RUN_MS))
                    .await;
            }
        })
    };
    (0..cores).map(run_jobs_in_turn).collect()
}

async fn write_rate(cell: &LocalCell, duration: Duration) -> f64 {
    let before = cell.platform.counters().transactions;
    tokio::time::sleep(duration).await;
    let writes = cell.platform.counters().transactions - before;
    writes as f64 / duration.as_secs_f64()
}

fn job(name: &str, tasks: u32, all_at_once: bool, run_ms: u64) -> WorkItem {
    let payload = serde_json::json!({ "work": name, "run_ms": run_ms });
    let spec = JobSpec {
        team: "kowhai".into(),
        kind: "heat-map".into(),
        urgency: Urgency::Normal,
        lifetime: Lifetime::Batch,
        idempotent: true,
        all_at_once,
        tasks,
        resources: Resources {
            cpu_milli: 1_000,
            memory_mib: 64,
            accelerators: 0,
        },
        expected_ms: run_ms,
        payload: payload.to_string(),
    };
    WorkItem {
        name: name.to_owned(),
        kind: "heat-map",
        submit_as: SubmitAs::Job(Box::new(spec)),
    }
}

fn last_start_us(cell: &LocalCell, work: &str) -> u64 {
    let starts = cell.workers.iter().flat_map(|worker| {
        worker.with(|worker| {
            let journal = worker.journal().iter();
            let is_start = |entry: &&crate::standin::worker::JournalEntry| {
                entry.event == JournalEvent::Started && entry.work.as_deref() == Some(work)
            };
            journal
                .filter(is_start)
                .map(|entry| entry.time_us)
                .collect::<Vec<_>>()
        })
    });
    starts.max().unwrap_or(u64::MAX)
}

fn others_finished(cell: &LocalCell) -> u64 {
    let ended = cell.workers.iter().map(|worker| {
        worker.with(|worker| {
            let journal = worker.journal().iter();
            let is_other = |work: &str| work.starts_with("other-");
            let ended = journal.filter(|entry| {
                entry.event == JournalEvent::Ended && entry.work.as_deref().is_some_and(is_other)
            });
            ended.count() as u64
        })
    });
    ended.sum()
}
