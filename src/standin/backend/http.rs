//! The stand-in backend server over HTTP: a work listener and a control listener.

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

use super::answer::{Digest, pieces};
use super::{JournalEvent, StandinBackend};
use crate::adapter::http::{
    ResponseBody, ResponseDropped, ServerLimits, read_body, serve as serve_http, serve_with_guard,
};
use crate::standin::reply::{MAX_BODY_BYTES, answer, json, json_lines, merge, wait_while};

/// The header that says that a backend server is leaving.
const LEAVING: &str = "x-leaving";

/// Serves requests on `work` and the journal and switches on `control` until `stop`.
pub async fn serve(
    backend: Arc<StandinBackend>,
    work: TcpListener,
    control: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let (tx, rx) = watch::channel(false);
    let ended = |mut rx: watch::Receiver<bool>| async move {
        // An error means that the sender is gone, which ends the servers too.
        let _ = rx.wait_for(|ended| *ended).await;
    };
    let (gate, worker, controller) = (backend.clone(), backend.clone(), backend.clone());
    let on_work = serve_with_guard(
        work,
        ServerLimits::default(),
        move || Connection::open(&gate),
        move |req| handle_work(worker.clone(), req),
        ended(rx.clone()),
    );
    let on_control = serve_http(
        control,
        ServerLimits::default(),
        move |req| handle_control(controller.clone(), req),
        ended(rx),
    );
    let ending = async {
        stop.await;
        tx.send_replace(true);
    };
    tokio::join!(on_work, on_control, ending);
}

/// An open connection, counted.
struct Connection(Arc<StandinBackend>);

impl Connection {
    fn open(backend: &Arc<StandinBackend>) -> Option<Self> {
        if backend.switches.borrow().refuse_connections {
            return None;
        }
        backend.connections.fetch_add(1, Ordering::Relaxed);
        backend.note(JournalEvent::Connected, None, None);
        Some(Self(backend.clone()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request under way; it counts as cut unless it is marked as whole.
struct Work {
    backend: Arc<StandinBackend>,
    request: Option<String>,
    whole: bool,
}

impl Work {
    fn begin(backend: Arc<StandinBackend>, headers: &HeaderMap) -> Self {
        let request = text(headers, "x-request-id");
        backend.begin(request.clone(), text(headers, "idempotency-key"));
        Self {
            backend,
            request,
            whole: false,
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let event = if self.whole {
            JournalEvent::End
        } else {
            JournalEvent::Cut
        };
        self.backend.end(event, self.request.take());
    }
}

/// A streamed answer that ends its request when it was handed over or dropped.
struct Streamed<I> {
    work: Option<Work>,
    pieces: I,
    left: u64,
    cut_at: u64,
}

impl<I: Iterator<Item = Bytes> + Unpin> Body for Streamed<I> {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.left <= self.cut_at {
            self.work = None;
            return Poll::Ready(Some(Err(std::io::Error::other("cut"))));
        }
        let Some(piece) = self.pieces.next() else {
            self.work = None;
            return Poll::Ready(None);
        };
        self.left -= piece.len() as u64;
        if self.left == 0 && self.cut_at == 0 {
            if let Some(work) = &mut self.work {
                work.whole = true;
            }
            self.work = None;
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

type Handled = Result<Response<ResponseBody>, ResponseDropped>;

async fn handle_work(backend: Arc<StandinBackend>, req: Request<Incoming>) -> Handled {
    let (head, mut body) = req.into_parts();
    let mut work = Work::begin(backend.clone(), &head.headers);
    let mut digest = Digest::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResponseDropped)?;
        if let Some(piece) = frame.data_ref() {
            digest.update(piece);
        }
    }
    let work_ms: f64 = number(&head.headers, "x-work-ms");
    let answer_bytes: f64 = number(&head.headers, "x-answer-bytes");
    let factor = backend.switches.borrow().latency_factor;
    let busy = Duration::try_from_secs_f64(work_ms * factor / 1_000.0);
    tokio::time::sleep(busy.unwrap_or_default()).await;
    wait_while(&backend.switches, |s| s.hang).await;
    let switches = backend.switches.borrow().clone();
    if switches.fail {
        work.whole = true;
        return Ok(answer(
            StatusCode::INTERNAL_SERVER_ERROR,
            "switched to fail",
        ));
    }
    let line = digest.line(work.request.as_deref().unwrap_or(""));
    let left = (line.len() + answer_bytes as usize) as u64;
    let streamed = Streamed {
        work: Some(work),
        pieces: pieces(&line, answer_bytes as usize),
        left,
        cut_at: if switches.cut_answers { left / 2 } else { 0 },
    };
    let mut res = Response::new(streamed.boxed());
    if switches.leaving && switches.tells_leaving {
        res.headers_mut()
            .insert(LEAVING, HeaderValue::from_static("true"));
    }
    Ok(res)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> f64 {
    let value = text(headers, name).and_then(|value| value.parse().ok());
    value.unwrap_or(0.0)
}

async fn handle_control(backend: Arc<StandinBackend>, req: Request<Incoming>) -> Handled {
    let (head, body) = req.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(answer(status, "")),
    };
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/journal") => Ok(json_lines(&backend.journal())),
        (&Method::GET, "/switches") => Ok(json(&*backend.switches.borrow())),
        (&Method::POST, "/switches") => {
            let mut switches = backend.switches.borrow().clone();
            match merge(&mut switches, &body) {
                Ok(()) => {
                    backend.update_switches(|s| *s = switches);
                    Ok(answer(StatusCode::OK, ""))
                }
                Err(cause) => Ok(answer(StatusCode::BAD_REQUEST, cause)),
            }
        }
        _ => Ok(answer(StatusCode::NOT_FOUND, "no such path")),
    }
}
