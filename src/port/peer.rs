//! Messages between VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::BoxFuture;
use crate::message::{Reply, Request};

/// Why a request to another VM got no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No valid reply arrived in time. The outcome is unknown: the peer may have handled the
    /// request.
    #[error("no reply: {0}")]
    NoReply(String),
    /// The peer rejected the request and did not handle it: its protocol version or its secret
    /// differs, or it could not decode the request.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// Sends requests to other VMs.
pub trait PeerClient: Send + Sync + 'static {
    /// Sends `request` to the VM at `address` and waits up to `timeout` for the reply.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]. Only after [`PeerError::NoReply`] is the outcome unknown.
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Reply, PeerError>>;
}

/// Handles requests of other VMs.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one request and returns the reply.
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply>;
}

/// Shared access to a peer client.
pub type SharedPeerClient = Arc<dyn PeerClient>;

/// Shared access to a handler.
pub type SharedPeerHandler = Arc<dyn PeerHandler>;
