//! The client for requests to other VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nng::options::protocol::reqrep::ResendTime;
use nng::options::transport::tcp::NoDelay;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Protocol, Socket};
use tokio::sync::Semaphore;

use super::codec::{self, CodecError, MAX_MESSAGE_BYTES};
use super::context::AsyncContext;
use crate::adapter::traffic::TrafficCounter;
use crate::message::{Reply, Request};
use crate::port::BoxFuture;
use crate::port::peer::{PeerClient, PeerError};

/// Maximum number of requests in flight to one VM.
const MAX_REQUESTS_PER_PEER: usize = 64;

/// Maximum number of VMs with an open connection.
const MAX_PEERS: usize = 256;

/// How long a connection without requests stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_millis(200);

/// A [`PeerClient`] over nng.
///
/// Connections are opened on first use, reopened when they break, and closed when idle. A request
/// is never retried automatically: if the connection breaks after sending, the call fails with
/// [`PeerError::NoReply`].
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use chestnutlug::adapter::nng::{NngPeerClient, NngServer};
/// use chestnutlug::message::{Reply, Request};
/// use chestnutlug::port::BoxFuture;
/// use chestnutlug::port::peer::{PeerHandler, PeerClient};
///
/// struct Status;
/// impl PeerHandler for Status {
///     fn handle(&self, _: Request) -> BoxFuture<'_, Reply> {
///         Box::pin(async { Reply::Status("{}".to_owned()) })
///     }
/// }
///
/// # #[tokio::main(flavor = "multi_thread")]
/// # async fn main() {
/// let any_port = "127.0.0.1:0".parse().unwrap();
/// let server = NngServer::listen(any_port, "secret", Arc::new(Status)).unwrap();
/// let peers = NngPeerClient::new("secret");
/// let reply = peers.call(server.address(), &Request::Status, Duration::from_secs(5)).await;
/// assert_eq!(reply, Ok(Reply::Status("{}".to_owned())));
/// server.close().await;
/// # }
/// ```
#[derive(Debug)]
pub struct NngPeerClient {
    secret: Arc<str>,
    traffic: Arc<TrafficCounter>,
    connections: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

#[derive(Debug)]
struct Connection {
    socket: Socket,
    permits: Arc<Semaphore>,
    idle_contexts: Mutex<Vec<AsyncContext>>,
    last_used: Mutex<Instant>,
}

impl NngPeerClient {
    /// Creates a client that authenticates with `secret`.
    pub fn new(secret: &str) -> Self {
        Self {
            secret: secret.into(),
            traffic: Arc::default(),
            connections: Mutex::default(),
        }
    }

    /// Counts exchanges and message bytes in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.traffic = traffic;
        self
    }

    fn connection(&self, address: SocketAddr) -> Result<Arc<Connection>, PeerError> {
        let now = Instant::now();
        let mut connections = lock(&self.connections);
        if let Some(connection) = connections.get(&address) {
            *lock(&connection.last_used) = now;
            return Ok(connection.clone());
        }
        connections.retain(|_, connection| connection.is_active(now));
        if connections.len() >= MAX_PEERS {
            let reason = format!("connections to {MAX_PEERS} VMs are in use");
            return Err(PeerError::NotSent(reason));
        }
        let connection = Arc::new(Connection::dial(address, now).map_err(not_sent)?);
        connections.insert(address, connection.clone());
        Ok(connection)
    }
}

impl NngPeerClient {
    /// Evicts a connection that may no longer deliver messages; the next request opens a new one.
    fn evict(&self, address: SocketAddr, failed: &Arc<Connection>) {
        let mut connections = lock(&self.connections);
        if connections
            .get(&address)
            .is_some_and(|connection| Arc::ptr_eq(connection, failed))
        {
            connections.remove(&address);
        }
    }
}

