//! Callers that submit work over HTTP, try again where that is safe, and remember what they were
//! told.

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

use super::cell::Balancer;

/// How long one answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(12);

/// How long a caller goes on trying to submit a job.
const SUBMIT_LIMIT: Duration = Duration::from_secs(20);

/// How long a caller waits for a job's end.
const END_LIMIT: Duration = Duration::from_secs(100);

/// How long a caller waits before it tries again.
const PAUSE: Duration = Duration::from_millis(50);

/// What a caller wants.
#[derive(Clone, Debug)]
pub struct Wish {
    pub name: String,
    pub idempotent: bool,
    /// Whether someone waits for it; requests are all alike.
    pub urgent: bool,
    pub form: Form,
}

#[derive(Clone, Debug)]
pub enum Form {
    Job {
        tasks: u32,
        all_at_once: bool,
        cpu_milli: u32,
        run_ms: u64,
    },
    Request {
        work_ms: u64,
        sent_bytes: usize,
        answer_bytes: usize,
    },
}

/// Callers behind one balancer.
pub struct Callers {
    balancer: Balancer,
    turn: AtomicUsize,
    /// The last refusal, for the report of work that was given up.
    refusal: Mutex<String>,
}

impl Callers {
    pub fn new(balancer: Balancer) -> Self {
        Self {
            balancer,
            turn: AtomicUsize::new(0),
            refusal: Mutex::default(),
        }
    }

    fn next_vm(&self) -> Option<SocketAddr> {
        let vms = self.balancer.read().unwrap();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        vms.get(turn % vms.len().max(1)).copied()
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
            .call_with_headers(method, path, headers, body, ANSWER_LIMIT)
            .await
    }

    /// Gets a wish done and returns what the caller was told in the end.
    pub async fn get_done(&self, wish: &Wish) -> ReportedWork {
        let (outcome, tasks) = match &wish.form {
            Form::Job { tasks, .. } => (self.job(wish).await, *tasks),
            Form::Request { .. } => (self.request(wish).await, 1),
        };
        ReportedWork {
            work: wish.name.clone(),
            tasks,
            idempotent: wish.idempotent,
            outcome,
        }
    }

    async fn job(&self, wish: &Wish) -> ReportedOutcome {
        match self.submit(wish).await {
            Ok(id) => self.end_of(&id).await,
            Err(told) => told,
        }
    }

