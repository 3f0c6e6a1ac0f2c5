//! Callers that submit work over HTTP and remember what they were told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::sample::{Form, Work};
use crate::adapter::http::{HttpClient, HttpError, HttpResponse};
use crate::model::{JobSpec, JobView, Outcome};
use crate::oracle::{ReportedOutcome, ReportedWork};
use crate::standin::backend::check_response;

/// Connections that callers open to one VM.
const CONNECTIONS: usize = 256;

/// How long a request may take.
const REQUEST_LIMIT: Duration = Duration::from_secs(15);

/// How long a job may take from its submission.
const JOB_LIMIT: Duration = Duration::from_secs(60);

/// How long one wait for a job's end lasts, in milliseconds.
const WAIT_MS: u64 = 5_000;

/// A piece of work with what its caller was told.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedWork {
    /// The kind.
    pub kind: &'static str,
    /// When it was submitted, in microseconds since the Unix epoch.
    pub submitted_us: u64,
    /// What the caller was told.
    pub claim: ReportedWork,
}

/// Callers of all VMs.
#[derive(Clone)]
pub struct Callers {
    clients: Arc<Vec<HttpClient>>,
}

impl Callers {
    /// Callers of the VMs at `addresses`.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let clients = addresses.iter().map(|&a| HttpClient::new(a, CONNECTIONS));
        Self {
            clients: Arc::new(clients.collect()),
        }
    }

    /// Submits work to the VM of `turn` and waits for its end.
    pub async fn submit(&self, turn: usize, work: Work) -> SubmittedWork {
        let client = &self.clients[turn % self.clients.len()];
        let submitted_us = unix_us();
        let (outcome, tasks, idempotent) = match &work.form {
            Form::Job(spec) => {
                let told = run_job(client, &work.name, spec).await;
                (told, spec.tasks, spec.idempotent)
            }
            Form::Request {
                service,
                work_ms,
                answer_bytes,
            } => {
                let told = request(client, &work.name, service, *work_ms, *answer_bytes).await;
                (told, 1, true)
            }
        };
        SubmittedWork {
            kind: work.kind,
            submitted_us,
            claim: ReportedWork {
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
    let answer = client
        .call_with_headers(
            Method::POST,
            "/v1/jobs",
            &headers,
            body.into(),
            REQUEST_LIMIT,
        )
        .await;
    let id = match accepted(answer) {
        Ok(id) => id,
        Err(told) => return told,
    };
    let deadline = tokio::time::Instant::now() + JOB_LIMIT;
    while tokio::time::Instant::now() < deadline {
        if let Some(outcome) = outcome(client, &id).await {
            return told_of(outcome);
        }
    }
    ReportedOutcome::Accepted
}

fn accepted(answer: Result<HttpResponse, HttpError>) -> Result<String, ReportedOutcome> {
    let answer = answer.map_err(unanswered)?;
    if !answer.status.is_success() {
        return Err(refused(&answer));
    }
    let body: serde_json::Value =
        serde_json::from_slice(&answer.body).map_err(|_| ReportedOutcome::NoResponse)?;
    let id = body["id"].as_str().map(str::to_owned);
    id.ok_or(ReportedOutcome::NoResponse)
}

async fn outcome(client: &HttpClient, id: &str) -> Option<Outcome> {
    let path = format!("/v1/jobs/{id}?wait_ms={WAIT_MS}");
    let answer = client
        .call(Method::GET, &path, Bytes::new(), REQUEST_LIMIT)
        .await;
    let view: JobView = match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            serde_json::from_slice(&answer.body).ok()?
        }
        _ => {
            tokio::time::sleep(Duration::from_millis(100)).await;
            return None;
        }
    };
    view.outcome
}

fn told_of(outcome: Outcome) -> ReportedOutcome {
    match outcome {
        Outcome::Succeeded => ReportedOutcome::Finished,
        Outcome::Failed => ReportedOutcome::Failed,
        Outcome::Cancelled => ReportedOutcome::Cancelled,
        Outcome::Unknown => ReportedOutcome::Unknown,
    }
}

async fn request(
    client: &HttpClient,
    name: &str,
    service: &str,
    work_ms: u64,
    answer_bytes: usize,
) -> ReportedOutcome {
    let path = format!("/v1/services/{service}/sample");
    let (work_ms, bytes) = (work_ms.to_string(), answer_bytes.to_string());
    let headers = [
        ("x-request-id", name),
        ("x-work-ms", work_ms.as_str()),
        ("x-answer-bytes", bytes.as_str()),
    ];
    let answer = client
        .call_with_headers(Method::POST, &path, &headers, Bytes::new(), REQUEST_LIMIT)
        .await;
    match answer {
        Err(e) => unanswered(e),
        Ok(answer) if !answer.status.is_success() => refused(&answer),
        Ok(answer) => match check_response(&answer.body, name, b"", answer_bytes) {
            Ok(()) => ReportedOutcome::Finished,
            Err(_) => ReportedOutcome::Garbled,
        },
    }
}

fn unanswered(e: HttpError) -> ReportedOutcome {
    match e {
        HttpError::NotSent(_) => ReportedOutcome::NotRun,
        HttpError::NoResponse(_) => ReportedOutcome::NoResponse,
    }
}

fn refused(answer: &HttpResponse) -> ReportedOutcome {
    let problem: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}

/// The time by the machine's clock, in microseconds since the Unix epoch.
pub fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
