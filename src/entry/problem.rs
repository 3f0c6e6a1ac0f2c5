//! Refusals as `application/problem+json` responses.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Body;
use crate::error::{Certainty, Refusal};

/// The media type of a refusal.
const MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The problem details (RFC 9457) of a refusal, as sent to callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// URI that identifies the type of the problem.
    #[serde(rename = "type")]
    pub type_uri: String,
    /// The reason phrase of the HTTP status.
    pub title: String,
    /// The HTTP status code.
    pub status: u16,
    /// The cause, as a sentence.
    pub detail: String,
    /// Whether the work ran.
    pub outcome: Certainty,
    /// Stable identifier of the cause.
    pub code: String,
    /// Line of the error in the request's body, starting at 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Column of the error in the request's body, starting at 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
}

impl ProblemDetails {
    /// Creates the problem details of `refusal`.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::entry::ProblemDetails;
    /// use chestnutlug::error::Refusal;
    ///
    /// let refusal = Refusal::not_run("queue_full", "the queue is full").retry_after(250);
    /// let problem = ProblemDetails::new(&refusal);
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

    /// Builds the response, with `Retry-After` in whole seconds if `retry_after_ms` is given.
    pub(super) fn response(&self, retry_after_ms: Option<u64>) -> Response<Body> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let status = StatusCode::from_u16(self.status);
        let mut response = Response::new(full_body(body));
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.extensions_mut().insert(self.outcome);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, MEDIA_TYPE);
        if let Some(ms) = retry_after_ms {
            let seconds = HeaderValue::from(ms.div_ceil(1_000).max(1));
            headers.insert(header::RETRY_AFTER, seconds);
        }
        if let Some(methods) = allowed_methods(&self.code) {
            headers.insert(header::ALLOW, HeaderValue::from_static(methods));
        }
        if closes_connection(&self.code) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Builds the response that reports `refusal`.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<Body> {
    ProblemDetails::new(refusal).response(refusal.retry_after_ms)
}

/// Returns the HTTP status of the response to `refusal`.
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

/// Whether the connection is closed after the refusal, because the VM stops, has too many
/// connections, or does not read the rest of the request.
fn closes_connection(code: &str) -> bool {
    let closing = [
        "stopping",
        "too_many_connections",
        "body_too_large",
        "body_timeout",
        "header_too_large",
    ];
    closing.contains(&code)
}

/// Wraps bytes as a body.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> Body {
    let never = |never: std::convert::Infallible| match never {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}
