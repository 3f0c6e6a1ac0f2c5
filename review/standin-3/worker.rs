//! A worker, as the pages describe it: it starts what it is told to start, lists what runs and what has
//! ended, keeps leases and fences, and registers itself in the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Server};
use crate::json::{quote, Json};
use crate::record::Log;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// An entry of a silent worker is removed after three status report intervals.
pub const ENTRY_LIFE: Duration = Duration::from_millis(4_500);

pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub labels: [String; 2],
    pub cpu: u32,
    pub mem_mb: u32,
    pub hold_max_ms: u64,
}

/// How a task ended, or that it began.
#[derive(Clone, Debug)]
pub struct Event {
    pub task: String,
    pub how: &'static str,
}

/// What all workers have seen.
#[derive(Default)]
pub struct Seen {
    pub events: Mutex<Vec<Event>>,
    /// Whether each event is also written to the record.
    pub detailed: bool,
}

impl Seen {
    fn add(&self, log: &Log, task: &str, run: u64, how: &'static str, worker: &str) {
        if self.detailed {
            log.detail(&format!("worker {worker}: {task} run {run}: {how}"));
        }
        let event = Event {
            task: task.to_owned(),
            how,
        };
        self.events.lock().unwrap().push(event);
    }
}

struct Running {
    run: u64,
    ends: Instant,
}

#[derive(Default)]
struct Tasks {
    fence: u64,
    lease_ms: u64,
    running: HashMap<String, Running>,
    /// The highest run of each task that was stopped or has ended here.
    last: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

/// One life of a worker.
pub struct Life {
    id: String,
    born: u128,
    start: Instant,
    hold_max_ms: u64,
    tasks: Mutex<Tasks>,
    ended: Condvar,
    up: AtomicBool,
    log: &'static Log,
    seen: Arc<Seen>,
}

/// A worker that can crash and start again.
pub struct Worker {
    pub spec: Spec,
    store: Arc<Store>,
    seen: Arc<Seen>,
    log: &'static Log,
    address: SocketAddr,
    current: Mutex<Option<(Arc<Life>, Server)>>,
}

/// Starts the workers of the service `svc`, which are all of one kind.
pub fn start_pool(
    count: usize,
    hold_max_ms: u64,
    store: &Arc<Store>,
    seen: &Arc<Seen>,
    log: &'static Log,
) -> Result<Vec<Arc<Worker>>, String> {
    let specs = (0..count).map(|number| Spec {
        id: format!("i-{number:08x}"),
        service: "svc",
        zone: ["zone-a", "zone-b", "zone-c"][number % 3],
        labels: ["a".to_owned(), format!("r1-{}", number / 8)],
        cpu: 16_000,
        mem_mb: 32_768,
        hold_max_ms,
    });
    specs
        .map(|spec| Worker::start(spec, store, seen, log))
        .collect()
}

impl Worker {
    pub fn start(
        spec: Spec,
        store: &Arc<Store>,
        seen: &Arc<Seen>,
        log: &'static Log,
    ) -> Result<Arc<Worker>, String> {
        let worker = Arc::new(Worker {
            spec,
            store: store.clone(),
            seen: seen.clone(),
            log,
            address: crate::platform::free_address()?,
            current: Mutex::new(None),
        });
        worker.begin_life()?;
        Ok(worker)
    }

