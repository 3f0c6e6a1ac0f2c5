//! Stand-ins of workers: they run tasks under leases and keep the fence.

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

use crate::judge::{Judge, Work};

/// The processors of a worker, in thousandths of a core.
pub const CPU: u32 = 8_000;

/// The longest lease, in milliseconds.
pub const LEASE_MAX_MS: u64 = 6_000;

/// How often runs are looked through.
const TICK: Duration = Duration::from_millis(10);

/// How long an order that is held up waits.
const LATE: Duration = Duration::from_millis(1_500);

struct Run {
    number: u64,
    work: Work,
    since: Instant,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of a worker.
struct Life {
    born: u64,
    began: Instant,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or ended.
    past: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

impl Life {
    fn new() -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            born: u64::try_from(since.unwrap().as_millis()).unwrap(),
            began: Instant::now(),
            fence: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            past: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        // The clock does not begin at 0, and runs two in a hundred slow.
        1_000 + u64::try_from(self.began.elapsed().as_millis()).unwrap() * 98 / 100
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.last_end += 1;
        let past = self.past.entry(task.to_owned()).or_default();
        *past = (*past).max(run.number);
        self.ends.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
        });
    }
}

/// A worker.
pub struct Worker {
    index: usize,
    pub name: String,
    pub address: SocketAddr,
    /// Where VMs reach it.
    listed: SocketAddr,
    life: Mutex<Life>,
    ended: Notify,
    judge: Arc<Judge>,
    /// Holds every other order up and leaves it unanswered.
    pub late: AtomicBool,
    turn: AtomicBool,
}

impl Worker {
    pub async fn start(index: usize, listed: SocketAddr, judge: Arc<Judge>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = Arc::new(Self {
            index,
            name: format!("worker-{index}"),
            address: listener.local_addr().unwrap(),
            listed,
            life: Mutex::new(Life::new()),
            ended: Notify::new(),
            judge,
            late: AtomicBool::new(false),
            turn: AtomicBool::new(false),
        });
        let served = worker.clone();
        let handler = move |req| served.clone().answer(req);
        tokio::spawn(serve(
            listener,
            ServerLimits::default(),
            handler,
            std::future::pending(),
        ));
        tokio::spawn(worker.clone().pass_time());
        worker
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it says of itself in the store.
    pub fn listing(&self) -> Value {
        json!({
            "Service": "svc", "Addr": self.listed.to_string(), "Zone": "a", "Version": "v1", "Slots": 8,
            "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": self.lock().born,
            "Capacity": {"Cpu": CPU, "MemMb": 64_000, "Gpu": 0}, "Labels": ["k", "r"],
        })
    }

    /// Starts again with the same name; what ran is gone.
    pub fn restart(&self) {
        *self.lock() = Life::new();
        self.judge.forgets(self.index);
    }

    async fn pass_time(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            let mut life = self.lock();
            let lapsed = life.clock_ms() >= life.until_ms;
            let over = life.runs.iter().filter_map(|(task, run)| {
                let done = run.since.elapsed() >= Duration::from_millis(run.work.ms);
                let how = if done { "done" } else { "lapsed" };
                (done || lapsed).then(|| (task.clone(), how))
            });
            let over: Vec<(String, &str)> = over.collect();
            for (task, how) in over {
                life.end(&task, how);
                self.judge.ends(self.index, &task, how == "done");
                self.ended.notify_waiters();
            }
        }
    }

