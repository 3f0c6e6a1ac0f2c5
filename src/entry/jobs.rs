//! Jobs over HTTP.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;

use super::Body;
use super::gate::{Gate, Phase};
use super::limits::EntryLimits;
use super::problem::{ProblemDetails, refuse, whole};
use super::proxy::IDEMPOTENCY_KEY;
use crate::error::Refusal;
use crate::model::{JobId, JobSpec, JobView};
use crate::node::api::JobService;

/// The most characters of an idempotency key.
const MAX_KEY_CHARS: usize = 255;

/// The answer to a submission.
#[derive(Serialize)]
struct Submitted {
    id: String,
}

/// Submits the job that the body of `req` describes.
pub(super) async fn submit(
    jobs: &Arc<dyn JobService>,
    limits: &EntryLimits,
    req: Request<Incoming>,
) -> Response<Body> {
    let key = match key_of(req.headers()) {
        Ok(key) => key,
        Err(refusal) => return refuse(&refusal),
    };
    let bytes = match read(req.into_body(), limits).await {
        Ok(bytes) => bytes,
        Err(refusal) => return refuse(&refusal),
    };
    let spec = match serde_json::from_slice::<JobSpec>(&bytes) {
        Ok(spec) => spec,
        Err(error) => return malformed(&error),
    };
    match jobs.submit(spec, key).await {
        Ok(id) => submitted(&id),
        Err(refusal) => refuse(&refusal),
    }
}

/// Reads a job's state, after a wait that `query` may ask for.
pub(super) async fn read_state(
    jobs: &Arc<dyn JobService>,
    limits: &EntryLimits,
    gate: &Gate,
    job: &str,
    query: Option<&str>,
) -> Response<Body> {
    let asked = parse(job).and_then(|job| Ok((job, wait_of(query)?)));
    let (job, wait) = match asked {
        Ok(asked) => asked,
        Err(refusal) => return refuse(&refusal),
    };
    let wait = wait.min(limits.max_job_wait);
    let state = tokio::select! {
        state = jobs.job(&job, wait) => state,
        // A planned stop does not wait for the ends of jobs.
        () = gate.reached(Phase::Stopping) => jobs.job(&job, Duration::ZERO).await,
    };
    view(state)
}

/// Cancels a job.
pub(super) async fn cancel(jobs: &Arc<dyn JobService>, job: &str) -> Response<Body> {
    match parse(job) {
        Ok(job) => view(jobs.cancel(&job).await),
        Err(refusal) => refuse(&refusal),
    }
}

fn key_of(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("");
    if text.is_empty() || text.chars().count() > MAX_KEY_CHARS {
        let reason =
            format!("the idempotency key must have 1 to {MAX_KEY_CHARS} visible characters");
        return Err(Refusal::not_run("bad_request", reason));
    }
    Ok(Some(text.to_owned()))
}

async fn read(body: Incoming, limits: &EntryLimits) -> Result<bytes::Bytes, Refusal> {
    let too_large = || {
        let reason = format!(
            "a job's description is limited to {} bytes",
            limits.max_job_bytes
        );
        Refusal::not_run("body_too_large", reason)
    };
    if body.size_hint().lower() > limits.max_job_bytes as u64 {
        return Err(too_large());
    }
    let collected = Limited::new(body, limits.max_job_bytes).collect();
    let late = |_| {
        Refusal::not_run(
            "body_timeout",
            "the job's description did not arrive in time",
        )
    };
    let collected = tokio::time::timeout(limits.job_body_timeout, collected)
        .await
        .map_err(late)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(error) => {
            let reason = format!("the request's body cannot be read: {error}");
            Err(Refusal::not_run("bad_request", reason))
        }
    }
}

fn malformed(error: &serde_json::Error) -> Response<Body> {
    let refusal = Refusal::not_run("bad_json", format!("the job's description: {error}"));
    let problem = ProblemDetails {
        line: Some(error.line()),
        column: Some(error.column()),
        ..ProblemDetails::new(&refusal)
    };
    problem.response(None)
}

fn parse(job: &str) -> Result<JobId, Refusal> {
    let parsed = job.parse::<JobId>();
    parsed.map_err(|error| Refusal::not_run("bad_request", error.to_string()))
}

fn wait_of(query: Option<&str>) -> Result<Duration, Refusal> {
    let mut parts = query.unwrap_or("").split('&');
    let Some(value) = parts.find_map(|part| part.strip_prefix("wait_ms=")) else {
        return Ok(Duration::ZERO);
    };
    let parsed = value.parse::<u64>().map(Duration::from_millis);
    parsed.map_err(|error| Refusal::not_run("bad_request", format!("wait_ms: {error}")))
}

fn submitted(id: &JobId) -> Response<Body> {
    let id = id.to_string();
    let location = HeaderValue::try_from(format!("/v1/jobs/{id}"));
    let mut response = json(StatusCode::CREATED, &Submitted { id });
    if let Ok(location) = location {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}

fn view(state: Result<Option<JobView>, Refusal>) -> Response<Body> {
    match state {
        Ok(Some(view)) => json(StatusCode::OK, &view),
        Ok(None) => {
            let reason = "there is no such job, or it ended long ago";
            refuse(&Refusal::unknown("no_such_job", reason))
        }
        Err(refusal) => refuse(&refusal),
    }
}

/// A JSON response.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}
