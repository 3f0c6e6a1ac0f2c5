//! One attempt of a request at one backend server.

use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};

use super::Body;
use super::backends::Connection;
use crate::message::SlotUse;
use crate::node::slots::ActiveSlot;

/// The header by which a backend server says that it is being taken away.
pub(super) const LEAVING: &str = "x-leaving";

/// The head of an answer, with what its body is read from.
pub(super) struct Answered {
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
    pub(super) slot: ActiveSlot,
    pub(super) used: SlotUse,
}

/// Why an attempt brought no answer.
pub(super) enum Failed {
    /// Nothing was sent; the request's body is whole.
    NotSent(Body),
    /// It was sent, and the connection broke before the answer.
    Broken(String),
    /// It was sent, and no answer came in time.
    Late,
}

/// Sends `req` on a slot whose use has begun, and waits for the head of the answer.
pub(super) async fn send(
    req: Request<Body>,
    mut connection: Connection,
    slot: ActiveSlot,
) -> Result<Answered, Failed> {
    let begun = Instant::now();
    let answer = connection.sender.try_send_request(req);
    let answer = tokio::time::timeout_at(slot.deadline().into(), answer).await;
    let latency = begun.elapsed();
    let failed = match answer {
        Ok(Ok(response)) => {
            let used = usage(&response, latency);
            return Ok(Answered {
                response,
                connection,
                slot,
                used,
            });
        }
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => {
                // A kept connection may have been closed meanwhile, which is no failure.
                slot.release(SlotUse {
                    succeeded: connection.reused,
                    ..failure()
                });
                return Err(Failed::NotSent(unsent.into_body()));
            }
            None => Failed::Broken(error.into_error().to_string()),
        },
        Err(_) => Failed::Late,
    };
    // The connection is closed before its slot is given back.
    drop(connection);
    slot.release_aborted(failure());
    Err(failed)
}

fn usage(response: &Response<Incoming>, latency: Duration) -> SlotUse {
    let leaving = response.headers().get(LEAVING);
    let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    SlotUse {
        succeeded: !response.status().is_server_error(),
        latency_us: latency_us.max(1),
        leaving: leaving.is_some_and(|value| value == "true"),
    }
}

fn failure() -> SlotUse {
    SlotUse {
        succeeded: false,
        latency_us: 0,
        leaving: false,
    }
}
