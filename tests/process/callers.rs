//! Callers that send work over HTTP, retry where that is safe, and record the outcome that was
//! reported to them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutlug::adapter::http::{HttpClient, HttpError, HttpResponse};
use chestnutlug::model::{JobView, Outcome};
use chestnutlug::oracle::{ReportedOutcome, ReportedWork};
use chestnutlug::standin::backend::check_response;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use super::cell::LoadBalancer;

/// The timeout of one HTTP call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

/// How long a caller retries a submission or a request.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a caller waits for a job to end.
const END_TIMEOUT: Duration = Duration::from_secs(100);

/// The delay before a retry or the next poll of a job.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A job or request that a caller sends.
#[derive(Clone, Debug)]
pub struct WorkItem {
    pub name: String,
    pub idempotent: bool,
    /// Whether a job is urgent because someone waits for it. Requests have no urgency.
    pub urgent: bool,
    pub spec: WorkSpec,
}

#[derive(Clone, Debug)]
pub enum WorkSpec {
    Job {
        tasks: u32,
        all_at_once: bool,
        cpu_milli: u32,
        run_ms: u64,
    },
    Request {
        work_ms: u64,
        request_bytes: usize,
        response_bytes: usize,
    },
}

/// Callers that use the VMs of a load balancer in turn.
pub struct Callers {
    load_balancer: LoadBalancer,
    next_vm_index: AtomicUsize,
    /// The last refusal, printed when a caller gives up.
    last_refusal: Mutex<String>,
}

impl Callers {
    pub fn new(load_balancer: LoadBalancer) -> Self {
        Self {
            load_balancer,
            next_vm_index: AtomicUsize::new(0),
            last_refusal: Mutex::default(),
        }
    }

    fn next_vm(&self) -> Option<SocketAddr> {
        let vms = self.load_balancer.read().unwrap();
        let next_vm_index = self.next_vm_index.fetch_add(1, Ordering::Relaxed);
        vms.get(next_vm_index % vms.len().max(1)).copied()
    }

