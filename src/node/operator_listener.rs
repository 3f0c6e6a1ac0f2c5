//! The operators' listener.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/status` | [`CellStatus`](crate::report::CellStatus) |
//! | `GET /v1/jobs` | [`JobList`](crate::report::JobList) |
//! | `GET /v1/explain/JOB` | [`Decisions`] |
//! | `GET /v1/burn` | [`BurnReport`](crate::report::BurnReport) |
//! | `PUT /v1/log-level` | nothing; the body is the level |
//!
//! Each call proves the shared secret as `Authorization: Bearer SECRET`. Refused calls are answered
//! with a [`Problem`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;

use super::api::SharedOperatorService;
use crate::adapter::http::{self, AnswerBody, Dropped, Limits, full, read_body};
use crate::model::JobId;
use crate::report::{Decisions, MAX_JOBS, Problem};
use crate::settings::Secret;

/// Connections of operators at once.
const MAX_CONNECTIONS: usize = 32;

/// How long the headers of a call may take.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a call may take in all.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long calls may go on after a stop.
const DRAIN: Duration = Duration::from_secs(2);

/// The most bytes of a call's body.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Answers operators on `listener` until `stop`.
pub async fn serve(
    listener: TcpListener,
    view: SharedOperatorService,
    secret: Secret,
    stop: impl Future<Output = ()>,
) {
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        header_timeout: HEADER_TIMEOUT,
        drain: DRAIN,
    };
    let secret = Arc::new(secret);
    let handler = move |req| handle(view.clone(), secret.clone(), req);
    http::serve(listener, limits, handler, stop).await;
}

type Answer = Response<AnswerBody>;

async fn handle(
    view: SharedOperatorService,
    secret: Arc<Secret>,
    req: Request<Incoming>,
) -> Result<Answer, Dropped> {
    if !proves(req.headers(), &secret) {
        let detail = "prove the shared secret as `Authorization: Bearer SECRET`";
        return Ok(problem(StatusCode::UNAUTHORIZED, "unauthorized", detail));
    }
    let answered = tokio::time::timeout(CALL_TIMEOUT, route(&view, req)).await;
    Ok(answered.unwrap_or_else(|_| {
        let detail = format!("the call took longer than {CALL_TIMEOUT:?}");
        problem(StatusCode::GATEWAY_TIMEOUT, "timeout", &detail)
    }))
}

/// Whether the headers prove the secret; compared in constant time.
fn proves(headers: &HeaderMap, secret: &Secret) -> bool {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let presented = value.and_then(|value| value.strip_prefix("Bearer "));
    presented.is_some_and(|presented| secret.matches(presented))
}

async fn route(view: &SharedOperatorService, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/v1/status") => json(&view.status().await),
        (&Method::GET, "/v1/jobs") => json(&view.jobs(MAX_JOBS).await),
        (&Method::GET, "/v1/burn") => json(&view.burn().await),
        (&Method::PUT, "/v1/log-level") => set_log_level(view, req).await,
        (&Method::GET, path) => match path.strip_prefix("/v1/explain/") {
            Some(job) => explain(view, job).await,
            None => problem(StatusCode::NOT_FOUND, "not_found", "there is no such path"),
        },
        _ => {
            let detail = "the path does not take this method";
            problem(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", detail)
        }
    }
}

async fn explain(view: &SharedOperatorService, job: &str) -> Answer {
    let id: JobId = match job.parse() {
        Ok(id) => id,
        Err(error) => {
            let detail = format!("{error}");
            return problem(StatusCode::BAD_REQUEST, "malformed_job_id", &detail);
        }
    };
    match view.explain(&id).await {
        Ok(Some(decisions)) => json(&Decisions {
            job: id.to_string(),
            decisions,
        }),
        Ok(None) => {
            let detail = format!("there is no job {id}");
            problem(StatusCode::NOT_FOUND, "no_such_job", &detail)
        }
        Err(refusal) => problem(
            StatusCode::SERVICE_UNAVAILABLE,
            &refusal.code,
            &refusal.reason,
        ),
    }
}

async fn set_log_level(view: &SharedOperatorService, req: Request<Incoming>) -> Answer {
    let body = match read_body(req.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return problem(status, "unreadable_body", "the body cannot be read"),
    };
    let Ok(level) = std::str::from_utf8(&body) else {
        return problem(StatusCode::BAD_REQUEST, "malformed_level", "not UTF-8");
    };
    match view.set_log_level(level.trim()) {
        Ok(()) => {
            tracing::info!(level = level.trim(), "log level set");
            answer(StatusCode::NO_CONTENT, "application/json", Vec::new())
        }
        Err(error) => problem(
            StatusCode::BAD_REQUEST,
            "malformed_level",
            &error.to_string(),
        ),
    }
}

fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => answer(StatusCode::OK, "application/json", body),
        Err(error) => problem(
            StatusCode::INTERNAL_SERVER_ERROR,
            "unwritable",
            &error.to_string(),
        ),
    }
}

fn problem(status: StatusCode, title: &str, detail: &str) -> Answer {
    let problem = Problem {
        status: status.as_u16(),
        title: title.to_owned(),
        detail: detail.to_owned(),
    };
    // The type has a JSON form.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    answer(status, "application/problem+json", body)
}

fn answer(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Answer {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    res.headers_mut().insert(CONTENT_TYPE, value);
    res
}
