//! An HTTP/1.1 client for one address, with kept connections.

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

use crate::adapter::traffic::{Counted, TrafficCounter};

/// The longest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The request did not leave this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part, and no whole answer came.
    #[error("no answer: {0}")]
    NoResponse(String),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A client for one address, with a bounded number of connections that are kept open.
pub struct HttpClient {
    address: SocketAddr,
    authorization: Option<HeaderValue>,
    traffic: Arc<TrafficCounter>,
    permits: Semaphore,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl HttpClient {
    /// Makes a client for `address` that opens up to `max_connections` connections; further calls
    /// wait for a free one within their own timeout.
    pub fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self {
            address,
            authorization: None,
            traffic: Arc::default(),
            permits: Semaphore::new(max_connections),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends `value` as the `Authorization` header of each request; it is kept out of logs.
    #[must_use]
    pub fn with_authorization(mut self, mut value: HeaderValue) -> Self {
        value.set_sensitive(true);
        self.authorization = Some(value);
        self
    }

    /// Counts what goes over the connections in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.traffic = traffic;
        self
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole answer, all within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotSent`] only if nothing was sent.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        self.call_with_headers(method, path, &[], body, limit).await
    }

    /// Like [`HttpClient::call`], with headers.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotSent`] only if nothing was sent.
    pub async fn call_with_headers(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let deadline = tokio::time::Instant::now() + limit;
        let permit = tokio::time::timeout_at(deadline, self.permits.acquire())
            .await
            .map_err(|_| HttpError::NotSent("no free connection in time".to_owned()))?;
        let _permit = permit.map_err(|e| HttpError::NotSent(e.to_string()))?;
        let mut req = self.request(method, path, headers, body)?;
        loop {
            let (mut sender, kept) = match self.take_idle() {
                Some(sender) => (sender, true),
                None => (self.connect(remaining(deadline)).await?, false),
            };
            let sent = timeout(remaining(deadline), sender.try_send_request(req)).await;
            match sent {
                Err(_) => return Err(no_answer("timeout")),
                Ok(Ok(res)) => {
                    let answer = timeout(remaining(deadline), read_answer(res))
                        .await
                        .map_err(|_| no_answer("timeout"))??;
                    self.traffic.count_exchange();
                    self.keep(sender);
                    return Ok(answer);
                }
                Ok(Err(mut failed)) => match failed.take_message() {
                    Some(unsent) if kept => req = unsent,
                    Some(_) => return Err(HttpError::NotSent(failed.error().to_string())),
                    None => return Err(no_answer(failed.error())),
                },
            }
        }
    }

    fn request(
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
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        while let Some(sender) = idle.pop() {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        idle.push(sender);
    }

    async fn connect(&self, limit: Duration) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        let not_sent = |e: &dyn std::fmt::Display| HttpError::NotSent(e.to_string());
        let stream = timeout(limit, TcpStream::connect(self.address))
            .await
            .map_err(|_| HttpError::NotSent("connect timeout".to_owned()))?
            .map_err(|e| not_sent(&e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let stream = Counted::new(stream, self.traffic.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!("connection ended: {e}");
            }
        });
        Ok(sender)
    }
}

fn remaining(deadline: tokio::time::Instant) -> Duration {
    deadline.saturating_duration_since(tokio::time::Instant::now())
}

fn no_answer(cause: impl std::fmt::Display) -> HttpError {
    HttpError::NoResponse(cause.to_string())
}

async fn read_answer(
    res: hyper::Response<hyper::body::Incoming>,
) -> Result<HttpResponse, HttpError> {
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(no_answer)?
        .to_bytes();
    Ok(HttpResponse { status, body })
}
