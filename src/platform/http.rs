//! JSON calls over the shared HTTP client.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;

use crate::adapter::http::{HttpClient, HttpError, HttpResponse};

const JSON_HEADER: (&str, &str) = ("content-type", "application/json");

/// Posts `body` as JSON, with additional headers.
pub(super) async fn post<T: Serialize>(
    client: &HttpClient,
    path: &str,
    headers: &[(&str, &str)],
    body: &T,
    timeout: Duration,
) -> Result<HttpResponse, HttpError> {
    let bytes = serde_json::to_vec(body).map_err(|e| HttpError::NotSent(e.to_string()))?;
    let mut all_headers = vec![JSON_HEADER];
    all_headers.extend_from_slice(headers);
    client
        .call_with_headers(
            Method::POST,
            path,
            &all_headers,
            Bytes::from(bytes),
            timeout,
        )
        .await
}

/// A pool of HTTP clients, one for each address.
pub(super) struct ClientPool {
    max_connections: usize,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

impl ClientPool {
    /// A pool of clients with up to `max_connections` connections each.
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            clients: Mutex::default(),
        }
    }

    /// The client for `address`, created at the first use.
    pub(super) fn get(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients
            .entry(address)
            .or_insert_with(|| Arc::new(HttpClient::new(address, self.max_connections)));
        client.clone()
    }
}
