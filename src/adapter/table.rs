//! The platform's table over HTTP, with postcard bodies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::http::{HttpClient, HttpError};
use super::traffic::TrafficCounter;
use crate::port::BoxFuture;
use crate::port::table::{Row, Table, TableError, Txn};

/// Connections that one process keeps to a service of the platform.
pub(super) const PLATFORM_CONNECTIONS: usize = 16;

/// What a scan asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct ScanQuery {
    /// The prefix of the keys.
    pub prefix: String,
    /// The key after which the page begins.
    pub after: Option<String>,
}

/// A client of the platform's table.
pub struct HttpTable {
    client: HttpClient,
    timeout: Duration,
}

impl HttpTable {
    /// Makes a client of the table at `address`; each call ends within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, PLATFORM_CONNECTIONS),
            timeout,
        }
    }

    /// Counts what goes over the connections in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.client = self.client.with_traffic(traffic);
        self
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<A, TableError> {
        let body = postcard::to_stdvec(query).map_err(|e| TableError::Invalid(e.to_string()))?;
        call_platform(&self.client, Method::POST, path, body.into(), self.timeout).await
    }
}

impl Table for HttpTable {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(self.call("/table/commit", txn))
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move { self.call("/table/read", &key).await })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        let query = ScanQuery {
            prefix: prefix.to_owned(),
            after: after.map(str::to_owned),
        };
        Box::pin(async move { self.call("/table/scan", &query).await })
    }
}

/// Calls the platform and decodes its `Result` from the answer.
pub(super) async fn call_platform<A: DeserializeOwned>(
    client: &HttpClient,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<A, TableError> {
    let answer = client
        .call(method, path, body, timeout)
        .await
        .map_err(|e| match e {
            HttpError::NotSent(cause) => TableError::Unavailable(cause),
            HttpError::NoResponse(cause) => TableError::Unanswered(cause),
        })?;
    if answer.status != StatusCode::OK {
        return Err(TableError::Unavailable(format!("status {}", answer.status)));
    }
    postcard::from_bytes::<Result<A, TableError>>(&answer.body)
        .map_err(|e| TableError::Unanswered(format!("unreadable answer: {e}")))?
}
