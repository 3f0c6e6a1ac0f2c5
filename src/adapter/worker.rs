//! The workers' control interface over HTTP, with postcard bodies.

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

/// Clients of workers, with two kept connections each: one for calls with commands, one for calls
/// without, which the worker may hold back.
pub struct HttpWorkerClient {
    timeout: Duration,
    traffic: Arc<TrafficCounter>,
    clients: Mutex<HashMap<SocketAddr, Arc<Connections>>>,
}

struct Connections {
    commands: HttpClient,
    polls: HttpClient,
    held: Mutex<Arc<CachedRunningList>>,
}

impl Connections {
    fn new(address: SocketAddr, traffic: &Arc<TrafficCounter>) -> Self {
        Self {
            commands: HttpClient::new(address, 1).with_traffic(traffic.clone()),
            polls: HttpClient::new(address, 1).with_traffic(traffic.clone()),
            held: Mutex::default(),
        }
    }

    fn held(&self) -> MutexGuard<'_, Arc<CachedRunningList>> {
        self.held.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Completes an answer from the list that its call named, and holds the newer of both lists.
    fn complete(
        &self,
        named: &CachedRunningList,
        listed: DeltaSyncResponse,
    ) -> Result<SyncResponse, WorkerError> {
        let completed = named.complete(listed);
        let mut held = self.held();
        match &completed {
            Ok(answer) if held.is_older_than(answer) => {
                *held = Arc::new(CachedRunningList::from_response(answer))
            }
            Ok(_) => {}
            // The next call asks for the whole list.
            Err(_) => *held = Arc::default(),
        }
        completed.map_err(|e| WorkerError::Unreachable(e.to_string()))
    }

    fn of(&self, call: &SyncRequest) -> &HttpClient {
        if call.wait_ms > 0 {
            &self.polls
        } else {
            &self.commands
        }
    }
}

impl HttpWorkerClient {
    /// Makes clients whose calls end within `timeout` beyond the time that a call itself asks the
    /// worker to wait.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            traffic: Arc::default(),
            clients: Mutex::new(HashMap::new()),
        }
    }

    /// Counts what goes over the connections in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Closes the connections to all workers but those at `addresses`.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        let mut clients = self.clients.lock().unwrap_or_else(|e| e.into_inner());
        clients.retain(|address, _| addresses.contains(address));
    }

    fn connections(&self, address: SocketAddr) -> Arc<Connections> {
        let mut clients = self.clients.lock().unwrap_or_else(|e| e.into_inner());
        clients
            .entry(address)
            .or_insert_with(|| Arc::new(Connections::new(address, &self.traffic)))
            .clone()
    }
}

impl WorkerClient for HttpWorkerClient {
    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        call: &'a SyncRequest,
    ) -> BoxFuture<'a, Result<SyncResponse, WorkerError>> {
        Box::pin(async move {
            let connections = self.connections(worker.address);
            let held = connections.held().clone();
            let listed = DeltaSyncRequest {
                base: held.version(),
                request: call,
            };
            let body = postcard::to_stdvec(&listed)
                .map_err(|e| WorkerError::Refused(format!("unwritable call: {e}")))?;
            let limit = self.timeout + Duration::from_millis(call.wait_ms);
            let answer = connections
                .of(call)
                .call(Method::POST, "/sync", Bytes::from(body), limit)
                .await
                .map_err(|e: HttpError| WorkerError::Unreachable(e.to_string()))?;
            if answer.status != StatusCode::OK {
                return Err(WorkerError::Unreachable(format!(
                    "status {}",
                    answer.status
                )));
            }
            let answered =
                postcard::from_bytes::<Result<DeltaSyncResponse, WorkerError>>(&answer.body)
                    .map_err(|e| WorkerError::Unreachable(format!("unreadable answer: {e}")))?;
            connections.complete(&held, answered?)
        })
    }
}
