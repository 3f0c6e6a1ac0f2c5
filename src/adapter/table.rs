//! The client of the platform's table over HTTP, with postcard-encoded bodies.

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

/// Maximum number of connections of a client to a service of the platform.
pub(super) const MAX_PLATFORM_CONNECTIONS: usize = 16;

/// The parameters of a scan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct ScanQuery {
    /// The prefix of the keys to read.
    pub prefix: String,
    /// The key after which the page starts; `None` for the first page.
    pub after: Option<String>,
}

/// A [`Table`] over HTTP.
pub struct HttpTable {
    client: HttpClient,
    timeout: Duration,
}

impl HttpTable {
    /// Creates a client of the table at `address`. Each call ends within `timeout`.
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

    async fn call<P: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        parameters: &P,
    ) -> Result<T, TableError> {
        let body =
            postcard::to_stdvec(parameters).map_err(|e| TableError::Invalid(e.to_string()))?;
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

/// Calls the platform and decodes the `Result` in the body of its response.
pub(super) async fn call_platform<T: DeserializeOwned>(
    client: &HttpClient,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<T, TableError> {
    let response = client
        .call(method, path, body, timeout)
        .await
        .map_err(|e| match e {
            HttpError::NotSent(cause) => TableError::Unavailable(cause),
            HttpError::NoResponse(cause) => TableError::Unanswered(cause),
        })?;
    if response.status != StatusCode::OK {
        return Err(TableError::Unavailable(format!(
            "status {}",
            response.status
        )));
    }
    postcard::from_bytes::<Result<T, TableError>>(&response.body)
        .map_err(|e| TableError::Unanswered(format!("unreadable answer: {e}")))?
}
