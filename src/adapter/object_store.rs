//! The client of the platform's object store over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use super::http::HttpClient;
use super::table::{MAX_PLATFORM_CONNECTIONS, call_platform};
use super::traffic::TrafficCounter;
use crate::port::BoxFuture;
use crate::port::object_store::ObjectStore;
use crate::port::table::TableError;

/// An [`ObjectStore`] over HTTP.
pub struct HttpObjectStore {
    client: HttpClient,
    timeout: Duration,
}

impl HttpObjectStore {
    /// Creates a client of the store at `address`. Each call ends within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, MAX_PLATFORM_CONNECTIONS),
            timeout,
        }
    }

    /// Counts the bytes and exchanges of the connections in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.client = self.client.with_traffic(traffic);
        self
    }
}

impl ObjectStore for HttpObjectStore {
    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            call_platform(&self.client, Method::PUT, &path, bytes.into(), self.timeout).await
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, TableError>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            let empty = Bytes::new();
            call_platform(&self.client, Method::GET, &path, empty, self.timeout).await
        })
    }

    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            let empty = Bytes::new();
            call_platform(&self.client, Method::DELETE, &path, empty, self.timeout).await
        })
    }
}
