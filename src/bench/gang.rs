//! All-at-once jobs over several shards: from acceptance to the last start, and their use of the
//! table, in one process on stand-ins.

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

/// Cores of each worker of the cell.
const WORKER_CORES: u32 = 16;

/// How long a task of a gang runs, in milliseconds.
const GANG_MS: u64 = 300;

/// How long a task of the other work runs, in milliseconds.
const SMALL_MS: u64 = 500;

/// How long the table's use without gangs is counted.
const COUNTED: Duration = Duration::from_secs(4);

/// How long the other work runs before the first gang.
const WARM_UP: Duration = Duration::from_secs(2);

/// How much is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// The cell.
    pub cell: CellOptions,
    /// Gangs, one after the other.
    pub gangs: u32,
    /// The part of all processors that each gang needs, in hundredths.
    pub gang_percent: u32,
    /// The part of all processors that other work keeps busy, in hundredths.
    pub load_percent: u32,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Tasks of each gang, of one core each.
    pub tasks: u32,
    /// From the submission of a gang to the start of its last task, the median, in milliseconds.
    pub start_p50_ms: f64,
    /// The same, the longest.
    pub start_max_ms: f64,
    /// Transactions for each gang beyond those that the cell makes without gangs.
    pub writes_per_gang: f64,
    /// Gangs that did not end in success.
    pub not_finished: u32,
    /// Other jobs that ended in success.
    pub others_finished: u64,
}

/// Runs gangs one after the other.
///
/// # Errors
///
/// Returns an error where the cell does not start.
pub async fn run(params: &Params) -> Result<Report> {
    let cell = LocalCell::start(&params.cell).await?;
    let callers = Callers::new(&cell.caller_addresses());
    let cores = params.cell.workers as u32 * WORKER_CORES;
    let others = start_others(&callers, cores * params.load_percent / 100);
    tokio::time::sleep(WARM_UP).await;
    let idle_per_s = writes_in(&cell, COUNTED).await;
    let tasks = cores * params.gang_percent / 100;
    let mut waits: Histogram<u64> = Histogram::new(3).expect("three digits are in range");
    let (mut not_finished, began) = (0, Instant::now());
    let before = cell.platform.counters().transactions;
    for turn in 0..params.gangs {
        let name = format!("gang-{turn}");
        let told = callers
            .submit(turn as usize, job(&name, tasks, true, GANG_MS))
            .await;
        not_finished += u32::from(told.reported.outcome != ReportedOutcome::Finished);
        let last = last_start(&cell, &name);
        let waited = last.saturating_sub(told.submitted_us);
        waits.record(waited).expect("the histogram grows");
    }
    let writes = (cell.platform.counters().transactions - before) as f64;
    let without = idle_per_s * began.elapsed().as_secs_f64();
    others.iter().for_each(JoinHandle::abort);
    let report = Report {
        tasks,
        start_p50_ms: waits.value_at_quantile(0.5) as f64 / 1_000.0,
        start_max_ms: waits.max() as f64 / 1_000.0,
        writes_per_gang: (writes - without) / f64::from(params.gangs),
        not_finished,
        others_finished: others_finished(&cell),
    };
    cell.stop().await;
    Ok(report)
}

/// Keeps `cores` cores busy with jobs of one core, each followed by the next.
fn start_others(callers: &Callers, cores: u32) -> Vec<JoinHandle<()>> {
    let each = |slot: u32| {
        let callers = callers.clone();
        tokio::spawn(async move {
            for turn in 0.. {
                let name = format!("other-{slot}-{turn}");
                callers
                    .submit(slot as usize, job(&name, 1, false, SMALL_MS))
                    .await;
            }
        })
    };
    (0..cores).map(each).collect()
}

async fn writes_in(cell: &LocalCell, time: Duration) -> f64 {
    let before = cell.platform.counters().transactions;
    tokio::time::sleep(time).await;
    let writes = cell.platform.counters().transactions - before;
    writes as f64 / time.as_secs_f64()
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

fn last_start(cell: &LocalCell, work: &str) -> u64 {
    let starts = cell.workers.iter().flat_map(|worker| {
        worker.with(|worker| {
            let journal = worker.journal().iter();
            let of_work = |entry: &&crate::standin::worker::JournalEntry| {
                entry.event == JournalEvent::Started && entry.work.as_deref() == Some(work)
            };
            journal
                .filter(of_work)
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
            let of_others = |work: &str| work.starts_with("other-");
            let ended = journal.filter(|entry| {
                entry.event == JournalEvent::Ended && entry.work.as_deref().is_some_and(of_others)
            });
            ended.count() as u64
        })
    });
    ended.sum()
}
