//! The HTTP server for callers: jobs, and requests to services.
//!
//! * `POST /v1/jobs` submits a job, `GET /v1/jobs/ID?wait_ms=N` reads its state, and
//!   `DELETE /v1/jobs/ID` cancels it.
//! * A request with any method on `/v1/services/SERVICE/PATH` is forwarded to a backend server of
//!   the service that has a free slot. Bodies are streamed.
//! * `GET /healthz` reports whether the VM accepts work.
//!
//! Every refusal is an `application/problem+json` response with the `outcome` `not_run` or
//! `unknown`.

mod admission;
mod attempt;
mod connection_pool;
mod handler;
mod jobs;
mod limits;
mod problem;
mod proxy;
mod request_body;
mod request_target;
mod retry_budget;
mod server;
mod streamed_response_body;

pub use limits::{EntryLimits, max_idle_connections};
pub use problem::{ProblemDetails, status_of};
pub use server::{EntryServer, EntryStopReport};

use std::error::Error as StdError;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// The error of a body that cannot be read to its end.
type BodyError = Box<dyn StdError + Send + Sync>;

/// The body of a request or response, as a stream.
type Body = UnsyncBoxBody<Bytes, BodyError>;
