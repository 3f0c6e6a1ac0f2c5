//! The operators' listener.
//!
//! | request | response |
//! |---|---|
//! | `GET /v1/status` | [`CellStatus`](crate::report::CellStatus) |
//! | `GET /v1/jobs` | [`JobList`](crate::report::JobList) |
//! | `GET /v1/explain/JOB` | [`JobDecisions`] |
//! | `GET /v1/burn` | [`BurnReport`](crate::report::BurnReport) |
//! | `PUT /v1/log-level` | nothing; the body is the level |
//!
//! Each request carries the shared secret as `Authorization: Bearer SECRET`. The response to a
//! refused request is an [`OperatorProblem`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;

use super::api::SharedOperatorService;
use crate::adapter::http::{
    self, ResponseBody, ResponseDropped, ServerLimits, full_body, read_body,
};
use crate::model::JobId;
use crate::report::{JobDecisions, MAX_LISTED_JOBS, OperatorProblem};
use crate::settings::Secret;

/// Limit of concurrent connections of operators.
const MAX_CONNECTIONS: usize = 32;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a request as a whole.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long requests in progress may continue after a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit of the size of a request's body.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Serves operators on `listener` until `stop`.
pub async fn serve(
    listener: TcpListener,
    service: SharedOperatorService,
    secret: Secret,
    stop: impl Future<Output = ()>,
) {
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        header_timeout: HEADER_TIMEOUT,
        drain_timeout: DRAIN_TIMEOUT,
    };
    let secret = Arc::new(secret);
    let handler = move |req| handle(service.clone(), secret.clone(), req);
    http::serve(listener, limits, handler, stop).await;
}

type OperatorResponse = Response<ResponseBody>;

async fn handle(
    service: SharedOperatorService,
    secret: Arc<Secret>,
    req: Request<Incoming>,
) -> Result<OperatorResponse, ResponseDropped> {
    if !is_authorized(req.headers(), &secret) {
        let detail = "prove the shared secret as `Authorization: Bearer SECRET`";
        return Ok(problem(StatusCode::UNAUTHORIZED, "unauthorized", detail));
    }
    let result = tokio::time::timeout(CALL_TIMEOUT, route(&service, req)).await;
    Ok(result.unwrap_or_else(|_| {
        let detail = format!("the call took longer than {CALL_TIMEOUT:?}");
        problem(StatusCode::GATEWAY_TIMEOUT, "timeout", &detail)
    }))
}

/// Whether the headers carry the secret; compared in constant time.
fn is_authorized(headers: &HeaderMap, secret: &Secret) -> bool {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let presented = value.and_then(|value| value.strip_prefix("Bearer "));
    presented.is_some_and(|presented| secret.matches(presented))
}

async fn route(service: &SharedOperatorService, req: Request<Incoming>) -> OperatorResponse {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/v1/status") => json(&service.status().await),
        (&Method::GET, "/v1/jobs") => json(&service.jobs(MAX_LISTED_JOBS).await),
        (&Method::GET, "/v1/burn") => json(&service.burn().await),
        (&Method::PUT, "/v1/log-level") => set_log_level(service, req).await,
        (&Method::GET, path) => match path.strip_prefix("/v1/explain/") {
            Some(job) => explain(service, job).await,
            None => problem(StatusCode::NOT_FOUND, "not_found", "there is no such path"),
        },
        _ => {
            let detail = "the path does not take this method";
            problem(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", detail)
        }
    }
}

async fn explain(service: &SharedOperatorService, job: &str) -> OperatorResponse {
    let id: JobId = match job.parse() {
        Ok(id) => id,
        Err(error) => {
            let detail = format!("{error}");
            return problem(StatusCode::BAD_REQUEST, "malformed_job_id", &detail);
        }
    };
    match service.explain(&id).await {
        Ok(Some(decisions)) => json(&JobDecisions {
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

async fn set_log_level(
    service: &SharedOperatorService,
    req: Request<Incoming>,
) -> OperatorResponse {
    let body = match read_body(req.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return problem(status, "unreadable_body", "the body cannot be read"),
    };
    let Ok(level) = std::str::from_utf8(&body) else {
        return problem(StatusCode::BAD_REQUEST, "malformed_level", "not UTF-8");
    };
    match service.set_log_level(level.trim()) {
        Ok(()) => {
            tracing::info!(level = level.trim(), "an operator has set the log level");
            response(StatusCode::NO_CONTENT, "application/json", Vec::new())
        }
        Err(error) => problem(
            StatusCode::BAD_REQUEST,
            "malformed_level",
            &error.to_string(),
        ),
    }
}

fn json(value: &impl Serialize) -> OperatorResponse {
    match serde_json::to_vec(value) {
        Ok(body) => response(StatusCode::OK, "application/json", body),
        Err(error) => problem(
            StatusCode::INTERNAL_SERVER_ERROR,
            "unwritable",
            &error.to_string(),
        ),
    }
}

fn problem(status: StatusCode, title: &str, detail: &str) -> OperatorResponse {
    let problem = OperatorProblem {
        status: status.as_u16(),
        title: title.to_owned(),
        detail: detail.to_owned(),
    };
    // Serializing an `OperatorProblem` cannot fail.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    response(status, "application/problem+json", body)
}

fn response(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> OperatorResponse {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    res.headers_mut().insert(CONTENT_TYPE, value);
    res
}
