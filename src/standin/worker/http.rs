//! The stand-in worker over HTTP.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use super::{StandinWorker, Switches};
use crate::adapter::http::{self, ResponseBody, ResponseDropped, ServerLimits, read_body};
use crate::adapter::running_list::{DeltaSyncRequest, DeltaSyncResponse};
use crate::port::worker::{SyncRequest, WorkerError};
use crate::standin::clock::Clock;
use crate::standin::journal::JournalFile;
use crate::standin::reply::{
    MAX_BODY_BYTES, answer, json, json_lines, merge, pause, postcard, wait_while,
};

/// How long the ticker sleeps while nothing runs.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

/// A worker that several connections share.
pub struct StandinWorkerServer {
    clock: Clock,
    worker: Mutex<StandinWorker>,
    /// The switches as the waiting calls see them.
    switches: watch::Sender<Switches>,
    /// Counts changes of the worker's state.
    changes: watch::Sender<u64>,
    file: Option<JournalFile>,
}

impl StandinWorkerServer {
    /// Shares `worker`, which boots now.
    pub fn new(worker: StandinWorker, file: Option<JournalFile>) -> Self {
        let server = Self {
            clock: Clock::start(),
            switches: watch::Sender::new(worker.switches().clone()),
            worker: Mutex::new(worker),
            changes: watch::Sender::new(0),
            file,
        };
        let now = server.clock.now();
        server.with(|worker| worker.boot(now));
        server
    }

    /// Uses the worker under its lock.
    pub fn with<T>(&self, f: impl FnOnce(&mut StandinWorker) -> T) -> T {
        let mut worker = self.lock();
        let before = worker.journal().len();
        let done = f(&mut worker);
        if let Some(file) = &self.file {
            file.append(&worker.journal()[before..]);
        }
        done
    }

    /// Changes the switches.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        let mut switches = self.switches.borrow().clone();
        change(&mut switches);
        self.set_switches(switches);
    }

    fn set_switches(&self, switches: Switches) {
        let now = self.clock.now();
        let kept = self.with(|worker| {
            worker.set_switches(switches, now);
            worker.switches().clone()
        });
        self.switches.send_replace(kept);
        self.changed();
    }

    fn lock(&self) -> MutexGuard<'_, StandinWorker> {
        self.worker.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Ends attempts when their time has come, for ever.
    async fn run_ticker(&self) {
        let mut changes = self.changes.subscribe();
        loop {
            let now = self.clock.now();
            let (next, ended) = self.with(|worker| {
                let before = worker.journal().len();
                worker.tick(now);
                (worker.next_event(), worker.journal().len() > before)
            });
            if ended {
                self.changed();
            }
            changes.mark_unchanged();
            let wake = match next {
                Some(at) => self.clock.instant(at),
                None => Instant::now() + IDLE_SLEEP,
            };
            tokio::select! {
                () = tokio::time::sleep_until(wake) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Does what `call` asks for, and holds the answer back as it allows.
    async fn sync(
        &self,
        listed: &DeltaSyncRequest<SyncRequest>,
    ) -> Result<DeltaSyncResponse, WorkerError> {
        let call = &listed.request;
        let deadline = Instant::now() + Duration::from_millis(call.wait_ms);
        let mut changes = self.changes.subscribe();
        let now = self.clock.now();
        let mut answer = self.with(|worker| worker.sync(call, now))?;
        self.changed();
        while answer.ended.is_empty() {
            let waited = tokio::time::timeout_at(deadline, changes.changed()).await;
            let now = self.clock.now();
            answer = self.with(|worker| {
                worker.tick(now);
                worker.response(call.epoch, now)
            })?;
            if waited.is_err() {
                break;
            }
        }
        Ok(self.with(|worker| worker.with_list_delta(listed.base, answer)))
    }

    fn loses_answer(&self) -> bool {
        let mut lost = false;
        self.switches.send_if_modified(|s| {
            lost = s.lose_next > 0;
            s.lose_next = s.lose_next.saturating_sub(1);
            false
        });
        lost
    }
}

/// Serves `worker` on `listener` until `stop`.
pub async fn serve(
    worker: Arc<StandinWorkerServer>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let shared = worker.clone();
    let handler = move |req| handle(shared.clone(), req);
    tokio::select! {
        () = worker.run_ticker() => {}
        () = http::serve(listener, ServerLimits::default(), handler, stop) => {}
    }
}

type Handled = Result<Response<ResponseBody>, ResponseDropped>;

async fn handle(worker: Arc<StandinWorkerServer>, req: Request<Incoming>) -> Handled {
    let (head, body) = req.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(answer(status, "")),
    };
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/sync") => {
            // A call goes on when its caller has gone: its effect may come late.
            let handled = tokio::spawn(async move { sync(&worker, body).await });
            handled.await.map_err(|_| ResponseDropped)?
        }
        (&Method::GET, "/journal") => Ok(worker.with(|worker| json_lines(worker.journal()))),
        (&Method::GET, "/switches") => Ok(worker.with(|worker| json(worker.switches()))),
        (&Method::POST, "/switches") => {
            let mut switches = worker.switches.borrow().clone();
            match merge(&mut switches, &body) {
                Ok(()) => {
                    worker.set_switches(switches);
                    Ok(answer(StatusCode::OK, ""))
                }
                Err(cause) => Ok(answer(StatusCode::BAD_REQUEST, cause)),
            }
        }
        _ => Ok(answer(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn sync(worker: &StandinWorkerServer, body: Bytes) -> Handled {
    let call: DeltaSyncRequest<SyncRequest> = match postcard::from_bytes(&body) {
        Ok(call) => call,
        Err(e) => return Ok(answer(StatusCode::BAD_REQUEST, e.to_string())),
    };
    let latency_ms = worker.switches.borrow().latency_ms;
    pause(latency_ms / 2).await;
    wait_while(&worker.switches, |s| s.hang).await;
    let done = worker.sync(&call).await;
    pause(latency_ms - latency_ms / 2).await;
    if worker.loses_answer() {
        return Err(ResponseDropped);
    }
    Ok(postcard(&done))
}
