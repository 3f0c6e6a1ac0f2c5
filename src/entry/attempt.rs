//! A single attempt to send a request to a backend server.

use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};

use super::Body;
use super::connection_pool::BackendConnection;
use crate::message::SlotUse;
use crate::node::slots::ActiveSlot;

/// The response header by which a backend server reports that it is draining.
pub(super) const DRAINING_HEADER: &str = "x-leaving";

/// The head of a response, and what is needed to read its body.
pub(super) struct BackendResponse {
    pub(super) response: Response<Incoming>,
    pub(super) connection: BackendConnection,
    pub(super) slot: ActiveSlot,
    pub(super) usage: SlotUse,
}

/// Why an attempt brought no response.
pub(super) enum SendError {
    /// Nothing was sent; the request's body is intact.
    NotSent(Body),
    /// The request was sent, and the connection broke before the response.
    ConnectionLost(String),
    /// The request was sent, and there was no response before the slot's deadline.
    TimedOut,
}

/// Sends `req` on an active slot and waits for the head of the response.
pub(super) async fn send(
    req: Request<Body>,
    mut connection: BackendConnection,
    slot: ActiveSlot,
) -> Result<BackendResponse, SendError> {
    let sent_at = Instant::now();
    let result = connection.sender.try_send_request(req);
    let result = tokio::time::timeout_at(slot.deadline().into(), result).await;
    let latency = sent_at.elapsed();
    let send_error = match result {
        Ok(Ok(response)) => {
            let usage = usage_of(&response, latency);
            return Ok(BackendResponse {
                response,
                connection,
                slot,
                usage,
            });
        }
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => {
                // The backend server may have closed an idle connection, which is not a failure.
                slot.release(SlotUse {
                    succeeded: connection.reused,
                    ..failed_usage()
                });
                return Err(SendError::NotSent(unsent.into_body()));
            }
            None => SendError::ConnectionLost(error.into_error().to_string()),
        },
        Err(_) => SendError::TimedOut,
    };
    // The connection has to be closed before its slot is released.
    drop(connection);
    slot.release_aborted(failed_usage());
    Err(send_error)
}

fn usage_of(response: &Response<Incoming>, latency: Duration) -> SlotUse {
    let draining = response.headers().get(DRAINING_HEADER);
    let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    SlotUse {
        succeeded: !response.status().is_server_error(),
        latency_us: latency_us.max(1),
        leaving: draining.is_some_and(|value| value == "true"),
    }
}

fn failed_usage() -> SlotUse {
    SlotUse {
        succeeded: false,
        latency_us: 0,
        leaving: false,
    }
}
