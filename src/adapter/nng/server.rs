//! The server for requests of other VMs.

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

/// Maximum number of requests that a server handles concurrently. Further requests wait in their
/// connections.
pub const MAX_CONCURRENT_REQUESTS: usize = 256;

/// How long [`NngServer::close`] waits for requests in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Replies to requests of other VMs over nng.
///
/// See [`NngPeerClient`](super::NngPeerClient) for an example.
#[derive(Debug)]
pub struct NngServer {
    socket: Socket,
    address: SocketAddr,
    stop_tx: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl NngServer {
    /// Listens on `address` and passes requests that carry `secret` to `handler`. Port 0 selects a
    /// free port. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`] if the server cannot listen on the address.
    pub fn listen(address: SocketAddr, secret: &str, handler: SharedPeerHandler) -> Result<Self> {
        let failed = |error: nng::Error| Error::Peer(format!("listen on {address}: {error}"));
        let socket = open().map_err(failed)?;
        let secret: Arc<str> = secret.into();
        let contexts: nng::Result<Vec<AsyncContext>> = (0..MAX_CONCURRENT_REQUESTS)
            .map(|_| AsyncContext::open(&socket))
            .collect();
        let (stop_tx, stop_rx) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for context in contexts.map_err(failed)? {
            let stop_rx = stop_rx.clone();
            tasks.spawn(serve(context, secret.clone(), handler.clone(), stop_rx));
        }
        let listener = Listener::new(&socket, &super::url(address)).map_err(failed)?;
        let address = bound_address(&listener, address).map_err(failed)?;
        Ok(Self {
            socket,
            address,
            stop_tx,
            tasks,
        })
    }

    /// Returns the address that the server listens on, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, waits up to 500 ms for requests in progress, and closes all connections.
    /// Requests that are still in progress then get no reply.
    pub async fn close(mut self) {
        self.stop_tx.send_replace(true);
        let ended = async { while self.tasks.join_next().await.is_some() {} };
        if tokio::time::timeout(CLOSE_TIMEOUT, ended).await.is_err() {
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

fn bound_address(listener: &Listener, requested: SocketAddr) -> nng::Result<SocketAddr> {
    let address = match listener.get_opt::<LocalAddr>()? {
        // nng returns the port in network byte order.
        nng::SocketAddr::Inet(v4) => SocketAddr::new(IpAddr::V4(*v4.ip()), u16::from_be(v4.port())),
        nng::SocketAddr::Inet6(v6) => {
            SocketAddr::new(IpAddr::V6(*v6.ip()), u16::from_be(v6.port()))
        }
        _ => requested,
    };
    Ok(address)
}

/// Replies to requests on one context until the server stops.
async fn serve(
    mut context: AsyncContext,
    secret: Arc<str>,
    handler: SharedPeerHandler,
    mut stop_rx: watch::Receiver<bool>,
) {
    loop {
        let stop = async {
            let _ = stop_rx.wait_for(|stopped| *stopped).await;
        };
        let message = match context.recv_until(stop).await {
            Some(Ok(message)) => message,
            None | Some(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
            Some(Err(error)) => {
                tracing::debug!(
                    %error,
                    "cannot receive a request of a peer; waiting for the next one"
                );
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
        match context.send(&reply, None).await {
            Err(nng::Error::Closed) => return,
            Err(error) => tracing::debug!(%error, "cannot send a reply to a peer; it is dropped"),
            Ok(()) => {}
        }
    }
}

/// Handles a request in its own task, so that a panic fails only this request.
async fn handle(handler: &SharedPeerHandler, request: Request) -> Reply {
    let handler = handler.clone();
    let handled = tokio::spawn(async move { handler.handle(request).await });
    handled.await.unwrap_or_else(|error| {
        tracing::error!(
            %error,
            "the handler of a peer's request failed; replying that the outcome is unknown"
        );
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

/// Encodes a rejection without the secret, because the sender may not know it.
fn encode_rejection(error: &CodecError) -> Vec<u8> {
    tracing::warn!(%error, "rejected a message of a peer; replying with the reason");
    codec::encode("", Err::<Reply, _>(error.to_string())).unwrap_or_default()
}
