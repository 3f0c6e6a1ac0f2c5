//! The listener and its connections.

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
use super::gate::{Gate, Phase};
use super::handle::Shared;
use super::limits::EntryLimits;
use super::problem::refuse;
use super::proxy::Proxy;
use crate::error::{Error, Refusal, Result};
use crate::metrics::Metrics;
use crate::node::api::JobService;
use crate::node::slots::SlotService;

/// The most connections beyond the limit that are told so; more are closed at once.
const MAX_REFUSED: usize = 64;

/// How long a connection beyond the limit is served.
const REFUSED_TIME: Duration = Duration::from_secs(2);

/// How long to wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often idle connections to backend servers are looked through.
const SWEEP: Duration = Duration::from_secs(2);

/// How much larger than the limit on headers a head may be and still get a described refusal.
const HEADER_SLACK: usize = 4;

/// The callers' listener.
pub struct EntryServer {
    address: SocketAddr,
    gate: Arc<Gate>,
    stop_grace: Duration,
    accepting: JoinHandle<JoinSet<()>>,
}

/// How a planned stop went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStopReport {
    /// Requests that were still in progress at the deadline and were cut off.
    pub aborted_requests: usize,
}

impl EntryServer {
    /// Listens on `address`; port 0 stands for a free one. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] where the address cannot be used.
    pub async fn listen(
        address: SocketAddr,
        limits: EntryLimits,
        jobs: Arc<dyn JobService>,
        slots: Arc<SlotService>,
    ) -> Result<Self> {
        Self::listen_with_metrics(address, limits, jobs, slots, Metrics::disabled()).await
    }

    /// Listens like [`Self::listen`] and sends `metrics` of the calls.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] where the address cannot be used.
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
        let gate = Gate::new(limits.concurrency);
        let stop_grace = limits.stop_grace;
        let shared = Arc::new(Shared {
            jobs,
            proxy: Proxy::new(slots, limits.max_vms),
            gate: gate.clone(),
            limits,
            metrics,
            ready: OnceLock::new(),
        });
        let accepting = tokio::spawn(accept(listener, shared));
        Ok(Self {
            address,
            gate,
            stop_grace,
            accepting,
        })
    }

    /// Where the entry listens, with its real port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests in progress.
    pub fn in_progress(&self) -> usize {
        self.gate.in_progress()
    }

    /// The present limit on requests at once.
    pub fn concurrency_limit(&self) -> u32 {
        self.gate.limit()
    }

    /// Stops: accepts no connection, refuses new requests on those that are open, and waits
    /// up to `deadline` for the requests in progress.
    pub async fn stop(self, deadline: Duration) -> EntryStopReport {
        let until = Instant::now() + deadline;
        self.gate.set_phase(Phase::Stopping);
        let mut connections = self.accepting.await.unwrap_or_default();
        let finished = async {
            self.gate.emptied().await;
            // A request that was sent before the caller could know is still refused properly.
            tokio::time::sleep(self.stop_grace).await;
            self.gate.emptied().await;
            self.gate.set_phase(Phase::Closing);
            while connections.join_next().await.is_some() {}
        };
        let in_time = tokio::time::timeout_at(until.into(), finished).await;
        let aborted_requests = match in_time {
            Ok(()) => 0,
            Err(_) => self.gate.in_progress(),
        };
        connections.shutdown().await;
        EntryStopReport { aborted_requests }
    }
}

/// Accepts connections until the listener stops; returns those that are open.
async fn accept(listener: TcpListener, shared: Arc<Shared>) -> JoinSet<()> {
    let permits = Arc::new(Semaphore::new(shared.limits.max_connections as usize));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSED));
    let mut connections = JoinSet::new();
    let mut sweep = tokio::time::interval(SWEEP);
    let gate = shared.gate.clone();
    let mut stopping = pin!(gate.reached(Phase::Stopping));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    admit(stream, &shared, &permits, &refusals, &mut connections);
                }
                Err(error) => {
                    tracing::warn!(%error, "a caller's connection was not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            _ = sweep.tick() => shared.proxy.close_old(),
            () = &mut stopping => break,
        }
    }
    // Connections that wait to be accepted may carry a request already.
    while let Some(Ok((stream, _))) = ready_now(listener.accept()).await {
        admit(stream, &shared, &permits, &refusals, &mut connections);
    }
    connections
}

/// The output of `future` if it is ready at once.
async fn ready_now<F: Future>(future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = std::future::ready(()) => None,
    }
}

fn admit(
    stream: TcpStream,
    shared: &Arc<Shared>,
    permits: &Arc<Semaphore>,
    refusals: &Arc<Semaphore>,
    connections: &mut JoinSet<()>,
) {
    if let Ok(permit) = permits.clone().try_acquire_owned() {
        connections.spawn(serve(stream, shared.clone(), permit));
    } else if let Ok(permit) = refusals.clone().try_acquire_owned() {
        connections.spawn(refuse_connection(stream, shared.clone(), permit));
    }
}

/// Serves one connection.
async fn serve(stream: TcpStream, shared: Arc<Shared>, _permit: OwnedSemaphorePermit) {
    let handler = shared.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let shared = handler.clone();
        async move { Ok::<Response<Body>, Infallible>(shared.handle(req).await) }
    });
    let builder = builder(&shared.limits);
    let _ = stream.set_nodelay(true);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = shared.gate.reached(Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a caller's connection broke");
    }
}

/// Tells a caller that there are too many connections.
async fn refuse_connection(stream: TcpStream, shared: Arc<Shared>, _permit: OwnedSemaphorePermit) {
    let most = shared.limits.max_connections;
    let service = service_fn(move |_: Request<Incoming>| {
        let reason = format!("this VM has {most} connections already");
        let refusal = Refusal::not_run("too_many_connections", reason).retry_after(1_000);
        std::future::ready(Ok::<_, Infallible>(refuse(&refusal)))
    });
    let builder = builder(&shared.limits);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(REFUSED_TIME, connection).await;
}

fn builder(limits: &EntryLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    // hyper refuses larger heads by itself, without a description.
    let most = limits
        .max_header_bytes
        .saturating_mul(HEADER_SLACK)
        .max(8 << 10);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(most);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(most).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.header_timeout);
    builder
}
