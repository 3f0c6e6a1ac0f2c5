//! Refusals as `application/problem+json`.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Body;
use crate::error::{Certainty, Refusal};

/// The media type of a refusal.
const MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// A refusal as callers read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// Names the kind of problem.
    #[serde(rename = "type")]
    pub type_uri: String,
    /// The status in words.
    pub title: String,
    /// The status.
    pub status: u16,
    /// The cause in a sentence.
    pub detail: String,
    /// Whether the work ran.
    pub outcome: Certainty,
    /// A stable word that names the cause.
    pub code: String,
    /// The line of the fault in the request's body, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// The column of the fault in the request's body, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
}

impl ProblemDetails {
    /// Describes `refusal`.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::entry::ProblemDetails;
    /// use chestnutlug::error::Refusal;
    ///
    /// let problem = ProblemDetails::new(&Refusal::not_run("queue_full", "the queue is full").retry_after(250));
    /// assert_eq!(problem.status, 503);
    /// assert_eq!(problem.type_uri, "urn:chestnutlug:problem:queue_full");
    /// ```
    pub fn new(refusal: &Refusal) -> Self {
        let status = status_of(refusal);
        Self {
            type_uri: format!("urn:chestnutlug:problem:{}", refusal.code),
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            status: status.as_u16(),
            detail: refusal.reason.clone(),
            outcome: refusal.certainty,
            code: refusal.code.clone(),
            line: None,
            column: None,
        }
    }

    /// The response, with `Retry-After` in whole seconds where `retry_after_ms` is given.
    pub(super) fn response(&self, retry_after_ms: Option<u64>) -> Response<Body> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let status = StatusCode::from_u16(self.status);
        let mut response = Response::new(whole(body));
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.extensions_mut().insert(self.outcome);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, MEDIA_TYPE);
        if let Some(ms) = retry_after_ms {
            let seconds = HeaderValue::from(ms.div_ceil(1_000).max(1));
            headers.insert(header::RETRY_AFTER, seconds);
        }
        if let Some(allowed) = allowed_methods(&self.code) {
            headers.insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        if ends_connection(&self.code) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// The response to `refusal`.
pub(super) fn refuse(refusal: &Refusal) -> Response<Body> {
    ProblemDetails::new(refusal).response(refusal.retry_after_ms)
}

/// The status that stands for `refusal`.
///
/// # Examples
///
/// ```
/// use chestnutlug::entry::status_of;
/// use chestnutlug::error::Refusal;
///
/// assert_eq!(status_of(&Refusal::unknown("no_answer", "no answer came")), 502);
/// assert_eq!(status_of(&Refusal::not_run("never_fits", "no worker is large enough")), 422);
/// ```
pub fn status_of(refusal: &Refusal) -> StatusCode {
    match refusal.code.as_str() {
        "bad_request" | "bad_json" => StatusCode::BAD_REQUEST,
        "not_found" | "no_such_job" | "unknown_service" => StatusCode::NOT_FOUND,
        "job_method" | "jobs_method" | "health_method" => StatusCode::METHOD_NOT_ALLOWED,
        "body_timeout" => StatusCode::REQUEST_TIMEOUT,
        "key_reused" => StatusCode::CONFLICT,
        "body_too_large" => StatusCode::PAYLOAD_TOO_LARGE,
        "header_too_large" => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "no_answer_in_time" => StatusCode::GATEWAY_TIMEOUT,
        "internal" => StatusCode::INTERNAL_SERVER_ERROR,
        _ => match (refusal.certainty, refusal.retry_after_ms) {
            (Certainty::Unknown, _) => StatusCode::BAD_GATEWAY,
            (Certainty::NotRun, Some(_)) => StatusCode::SERVICE_UNAVAILABLE,
            (Certainty::NotRun, None) => StatusCode::UNPROCESSABLE_ENTITY,
        },
    }
}

fn allowed_methods(code: &str) -> Option<&'static str> {
    match code {
        "jobs_method" => Some("POST"),
        "job_method" => Some("GET, DELETE"),
        "health_method" => Some("GET, HEAD"),
        _ => None,
    }
}

/// Whether the connection is closed after the refusal: the VM stops or is full, or the rest of
/// the request is not read.
fn ends_connection(code: &str) -> bool {
    let ending = [
        "stopping",
        "too_many_connections",
        "body_too_large",
        "body_timeout",
        "header_too_large",
    ];
    ending.contains(&code)
}

/// A body of `bytes`.
pub(super) fn whole(bytes: impl Into<Bytes>) -> Body {
    let never = |never: std::convert::Infallible| match never {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}
