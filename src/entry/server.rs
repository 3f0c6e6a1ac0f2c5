//! The listener for callers and its connections.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};

use super::Body;
use super::admission::{AdmissionController, ServerPhase};
use super::handler::RequestHandler;
use super::limits::EntryLimits;
use super::problem::refusal_response;
use super::proxy::Proxy;
use crate::error::{Error, Refusal, Result};
use crate::metrics::Metrics;
use crate::node::api::JobService;
use crate::node::slots::SlotService;

/// Maximum number of connections beyond the limit whose requests are answered with a refusal;
/// further connections are closed at once.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// How long a connection beyond the limit is served.
const REFUSED_CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which expired idle connections to backend servers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Factor by which a request's head may exceed the limit on headers and still get a refusal that
/// describes the problem.
const HEAD_BUFFER_FACTOR: usize = 4;

/// The HTTP server for callers.
pub struct EntryServer {
    address: SocketAddr,
    admission: Arc<AdmissionController>,
    stop_grace: Duration,
    accept_task: JoinHandle<JoinSet<()>>,
}

/// The result of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStopReport {
    /// Number of requests that were aborted because they were still in progress at the deadline.
    pub aborted_requests: usize,
}

impl EntryServer {
    /// Starts to serve callers on `address`; port 0 selects a free port. Must be called within a
    /// tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the server cannot listen on the address.
    pub async fn listen(
        address: SocketAddr,
        limits: EntryLimits,
        jobs: Arc<dyn JobService>,
        slots: Arc<SlotService>,
    ) -> Result<Self> {
        Self::listen_with_metrics(address, limits, jobs, slots, Metrics::disabled()).await
    }

    /// Like [`Self::listen`], and sends `metrics` of the requests.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the server cannot listen on the address.
    pub async fn listen_with_metrics(
        address: SocketAddr,
        limits: EntryLimits,
        jobs: Arc<dyn JobService>,
        slots: Arc<SlotService>,
        metrics: Metrics,
    ) -> Result<Self> {
        let context = format!("listen for callers on {address}");
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(Error::io(context.clone()))?;
        let address = listener.local_addr().map_err(Error::io(context))?;
        let admission = AdmissionController::new(limits.concurrency);
        let stop_grace = limits.stop_grace;
        let handler = Arc::new(RequestHandler {
            jobs,
            proxy: Proxy::new(slots, limits.max_vms),
            admission: admission.clone(),
            limits,
            metrics,
            ready: OnceLock::new(),
        });
        let accept_task = tokio::spawn(accept(listener, handler));
        Ok(Self {
            address,
            admission,
            stop_grace,
            accept_task,
        })
    }

    /// Returns the address on which the server listens, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.admission.in_progress()
    }

    /// Returns the current limit on concurrent requests.
    pub fn concurrency_limit(&self) -> u32 {
        self.admission.limit()
    }

    /// Stops as planned: accepts no new connections, refuses new requests on the open ones, and
    /// waits up to `timeout` for the requests in progress.
    pub async fn stop(self, timeout: Duration) -> EntryStopReport {
        let deadline = Instant::now() + timeout;
        self.admission.set_phase(ServerPhase::Stopping);
        let mut connections = self.accept_task.await.unwrap_or_default();
        let graceful_stop = async {
            self.admission.wait_until_idle().await;
            // Requests that callers sent before they could notice the stop still get a refusal.
            tokio::time::sleep(self.stop_grace).await;
            self.admission.wait_until_idle().await;
            self.admission.set_phase(ServerPhase::Closing);
            while connections.join_next().await.is_some() {}
        };
        let result = tokio::time::timeout_at(deadline.into(), graceful_stop).await;
        let aborted_requests = match result {
            Ok(()) => 0,
            Err(_) => self.admission.in_progress(),
        };
        connections.shutdown().await;
        EntryStopReport { aborted_requests }
    }
}

/// Accepts connections until a planned stop; returns the open connections.
async fn accept(listener: TcpListener, handler: Arc<RequestHandler>) -> JoinSet<()> {
    let permits = Arc::new(Semaphore::new(handler.limits.max_connections as usize));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS));
    let mut connections = JoinSet::new();
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    let admission = handler.admission.clone();
    let mut stopping = pin!(admission.wait_for_phase(ServerPhase::Stopping));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    spawn_connection(stream, &handler, &permits, &refusals, &mut connections);
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a caller's connection; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            _ = sweep.tick() => handler.proxy.close_expired_connections(),
            () = &mut stopping => break,
        }
    }
    // Connections in the listener's backlog may already carry a request.
    while let Some(Ok((stream, _))) = ready_now(listener.accept()).await {
        spawn_connection(stream, &handler, &permits, &refusals, &mut connections);
    }
    connections
}

/// Returns the output of `future` if it is ready at once.
async fn ready_now<F: Future>(future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = std::future::ready(()) => None,
    }
}

/// Serves a connection, or refuses its requests if it is beyond the limit.
fn spawn_connection(
    stream: TcpStream,
    handler: &Arc<RequestHandler>,
    permits: &Arc<Semaphore>,
    refusals: &Arc<Semaphore>,
    connections: &mut JoinSet<()>,
) {
    if let Ok(permit) = permits.clone().try_acquire_owned() {
        connections.spawn(serve_connection(stream, handler.clone(), permit));
    } else if let Ok(permit) = refusals.clone().try_acquire_owned() {
        connections.spawn(refuse_connection(stream, handler.clone(), permit));
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<RequestHandler>,
    _permit: OwnedSemaphorePermit,
) {
    let request_handler = handler.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = request_handler.clone();
        async move { Ok::<Response<Body>, Infallible>(handler.handle(req).await) }
    });
    let builder = connection_builder(&handler.limits);
    let _ = stream.set_nodelay(true);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = handler.admission.wait_for_phase(ServerPhase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection of a caller fails; closing it");
    }
}

/// Refuses the requests of a connection beyond the limit.
async fn refuse_connection(
    stream: TcpStream,
    handler: Arc<RequestHandler>,
    _permit: OwnedSemaphorePermit,
) {
    let max_connections = handler.limits.max_connections;
    let service = service_fn(move |_: Request<Incoming>| {
        let reason = format!("this VM has {max_connections} connections already");
        let refusal = Refusal::not_run("too_many_connections", reason).retry_after(1_000);
        std::future::ready(Ok::<_, Infallible>(refusal_response(&refusal)))
    });
    let builder = connection_builder(&handler.limits);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(REFUSED_CONNECTION_TIMEOUT, connection).await;
}

fn connection_builder(limits: &EntryLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    // hyper itself refuses larger heads, without a description of the problem.
    let max_head_bytes = limits
        .max_header_bytes
        .saturating_mul(HEAD_BUFFER_FACTOR)
        .max(8 << 10);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(max_head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(max_head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.header_timeout);
    builder
}