    /// Submits a job under its own key until some VM has taken it.
    async fn submit(&self, wish: &Wish) -> Result<String, ReportedOutcome> {
        let begin = Instant::now();
        let mut told = ReportedOutcome::NotRun;
        while begin.elapsed() < SUBMIT_LIMIT {
            if let Some(vm) = self.next_vm() {
                match self.submit_to(vm, wish, &wish.name).await {
                    Ok(id) => return Ok(id),
                    Err(ReportedOutcome::NotRun) => {}
                    Err(open) => told = open,
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        self.give_up(wish, told);
        Err(told)
    }

    /// Submits a job under `key` to one VM, once.
    pub async fn submit_to(
        &self,
        vm: SocketAddr,
        wish: &Wish,
        key: &str,
    ) -> Result<String, ReportedOutcome> {
        let body = serde_json::to_vec(&spec(wish)).unwrap();
        let headers = [("idempotency-key", key)];
        let answer = self.call(vm, Method::POST, "/v1/jobs", &headers, body.into());
        let answer = answer.await.map_err(unanswered)?;
        if !answer.status.is_success() {
            *self.refusal.lock().unwrap() = format!("{vm}: {:?}", answer.body);
            return Err(refused(&answer));
        }
        let body: Value =
            serde_json::from_slice(&answer.body).map_err(|_| ReportedOutcome::Garbled)?;
        body["id"]
            .as_str()
            .map(str::to_owned)
            .ok_or(ReportedOutcome::Garbled)
    }

    /// Waits for the end of a job through any VM.
    pub async fn end_of(&self, id: &str) -> ReportedOutcome {
        let begin = Instant::now();
        while begin.elapsed() < END_LIMIT {
            if let Some(vm) = self.next_vm() {
                let outcome = self
                    .state(vm, id, 1_000)
                    .await
                    .and_then(|view| view.outcome);
                if let Some(outcome) = outcome {
                    return told_of(outcome);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        ReportedOutcome::Accepted
    }

    /// Reads a job's state through one VM.
    pub async fn state(&self, vm: SocketAddr, id: &str, wait_ms: u64) -> Option<JobView> {
        let path = format!("/v1/jobs/{id}?wait_ms={wait_ms}");
        let answer = self.call(vm, Method::GET, &path, &[], Bytes::new()).await;
        let answer = answer.ok().filter(|a| a.status == StatusCode::OK)?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Cancels a job through one VM.
    pub async fn cancel(&self, vm: SocketAddr, id: &str) -> Option<JobView> {
        let path = format!("/v1/jobs/{id}");
        let answer = self
            .call(vm, Method::DELETE, &path, &[], Bytes::new())
            .await;
        let answer = answer.ok().filter(|a| a.status == StatusCode::OK)?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Sends a request once; tries other VMs only while nothing was sent or it did not run.
    async fn request(&self, wish: &Wish) -> ReportedOutcome {
        let begin = Instant::now();
        while begin.elapsed() < SUBMIT_LIMIT {
            if let Some(vm) = self.next_vm() {
                match self.request_to(vm, wish).await {
                    ReportedOutcome::NotRun => {}
                    told => return told,
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        self.give_up(wish, ReportedOutcome::NotRun);
        ReportedOutcome::NotRun
    }

    fn give_up(&self, wish: &Wish, told: ReportedOutcome) {
        let refusal = self.refusal.lock().unwrap();
        println!("{} was given up as {told:?}, at last: {refusal}", wish.name);
    }

    /// Sends a request to one VM, once.
    pub async fn request_to(&self, vm: SocketAddr, wish: &Wish) -> ReportedOutcome {
        let Form::Request {
            work_ms,
            sent_bytes,
            answer_bytes,
        } = &wish.form
        else {
            panic!("{wish:?} is no request");
        };
        let service = super::cell::SERVICES[usize::from(!wish.idempotent)];
        let path = format!("/v1/services/{service}/menu");
        let sent = vec![b'm'; *sent_bytes];
        let (work_ms, bytes) = (work_ms.to_string(), answer_bytes.to_string());
        let headers = [
            ("x-request-id", wish.name.as_str()),
            ("x-work-ms", &work_ms),
            ("x-answer-bytes", &bytes),
        ];
        let body = Bytes::from(sent.clone());
        match self.call(vm, Method::POST, &path, &headers, body).await {
            Err(e) => unanswered(e),
            Ok(answer) if !answer.status.is_success() => {
                *self.refusal.lock().unwrap() = format!("{vm}: {:?}", answer.body);
                refused(&answer)
            }
            Ok(answer) => match check_response(&answer.body, &wish.name, &sent, *answer_bytes) {
                Ok(()) => ReportedOutcome::Finished,
                Err(_) => ReportedOutcome::Garbled,
            },
        }
    }
}

fn spec(wish: &Wish) -> Value {
    let Form::Job {
        tasks,
        all_at_once,
        cpu_milli,
        run_ms,
    } = &wish.form
    else {
        panic!("{wish:?} is no job");
    };
    json!({
        "team": "parlours",
        "kind": if wish.urgent { "swap" } else { "rebuild" },
        "idempotent": wish.idempotent,
        "all_at_once": all_at_once,
        "tasks": tasks,
        "resources": { "cpu_milli": cpu_milli, "memory_mib": 64 },
        "expected_ms": run_ms,
        "payload": json!({ "work": wish.name, "run_ms": run_ms, "result": wish.name }).to_string(),
    })
}

fn told_of(outcome: Outcome) -> ReportedOutcome {
    match outcome {
        Outcome::Succeeded => ReportedOutcome::Finished,
        Outcome::Failed => ReportedOutcome::Failed,
        Outcome::Cancelled => ReportedOutcome::Cancelled,
        Outcome::Unknown => ReportedOutcome::Unknown,
    }
}

fn unanswered(e: HttpError) -> ReportedOutcome {
    match e {
        HttpError::NotSent(_) => ReportedOutcome::NotRun,
        HttpError::NoResponse(_) => ReportedOutcome::NoResponse,
    }
}

fn refused(answer: &HttpResponse) -> ReportedOutcome {
    let problem: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}
