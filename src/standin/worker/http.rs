//! HTTP interface of the stand-in worker.

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
use crate::standin::clock::JournalClock;
use crate::standin::journal::JournalFile;
use crate::standin::response::{
    MAX_BODY_BYTES, json_lines_response, json_response, merge_json, postcard_response, response,
    sleep_ms, wait_while,
};

/// How long the ticker sleeps while no attempt runs.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

/// Stand-in worker, shared by its connections.
pub struct StandinWorkerServer {
    clock: JournalClock,
    worker: Mutex<StandinWorker>,
    /// Copy of the worker's switches, on which waiting requests are notified.
    switches: watch::Sender<Switches>,
    /// Incremented after each change of the worker's state.
    state_version: watch::Sender<u64>,
    journal_file: Option<JournalFile>,
}

impl StandinWorkerServer {
    /// Boots `worker` and makes it available to its connections. The journal is also appended to
    /// `journal_file`.
    pub fn new(worker: StandinWorker, journal_file: Option<JournalFile>) -> Self {
        let server = Self {
            clock: JournalClock::start(),
            switches: watch::Sender::new(worker.switches().clone()),
            worker: Mutex::new(worker),
            state_version: watch::Sender::new(0),
            journal_file,
        };
        let now = server.clock.now();
        server.with(|worker| worker.boot(now));
        server
    }

    /// Calls `f` with the worker while holding its lock, then appends new journal entries to the
    /// file.
    pub fn with<T>(&self, f: impl FnOnce(&mut StandinWorker) -> T) -> T {
        let mut worker = self.lock();
        let before = worker.journal().len();
        let result = f(&mut worker);
        if let Some(file) = &self.journal_file {
            file.append(&worker.journal()[before..]);
        }
        result
    }

    /// Updates the switches with `change`.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        let mut switches = self.switches.borrow().clone();
        change(&mut switches);
        self.set_switches(switches);
    }

    fn set_switches(&self, switches: Switches) {
        let now = self.clock.now();
        let switches = self.with(|worker| {
            worker.set_switches(switches, now);
            worker.switches().clone()
        });
        self.switches.send_replace(switches);
        self.notify_change();
    }

    fn lock(&self) -> MutexGuard<'_, StandinWorker> {
        self.worker.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn notify_change(&self) {
        self.state_version.send_modify(|version| *version += 1);
    }

    /// Ends attempts at their deadlines; never returns.
    async fn run_ticker(&self) {
        let mut changes = self.state_version.subscribe();
        loop {
            let now = self.clock.now();
            let (next, ended) = self.with(|worker| {
                let before = worker.journal().len();
                worker.tick(now);
                (worker.next_deadline(), worker.journal().len() > before)
            });
            if ended {
                self.notify_change();
            }
            changes.mark_unchanged();
            let wake_at = match next {
                Some(deadline) => self.clock.instant(deadline),
                None => Instant::now() + IDLE_SLEEP,
            };
            tokio::select! {
                () = tokio::time::sleep_until(wake_at) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Handles a request; delays the response for up to `wait_ms` until an attempt has ended.
    async fn sync(
        &self,
        delta_request: &DeltaSyncRequest<SyncRequest>,
    ) -> Result<DeltaSyncResponse, WorkerError> {
        let request = &delta_request.request;
        let deadline = Instant::now() + Duration::from_millis(request.wait_ms);
        let mut changes = self.state_version.subscribe();
        let now = self.clock.now();
        let mut response = self.with(|worker| worker.sync(request, now))?;
        self.notify_change();
        while response.ended.is_empty() {
            let wait_result = tokio::time::timeout_at(deadline, changes.changed()).await;
            let now = self.clock.now();
            response = self.with(|worker| {
                worker.tick(now);
                worker.response(request.epoch, now)
            })?;
            if wait_result.is_err() {
                break;
            }
        }
        Ok(self.with(|worker| worker.with_list_delta(delta_request.base, response)))
    }

    fn should_drop_response(&self) -> bool {
        let mut lost = false;
        self.switches.send_if_modified(|s| {
            lost = s.lose_next > 0;
            s.lose_next = s.lose_next.saturating_sub(1);
            false
        });
        lost
    }
}

/// Serves `worker` on `listener` until `stop` completes.
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

type HandlerResult = Result<Response<ResponseBody>, ResponseDropped>;

async fn handle(worker: Arc<StandinWorkerServer>, req: Request<Incoming>) -> HandlerResult {
    let (head, body) = req.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(response(status, "")),
    };
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/sync") => {
            // A request is handled even if its client has disconnected: its effect may come late.
            let result = tokio::spawn(async move { sync(&worker, body).await });
            result.await.map_err(|_| ResponseDropped)?
        }
        (&Method::GET, "/journal") => {
            Ok(worker.with(|worker| json_lines_response(worker.journal())))
        }
        (&Method::GET, "/switches") => Ok(worker.with(|worker| json_response(worker.switches()))),
        (&Method::POST, "/switches") => {
            let mut switches = worker.switches.borrow().clone();
            match merge_json(&mut switches, &body) {
                Ok(()) => {
                    worker.set_switches(switches);
                    Ok(response(StatusCode::OK, ""))
                }
                Err(cause) => Ok(response(StatusCode::BAD_REQUEST, cause)),
            }
        }
        _ => Ok(response(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn sync(worker: &StandinWorkerServer, body: Bytes) -> HandlerResult {
    let request: DeltaSyncRequest<SyncRequest> = match postcard::from_bytes(&body) {
        Ok(request) => request,
        Err(e) => return Ok(response(StatusCode::BAD_REQUEST, e.to_string())),
    };
    let latency_ms = worker.switches.borrow().latency_ms;
    sleep_ms(latency_ms / 2).await;
    wait_while(&worker.switches, |s| s.hang).await;
    let result = worker.sync(&request).await;
    sleep_ms(latency_ms - latency_ms / 2).await;
    if worker.should_drop_response() {
        return Err(ResponseDropped);
    }
    Ok(postcard_response(&result))
}
