//! An HTTP/1.1 client for one address, with a pool of persistent connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::adapter::traffic::{CountedStream, TrafficCounter};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// At least a part of the request was sent, and no complete response arrived. The outcome is
    /// unknown.
    #[error("no answer: {0}")]
    NoResponse(String),
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A client for one address, with a bounded number of persistent connections.
pub struct HttpClient {
    address: SocketAddr,
    authorization: Option<HeaderValue>,
    traffic: Arc<TrafficCounter>,
    permits: Semaphore,
    idle_connections: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl HttpClient {
    /// Creates a client for `address` that opens up to `max_connections` connections. Further calls
    /// wait for a free connection within their own timeout.
    pub fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self {
            address,
            authorization: None,
            traffic: Arc::default(),
            permits: Semaphore::new(max_connections),
            idle_connections: Mutex::new(Vec::new()),
        }
    }

    /// Sends `value` as the `Authorization` header of each request. The value is marked as
    /// sensitive and does not appear in logs.
    #[must_use]
    pub fn with_authorization(mut self, mut value: HeaderValue) -> Self {
        value.set_sensitive(true);
        self.authorization = Some(value);
        self
    }

    /// Counts the bytes and exchanges of the connections in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the complete response, all within `call_timeout`.
    ///
    /// # Errors
    ///
    /// See [`HttpError`]. [`HttpError::NotSent`] means that no part of the request was sent.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        self.call_with_headers(method, path, &[], body, call_timeout)
            .await
    }

    /// Like [`HttpClient::call`], with additional headers.
    ///
    /// # Errors
    ///
    /// See [`HttpError`]. [`HttpError::NotSent`] means that no part of the request was sent.
    pub async fn call_with_headers(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let deadline = tokio::time::Instant::now() + call_timeout;
        let permit = tokio::time::timeout_at(deadline, self.permits.acquire())
            .await
            .map_err(|_| HttpError::NotSent("no free connection in time".to_owned()))?;
        let _permit = permit.map_err(|e| HttpError::NotSent(e.to_string()))?;
        let mut req = self.build_request(method, path, headers, body)?;
        loop {
            let (mut sender, reused) = match self.take_idle() {
                Some(sender) => (sender, true),
                None => (self.connect(remaining(deadline)).await?, false),
            };
            let sent = timeout(remaining(deadline), sender.try_send_request(req)).await;
            match sent {
                Err(_) => return Err(no_response("timeout")),
                Ok(Ok(res)) => {
                    let response = timeout(remaining(deadline), read_response(res))
                        .await
                        .map_err(|_| no_response("timeout"))??;
                    self.traffic.count_exchange();
                    self.return_idle(sender);
                    return Ok(response);
                }
                Ok(Err(mut failed)) => match failed.take_message() {
                    // The server closed the idle connection; the request is sent on another one.
                    Some(unsent) if reused => req = unsent,
                    Some(_) => return Err(HttpError::NotSent(failed.error().to_string())),
                    None => return Err(no_response(failed.error())),
                },
            }
        }
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.address.to_string());
        if let Some(authorization) = &self.authorization {
            req = req.header(hyper::header::AUTHORIZATION, authorization);
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        req.body(Full::new(body))
            .map_err(|e| HttpError::NotSent(e.to_string()))
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self
            .idle_connections
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        while let Some(sender) = idle.pop() {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn return_idle(&self, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self
            .idle_connections
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        idle.push(sender);
    }

    async fn connect(
        &self,
        connect_timeout: Duration,
    ) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        let not_sent = |e: &dyn std::fmt::Display| HttpError::NotSent(e.to_string());
        let stream = timeout(connect_timeout, TcpStream::connect(self.address))
            .await
            .map_err(|_| HttpError::NotSent("connect timeout".to_owned()))?
            .map_err(|e| not_sent(&e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let stream = CountedStream::new(stream, self.traffic.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(
                    "HTTP client connection failed: {e}; later requests use another connection"
                );
            }
        });
        Ok(sender)
    }
}

fn remaining(deadline: tokio::time::Instant) -> Duration {
    deadline.saturating_duration_since(tokio::time::Instant::now())
}

fn no_response(cause: impl std::fmt::Display) -> HttpError {
    HttpError::NoResponse(cause.to_string())
}

async fn read_response(
    res: hyper::Response<hyper::body::Incoming>,
) -> Result<HttpResponse, HttpError> {
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(no_response)?
        .to_bytes();
    Ok(HttpResponse { status, body })
}
