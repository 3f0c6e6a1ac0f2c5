//! Orders to workers over HTTP.

use std::time::Duration;

use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::http::{self, ClientPool};
use super::wire;
use crate::adapter::http::{Answer, HttpError};
use crate::model::WorkerName;
use crate::port::BoxFuture;
use crate::port::executor::{
    ActiveRun, EndedRun, ExecutorError, Executors, PollRequest, PollResponse, Rejection, RunEnd,
    StartRequest, WorkerTarget,
};
use crate::workflow::TaskId;

/// Connections to one worker: a look that waits, and orders beside it.
const MAX_CONNECTIONS: usize = 8;

/// How long an order may take; workers answer within milliseconds, and links add two of 1.4 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Names the worker that an order is meant for.
const TARGET_HEADER: &str = "chestnutlug-target-instance";

/// The workers over HTTP.
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
        limit: Duration,
    ) -> Result<Answer, ExecutorError> {
        let client = self.clients.get(target.address);
        let headers = [(TARGET_HEADER, target.name.as_str())];
        let sent = http::post(&client, path, &headers, body, limit).await;
        let answer = sent.map_err(|error| match error {
            HttpError::NotSent(reason) => ExecutorError::NotSent(reason),
            HttpError::NoAnswer(reason) => ExecutorError::NoAnswer(reason),
        })?;
        match rejection(&answer) {
            Some(rejection) => Err(ExecutorError::Rejected(rejection)),
            None if answer.status.is_success() => Ok(answer),
            None => Err(ExecutorError::NoAnswer(answer.status.to_string())),
        }
    }

    async fn clock<T: serde::Serialize>(
        &self,
        target: &WorkerTarget,
        path: &str,
        body: &T,
    ) -> Result<u64, ExecutorError> {
        let answer = self.request(target, path, body, ORDER_TIMEOUT).await?;
        let answer: wire::OrderAnswer = decode(&answer)?;
        Ok(answer.clock_ms)
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
            let limit = ORDER_TIMEOUT + Duration::from_millis(u64::from(request.wait_ms));
            let answer = self
                .request(target, "/chestnutlug/hold", &body, limit)
                .await?;
            Ok(report(&target.name, decode(&answer)?))
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
            self.clock(target, "/chestnutlug/run-start", &body).await
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
            self.clock(target, "/chestnutlug/run-stop", &body).await
        })
    }
}

fn rejection(answer: &Answer) -> Option<Rejection> {
    match answer.status {
        StatusCode::CONFLICT => {
            let reason = serde_json::from_slice::<wire::OrderAnswer>(&answer.body);
            let reason = reason.map_or_else(|error| error.to_string(), |answer| answer.reason);
            Some(match reason.as_str() {
                "fence" => Rejection::Fenced,
                "old" => Rejection::Outdated,
                "late" => Rejection::Late,
                "room" => Rejection::NoRoom,
                "ticket" => Rejection::NoPermit,
                other => {
                    tracing::warn!(
                        reason = other,
                        "a worker rejects an order for another reason"
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

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, ExecutorError> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| ExecutorError::NoAnswer(format!("the answer cannot be read: {error}")))
}

fn report(worker: &WorkerName, answer: wire::HoldAnswer) -> PollResponse {
    let unreadable = |row: &[Value]| {
        tracing::warn!(%worker, ?row, "a worker lists a run that cannot be read");
    };
    let mut running = Vec::with_capacity(answer.running.len());
    for row in &answer.running {
        match running_task(row) {
            Some(task) => running.push(task),
            None => unreadable(row),
        }
    }
    let mut ended = Vec::with_capacity(answer.ended.len());
    for row in &answer.ended {
        match ended_task(row) {
            Some(task) => ended.push(task),
            None => unreadable(row),
        }
    }
    PollResponse {
        boot: answer.born,
        clock_ms: answer.clock_ms,
        running,
        ended,
    }
}

fn running_task(row: &[Value]) -> Option<ActiveRun> {
    Some(ActiveRun {
        task: row.first()?.as_str()?.parse().ok(),
        run: number(row.get(1)?)?,
        checkpoint: text(row.get(2)),
        progress_percent: row.get(3).and_then(number).unwrap_or(0),
    })
}

fn ended_task(row: &[Value]) -> Option<EndedRun> {
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

fn number(value: &Value) -> Option<u32> {
    let whole = value.as_u64().or_else(|| value.as_f64().map(|f| f as u64));
    whole.and_then(|n| u32::try_from(n).ok())
}

/// A text that is left empty where there is none.
fn text(value: Option<&Value>) -> Option<String> {
    let text = value?.as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}
