//! The work of a cell that is measured: tasks that run throughout, and tasks that start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time::{Instant, MissedTickBehavior};

use crate::adapter::http::HttpClient;
use crate::error::{Error, Result};
use crate::local::cell::LocalCell;
use crate::standin::worker::JournalEvent;

/// The most tasks of one job.
const TASKS_PER_JOB: u32 = 50;

/// Connections to each VM.
const CONNECTIONS: usize = 16;

/// How long a task runs that runs throughout, in milliseconds.
const LONG_MS: u64 = 3_600_000;

/// How long a task runs that is started while it is measured, in milliseconds.
const SHORT_MS: u64 = 300;

/// How long a submission may take.
const SUBMIT_LIMIT: Duration = Duration::from_secs(10);

/// How long it may take until all long tasks run.
const FILL_LIMIT: Duration = Duration::from_secs(120);

/// Submits jobs to the VMs of a cell in turn.
pub(super) struct Work {
    callers: Vec<Arc<HttpClient>>,
}

impl Work {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        let clients = addresses
            .into_iter()
            .map(|address| Arc::new(HttpClient::new(address, CONNECTIONS)));
        Self {
            callers: clients.collect(),
        }
    }

    /// Starts `tasks` long tasks and waits until all of them run.
    pub(super) async fn fill(&self, cell: &LocalCell, tasks: u32) -> Result<()> {
        let before = starts(cell);
        let mut left = tasks;
        for turn in 0.. {
            let of_job = left.min(TASKS_PER_JOB);
            if of_job == 0 {
                break;
            }
            submit(&self.caller(turn), of_job, LONG_MS).await?;
            left -= of_job;
        }
        let end = Instant::now() + FILL_LIMIT;
        while starts(cell) < before + u64::from(tasks) {
            if Instant::now() > end {
                return Err(Error::Other("the tasks did not start in time".to_owned()));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    }

    /// Starts `per_s` short tasks a second, one job each second and VM, for `length`.
    pub(super) async fn start_for(&self, per_s: u32, length: Duration) {
        let end = Instant::now() + length;
        let jobs_per_s = per_s.div_ceil(TASKS_PER_JOB / 5);
        if jobs_per_s == 0 {
            return tokio::time::sleep_until(end).await;
        }
        let every = Duration::from_secs(1) / jobs_per_s;
        let mut interval = tokio::time::interval(every);
        interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for turn in 0.. {
            interval.tick().await;
            if Instant::now() >= end {
                break;
            }
            let caller = self.caller(turn);
            let tasks = per_s / jobs_per_s;
            tokio::spawn(async move { submit(&caller, tasks, SHORT_MS).await });
        }
    }

    fn caller(&self, turn: usize) -> Arc<HttpClient> {
        self.callers[turn % self.callers.len()].clone()
    }
}

async fn submit(caller: &HttpClient, tasks: u32, run_ms: u64) -> Result<()> {
    let payload = serde_json::json!({ "run_ms": run_ms });
    let job = serde_json::json!({
        "team": "kowhai",
        "kind": "heat-map",
        "idempotent": true,
        "tasks": tasks,
        "resources": { "cpu_milli": 100, "memory_mib": 64 },
        "expected_ms": run_ms,
        "payload": payload.to_string(),
    });
    let body = Bytes::from(job.to_string());
    let answer = caller.call(Method::POST, "/v1/jobs", body, SUBMIT_LIMIT);
    let answer = answer.await.map_err(|e| Error::Other(e.to_string()))?;
    if !answer.status.is_success() {
        let status = answer.status;
        return Err(Error::Other(format!("a job was refused with {status}")));
    }
    Ok(())
}

/// The tasks that workers have started so far.
pub(super) fn starts(cell: &LocalCell) -> u64 {
    let started = cell.workers.iter().map(|worker| {
        worker.with(|worker| {
            let journal = worker.journal().iter();
            journal
                .filter(|entry| entry.event == JournalEvent::Started)
                .count() as u64
        })
    });
    started.sum()
}
