//! The client of the workers' control interface over HTTP, with postcard-encoded bodies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::http::{HttpClient, HttpError};
use super::running_list::{CachedRunningList, DeltaSyncRequest, DeltaSyncResponse};
use super::traffic::TrafficCounter;
use crate::model::WorkerInfo;
use crate::port::BoxFuture;
use crate::port::worker::{SyncRequest, SyncResponse, WorkerClient, WorkerError};

/// A [`WorkerClient`] over HTTP.
///
/// Each worker has two persistent connections: one for requests with commands, and one for long
/// polls, so that a pending long poll does not delay commands.
pub struct HttpWorkerClient {
    timeout: Duration,
    traffic: Arc<TrafficCounter>,
    connections: Mutex<HashMap<SocketAddr, Arc<WorkerConnections>>>,
}

struct WorkerConnections {
    commands: HttpClient,
    long_polls: HttpClient,
    cached_list: Mutex<Arc<CachedRunningList>>,
}

impl WorkerConnections {
    fn new(address: SocketAddr, traffic: &Arc<TrafficCounter>) -> Self {
        Self {
            commands: HttpClient::new(address, 1).with_traffic(traffic.clone()),
            long_polls: HttpClient::new(address, 1).with_traffic(traffic.clone()),
            cached_list: Mutex::default(),
        }
    }

    fn cached_list(&self) -> MutexGuard<'_, Arc<CachedRunningList>> {
        self.cached_list.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Completes a response with `base`, the list that its request named, and caches the completed
    /// list if it is newer than the cached one.
    fn complete(
        &self,
        base: &CachedRunningList,
        delta: DeltaSyncResponse,
    ) -> Result<SyncResponse, WorkerError> {
        let completed = base.complete(delta);
        let mut cached = self.cached_list();
        match &completed {
            Ok(response) if cached.is_older_than(response) => {
                *cached = Arc::new(CachedRunningList::from_response(response))
            }
            Ok(_) => {}
            // The next request asks for a snapshot.
            Err(_) => *cached = Arc::default(),
        }
        completed.map_err(|e| WorkerError::Unreachable(e.to_string()))
    }

    fn client_for(&self, request: &SyncRequest) -> &HttpClient {
        if request.wait_ms > 0 {
            &self.long_polls
        } else {
            &self.commands
        }
    }
}

impl HttpWorkerClient {
    /// Creates a client whose requests end within `timeout`, plus the time that the worker may wait
    /// before it responds.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            traffic: Arc::default(),
            connections: Mutex::new(HashMap::new()),
        }
    }

    /// Counts the bytes and exchanges of the connections in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Closes the connections to all workers except those at `addresses`.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        connections.retain(|address, _| addresses.contains(address));
    }

    fn connections_to(&self, address: SocketAddr) -> Arc<WorkerConnections> {
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        connections
            .entry(address)
            .or_insert_with(|| Arc::new(WorkerConnections::new(address, &self.traffic)))
            .clone()
    }
}

impl WorkerClient for HttpWorkerClient {
    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> BoxFuture<'a, Result<SyncResponse, WorkerError>> {
        Box::pin(async move {
            let connections = self.connections_to(worker.address);
            let base = connections.cached_list().clone();
            let delta_request = DeltaSyncRequest {
                base: base.version(),
                request,
            };
            let body = postcard::to_stdvec(&delta_request)
                .map_err(|e| WorkerError::Refused(format!("unwritable call: {e}")))?;
            let timeout = self.timeout + Duration::from_millis(request.wait_ms);
            let response = connections
                .client_for(request)
                .call(Method::POST, "/sync", Bytes::from(body), timeout)
                .await
                .map_err(|e: HttpError| WorkerError::Unreachable(e.to_string()))?;
            if response.status != StatusCode::OK {
                return Err(WorkerError::Unreachable(format!(
                    "status {}",
                    response.status
                )));
            }
            let decoded =
                postcard::from_bytes::<Result<DeltaSyncResponse, WorkerError>>(&response.body)
                    .map_err(|e| WorkerError::Unreachable(format!("unreadable answer: {e}")))?;
            connections.complete(&base, decoded?)
        })
    }
}
