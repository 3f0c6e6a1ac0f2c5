//! Requests to other VMs.

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

/// The most requests under way to one VM.
const MAX_REQUESTS_PER_PEER: usize = 64;

/// The most VMs to which connections are kept.
const MAX_PEERS: usize = 256;

/// How long a connection without requests is kept.
const IDLE: Duration = Duration::from_secs(60);

const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_millis(200);

/// Sends requests to other VMs over nng.
///
/// Connections are made on first use, made again when they break, and given up when unused. A
/// request is never sent twice by itself: where the connection breaks after sending, the call ends as
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
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

#[derive(Debug)]
struct Peer {
    socket: Socket,
    permits: Arc<Semaphore>,
    free: Mutex<Vec<AsyncContext>>,
    used: Mutex<Instant>,
}

impl NngPeerClient {
    /// Peers that share `secret`.
    pub fn new(secret: &str) -> Self {
        Self {
            secret: secret.into(),
            traffic: Arc::default(),
            peers: Mutex::default(),
        }
    }

    /// Counts the messages in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.traffic = traffic;
        self
    }

    fn peer(&self, address: SocketAddr) -> Result<Arc<Peer>, PeerError> {
        let now = Instant::now();
        let mut peers = lock(&self.peers);
        if let Some(peer) = peers.get(&address) {
            *lock(&peer.used) = now;
            return Ok(peer.clone());
        }
        peers.retain(|_, peer| peer.is_wanted(now));
        if peers.len() >= MAX_PEERS {
            let reason = format!("connections to {MAX_PEERS} VMs are in use");
            return Err(PeerError::NotSent(reason));
        }
        let peer = Arc::new(Peer::dial(address, now).map_err(not_sent)?);
        peers.insert(address, peer.clone());
        Ok(peer)
    }
}

impl NngPeerClient {
    /// Gives up a connection that may deliver nothing more; the next request makes another.
    fn hang_up(&self, address: SocketAddr, used: &Arc<Peer>) {
        let mut peers = lock(&self.peers);
        if peers
            .get(&address)
            .is_some_and(|peer| Arc::ptr_eq(peer, used))
        {
            peers.remove(&address);
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
            let peer = self.peer(address)?;
            let secret = self.secret.clone();
            let traffic = self.traffic.clone();
            let used = peer.clone();
            // The exchange outlives a caller that stops waiting, so that its lane is free of
            // operations when it is used again.
            let exchange =
                tokio::spawn(
                    async move { peer.exchange(&secret, &bytes, deadline, &traffic).await },
                );
            let lost = |error| PeerError::NoReply(format!("the exchange ended: {error}"));
            let result = exchange.await.map_err(lost)?;
            if matches!(result, Err(PeerError::NoReply(_))) {
                self.hang_up(address, &used);
            }
            result
        })
    }
}

impl Peer {
    fn dial(address: SocketAddr, now: Instant) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        // Without a resend time nng never repeats a request by itself.
        socket.set_opt::<ResendTime>(None)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        socket.set_opt::<NoDelay>(true)?;
        socket.dial_async(&super::url(address))?;
        Ok(Self {
            socket,
            permits: Arc::new(Semaphore::new(MAX_REQUESTS_PER_PEER)),
            free: Mutex::default(),
            used: Mutex::new(now),
        })
    }

    fn is_wanted(&self, now: Instant) -> bool {
        let in_use = self.permits.available_permits() < MAX_REQUESTS_PER_PEER;
        in_use || now.saturating_duration_since(*lock(&self.used)) < IDLE
    }

    async fn exchange(
        &self,
        secret: &str,
        bytes: &[u8],
        deadline: Instant,
        traffic: &TrafficCounter,
    ) -> Result<Reply, PeerError> {
        let busy =
            |_| PeerError::NotSent(format!("{MAX_REQUESTS_PER_PEER} requests are under way"));
        let acquire = self.permits.clone().acquire_owned();
        let acquired = tokio::time::timeout_at(deadline.into(), acquire).await;
        let _permit = acquired.map_err(busy)?;
        let free = lock(&self.free).pop();
        let mut lane = match free {
            Some(lane) => lane,
            None => AsyncContext::open(&self.socket).map_err(not_sent)?,
        };
        let sent = lane.send(bytes, Some(left(deadline))).await;
        let received = match sent {
            Ok(()) => Some(lane.recv(Some(left(deadline))).await),
            Err(_) => None,
        };
        lock(&self.free).push(lane);
        sent.map_err(not_sent)?;
        let no_reply = |error: nng::Error| PeerError::NoReply(error.to_string());
        let message = received
            .unwrap_or(Err(nng::Error::Canceled))
            .map_err(no_reply)?;
        traffic.count_bytes(bytes.len() + message.len());
        traffic.count_exchange();
        read_reply(secret, &message)
    }
}

/// Reads a reply, or the reason for which the peer rejected the request.
fn read_reply(secret: &str, bytes: &[u8]) -> Result<Reply, PeerError> {
    match codec::decode::<Result<Reply, String>>(secret, bytes) {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(reason)) => Err(PeerError::Rejected(reason)),
        // A peer of another version rejects what this process sends.
        Err(error @ CodecError::Version(_)) => Err(PeerError::Rejected(error.to_string())),
        Err(CodecError::Secret) => read_rejection(bytes),
        Err(error) => Err(PeerError::NoReply(error.to_string())),
    }
}

/// Reads a rejection by a peer that does not share the secret.
fn read_rejection(bytes: &[u8]) -> Result<Reply, PeerError> {
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

/// The time left until `deadline`; at least 1 ms, since nng reads zero as no timeout at all.
fn left(deadline: Instant) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    left.max(Duration::from_millis(1))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
