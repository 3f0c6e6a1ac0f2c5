//! Requests that submit, read and cancel jobs.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;

use super::Body;
use super::admission::{AdmissionController, ServerPhase};
use super::limits::EntryLimits;
use super::problem::{ProblemDetails, full_body, refusal_response};
use super::proxy::IDEMPOTENCY_KEY_HEADER;
use crate::error::Refusal;
use crate::model::{JobId, JobSpec, JobView};
use crate::node::api::JobService;

/// Maximum number of characters of an idempotency key.
const MAX_KEY_CHARS: usize = 255;

/// The response to a submission.
#[derive(Serialize)]
struct SubmitResponse {
    id: String,
}

/// Submits the job that the body of `req` describes.
pub(super) async fn submit(
    jobs: &Arc<dyn JobService>,
    limits: &EntryLimits,
    req: Request<Incoming>,
) -> Response<Body> {
    let key = match idempotency_key(req.headers()) {
        Ok(key) => key,
        Err(refusal) => return refusal_response(&refusal),
    };
    let bytes = match read_body(req.into_body(), limits).await {
        Ok(bytes) => bytes,
        Err(refusal) => return refusal_response(&refusal),
    };
    let spec = match serde_json::from_slice::<JobSpec>(&bytes) {
        Ok(spec) => spec,
        Err(error) => return malformed_json(&error),
    };
    match jobs.submit(spec, key).await {
        Ok(id) => created_response(&id),
        Err(refusal) => refusal_response(&refusal),
    }
}

/// Reads a job's state, after waiting up to the time given in `query`, if any, for the job to end.
pub(super) async fn read_state(
    jobs: &Arc<dyn JobService>,
    limits: &EntryLimits,
    admission: &AdmissionController,
    job: &str,
    query: Option<&str>,
) -> Response<Body> {
    let parsed = parse_id(job).and_then(|job| Ok((job, parse_wait(query)?)));
    let (job, wait) = match parsed {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal_response(&refusal),
    };
    let wait = wait.min(limits.max_job_wait);
    let state = tokio::select! {
        state = jobs.job(&job, wait) => state,
        // A planned stop does not wait for jobs to end.
        () = admission.wait_for_phase(ServerPhase::Stopping) =>
            jobs.job(&job, Duration::ZERO).await,
    };
    state_response(state)
}

/// Cancels a job.
pub(super) async fn cancel(jobs: &Arc<dyn JobService>, job: &str) -> Response<Body> {
    match parse_id(job) {
        Ok(job) => state_response(jobs.cancel(&job).await),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
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

async fn read_body(body: Incoming, limits: &EntryLimits) -> Result<bytes::Bytes, Refusal> {
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
    let timed_out = |_| {
        Refusal::not_run(
            "body_timeout",
            "the job's description did not arrive in time",
        )
    };
    let collected = tokio::time::timeout(limits.job_body_timeout, collected)
        .await
        .map_err(timed_out)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(error) => {
            let reason = format!("the request's body cannot be read: {error}");
            Err(Refusal::not_run("bad_request", reason))
        }
    }
}

fn malformed_json(error: &serde_json::Error) -> Response<Body> {
    let refusal = Refusal::not_run("bad_json", format!("the job's description: {error}"));
    let problem = ProblemDetails {
        line: Some(error.line()),
        column: Some(error.column()),
        ..ProblemDetails::new(&refusal)
    };
    problem.response(None)
}

fn parse_id(job: &str) -> Result<JobId, Refusal> {
    let parsed = job.parse::<JobId>();
    parsed.map_err(|error| Refusal::not_run("bad_request", error.to_string()))
}

fn parse_wait(query: Option<&str>) -> Result<Duration, Refusal> {
    let mut params = query.unwrap_or("").split('&');
    let Some(value) = params.find_map(|param| param.strip_prefix("wait_ms=")) else {
        return Ok(Duration::ZERO);
    };
    let parsed = value.parse::<u64>().map(Duration::from_millis);
    parsed.map_err(|error| Refusal::not_run("bad_request", format!("wait_ms: {error}")))
}

fn created_response(id: &JobId) -> Response<Body> {
    let id = id.to_string();
    let location = HeaderValue::try_from(format!("/v1/jobs/{id}"));
    let mut response = json_response(StatusCode::CREATED, &SubmitResponse { id });
    if let Ok(location) = location {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}

fn state_response(state: Result<Option<JobView>, Refusal>) -> Response<Body> {
    match state {
        Ok(Some(view)) => json_response(StatusCode::OK, &view),
        Ok(None) => {
            let reason = "there is no such job, or it ended long ago";
            refusal_response(&Refusal::unknown("no_such_job", reason))
        }
        Err(refusal) => refusal_response(&refusal),
    }
}

/// Builds a response with `value` as its JSON body.
pub(super) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}
