//! Connections to backend servers.
//!
//! A connection is made only on a granted slot and carries one request at a time, so there are
//! never more connections under way than slots. Idle ones are kept up to this VM's part of the
//! connections that the backend server accepts beyond twice its slots.

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

/// How long an idle connection is kept; backend servers commonly close theirs later.
const IDLE: Duration = Duration::from_secs(4);

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to a backend server; dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body>,
    address: SocketAddr,
    /// Whether a request was answered on it before.
    pub(super) reused: bool,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Connections to backend servers that are not in use.
#[derive(Debug)]
pub(super) struct Backends {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    max_vms: u32,
}

impl Backends {
    /// No connections yet; `max_vms` VMs share what each backend server accepts.
    pub(super) fn new(max_vms: u32) -> Self {
        Self {
            idle: Mutex::default(),
            max_vms: max_vms.max(1),
        }
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    ///
    /// Returns the cause where the backend server cannot be reached; nothing was sent.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> std::io::Result<Connection> {
        while let Some(mut connection) = self.take_idle(address) {
            let ready = connection.sender.ready();
            if let Ok(Ok(())) = tokio::time::timeout_at(deadline.into(), ready).await {
                return Ok(connection);
            }
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        tokio::time::timeout_at(until.into(), open(address)).await?
    }

    /// Keeps a connection whose answer was read to its end, if there is room for it.
    pub(super) fn keep(&self, mut connection: Connection, backend: &BackendConfig) {
        let room = max_idle_connections(backend, self.max_vms);
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let mut idle = self.idle();
        let kept = idle.entry(connection.address).or_default();
        let now = Instant::now();
        kept.retain(|one| now.saturating_duration_since(one.since) < IDLE);
        if kept.len() < room as usize {
            kept.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes connections that were idle for long.
    pub(super) fn close_old(&self) {
        let now = Instant::now();
        self.idle().retain(|_, kept| {
            kept.retain(|one| now.saturating_duration_since(one.since) < IDLE);
            !kept.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        let kept = idle.get_mut(&address)?;
        while let Some(one) = kept.pop() {
            let fresh = one.since.elapsed() < IDLE;
            if fresh && !one.connection.sender.is_closed() {
                return Some(one.connection);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = shaken.map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%error, "a connection to a backend server broke");
        }
    });
    Ok(Connection {
        sender,
        address,
        reused: false,
        task: task.abort_handle(),
    })
}
