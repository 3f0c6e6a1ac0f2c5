//! A steady load of jobs and requests, and floods of requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use chestnutlug::oracle::ReportedWork;
use tokio::task::{JoinHandle, JoinSet};

use super::callers::{Callers, WorkItem, WorkSpec};
use super::cell::{Cell, LoadBalancer};

/// The interval between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(10);

/// Callers that submit work until [`Load::finish`].
pub struct Load {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<ReportedWork>>,
}

impl Load {
    pub fn start(cell: &Cell) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(submit_mixed_work(cell.load_balancer.clone(), stop.clone()));
        Self { stop, task }
    }

    /// Keeps `concurrency` requests in flight at all times.
    pub fn flood(cell: &Cell, concurrency: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(flood(cell.load_balancer.clone(), stop.clone(), concurrency));
        Self { stop, task }
    }

    /// Stops submitting and waits until every caller has an outcome or has given up.
    pub async fn finish(self) -> Vec<ReportedWork> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap()
    }
}

async fn submit_mixed_work(
    load_balancer: LoadBalancer,
    stop: Arc<AtomicBool>,
) -> Vec<ReportedWork> {
    let callers = Arc::new(Callers::new(load_balancer));
    let mut in_flight = JoinSet::new();
    let mut index = 0;
    while !stop.load(Ordering::Relaxed) {
        let callers = callers.clone();
        let item = mixed_work_item(index);
        in_flight.spawn(async move { callers.execute(&item).await });
        index += 1;
        tokio::time::sleep(SUBMIT_INTERVAL).await;
    }
    in_flight.join_all().await
}

/// The work item at `index` of a sequence of small and large jobs and requests, some of which are not
/// idempotent.
pub fn mixed_work_item(index: u64) -> WorkItem {
    let long = index % 10 == 2;
    let idempotent = !long && !index.is_multiple_of(3);
    let spec = match index % 5 {
        0 => WorkSpec::Job {
            tasks: 1,
            all_at_once: false,
            cpu_milli: 2_000,
            run_ms: 100,
        },
        1 => WorkSpec::Job {
            tasks: 3,
            all_at_once: index.is_multiple_of(2),
            cpu_milli: 1_000,
            run_ms: 100,
        },
        2 if long => WorkSpec::Job {
            tasks: 1,
            all_at_once: false,
            cpu_milli: 100,
            run_ms: 1_500,
        },
        _ => WorkSpec::Request {
            work_ms: 10 + index % 7 * 10,
            request_bytes: (index % 11 * 700) as usize,
            response_bytes: (index % 13 * 3_000) as usize,
        },
    };
    let kind = match spec {
        WorkSpec::Job { .. } => "job",
        WorkSpec::Request { .. } => "request",
    };
    WorkItem {
        name: format!("{kind}-{index}"),
        idempotent,
        urgent: false,
        spec,
    }
}

async fn flood(
    load_balancer: LoadBalancer,
    stop: Arc<AtomicBool>,
    concurrency: usize,
) -> Vec<ReportedWork> {
    let callers = Arc::new(Callers::new(load_balancer));
    let index = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..concurrency {
        let (callers, stop, index) = (callers.clone(), stop.clone(), index.clone());
        tasks.spawn(async move {
            let mut reports = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let index = index.fetch_add(1, Ordering::Relaxed);
                let item = WorkItem {
                    name: format!("request-flood-{index}"),
                    idempotent: index % 3 > 0,
                    urgent: false,
                    spec: WorkSpec::Request {
                        work_ms: if index.is_multiple_of(4) { 3_000 } else { 30 },
                        request_bytes: 100,
                        response_bytes: 1_000,
                    },
                };
                reports.push(callers.execute(&item).await);
            }
            reports
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}
