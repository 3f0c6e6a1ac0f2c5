//! Callers that submit work over HTTP and keep the outcomes that were reported to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::sample::{SubmitAs, WorkItem};
use crate::adapter::http::{HttpClient, HttpError, HttpResponse};
use crate::model::{JobSpec, JobView, Outcome};
use crate::oracle::{ReportedOutcome, ReportedWork};
use crate::standin::backend::check_response;

/// Maximum number of connections of the callers to one VM.
const CONNECTIONS_PER_VM: usize = 256;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which the callers no longer wait for the end of a job, from its acceptance.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// Duration of a long poll for the end of a job, in milliseconds.
const LONG_POLL_MS: u64 = 5_000;

/// A submitted work item and the outcome that was reported to its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedWork {
    /// The kind of work.
    pub kind: &'static str,
    /// Time of the submission, in microseconds since the Unix epoch.
    pub submitted_us: u64,
    /// The work and its reported outcome.
    pub reported: ReportedWork,
}

/// Callers of a set of VMs.
#[derive(Clone)]
pub struct Callers {
    clients: Arc<Vec<HttpClient>>,
}

impl Callers {
    /// Creates callers of the VMs at `addresses`.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let clients = addresses
            .iter()
            .map(|&a| HttpClient::new(a, CONNECTIONS_PER_VM));
        Self {
            clients: Arc::new(clients.collect()),
        }
    }

    /// Submits `work` to the VM at `index`, modulo the number of VMs, and waits for its end.
    pub async fn submit(&self, index: usize, work: WorkItem) -> SubmittedWork {
        let client = &self.clients[index % self.clients.len()];
        let submitted_us = unix_us();
        let (outcome, tasks, idempotent) = match &work.submit_as {
            SubmitAs::Job(spec) => {
                let outcome = run_job(client, &work.name, spec).await;
                (outcome, spec.tasks, spec.idempotent)
            }
            SubmitAs::Request {
                service,
                work_ms,
                response_bytes,
            } => {
                let outcome =
                    run_request(client, &work.name, service, *work_ms, *response_bytes).await;
                (outcome, 1, true)
            }
        };
        SubmittedWork {
            kind: work.kind,
            submitted_us,
            reported: ReportedWork {
                work: work.name,
                tasks,
                idempotent,
                outcome,
            },
        }
    }
}

async fn run_job(client: &HttpClient, name: &str, spec: &JobSpec) -> ReportedOutcome {
    let Ok(body) = serde_json::to_vec(spec) else {
        return ReportedOutcome::NotRun;
    };
    let headers = [("idempotency-key", name)];
    let response = client
        .call_with_headers(
            Method::POST,
            "/v1/jobs",
            &headers,
            body.into(),
            REQUEST_TIMEOUT,
        )
        .await;
    let id = match job_id(response) {
        Ok(id) => id,
        Err(outcome) => return outcome,
    };
    let deadline = tokio::time::Instant::now() + JOB_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if let Some(outcome) = poll_outcome(client, &id).await {
            return reported_outcome(outcome);
        }
    }
    ReportedOutcome::Accepted
}

fn job_id(response: Result<HttpResponse, HttpError>) -> Result<String, ReportedOutcome> {
    let response = response.map_err(outcome_without_response)?;
    if !response.status.is_success() {
        return Err(refusal_outcome(&response));
    }
    let body: serde_json::Value =
        serde_json::from_slice(&response.body).map_err(|_| ReportedOutcome::NoResponse)?;
    let id = body["id"].as_str().map(str::to_owned);
    id.ok_or(ReportedOutcome::NoResponse)
}

async fn poll_outcome(client: &HttpClient, id: &str) -> Option<Outcome> {
    let path = format!("/v1/jobs/{id}?wait_ms={LONG_POLL_MS}");
    let response = client
        .call(Method::GET, &path, Bytes::new(), REQUEST_TIMEOUT)
        .await;
    let view: JobView = match response {
        Ok(response) if response.status == StatusCode::OK => {
            serde_json::from_slice(&response.body).ok()?
        }
        _ => {
            tokio::time::sleep(Duration::from_millis(100)).await;
            return None;
        }
    };
    view.outcome
}

fn reported_outcome(outcome: Outcome) -> ReportedOutcome {
    match outcome {
        Outcome::Succeeded => ReportedOutcome::Finished,
        Outcome::Failed => ReportedOutcome::Failed,
        Outcome::Cancelled => ReportedOutcome::Cancelled,
        Outcome::Unknown => ReportedOutcome::Unknown,
    }
}

async fn run_request(
    client: &HttpClient,
    name: &str,
    service: &str,
    work_ms: u64,
    response_bytes: usize,
) -> ReportedOutcome {
    let path = format!("/v1/services/{service}/sample");
    let (work_ms, bytes) = (work_ms.to_string(), response_bytes.to_string());
    let headers = [
        ("x-request-id", name),
        ("x-work-ms", work_ms.as_str()),
        ("x-answer-bytes", bytes.as_str()),
    ];
    let response = client
        .call_with_headers(Method::POST, &path, &headers, Bytes::new(), REQUEST_TIMEOUT)
        .await;
    match response {
        Err(e) => outcome_without_response(e),
        Ok(response) if !response.status.is_success() => refusal_outcome(&response),
        Ok(response) => match check_response(&response.body, name, b"", response_bytes) {
            Ok(()) => ReportedOutcome::Finished,
            Err(_) => ReportedOutcome::Garbled,
        },
    }
}

fn outcome_without_response(e: HttpError) -> ReportedOutcome {
    match e {
        HttpError::NotSent(_) => ReportedOutcome::NotRun,
        HttpError::NoResponse(_) => ReportedOutcome::NoResponse,
    }
}

fn refusal_outcome(response: &HttpResponse) -> ReportedOutcome {
    let problem: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}

/// Current wall-clock time, in microseconds since the Unix epoch.
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
