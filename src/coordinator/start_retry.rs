//! Start requests that are sent once more if no response arrives soon.
//!
//! A worker may carry out a request seconds late, or its response may be lost. A start that is repeated
//! with the same run has no further effect if the worker already has the run, so that the task need not
//! wait until the first request is given up and stopped.

use std::time::Duration;

use tokio::time::timeout;

use crate::port::executor::{ExecutorError, Executors, StartRequest, WorkerTarget};

/// How long the first request may take before the second one is sent. Workers respond within a few
/// milliseconds, and the most urgent kind of work may take 250 ms beyond its run time.
pub const START_RETRY_DELAY: Duration = Duration::from_millis(150);

/// How long the response to the second request is awaited, so that both take no longer than one request
/// may.
const RETRY_TIMEOUT: Duration = Duration::from_millis(650);

/// Sends a start request and, unless a response arrives soon, the same once more if `may_retry` then.
///
/// # Errors
///
/// Returns a rejection only if no request can still take effect.
pub async fn start(
    executors: &dyn Executors,
    target: &WorkerTarget,
    request: &StartRequest,
    may_retry: impl Fn() -> bool,
) -> Result<u64, ExecutorError> {
    let mut first = executors.start(target, request);
    match timeout(START_RETRY_DELAY, &mut first).await {
        Ok(result) => return result,
        Err(_) if !may_retry() => return first.await,
        Err(_) => {}
    }
    tracing::debug!(task = %request.task, run = request.run, worker = %target.name,
        "start request got no response soon; repeating it");
    let second = async {
        let result = timeout(RETRY_TIMEOUT, executors.start(target, request)).await;
        result.unwrap_or_else(|_| Err(ExecutorError::NoAnswer("timeout".to_owned())))
    };
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => match result {
            Ok(clock_ms) => Ok(clock_ms),
            Err(error) => combine(error, second.await),
        },
        result = &mut second => match result {
            Ok(clock_ms) => Ok(clock_ms),
            Err(error) => combine(error, first.await),
        },
    }
}

/// The result of two requests of which one failed with `error`. A rejection of one does not show what
/// became of the other.
fn combine(error: ExecutorError, other: Result<u64, ExecutorError>) -> Result<u64, ExecutorError> {
    match other {
        Err(other @ ExecutorError::NoAnswer(_)) => Err(other),
        Err(_) => Err(error),
        Ok(clock_ms) => Ok(clock_ms),
    }
}
