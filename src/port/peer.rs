//! Messages between the system's own processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::BoxFuture;
use crate::message::{Reply, Request};

/// Why a peer gave no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The request did not leave this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No reply came in time; the peer may have acted.
    #[error("no reply: {0}")]
    NoReply(String),
    /// The peer speaks another version or could not read the request; it did not act.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// Sends requests to other VMs.
pub trait PeerClient: Send + Sync + 'static {
    /// Sends `request` to the VM at `address` and waits up to `timeout` for the reply.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; only [`PeerError::NoReply`] leaves the effect open.
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Reply, PeerError>>;
}

/// Answers requests of other VMs.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply>;
}

/// Shared access to peers.
pub type SharedPeerClient = Arc<dyn PeerClient>;

/// A shared handler.
pub type SharedPeerHandler = Arc<dyn PeerHandler>;
