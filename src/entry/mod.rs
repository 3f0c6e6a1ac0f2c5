//! The callers' listener: jobs and requests to services over HTTP.
//!
//! * `POST /v1/jobs` submits a job, `GET /v1/jobs/ID?wait_ms=N` reads its state, and
//!   `DELETE /v1/jobs/ID` cancels it;
//! * any method on `/v1/services/SERVICE/PATH` is a request to a service, streamed to a backend
//!   server that has a free slot;
//! * `GET /healthz` tells whether the VM takes work.
//!
//! Every refusal is `application/problem+json` with `outcome` `not_run` or `unknown`.

mod attempt;
mod backends;
mod budget;
mod gate;
mod handle;
mod jobs;
mod limits;
mod listen;
mod problem;
mod proxy;
mod relay;
mod target;
mod upload;

pub use limits::{EntryLimits, max_idle_connections};
pub use listen::{EntryServer, EntryStopReport};
pub use problem::{ProblemDetails, status_of};

use std::error::Error as StdError;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// The cause of a body that cannot be read to its end.
type BodyError = Box<dyn StdError + Send + Sync>;

/// The body of a request or an answer, as a stream.
type Body = UnsyncBoxBody<Bytes, BodyError>;
