//! HTTP interface of the stand-in backend server: one listener for requests and one for control.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::response::{BodyDigest, response_chunks};
use super::{JournalEvent, StandinBackend};
use crate::adapter::http::{
    ResponseBody, ResponseDropped, ServerLimits, read_body, serve as serve_http, serve_with_guard,
};
use crate::standin::response::{
    MAX_BODY_BYTES, json_lines_response, json_response, merge_json, response, wait_while,
};

/// Response header by which a backend server reports that it is draining.
const LEAVING_HEADER: &str = "x-leaving";

/// Serves requests on `requests`, and the journal and the switches on `control`, until `stop`
/// completes.
pub async fn serve(
    backend: Arc<StandinBackend>,
    requests: TcpListener,
    control: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let (tx, rx) = watch::channel(false);
    let stopped = |mut rx: watch::Receiver<bool>| async move {
        // An error means that the sender was dropped, which stops the servers too.
        let _ = rx.wait_for(|stopped| *stopped).await;
    };
    let (for_connections, for_requests, for_control) =
        (backend.clone(), backend.clone(), backend.clone());
    let request_server = serve_with_guard(
        requests,
        ServerLimits::default(),
        move || OpenConnection::open(&for_connections),
        move |req| handle_request(for_requests.clone(), req),
        stopped(rx.clone()),
    );
    let control_server = serve_http(
        control,
        ServerLimits::default(),
        move |req| handle_control(for_control.clone(), req),
        stopped(rx),
    );
    let stopping = async {
        stop.await;
        tx.send_replace(true);
    };
    tokio::join!(request_server, control_server, stopping);
}

/// An open connection, counted until it is dropped.
struct OpenConnection(Arc<StandinBackend>);

impl OpenConnection {
    fn open(backend: &Arc<StandinBackend>) -> Option<Self> {
        if backend.switches.borrow().refuse_connections {
            return None;
        }
        backend.connections.fetch_add(1, Ordering::Relaxed);
        backend.record(JournalEvent::Connected, None, None);
        Some(Self(backend.clone()))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request in flight. When dropped, it is recorded as cut unless it is marked as complete.
struct ActiveRequest {
    backend: Arc<StandinBackend>,
    id: Option<String>,
    complete: bool,
}

impl ActiveRequest {
    fn begin(backend: Arc<StandinBackend>, headers: &HeaderMap) -> Self {
        let id = header_text(headers, "x-request-id");
        backend.begin_request(id.clone(), header_text(headers, "idempotency-key"));
        Self {
            backend,
            id,
            complete: false,
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let event = if self.complete {
            JournalEvent::End
        } else {
            JournalEvent::Cut
        };
        self.backend.end_request(event, self.id.take());
    }
}

/// Body of a streamed response. Its request ends when the body was sent, failed or was dropped.
struct ResponseStream<I> {
    request: Option<ActiveRequest>,
    chunks: I,
    remaining: u64,
    /// The body fails once at most this many bytes remain; 0 for never.
    abort_at: u64,
}

impl<I: Iterator<Item = Bytes> + Unpin> Body for ResponseStream<I> {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.remaining <= self.abort_at {
            self.request = None;
            return Poll::Ready(Some(Err(std::io::Error::other("cut"))));
        }
        let Some(chunk) = self.chunks.next() else {
            self.request = None;
            return Poll::Ready(None);
        };
        self.remaining -= chunk.len() as u64;
        if self.remaining == 0 && self.abort_at == 0 {
            if let Some(request) = &mut self.request {
                request.complete = true;
            }
            self.request = None;
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}

type HandlerResult = Result<Response<ResponseBody>, ResponseDropped>;

async fn handle_request(backend: Arc<StandinBackend>, req: Request<Incoming>) -> HandlerResult {
    let (head, mut body) = req.into_parts();
    let mut request = ActiveRequest::begin(backend.clone(), &head.headers);
    let mut digest = BodyDigest::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResponseDropped)?;
        if let Some(chunk) = frame.data_ref() {
            digest.update(chunk);
        }
    }
    let work_ms: f64 = header_number(&head.headers, "x-work-ms");
    let response_bytes: f64 = header_number(&head.headers, "x-answer-bytes");
    let factor = backend.switches.borrow().latency_factor;
    let work_time = Duration::try_from_secs_f64(work_ms * factor / 1_000.0);
    tokio::time::sleep(work_time.unwrap_or_default()).await;
    wait_while(&backend.switches, |s| s.hang).await;
    let switches = backend.switches.borrow().clone();
    if switches.fail {
        request.complete = true;
        return Ok(response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "switched to fail",
        ));
    }
    let first_line = digest.first_line(request.id.as_deref().unwrap_or(""));
    let remaining = (first_line.len() + response_bytes as usize) as u64;
    let stream = ResponseStream {
        request: Some(request),
        chunks: response_chunks(&first_line, response_bytes as usize),
        remaining,
        abort_at: if switches.cut_answers {
            remaining / 2
        } else {
            0
        },
    };
    let mut res = Response::new(stream.boxed());
    if switches.leaving && switches.tells_leaving {
        res.headers_mut()
            .insert(LEAVING_HEADER, HeaderValue::from_static("true"));
    }
    Ok(res)
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn header_number(headers: &HeaderMap, name: &str) -> f64 {
    let value = header_text(headers, name).and_then(|value| value.parse().ok());
    value.unwrap_or(0.0)
}

async fn handle_control(backend: Arc<StandinBackend>, req: Request<Incoming>) -> HandlerResult {
    let (head, body) = req.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(response(status, "")),
    };
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/journal") => Ok(json_lines_response(&backend.journal())),
        (&Method::GET, "/switches") => Ok(json_response(&*backend.switches.borrow())),
        (&Method::POST, "/switches") => {
            let mut switches = backend.switches.borrow().clone();
            match merge_json(&mut switches, &body) {
                Ok(()) => {
                    backend.update_switches(|s| *s = switches);
                    Ok(response(StatusCode::OK, ""))
                }
                Err(cause) => Ok(response(StatusCode::BAD_REQUEST, cause)),
            }
        }
        _ => Ok(response(StatusCode::NOT_FOUND, "no such path")),
    }
}