    async fn call(
        &self,
        vm: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpResponse, HttpError> {
        let client = HttpClient::new(vm, 1);
        client
            .call_with_headers(method, path, headers, body, RESPONSE_TIMEOUT)
            .await
    }

    /// Runs a work item and returns the outcome that was reported to the caller.
    pub async fn execute(&self, item: &WorkItem) -> ReportedWork {
        let (outcome, tasks) = match &item.spec {
            WorkSpec::Job { tasks, .. } => (self.run_job(item).await, *tasks),
            WorkSpec::Request { .. } => (self.run_request(item).await, 1),
        };
        ReportedWork {
            work: item.name.clone(),
            tasks,
            idempotent: item.idempotent,
            outcome,
        }
    }

    async fn run_job(&self, item: &WorkItem) -> ReportedOutcome {
        match self.submit(item).await {
            Ok(id) => self.await_end(&id).await,
            Err(outcome) => outcome,
        }
    }

    /// Submits a job, with its name as idempotency key, until a VM accepts it.
    async fn submit(&self, item: &WorkItem) -> Result<String, ReportedOutcome> {
        let begin = Instant::now();
        let mut outcome = ReportedOutcome::NotRun;
        while begin.elapsed() < SUBMIT_TIMEOUT {
            if let Some(vm) = self.next_vm() {
                match self.submit_to(vm, item, &item.name).await {
                    Ok(id) => return Ok(id),
                    Err(ReportedOutcome::NotRun) => {}
                    Err(other) => outcome = other,
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.print_abandoned(item, outcome);
        Err(outcome)
    }

    /// Submits a job with idempotency key `key` to one VM, once.
    pub async fn submit_to(
        &self,
        vm: SocketAddr,
        item: &WorkItem,
        key: &str,
    ) -> Result<String, ReportedOutcome> {
        let body = serde_json::to_vec(&job_body(item)).unwrap();
        let headers = [("idempotency-key", key)];
        let response = self.call(vm, Method::POST, "/v1/jobs", &headers, body.into());
        let response = response.await.map_err(outcome_of_error)?;
        if !response.status.is_success() {
            *self.last_refusal.lock().unwrap() = format!("{vm}: {:?}", response.body);
            return Err(outcome_of_refusal(&response));
        }
        let body: Value =
            serde_json::from_slice(&response.body).map_err(|_| ReportedOutcome::Garbled)?;
        body["id"]
            .as_str()
            .map(str::to_owned)
            .ok_or(ReportedOutcome::Garbled)
    }

    /// Polls the VMs in turn until a job has ended.
    pub async fn await_end(&self, id: &str) -> ReportedOutcome {
        let begin = Instant::now();
        while begin.elapsed() < END_TIMEOUT {
            if let Some(vm) = self.next_vm() {
                let outcome = self
                    .state(vm, id, 1_000)
                    .await
                    .and_then(|view| view.outcome);
                if let Some(outcome) = outcome {
                    return reported_outcome(outcome);
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        ReportedOutcome::Accepted
    }

    /// Reads a job's state from one VM.
    pub async fn state(&self, vm: SocketAddr, id: &str, wait_ms: u64) -> Option<JobView> {
        let path = format!("/v1/jobs/{id}?wait_ms={wait_ms}");
        let response = self.call(vm, Method::GET, &path, &[], Bytes::new()).await;
        let response = response.ok().filter(|a| a.status == StatusCode::OK)?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Cancels a job through one VM.
    pub async fn cancel(&self, vm: SocketAddr, id: &str) -> Option<JobView> {
        let path = format!("/v1/jobs/{id}");
        let response = self
            .call(vm, Method::DELETE, &path, &[], Bytes::new())
            .await;
        let response = response.ok().filter(|a| a.status == StatusCode::OK)?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Sends a request and retries it at other VMs only while it is known not to have run.
    async fn run_request(&self, item: &WorkItem) -> ReportedOutcome {
        let begin = Instant::now();
        while begin.elapsed() < SUBMIT_TIMEOUT {
            if let Some(vm) = self.next_vm() {
                match self.request_to(vm, item).await {
                    ReportedOutcome::NotRun => {}
                    outcome => return outcome,
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.print_abandoned(item, ReportedOutcome::NotRun);
        ReportedOutcome::NotRun
    }

    fn print_abandoned(&self, item: &WorkItem, outcome: ReportedOutcome) {
        let last_refusal = self.last_refusal.lock().unwrap();
        println!(
            "{}: the caller gives up with {outcome:?}; last refusal: {last_refusal}",
            item.name
        );
    }

    /// Sends a request to one VM, once.
    pub async fn request_to(&self, vm: SocketAddr, item: &WorkItem) -> ReportedOutcome {
        let WorkSpec::Request {
            work_ms,
            request_bytes,
            response_bytes,
        } = &item.spec
        else {
            panic!("{item:?} is not a request");
        };
        let service = super::cell::SERVICES[usize::from(!item.idempotent)];
        let path = format!("/v1/services/{service}/menu");
        let request_body = vec![b'm'; *request_bytes];
        let (work_ms, bytes) = (work_ms.to_string(), response_bytes.to_string());
        let headers = [
            ("x-request-id", item.name.as_str()),
            ("x-work-ms", &work_ms),
            ("x-answer-bytes", &bytes),
        ];
        let body = Bytes::from(request_body.clone());
        match self.call(vm, Method::POST, &path, &headers, body).await {
            Err(e) => outcome_of_error(e),
            Ok(response) if !response.status.is_success() => {
                *self.last_refusal.lock().unwrap() = format!("{vm}: {:?}", response.body);
                outcome_of_refusal(&response)
            }
            Ok(response) => {
                match check_response(&response.body, &item.name, &request_body, *response_bytes) {
                    Ok(()) => ReportedOutcome::Finished,
                    Err(_) => ReportedOutcome::Garbled,
                }
            }
        }
    }
}

fn job_body(item: &WorkItem) -> Value {
    let WorkSpec::Job {
        tasks,
        all_at_once,
        cpu_milli,
        run_ms,
    } = &item.spec
    else {
        panic!("{item:?} is not a job");
    };
    json!({
        "team": "parlours",
        "kind": if item.urgent { "swap" } else { "rebuild" },
        "idempotent": item.idempotent,
        "all_at_once": all_at_once,
        "tasks": tasks,
        "resources": { "cpu_milli": cpu_milli, "memory_mib": 64 },
        "expected_ms": run_ms,
        "payload": json!({ "work": item.name, "run_ms": run_ms, "result": item.name }).to_string(),
    })
}

fn reported_outcome(outcome: Outcome) -> ReportedOutcome {
    match outcome {
        Outcome::Succeeded => ReportedOutcome::Finished,
        Outcome::Failed => ReportedOutcome::Failed,
        Outcome::Cancelled => ReportedOutcome::Cancelled,
        Outcome::Unknown => ReportedOutcome::Unknown,
    }
}

fn outcome_of_error(e: HttpError) -> ReportedOutcome {
    match e {
        HttpError::NotSent(_) => ReportedOutcome::NotRun,
        HttpError::NoResponse(_) => ReportedOutcome::NoResponse,
    }
}

fn outcome_of_refusal(response: &HttpResponse) -> ReportedOutcome {
    let problem: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}
