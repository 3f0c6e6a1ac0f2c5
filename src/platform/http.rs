//! JSON calls over the shared HTTP client.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;

use crate::adapter::http::{Answer, HttpClient, HttpError};

const JSON: (&str, &str) = ("content-type", "application/json");

/// Posts `body` as JSON, with further headers.
pub(super) async fn post<T: Serialize>(
    client: &HttpClient,
    path: &str,
    headers: &[(&str, &str)],
    body: &T,
    limit: Duration,
) -> Result<Answer, HttpError> {
    let bytes = serde_json::to_vec(body).map_err(|e| HttpError::NotSent(e.to_string()))?;
    let mut all = vec![JSON];
    all.extend_from_slice(headers);
    client
        .call_with(Method::POST, path, &all, Bytes::from(bytes), limit)
        .await
}

/// One client for each address.
pub(super) struct ClientPool {
    most_connections: usize,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

impl ClientPool {
    /// Clients with up to `most_connections` connections each.
    pub(super) fn new(most_connections: usize) -> Self {
        Self {
            most_connections,
            clients: Mutex::default(),
        }
    }

    /// The client for `address`.
    pub(super) fn get(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients
            .entry(address)
            .or_insert_with(|| Arc::new(HttpClient::new(address, self.most_connections)));
        client.clone()
    }
}