    async fn answer(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ResponseDropped> {
        let target = req.headers().get("chestnutlug-target-instance");
        let other = target.is_some_and(|target| target.as_bytes() != self.name.as_bytes());
        let path = req.uri().path().to_owned();
        let Ok(body) = read_body(req.into_body(), 1 << 20).await else {
            return Err(ResponseDropped);
        };
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        if other {
            return Ok(status(StatusCode::MISDIRECTED_REQUEST, &json!({})));
        }
        let is_order = path != "/chestnutlug/hold";
        if is_order && self.late.load(Ordering::Relaxed) && self.turn.fetch_not(Ordering::Relaxed) {
            tokio::time::sleep(LATE).await;
            self.order(&path, &body);
            return Err(ResponseDropped);
        }
        if is_order {
            return Ok(self.order(&path, &body));
        }
        Ok(self.hold(&body).await)
    }

    fn rejected(&self, life: &Life, reason: &str) -> Response<ResponseBody> {
        let body = json!({"ClockMs": life.clock_ms(), "Reason": reason, "born": life.born});
        status(StatusCode::CONFLICT, &body)
    }

    fn order(&self, path: &str, body: &Value) -> Response<ResponseBody> {
        let mut life = self.lock();
        let (Some(task), Some(run)) = (body["Task"].as_str(), body["RunId"].as_u64()) else {
            return status(StatusCode::BAD_REQUEST, &json!({}));
        };
        let fence = body["Fence"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return self.rejected(&life, "fence");
        }
        life.fence = fence;
        if path == "/chestnutlug/run-start" {
            let until_ms = body["DeadlineMs"].as_u64().unwrap_or(0);
            let longest = life.clock_ms() + LEASE_MAX_MS;
            life.until_ms = life.until_ms.max(until_ms.min(longest));
            let here = life.runs.get(task).map(|run| run.number);
            if here == Some(run) {
                return status(StatusCode::OK, &json!({"ClockMs": life.clock_ms()}));
            }
            if here.is_some() || life.past.get(task).is_some_and(|past| run <= *past) {
                return self.rejected(&life, "old");
            }
            if until_ms <= life.clock_ms() {
                return self.rejected(&life, "late");
            }
            let Some(work) = self.judge.work(task) else {
                self.judge
                    .find(format!("{task} starts, which no caller handed in"));
                return self.rejected(&life, "room");
            };
            let taken: u32 = life.runs.values().map(|run| run.work.cpu).sum();
            if taken + work.cpu > CPU {
                let (name, cpu) = (&self.name, work.cpu);
                self.judge.find(format!(
                    "{task} ({cpu}) starts on {name}, where {taken} of {CPU} are taken"
                ));
            }
            self.judge.starts(self.index, task, run);
            let new = Run {
                number: run,
                work,
                since: Instant::now(),
            };
            life.runs.insert(task.to_owned(), new);
        } else {
            if life.runs.get(task).is_some_and(|here| here.number <= run) {
                life.end(task, "stopped");
                self.judge.ends(self.index, task, false);
                self.ended.notify_waiters();
            }
            let past = life.past.entry(task.to_owned()).or_default();
            *past = (*past).max(run);
        }
        status(
            StatusCode::OK,
            &json!({"ClockMs": life.clock_ms(), "born": life.born}),
        )
    }

    async fn hold(&self, body: &Value) -> Response<ResponseBody> {
        let ended = self.ended.notified();
        tokio::pin!(ended);
        ended.as_mut().enable();
        let quiet = {
            let mut life = self.lock();
            let fence = body["Fence"].as_u64().unwrap_or(0);
            if fence < life.fence {
                return self.rejected(&life, "fence");
            }
            life.fence = fence;
            if let Some(until_ms) = body["DeadlineMs"].as_u64() {
                let longest = life.clock_ms() + LEASE_MAX_MS;
                life.until_ms = life.until_ms.max(until_ms.min(longest));
            }
            let seen = body["LastSeen"].as_u64().unwrap_or(0);
            let known = life
                .ends
                .iter()
                .filter(|end| end.number <= seen && end.how == "done");
            for end in known {
                self.judge.acknowledged(self.index, &end.task);
            }
            life.ends.retain(|end| end.number > seen);
            life.ends.is_empty()
        };
        if let Some(ms) = body["WaitMs"].as_u64().filter(|_| quiet) {
            let _ = tokio::time::timeout(Duration::from_millis(ms), ended).await;
        }
        let life = self.lock();
        let running = life
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.number, "", 50]));
        let ends = life.ends.iter().take(500);
        let ends = ends.map(|end| json!([end.number, end.task, end.run, end.how, ""]));
        let body = json!({
            "ClockMs": life.clock_ms(), "born": life.born,
            "Running": running.collect::<Vec<_>>(), "Ended": ends.collect::<Vec<_>>(),
        });
        status(StatusCode::OK, &body)
    }
}

fn status(status: StatusCode, body: &Value) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(body.to_string()));
    *res.status_mut() = status;
    res
}
