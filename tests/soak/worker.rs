//! Stand-ins of workers that run tasks under leases and reject requests with an old fencing token.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use chestnutlug::adapter::http::{
    ResponseBody, ResponseDropped, ServerLimits, full_body, read_body, serve,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::checker::{InvariantChecker, TaskSpec};

/// The cores of a worker, in thousandths.
pub const CAPACITY_CPU_MILLI: u32 = 8_000;

/// The maximum lease, in milliseconds.
pub const MAX_LEASE_MS: u64 = 6_000;

/// The interval between two checks for runs that end.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The delay before a delayed request takes effect.
const REQUEST_DELAY: Duration = Duration::from_millis(1_500);

struct Run {
    number: u64,
    spec: TaskSpec,
    started_at: Instant,
}

struct EndedRun {
    sequence: u64,
    task: String,
    run: u64,
    end: &'static str,
}

/// The state of a worker process, which a restart discards.
struct ProcessState {
    boot: u64,
    started_at: Instant,
    fencing_token: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The number of the last run of each task that has ended or was stopped.
    last_runs: BTreeMap<String, u64>,
    ended_runs: Vec<EndedRun>,
    last_sequence: u64,
}

impl ProcessState {
    fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            boot: u64::try_from(since_epoch.unwrap().as_millis()).unwrap(),
            started_at: Instant::now(),
            fencing_token: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            last_runs: BTreeMap::new(),
            ended_runs: Vec::new(),
            last_sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        // The clock does not start at 0, and runs 2 % slow.
        1_000 + u64::try_from(self.started_at.elapsed().as_millis()).unwrap() * 98 / 100
    }

    fn end_run(&mut self, task: &str, end: &'static str) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.last_sequence += 1;
        let last_run = self.last_runs.entry(task.to_owned()).or_default();
        *last_run = (*last_run).max(run.number);
        self.ended_runs.push(EndedRun {
            sequence: self.last_sequence,
            task: task.to_owned(),
            run: run.number,
            end,
        });
    }
}

pub struct Worker {
    index: usize,
    pub name: String,
    pub address: SocketAddr,
    /// The address that VMs use, which is that of the relay.
    listed_address: SocketAddr,
    state: Mutex<ProcessState>,
    run_ended: Notify,
    checker: Arc<InvariantChecker>,
    /// Whether every other start and stop request is delayed and gets no response.
    pub delay_requests: AtomicBool,
    delay_next: AtomicBool,
}

impl Worker {
    pub async fn start(
        index: usize,
        listed_address: SocketAddr,
        checker: Arc<InvariantChecker>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = Arc::new(Self {
            index,
            name: format!("worker-{index}"),
            address: listener.local_addr().unwrap(),
            listed_address,
            state: Mutex::new(ProcessState::new()),
            run_ended: Notify::new(),
            checker,
            delay_requests: AtomicBool::new(false),
            delay_next: AtomicBool::new(false),
        });
        let server = worker.clone();
        let handler = move |req| server.clone().handle(req);
        tokio::spawn(serve(
            listener,
            ServerLimits::default(),
            handler,
            std::future::pending(),
        ));
        tokio::spawn(worker.clone().end_runs());
        worker
    }

