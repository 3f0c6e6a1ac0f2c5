//! Pool of connections to backend servers.
//!
//! A connection is opened only for a granted slot and carries one request at a time, so that there
//! are never more connections in use than slots. Idle connections are kept up to this VM's share
//! of the connections that the backend server accepts beyond twice its slots.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::Body;
use super::limits::max_idle_connections;
use crate::config::BackendConfig;

/// How long an idle connection is kept. Backend servers commonly close idle connections later.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to a backend server; dropping it closes it.
#[derive(Debug)]
pub(super) struct BackendConnection {
    pub(super) sender: SendRequest<Body>,
    address: SocketAddr,
    /// Whether a response was received on the connection before.
    pub(super) reused: bool,
    task: AbortHandle,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

/// The idle connections to backend servers.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    max_vms: u32,
}

impl ConnectionPool {
    /// Creates an empty pool; `max_vms` VMs share the connections that each backend server accepts.
    pub(super) fn new(max_vms: u32) -> Self {
        Self {
            idle: Mutex::default(),
            max_vms: max_vms.max(1),
        }
    }

    /// Takes an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if the backend server cannot be reached; nothing was sent.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> std::io::Result<BackendConnection> {
        while let Some(mut connection) = self.take_idle(address) {
            let ready = connection.sender.ready();
            if let Ok(Ok(())) = tokio::time::timeout_at(deadline.into(), ready).await {
                return Ok(connection);
            }
        }
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        tokio::time::timeout_at(connect_deadline.into(), open(address)).await?
    }

    /// Puts a connection back after its response was read to the end; closes it if the pool has
    /// the maximum number of idle connections to the backend server.
    pub(super) fn put_back(&self, mut connection: BackendConnection, backend: &BackendConfig) {
        let max_idle = max_idle_connections(backend, self.max_vms);
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let mut idle = self.idle();
        let connections = idle.entry(connection.address).or_default();
        let now = Instant::now();
        connections.retain(|idle| now.saturating_duration_since(idle.since) < IDLE_TIMEOUT);
        if connections.len() < max_idle as usize {
            connections.push(IdleConnection {
                connection,
                since: now,
            });
        }
    }

    /// Closes the connections whose idle timeout has passed.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        self.idle().retain(|_, connections| {
            connections.retain(|idle| now.saturating_duration_since(idle.since) < IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<BackendConnection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            let is_fresh = candidate.since.elapsed() < IDLE_TIMEOUT;
            if is_fresh && !candidate.connection.sender.is_closed() {
                return Some(candidate.connection);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr) -> std::io::Result<BackendConnection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%error, "connection to a backend server fails; closing it");
        }
    });
    Ok(BackendConnection {
        sender,
        address,
        reused: false,
        task: task.abort_handle(),
    })
}
