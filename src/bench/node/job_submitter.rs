//! Jobs of a measured cell: background tasks that run throughout, and tasks that start during the
//! measurement.

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

/// Maximum number of tasks per job.
const MAX_TASKS_PER_JOB: u32 = 50;

/// Maximum number of connections to one VM.
const CONNECTIONS_PER_VM: usize = 16;

/// Run time of a background task, in milliseconds.
const BACKGROUND_RUN_MS: u64 = 3_600_000;

/// Run time of a task that is started during the measurement, in milliseconds.
const MEASURED_RUN_MS: u64 = 300;

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time until all background tasks have started.
const BACKGROUND_START_TIMEOUT: Duration = Duration::from_secs(120);

/// Submits jobs to the VMs of a cell, round robin.
pub(super) struct JobSubmitter {
    clients: Vec<Arc<HttpClient>>,
}

impl JobSubmitter {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        let clients = addresses
            .into_iter()
            .map(|address| Arc::new(HttpClient::new(address, CONNECTIONS_PER_VM)));
        Self {
            clients: clients.collect(),
        }
    }

    /// Submits `tasks` background tasks and waits until all of them have started.
    pub(super) async fn start_background_tasks(&self, cell: &LocalCell, tasks: u32) -> Result<()> {
        let before = count_starts(cell);
        let mut remaining = tasks;
        for index in 0.. {
            let job_tasks = remaining.min(MAX_TASKS_PER_JOB);
            if job_tasks == 0 {
                break;
            }
            submit(&self.client(index), job_tasks, BACKGROUND_RUN_MS).await?;
            remaining -= job_tasks;
        }
        let deadline = Instant::now() + BACKGROUND_START_TIMEOUT;
        while count_starts(cell) < before + u64::from(tasks) {
            if Instant::now() > deadline {
                return Err(Error::Other(
                    "the background tasks did not start in time".to_owned(),
                ));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    }

    /// Submits about `tasks_per_s` short tasks per second for `duration`, in small jobs.
    pub(super) async fn start_tasks_for(&self, tasks_per_s: u32, duration: Duration) {
        let deadline = Instant::now() + duration;
        let jobs_per_s = tasks_per_s.div_ceil(MAX_TASKS_PER_JOB / 5);
        if jobs_per_s == 0 {
            return tokio::time::sleep_until(deadline).await;
        }
        let job_interval = Duration::from_secs(1) / jobs_per_s;
        let mut interval = tokio::time::interval(job_interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for index in 0.. {
            interval.tick().await;
            if Instant::now() >= deadline {
                break;
            }
            let client = self.client(index);
            let tasks = tasks_per_s / jobs_per_s;
            tokio::spawn(async move { submit(&client, tasks, MEASURED_RUN_MS).await });
        }
    }

    fn client(&self, index: usize) -> Arc<HttpClient> {
        self.clients[index % self.clients.len()].clone()
    }
}

async fn submit(client: &HttpClient, tasks: u32, run_ms: u64) -> Result<()> {
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
    let response = client.call(Method::POST, "/v1/jobs", body, SUBMIT_TIMEOUT);
    let response = response.await.map_err(|e| Error::Other(e.to_string()))?;
    if !response.status.is_success() {
        let status = response.status;
        return Err(Error::Other(format!(
            "a job was refused with status {status}"
        )));
    }
    Ok(())
}

/// Number of attempts that the workers have started so far.
pub(super) fn count_starts(cell: &LocalCell) -> u64 {
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
