//! Requests to workers over HTTP.

use std::time::Duration;

use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::http::{self, ClientPool};
use super::wire;
use crate::adapter::http::{HttpError, HttpResponse};
use crate::model::WorkerName;
use crate::port::BoxFuture;
use crate::port::executor::{
    ActiveRun, EndedRun, ExecutorError, Executors, PollRequest, PollResponse, Rejection, RunEnd,
    StartRequest, WorkerTarget,
};
use crate::workflow::TaskId;

/// The maximum number of connections to one worker: a long poll, and other requests besides it.
const MAX_CONNECTIONS: usize = 8;

/// The timeout of a request. Workers respond within milliseconds, and the network adds twice 1.4 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// The header with the name of the worker that a request is for.
const TARGET_HEADER: &str = "chestnutlug-target-instance";

/// Sends requests to workers over HTTP.
pub struct HttpExecutors {
    clients: ClientPool,
}

impl Default for HttpExecutors {
    fn default() -> Self {
        Self {
            clients: ClientPool::new(MAX_CONNECTIONS),
        }
    }
}

impl HttpExecutors {
    async fn request<T: serde::Serialize>(
        &self,
        target: &WorkerTarget,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<HttpResponse, ExecutorError> {
        let client = self.clients.get(target.address);
        let headers = [(TARGET_HEADER, target.name.as_str())];
        let sent = http::post(&client, path, &headers, body, timeout).await;
        let response = sent.map_err(|error| match error {
            HttpError::NotSent(reason) => ExecutorError::NotSent(reason),
            HttpError::NoResponse(reason) => ExecutorError::NoAnswer(reason),
        })?;
        match rejection(&response) {
            Some(rejection) => Err(ExecutorError::Rejected(rejection)),
            None if response.status.is_success() => Ok(response),
            None => Err(ExecutorError::NoAnswer(response.status.to_string())),
        }
    }

    /// Sends a start or stop request and returns the worker's clock in milliseconds.
    async fn request_clock<T: serde::Serialize>(
        &self,
        target: &WorkerTarget,
        path: &str,
        body: &T,
    ) -> Result<u64, ExecutorError> {
        let response = self.request(target, path, body, REQUEST_TIMEOUT).await?;
        let response: wire::RunResponse = decode(&response)?;
        Ok(response.clock_ms)
    }
}

impl Executors for HttpExecutors {
    fn poll<'a>(
        &'a self,
        target: &'a WorkerTarget,
        request: &'a PollRequest,
    ) -> BoxFuture<'a, Result<PollResponse, ExecutorError>> {
        Box::pin(async move {
            let body = wire::Hold {
                fence: target.fencing_token,
                last_seen: request.acknowledged,
                deadline_ms: request.lease_until_ms,
                wait_ms: (request.wait_ms > 0).then_some(request.wait_ms),
            };
            let timeout = REQUEST_TIMEOUT + Duration::from_millis(u64::from(request.wait_ms));
            let response = self
                .request(target, "/chestnutlug/hold", &body, timeout)
                .await?;
            Ok(poll_response(&target.name, decode(&response)?))
        })
    }

    fn start<'a>(
        &'a self,
        target: &'a WorkerTarget,
        request: &'a StartRequest,
    ) -> BoxFuture<'a, Result<u64, ExecutorError>> {
        Box::pin(async move {
            let body = wire::RunStart {
                task: request.task.to_string(),
                run_id: request.run,
                spec: &request.payload,
                deadline_ms: request.lease_until_ms,
                fence: target.fencing_token,
                checkpoint: request.checkpoint.as_deref(),
                ticket: request.permit.as_deref(),
            };
            self.request_clock(target, "/chestnutlug/run-start", &body)
                .await
        })
    }

    fn stop<'a>(
        &'a self,
        target: &'a WorkerTarget,
        task: TaskId,
        run: u32,
    ) -> BoxFuture<'a, Result<u64, ExecutorError>> {
        Box::pin(async move {
            let body = wire::RunStop {
                task: task.to_string(),
                run_id: run,
                fence: target.fencing_token,
            };
            self.request_clock(target, "/chestnutlug/run-stop", &body)
                .await
        })
    }
}

/// The rejection that a response reports, if it does.
fn rejection(response: &HttpResponse) -> Option<Rejection> {
    match response.status {
        StatusCode::CONFLICT => {
            let reason = serde_json::from_slice::<wire::RunResponse>(&response.body);
            let reason = reason.map_or_else(|error| error.to_string(), |response| response.reason);
            Some(match reason.as_str() {
                "fence" => Rejection::Fenced,
                "old" => Rejection::Outdated,
                "late" => Rejection::Late,
                "room" => Rejection::NoRoom,
                "ticket" => Rejection::NoPermit,
                other => {
                    tracing::warn!(
                        reason = other,
                        "a worker rejects a request for an unknown reason; treating it as malformed"
                    );
                    Rejection::Malformed
                }
            })
        }
        StatusCode::MISDIRECTED_REQUEST => Some(Rejection::OtherBoot),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Some(Rejection::Busy),
        StatusCode::BAD_REQUEST => Some(Rejection::Malformed),
        _ => None,
    }
}

fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, ExecutorError> {
    serde_json::from_slice(&response.body)
        .map_err(|error| ExecutorError::NoAnswer(format!("the answer cannot be read: {error}")))
}

/// Converts a response to a poll. Rows that cannot be parsed are logged and skipped.
fn poll_response(worker: &WorkerName, response: wire::HoldResponse) -> PollResponse {
    let log_invalid = |row: &[Value]| {
        tracing::warn!(%worker, ?row,
            "cannot parse a run in a worker's poll response; skipping it");
    };
    let mut running = Vec::with_capacity(response.running.len());
    for row in &response.running {
        match active_run(row) {
            Some(run) => running.push(run),
            None => log_invalid(row),
        }
    }
    let mut ended = Vec::with_capacity(response.ended.len());
    for row in &response.ended {
        match ended_run(row) {
            Some(run) => ended.push(run),
            None => log_invalid(row),
        }
    }
    PollResponse {
        boot: response.born,
        clock_ms: response.clock_ms,
        running,
        ended,
    }
}

fn active_run(row: &[Value]) -> Option<ActiveRun> {
    Some(ActiveRun {
        task: row.first()?.as_str()?.parse().ok(),
        run: number(row.get(1)?)?,
        checkpoint: text(row.get(2)),
        progress_percent: row.get(3).and_then(number).unwrap_or(0),
    })
}

fn ended_run(row: &[Value]) -> Option<EndedRun> {
    let end = match row.get(3)?.as_str()? {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "stopped" => RunEnd::Stopped,
        "lapsed" => RunEnd::Lapsed,
        "broken" => RunEnd::Broken,
        "alone" => RunEnd::Alone,
        _ => return None,
    };
    Some(EndedRun {
        sequence: row.first()?.as_u64()?,
        task: row.get(1)?.as_str()?.parse().ok(),
        run: number(row.get(2)?)?,
        end,
        checkpoint: text(row.get(4)),
    })
}

/// A number that may be written as an integer or as a float.
fn number(value: &Value) -> Option<u32> {
    let integer = value.as_u64().or_else(|| value.as_f64().map(|f| f as u64));
    integer.and_then(|n| u32::try_from(n).ok())
}

/// A string; `None` if it is absent or empty.
fn text(value: Option<&Value>) -> Option<String> {
    let text = value?.as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}