    /// Starts a new life under the same id and address.
    pub fn begin_life(&self) -> Result<(), String> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970")
            .as_millis();
        let life = Arc::new(Life {
            id: self.spec.id.clone(),
            born,
            start: Instant::now(),
            hold_max_ms: self.spec.hold_max_ms,
            tasks: Mutex::default(),
            ended: Condvar::new(),
            up: AtomicBool::new(true),
            log: self.log,
            seen: self.seen.clone(),
        });
        let shared = life.clone();
        let server = Server::start(self.address, move |request| shared.handle(request));
        let server = server.map_err(|error| format!("worker {}: {error}", self.spec.id))?;
        let shared = life.clone();
        thread::spawn(move || {
            while shared.up.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
                shared.advance();
            }
        });
        let (store, shared) = (self.store.clone(), life.clone());
        let (id, entry) = (self.spec.id.clone(), self.entry(born));
        thread::spawn(move || {
            let mut seq = 0;
            while shared.up.load(Ordering::SeqCst) {
                seq += 1;
                // The entry changes when more than `Seq` changes.
                if seq == 1 {
                    store.put("servers", &id, &entry);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        *self.current.lock().unwrap() = Some((life, server));
        Ok(())
    }

    fn entry(&self, born: u128) -> String {
        let spec = &self.spec;
        format!(
            "{{\"Service\":{},\"Addr\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\
             \"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\"Labels\":[{},{}],\
             \"ClockMs\":0,\"Seq\":1,\"born\":{born}}}",
            quote(spec.service),
            self.address,
            quote(spec.zone),
            spec.cpu,
            spec.mem_mb,
            quote(&spec.labels[0]),
            quote(&spec.labels[1]),
        )
    }

    /// Kills the worker: what runs is gone without an end, and the address refuses connections. The store
    /// removes the entry after three status report intervals of silence, unless a new life has begun.
    pub fn crash(self: &Arc<Self>) {
        let Some((life, server)) = self.current.lock().unwrap().take() else {
            return;
        };
        life.up.store(false, Ordering::SeqCst);
        server.crash();
        let lost: Vec<(String, u64)> = {
            let mut tasks = life.tasks.lock().unwrap();
            tasks
                .running
                .drain()
                .map(|(task, running)| (task, running.run))
                .collect()
        };
        self.log.detail(&format!(
            "worker {}: crashes with {} runs",
            self.spec.id,
            lost.len()
        ));
        for (task, run) in lost {
            self.seen
                .add(self.log, &task, run, "lost with its worker", &self.spec.id);
        }
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(ENTRY_LIFE);
            let current = worker.current.lock().unwrap();
            if current.is_none() {
                worker.store.remove("servers", &worker.spec.id);
            }
        });
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        // The clock of a life starts anew.
        1_000 + self.start.elapsed().as_millis() as u64
    }

    fn advance(&self) {
        let mut tasks = self.tasks.lock().unwrap();
        if !self.up.load(Ordering::SeqCst) {
            return;
        }
        let (now, lapsed) = (Instant::now(), self.clock_ms() > tasks.lease_ms);
        let over: Vec<(String, u64, bool)> = tasks
            .running
            .iter()
            .filter(|(_, running)| lapsed || running.ends <= now)
            .map(|(task, running)| (task.clone(), running.run, running.ends <= now))
            .collect();
        for (task, run, done) in over {
            self.end(&mut tasks, &task, run, if done { "done" } else { "lapsed" });
        }
    }

    fn end(&self, tasks: &mut Tasks, task: &str, run: u64, how: &'static str) {
        tasks.running.remove(task);
        let last = tasks.last.entry(task.to_owned()).or_default();
        *last = (*last).max(run);
        tasks.ends += 1;
        let number = tasks.ends;
        tasks.ended.push((number, task.to_owned(), run, how));
        self.seen.add(self.log, task, run, how, &self.id);
        self.ended.notify_all();
    }

    fn extend(&self, tasks: &mut Tasks, body: &Json) {
        if let Some(deadline) = body.get("DeadlineMs").number() {
            let most = self.clock_ms() + self.hold_max_ms;
            tasks.lease_ms = tasks.lease_ms.max(deadline.min(most));
        }
    }

    fn short(&self, status: u16, reason: &str) -> (u16, String) {
        let reason = if reason.is_empty() {
            String::new()
        } else {
            format!(",\"Reason\":\"{reason}\"")
        };
        (
            status,
            format!(
                "{{\"ClockMs\":{},\"born\":{}{reason}}}",
                self.clock_ms(),
                self.born
            ),
        )
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        if request.method == "GET" {
            return (200, "{}".to_owned());
        }
        let target = request.header("Chestnutlug-Target-Instance");
        if !target.is_empty() && target != self.id {
            return self.short(421, "");
        }
        let Some(body) = Json::parse(&request.body) else {
            return self.short(400, "");
        };
        let mut tasks = self.tasks.lock().unwrap();
        let fence = body.get("Fence").number().unwrap_or(0);
        if fence < tasks.fence {
            return self.short(409, "fence");
        }
        tasks.fence = fence;
        let (task, run) = (
            body.get("Task").text(),
            body.get("RunId").number().unwrap_or(0),
        );
        match request.path.as_str() {
            "/chestnutlug/run-start" => {
                let deadline = body.get("DeadlineMs").number().unwrap_or(0);
                if tasks
                    .running
                    .get(task)
                    .is_some_and(|running| running.run == run)
                {
                    self.extend(&mut tasks, &body);
                    return self.short(200, "");
                }
                let newest = tasks.running.get(task).map_or(0, |running| running.run);
                if run <= newest.max(tasks.last.get(task).copied().unwrap_or(0)) {
                    self.extend(&mut tasks, &body);
                    return self.short(409, "old");
                }
                if deadline <= self.clock_ms() {
                    return self.short(409, "late");
                }
                self.extend(&mut tasks, &body);
                let mut words = body.get("Spec").text().split(' ');
                let work = words.nth(1).and_then(|ms| ms.parse().ok());
                let ends = Instant::now() + Duration::from_millis(work.unwrap_or(1));
                tasks.running.insert(task.to_owned(), Running { run, ends });
                self.seen.add(self.log, task, run, "started", &self.id);
                self.short(200, "")
            }
            "/chestnutlug/run-stop" => {
                if tasks
                    .running
                    .get(task)
                    .is_some_and(|running| running.run <= run)
                {
                    self.end(&mut tasks, task, run, "stopped");
                } else {
                    let last = tasks.last.entry(task.to_owned()).or_default();
                    *last = (*last).max(run);
                }
                self.short(200, "")
            }
            "/chestnutlug/hold" => {
                self.extend(&mut tasks, &body);
                let last_seen = body.get("LastSeen").number().unwrap_or(0);
                tasks.ended.retain(|(number, ..)| *number > last_seen);
                let wait = body.get("WaitMs").number().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while tasks.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || !self.up.load(Ordering::SeqCst) {
                        break;
                    }
                    tasks = self.ended.wait_timeout(tasks, left).unwrap().0;
                }
                let running: Vec<String> = tasks
                    .running
                    .iter()
                    .map(|(task, running)| format!("[{},{},\"\",1,0]", quote(task), running.run))
                    .collect();
                let ended: Vec<String> = tasks
                    .ended
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| {
                        format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
                    })
                    .collect();
                let answer = format!(
                    "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Ended\":[{}]}}",
                    self.clock_ms(),
                    self.born,
                    running.join(","),
                    ended.join(",")
                );
                (200, answer)
            }
            _ => self.short(400, ""),
        }
    }
}