impl PeerClient for NngPeerClient {
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Reply, PeerError>> {
        Box::pin(async move {
            let deadline = Instant::now() + timeout;
            let encoded = codec::encode(&self.secret, request);
            let bytes = encoded.map_err(|error| PeerError::NotSent(error.to_string()))?;
            let connection = self.connection(address)?;
            let secret = self.secret.clone();
            let traffic = self.traffic.clone();
            let used = connection.clone();
            // The exchange runs in its own task, so that it completes even if this future is
            // dropped, and returns its context to the pool with no operation in progress.
            let exchange = tokio::spawn(async move {
                connection
                    .exchange(&secret, &bytes, deadline, &traffic)
                    .await
            });
            let aborted = |error| PeerError::NoReply(format!("the exchange ended: {error}"));
            let result = exchange.await.map_err(aborted)?;
            if matches!(result, Err(PeerError::NoReply(_))) {
                self.evict(address, &used);
            }
            result
        })
    }
}

impl Connection {
    fn dial(address: SocketAddr, now: Instant) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        // Without a resend time, nng never retries a request on its own.
        socket.set_opt::<ResendTime>(None)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        socket.set_opt::<NoDelay>(true)?;
        socket.dial_async(&super::url(address))?;
        Ok(Self {
            socket,
            permits: Arc::new(Semaphore::new(MAX_REQUESTS_PER_PEER)),
            idle_contexts: Mutex::default(),
            last_used: Mutex::new(now),
        })
    }

    /// Whether a request is in flight or the idle timeout has not passed.
    fn is_active(&self, now: Instant) -> bool {
        let in_flight = self.permits.available_permits() < MAX_REQUESTS_PER_PEER;
        in_flight || now.saturating_duration_since(*lock(&self.last_used)) < IDLE_TIMEOUT
    }

    async fn exchange(
        &self,
        secret: &str,
        bytes: &[u8],
        deadline: Instant,
        traffic: &TrafficCounter,
    ) -> Result<Reply, PeerError> {
        let timed_out =
            |_| PeerError::NotSent(format!("{MAX_REQUESTS_PER_PEER} requests are under way"));
        let acquire = self.permits.clone().acquire_owned();
        let acquired = tokio::time::timeout_at(deadline.into(), acquire).await;
        let _permit = acquired.map_err(timed_out)?;
        let idle = lock(&self.idle_contexts).pop();
        let mut context = match idle {
            Some(context) => context,
            None => AsyncContext::open(&self.socket).map_err(not_sent)?,
        };
        let sent = context.send(bytes, Some(remaining(deadline))).await;
        let received = match sent {
            Ok(()) => Some(context.recv(Some(remaining(deadline))).await),
            Err(_) => None,
        };
        lock(&self.idle_contexts).push(context);
        sent.map_err(not_sent)?;
        let no_reply = |error: nng::Error| PeerError::NoReply(error.to_string());
        let message = received
            .unwrap_or(Err(nng::Error::Canceled))
            .map_err(no_reply)?;
        traffic.count_bytes(bytes.len() + message.len());
        traffic.count_exchange();
        decode_reply(secret, &message)
    }
}

/// Decodes a reply, or the reason why the peer rejected the request.
fn decode_reply(secret: &str, bytes: &[u8]) -> Result<Reply, PeerError> {
    match codec::decode::<Result<Reply, String>>(secret, bytes) {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(reason)) => Err(PeerError::Rejected(reason)),
        // A peer with another protocol version rejects the requests of this process.
        Err(error @ CodecError::Version(_)) => Err(PeerError::Rejected(error.to_string())),
        Err(CodecError::Secret) => decode_rejection(bytes),
        Err(error) => Err(PeerError::NoReply(error.to_string())),
    }
}

/// Decodes a rejection from a peer with another secret; such a rejection has an empty secret.
fn decode_rejection(bytes: &[u8]) -> Result<Reply, PeerError> {
    match codec::decode::<Result<Reply, String>>("", bytes) {
        Ok(Err(reason)) => Err(PeerError::Rejected(reason)),
        _ => Err(PeerError::NoReply(
            "the reply carries a wrong secret".to_owned(),
        )),
    }
}

fn not_sent(error: nng::Error) -> PeerError {
    PeerError::NotSent(error.to_string())
}

/// Returns the time until `deadline`, at least 1 ms, because nng treats zero as no timeout.
fn remaining(deadline: Instant) -> Duration {
    let remaining = deadline.saturating_duration_since(Instant::now());
    remaining.max(Duration::from_millis(1))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
