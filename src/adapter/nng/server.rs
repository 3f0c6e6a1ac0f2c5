//! Requests of other VMs.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use nng::options::transport::tcp::NoDelay;
use nng::options::{LocalAddr, Options, RecvMaxSize};
use nng::{Listener, Protocol, Socket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::codec::{self, CodecError, MAX_MESSAGE_BYTES};
use super::context::AsyncContext;
use crate::error::{Error, Refusal, Result};
use crate::message::{Reply, Request};
use crate::port::peer::SharedPeerHandler;

/// The most requests that a server works on at once; more wait in their connections.
pub const MAX_CONCURRENT_REQUESTS: usize = 256;

/// How long a closing server waits for requests under way.
const CLOSE: Duration = Duration::from_millis(500);

/// Answers requests of other VMs over nng.
///
/// See [`NngPeerClient`](super::NngPeerClient) for an example.
#[derive(Debug)]
pub struct NngServer {
    socket: Socket,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl NngServer {
    /// Listens on `address` and answers requests that carry `secret` with `handler`; port 0 stands
    /// for a free one. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`] where the address cannot be used.
    pub fn listen(address: SocketAddr, secret: &str, handler: SharedPeerHandler) -> Result<Self> {
        let failed = |error: nng::Error| Error::Peer(format!("listen on {address}: {error}"));
        let socket = open().map_err(failed)?;
        let secret: Arc<str> = secret.into();
        let lanes: nng::Result<Vec<AsyncContext>> = (0..MAX_CONCURRENT_REQUESTS)
            .map(|_| AsyncContext::open(&socket))
            .collect();
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for lane in lanes.map_err(failed)? {
            let stopped = stopped.clone();
            tasks.spawn(serve(lane, secret.clone(), handler.clone(), stopped));
        }
        let listener = Listener::new(&socket, &super::url(address)).map_err(failed)?;
        let address = bound_address(&listener, address).map_err(failed)?;
        Ok(Self {
            socket,
            address,
            stop,
            tasks,
        })
    }

    /// Where the server listens, with its real port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections; requests under way get no reply.
    pub async fn close(mut self) {
        self.stop.send_replace(true);
        let ended = async { while self.tasks.join_next().await.is_some() {} };
        if tokio::time::timeout(CLOSE, ended).await.is_err() {
            self.tasks.shutdown().await;
        }
        self.socket.close();
    }
}

fn open() -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Rep0)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.set_opt::<NoDelay>(true)?;
    Ok(socket)
}

fn bound_address(listener: &Listener, asked: SocketAddr) -> nng::Result<SocketAddr> {
    let address = match listener.get_opt::<LocalAddr>()? {
        // nng hands the port over in network byte order.
        nng::SocketAddr::Inet(v4) => SocketAddr::new(IpAddr::V4(*v4.ip()), u16::from_be(v4.port())),
        nng::SocketAddr::Inet6(v6) => {
            SocketAddr::new(IpAddr::V6(*v6.ip()), u16::from_be(v6.port()))
        }
        _ => asked,
    };
    Ok(address)
}

/// Answers requests on one context until the server stops.
async fn serve(
    mut lane: AsyncContext,
    secret: Arc<str>,
    handler: SharedPeerHandler,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let stop = async {
            let _ = stopped.wait_for(|stopped| *stopped).await;
        };
        let message = match lane.recv_until(stop).await {
            Some(Ok(message)) => message,
            None | Some(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
            Some(Err(error)) => {
                tracing::debug!(%error, "a request of a peer was not received");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let request = codec::decode::<Request>(&secret, &message);
        drop(message);
        let reply = match request {
            Ok(request) => encode_reply(&secret, handle(&handler, request).await),
            Err(error) => encode_rejection(&error),
        };
        match lane.send(&reply, None).await {
            Err(nng::Error::Closed) => return,
            Err(error) => tracing::debug!(%error, "a reply to a peer was not sent"),
            Ok(()) => {}
        }
    }
}

/// Handles a request in a task of its own, so that a panic costs this one request only.
async fn handle(handler: &SharedPeerHandler, request: Request) -> Reply {
    let handler = handler.clone();
    let handled = tokio::spawn(async move { handler.handle(request).await });
    handled.await.unwrap_or_else(|error| {
        tracing::error!(%error, "the handler of a peer's request failed");
        let reason = "the VM failed while it handled the request";
        Reply::Refused(Refusal::unknown("internal", reason))
    })
}

fn encode_reply(secret: &str, reply: Reply) -> Vec<u8> {
    codec::encode(secret, Ok::<_, String>(reply)).unwrap_or_else(|error| {
        let refusal = Refusal::unknown("reply_too_large", error.to_string());
        let reply = Ok::<_, String>(Reply::Refused(refusal));
        codec::encode(secret, reply).unwrap_or_default()
    })
}

/// Encodes a rejection, without the secret, which the sender may not know.
fn encode_rejection(error: &CodecError) -> Vec<u8> {
    tracing::warn!(%error, "rejected a message of a peer");
    codec::encode("", Err::<Reply, _>(error.to_string())).unwrap_or_default()
}