    fn lock(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The listing of the worker in the store.
    pub fn listing(&self) -> Value {
        json!({
            "Service": "svc", "Addr": self.listed_address.to_string(), "Zone": "a", "Version": "v1", "Slots": 8,
            "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": self.lock().boot,
            "Capacity": {"Cpu": CAPACITY_CPU_MILLI, "MemMb": 64_000, "Gpu": 0}, "Labels": ["k", "r"],
        })
    }

    /// Restarts the worker with the same name; its runs are lost.
    pub fn restart(&self) {
        *self.lock() = ProcessState::new();
        self.checker.record_restart(self.index);
    }

    /// Ends the runs that are done, and all runs once the lease has expired.
    async fn end_runs(self: Arc<Self>) {
        loop {
            tokio::time::sleep(RUN_CHECK_INTERVAL).await;
            let mut state = self.lock();
            let lease_expired = state.clock_ms() >= state.lease_until_ms;
            let ending = state.runs.iter().filter_map(|(task, run)| {
                let done = run.started_at.elapsed() >= Duration::from_millis(run.spec.run_ms);
                let end = if done { "done" } else { "lapsed" };
                (done || lease_expired).then(|| (task.clone(), end))
            });
            let ending: Vec<(String, &str)> = ending.collect();
            for (task, end) in ending {
                state.end_run(&task, end);
                self.checker.record_end(self.index, &task, end == "done");
                self.run_ended.notify_waiters();
            }
        }
    }

    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ResponseDropped> {
        let target = req.headers().get("chestnutlug-target-instance");
        let is_misdirected = target.is_some_and(|target| target.as_bytes() != self.name.as_bytes());
        let path = req.uri().path().to_owned();
        let Ok(body) = read_body(req.into_body(), 1 << 20).await else {
            return Err(ResponseDropped);
        };
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        if is_misdirected {
            return Ok(response(StatusCode::MISDIRECTED_REQUEST, &json!({})));
        }
        let is_run_request = path != "/chestnutlug/hold";
        if is_run_request
            && self.delay_requests.load(Ordering::Relaxed)
            && self.delay_next.fetch_not(Ordering::Relaxed)
        {
            tokio::time::sleep(REQUEST_DELAY).await;
            self.handle_run_request(&path, &body);
            return Err(ResponseDropped);
        }
        if is_run_request {
            return Ok(self.handle_run_request(&path, &body));
        }
        Ok(self.handle_poll(&body).await)
    }

    fn reject(&self, state: &ProcessState, reason: &str) -> Response<ResponseBody> {
        let body = json!({"ClockMs": state.clock_ms(), "Reason": reason, "born": state.boot});
        response(StatusCode::CONFLICT, &body)
    }

    fn handle_run_request(&self, path: &str, body: &Value) -> Response<ResponseBody> {
        let mut state = self.lock();
        let (Some(task), Some(run)) = (body["Task"].as_str(), body["RunId"].as_u64()) else {
            return response(StatusCode::BAD_REQUEST, &json!({}));
        };
        let fencing_token = body["Fence"].as_u64().unwrap_or(0);
        if fencing_token < state.fencing_token {
            return self.reject(&state, "fence");
        }
        state.fencing_token = fencing_token;
        if path == "/chestnutlug/run-start" {
            let lease_until_ms = body["DeadlineMs"].as_u64().unwrap_or(0);
            let max_lease_until_ms = state.clock_ms() + MAX_LEASE_MS;
            state.lease_until_ms = state
                .lease_until_ms
                .max(lease_until_ms.min(max_lease_until_ms));
            let active = state.runs.get(task).map(|run| run.number);
            if active == Some(run) {
                return response(StatusCode::OK, &json!({"ClockMs": state.clock_ms()}));
            }
            if active.is_some()
                || state
                    .last_runs
                    .get(task)
                    .is_some_and(|last_run| run <= *last_run)
            {
                return self.reject(&state, "old");
            }
            if lease_until_ms <= state.clock_ms() {
                return self.reject(&state, "late");
            }
            let Some(spec) = self.checker.task_spec(task) else {
                self.checker.add_finding(format!(
                    "task {task} starts, but no caller submitted its workflow"
                ));
                return self.reject(&state, "room");
            };
            let used_cpu_milli: u32 = state.runs.values().map(|run| run.spec.cpu_milli).sum();
            if used_cpu_milli + spec.cpu_milli > CAPACITY_CPU_MILLI {
                let (name, cpu) = (&self.name, spec.cpu_milli);
                self.checker.add_finding(format!(
                    "task {task} uses {cpu} thousandths of a core and starts on {name}, where \
                     {used_cpu_milli} of {CAPACITY_CPU_MILLI} are in use"
                ));
            }
            self.checker.record_start(self.index, task, run);
            let new = Run {
                number: run,
                spec,
                started_at: Instant::now(),
            };
            state.runs.insert(task.to_owned(), new);
        } else {
            if state
                .runs
                .get(task)
                .is_some_and(|active| active.number <= run)
            {
                state.end_run(task, "stopped");
                self.checker.record_end(self.index, task, false);
                self.run_ended.notify_waiters();
            }
            let last_run = state.last_runs.entry(task.to_owned()).or_default();
            *last_run = (*last_run).max(run);
        }
        response(
            StatusCode::OK,
            &json!({"ClockMs": state.clock_ms(), "born": state.boot}),
        )
    }

    async fn handle_poll(&self, body: &Value) -> Response<ResponseBody> {
        let run_ended = self.run_ended.notified();
        tokio::pin!(run_ended);
        run_ended.as_mut().enable();
        let none_ended = {
            let mut state = self.lock();
            let fencing_token = body["Fence"].as_u64().unwrap_or(0);
            if fencing_token < state.fencing_token {
                return self.reject(&state, "fence");
            }
            state.fencing_token = fencing_token;
            if let Some(lease_until_ms) = body["DeadlineMs"].as_u64() {
                let max_lease_until_ms = state.clock_ms() + MAX_LEASE_MS;
                state.lease_until_ms = state
                    .lease_until_ms
                    .max(lease_until_ms.min(max_lease_until_ms));
            }
            let acknowledged = body["LastSeen"].as_u64().unwrap_or(0);
            let newly_acknowledged = state
                .ended_runs
                .iter()
                .filter(|ended| ended.sequence <= acknowledged && ended.end == "done");
            for ended in newly_acknowledged {
                self.checker.record_acknowledgement(self.index, &ended.task);
            }
            state
                .ended_runs
                .retain(|ended| ended.sequence > acknowledged);
            state.ended_runs.is_empty()
        };
        if let Some(ms) = body["WaitMs"].as_u64().filter(|_| none_ended) {
            let _ = tokio::time::timeout(Duration::from_millis(ms), run_ended).await;
        }
        let state = self.lock();
        let running = state
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.number, "", 50]));
        let ended_runs = state.ended_runs.iter().take(500);
        let ended_runs =
            ended_runs.map(|ended| json!([ended.sequence, ended.task, ended.run, ended.end, ""]));
        let body = json!({
            "ClockMs": state.clock_ms(), "born": state.boot,
            "Running": running.collect::<Vec<_>>(), "Ended": ended_runs.collect::<Vec<_>>(),
        });
        response(StatusCode::OK, &body)
    }
}

fn response(status: StatusCode, body: &Value) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(body.to_string()));
    *res.status_mut() = status;
    res
}
