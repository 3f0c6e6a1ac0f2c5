//! An HTTP/1.1 server for one listener, with limits and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// The body of a response.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Returned by a handler to send no response; the server then closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was dropped")]
pub struct ResponseDropped;

/// The limits of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further ones wait in the listener's backlog.
    pub max_connections: usize,
    /// The timeout for reading the headers of a request.
    pub header_timeout: Duration,
    /// How long requests in progress may take to finish after the server is stopped.
    pub drain_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(60),
            drain_timeout: Duration::from_secs(2),
        }
    }
}

/// Creates a body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Reads a complete body of up to `max_bytes`.
///
/// # Errors
///
/// Returns status 413 if the body is larger than `max_bytes` and status 400 if it cannot be read.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Serves `listener` until `stop` completes, then lets requests finish within the drain timeout.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: impl Future<Output = ()>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<ResponseBody>, ResponseDropped>> + Send + 'static,
{
    serve_with_guard(listener, limits, || Some(()), handler, stop).await;
}

/// Like [`serve`], with an admission check: `admit` is called once for each connection and returns
/// a guard that lives as long as the connection, or `None` to close the connection.
pub async fn serve_with_guard<G, A, H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    admit: A,
    handler: H,
    stop: impl Future<Output = ()>,
) where
    G: Send + 'static,
    A: Fn() -> Option<G>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<ResponseBody>, ResponseDropped>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        while connections.try_join_next().is_some() {}
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        let Some(guard) = admit() else { continue };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .serve_connection(TokioIo::new(stream), service_fn(handler.clone()));
        let watched = graceful.watch(connection);
        connections.spawn(async move {
            let _held = (guard, permit);
            if let Err(e) = watched.await {
                tracing::debug!("HTTP server connection failed: {e}; it is closed");
            }
        });
    }
    drop(listener);
    if tokio::time::timeout(limits.drain_timeout, graceful.shutdown())
        .await
        .is_err()
    {
        tracing::warn!(
            "HTTP requests did not finish within the drain timeout; their connections are closed"
        );
    }
    connections.abort_all();
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(tokio::net::TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, permit))
}
