//! Stand-ins of the workers. Each has its own address; all share one state, so that the members of a
//! gang find each other.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Req};
use crate::json::{Json, map, n, s};
use crate::record::Record;
use crate::store::Store;

/// The bounds of the small deployment.
pub const HOLD_MAX_MS: u64 = 6_000;
const GANG_MS: u64 = 3_000;
/// How long a stop takes; `StopMs` is 400.
const STOP_TIME: Duration = Duration::from_millis(200);
const MAX_ENDED: usize = 500;

pub const SERVICE: &str = "rota-service";
pub const CPU: u64 = 16_000;
pub const MEM_MB: u64 = 65_536;

/// How the tasks of a step behave.
#[derive(Clone)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    /// How long a run takes; `None` for tasks that last.
    pub takes: Option<Duration>,
    pub gang: bool,
}

#[derive(Clone)]
struct Run {
    run: u64,
    cpu: u64,
    started: Instant,
    stopping: Option<Instant>,
    /// When all members of the gang were present; for other tasks the start.
    began: Option<Instant>,
    history: usize,
}

/// One run, as the workers saw it.
#[derive(Clone)]
pub struct Past {
    pub task: String,
    pub run: u64,
    pub worker: usize,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

struct Worker {
    id: String,
    address: SocketAddr,
    kind: &'static str,
    zone: usize,
    rack: usize,
    started: Instant,
    born: u64,
    cut: bool,
    /// Whether the process has crashed and not started again.
    down: bool,
    draining: bool,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    last_runs: HashMap<String, u64>,
    fence: u64,
    lease_until_ms: u64,
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    fn extend(&mut self, until: &Json) {
        if let Some(until) = until.num() {
            let max = self.clock_ms() + HOLD_MAX_MS;
            self.lease_until_ms = self.lease_until_ms.max(until.min(max));
        }
    }
}

#[derive(Default)]
struct State {
    workers: Vec<Worker>,
    steps: HashMap<String, Vec<Step>>,
    past: Vec<Past>,
}

pub struct Fleet {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Fleet {
    /// Starts `count` workers and lists them in the store.
    pub fn start(count: usize, rare: &[usize], store: &Store, record: Arc<Record>) -> Arc<Fleet> {
        let fleet = Arc::new(Fleet {
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
        });
        for index in 0..count {
            fleet.add(index, rare, store);
        }
        let ticking = fleet.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        fleet
    }

    /// Starts one more worker and lists it in the store.
    pub fn add(self: &Arc<Self>, index: usize, rare: &[usize], store: &Store) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let address = listener.local_addr().expect("the address of a worker");
        let id = format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 1));
        let worker = Worker {
            id: id.clone(),
            address,
            kind: if rare.contains(&index) { "b" } else { "a" },
            zone: index % 3,
            rack: index / 3 / 8,
            started: Instant::now(),
            born: unix_ms(),
            cut: false,
            down: false,
            draining: false,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            last_runs: HashMap::new(),
            fence: 0,
            lease_until_ms: 0,
        };
        store.put("servers", &id, &listing(&worker));
        self.lock().workers.push(worker);
        let server = self.clone();
        http::serve(listener, Arc::new(move |req| server.handle(index, &req)));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Tells how the tasks of a submission behave.
    pub fn expect(&self, id: &str, steps: Vec<Step>) {
        self.lock().steps.insert(id.to_owned(), steps);
    }

    /// Cuts workers off from all machines of the system, or ends the cut. They run on meanwhile.
    pub fn cut(&self, workers: &[usize], cut: bool) {
        for index in workers {
            self.lock().workers[*index].cut = cut;
            let what = if cut {
                "is cut off from all machines"
            } else {
                "is reachable again"
            };
            self.record.line(&format!("worker {index} {what}"));
        }
        self.changed.notify_all();
    }

    /// The worker reports that it drains, serves on for `DrainMs`, and leaves for good.
    pub fn scale_in(&self, index: usize, store: &Store) {
        let mut state = self.lock();
        state.workers[index].draining = true;
        store.put(
            "servers",
            &state.workers[index].id,
            &listing(&state.workers[index]),
        );
        self.record.line(&format!("worker {index} drains"));
        drop(state);
        std::thread::sleep(Duration::from_millis(3_000));
        let mut state = self.lock();
        state.workers[index].down = true;
        store.remove("servers", &state.workers[index].id);
        self.record.line(&format!("worker {index} has left"));
    }

    /// Lets a task that lasts end by itself; the end is `done`.
    pub fn finish(&self, worker: usize, task: &str) {
        self.end(&mut self.lock(), worker, task, "done");
        self.changed.notify_all();
    }

    pub fn past(&self) -> Vec<Past> {
        self.lock().past.clone()
    }

    /// The tasks of a submission that are at work now.
    pub fn running(&self, id: &str) -> usize {
        let prefix = format!("{id}.");
        let state = self.lock();
        let runs = state.workers.iter().flat_map(|worker| worker.runs.keys());
        runs.filter(|task| task.starts_with(&prefix)).count()
    }

    /// The processor capacity in use, in percent of all.
    pub fn used_percent(&self) -> u64 {
        let state = self.lock();
        let runs = state.workers.iter().flat_map(|worker| worker.runs.values());
        runs.map(|run| run.cpu).sum::<u64>() * 100 / (CPU * state.workers.len() as u64)
    }

    fn end(&self, state: &mut State, index: usize, task: &str, how: &'static str) {
        let worker = &mut state.workers[index];
        let Some(run) = worker.runs.remove(task) else {
            return;
        };
        worker
            .ended
            .push((worker.next_end, task.to_owned(), run.run, how));
        worker.next_end += 1;
        let last = worker.last_runs.entry(task.to_owned()).or_default();
        *last = (*last).max(run.run);
        state.past[run.history].ended = Some((Instant::now(), how));
        self.record.line(&format!(
            "worker {index} run {task} number {} ends: {how}",
            run.run
        ));
        if how != "done" && how != "alone" && is_gang(state, task) {
            let step = step_of(task);
            let mut others = Vec::new();
            for (other, worker) in state.workers.iter().enumerate() {
                let members = worker.runs.iter().filter(|(name, member)| {
                    step_of(name) == step && member.run == run.run && member.stopping.is_none()
                });
                others.extend(members.map(|(name, _)| (other, name.clone())));
            }
            for (other, name) in others {
                self.end(state, other, &name, "broken");
            }
        }
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut members: HashMap<(String, u64), u64> = HashMap::new();
        for worker in &state.workers {
            for (task, run) in &worker.runs {
                *members
                    .entry((step_of(task).to_owned(), run.run))
                    .or_default() += 1;
            }
        }
        let mut ends = Vec::new();
        for index in 0..state.workers.len() {
            let lapsed = state.workers[index].clock_ms() >= state.workers[index].lease_until_ms;
            let tasks: Vec<String> = state.workers[index].runs.keys().cloned().collect();
            for task in tasks {
                let Some(step) = step(&state, &task).cloned() else {
                    continue;
                };
                let Some(run) = state.workers[index].runs.get_mut(&task) else {
                    continue;
                };
                let present = members.get(&(step_of(&task).to_owned(), run.run));
                if run.began.is_none() && present.is_some_and(|present| *present == step.count) {
                    run.began = Some(now);
                }
                let stopped = run.stopping.is_some_and(|at| now >= at + STOP_TIME);
                let done = step
                    .takes
                    .zip(run.began)
                    .is_some_and(|(takes, at)| now >= at + takes);
                let waited = now - run.started >= Duration::from_millis(GANG_MS);
                let alone = run.began.is_none() && waited;
                let how = match (lapsed, stopped, done, alone) {
                    (true, ..) => "lapsed",
                    (_, true, ..) => "stopped",
                    (_, _, true, _) => "done",
                    (_, _, _, true) => "alone",
                    _ => continue,
                };
                ends.push((index, task, how));
            }
        }
        let any = !ends.is_empty();
        for (index, task, how) in ends {
            self.end(&mut state, index, &task, how);
        }
        drop(state);
        if any {
            self.changed.notify_all();
        }
    }

    /// Waits while the worker is cut off; false if it was.
    fn passes(&self, index: usize) -> bool {
        let mut state = self.lock();
        let cut = state.workers[index].cut;
        while state.workers[index].cut {
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap()
                .0;
        }
        !cut
    }

    /// The start of the worker's process; `None` while it is down.
    fn life(&self, index: usize) -> Option<u64> {
        let state = self.lock();
        let worker = &state.workers[index];
        (!worker.down).then_some(worker.born)
    }

    fn handle(&self, index: usize, req: &Req) -> Option<(u16, String)> {
        // What is sent during a cut is lost, in both directions.
        if !self.passes(index) {
            return None;
        }
        let life = self.life(index)?;
        let answer = self.answer(index, req);
        (self.passes(index) && self.life(index) == Some(life)).then_some(answer)
    }

    fn answer(&self, index: usize, req: &Req) -> (u16, String) {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let mut state = self.lock();
        let target = req.header("chestnutlug-target-instance");
        if target.is_some_and(|target| target != state.workers[index].id) {
            return (421, "{}".to_owned());
        }
        let fence = body.get("Fence").num().unwrap_or(0);
        if fence < state.workers[index].fence {
            return reject(&state.workers[index], "fence");
        }
        state.workers[index].fence = fence;
        match req.path.as_str() {
            "/chestnutlug/run-start" => self.start_run(&mut state, index, &body),
            "/chestnutlug/run-stop" => {
                let (task, run) = (
                    body.get("Task").text(),
                    body.get("RunId").num().unwrap_or(0),
                );
                let worker = &mut state.workers[index];
                if let Some(active) = worker.runs.get_mut(task).filter(|active| active.run <= run) {
                    active.stopping.get_or_insert(Instant::now());
                }
                let last = worker.last_runs.entry(task.to_owned()).or_default();
                *last = (*last).max(run);
                self.record.line(&format!(
                    "worker {index} is told to stop {task} number {run}"
                ));
                (
                    200,
                    map(vec![("ClockMs", n(worker.clock_ms()))]).to_string(),
                )
            }
            "/chestnutlug/hold" => self.hold(state, index, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn start_run(&self, state: &mut State, index: usize, body: &Json) -> (u16, String) {
        let (task, run) = (
            body.get("Task").text(),
            body.get("RunId").num().unwrap_or(0),
        );
        let known = step(state, task).cloned();
        let worker = &mut state.workers[index];
        worker.extend(body.get("DeadlineMs"));
        let active = worker.runs.get(task).map(|active| active.run);
        let ok = map(vec![("ClockMs", n(worker.clock_ms()))]).to_string();
        if active == Some(run) {
            return (200, ok);
        }
        let last = worker.last_runs.get(task).copied().unwrap_or(0);
        if active.is_some() || run <= last {
            return reject(worker, "old");
        }
        if body.get("DeadlineMs").num().unwrap_or(0) <= worker.clock_ms() {
            return reject(worker, "late");
        }
        let Some(known) = known else {
            self.record.line(&format!(
                "worker {index} is told to start {task}, which nobody sent"
            ));
            return (400, "{}".to_owned());
        };
        let started = Instant::now();
        let new = Run {
            run,
            cpu: known.cpu,
            started,
            stopping: None,
            began: (!known.gang).then_some(started),
            history: state.past.len(),
        };
        state.workers[index].runs.insert(task.to_owned(), new);
        state.past.push(Past {
            task: task.to_owned(),
            run,
            worker: index,
            started,
            ended: None,
        });
        self.record
            .line(&format!("worker {index} starts {task} number {run}"));
        (200, ok)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, index: usize, body: &Json) -> (u16, String) {
        let worker = &mut state.workers[index];
        worker.extend(body.get("DeadlineMs"));
        let seen = body.get("LastSeen").num().unwrap_or(0);
        worker.ended.retain(|(number, ..)| *number > seen);
        let wait = body.get("WaitMs").num().unwrap_or(0).min(2_000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        while state.workers[index].ended.is_empty() && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let worker = &state.workers[index];
        let running = worker
            .runs
            .iter()
            .map(|(task, run)| Json::List(vec![s(task), n(run.run), s(""), n(50), n(0)]));
        let ended = worker
            .ended
            .iter()
            .take(MAX_ENDED)
            .map(|(number, task, run, how)| {
                Json::List(vec![n(*number), s(task), n(*run), s(how), s("")])
            });
        let body = map(vec![
            ("ClockMs", n(worker.clock_ms())),
            ("born", n(worker.born)),
            ("Running", Json::List(running.collect())),
            ("Ended", Json::List(ended.collect())),
        ]);
        (200, body.to_string())
    }
}

fn reject(worker: &Worker, reason: &str) -> (u16, String) {
    let body = vec![("ClockMs", n(worker.clock_ms())), ("Reason", s(reason))];
    (409, map(body).to_string())
}

/// The part ID.K.STEP of a task's name.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn step<'a>(state: &'a State, task: &str) -> Option<&'a Step> {
    let mut parts = task.split('.');
    let steps = state.steps.get(parts.next()?)?;
    let number: usize = parts.nth(1)?.parse().ok()?;
    let index: u64 = parts.next()?.parse().ok()?;
    steps.get(number).filter(|step| index < step.count)
}

fn is_gang(state: &State, task: &str) -> bool {
    step(state, task).is_some_and(|step| step.gang)
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

fn listing(worker: &Worker) -> Json {
    let rack = format!("r{}-{}", worker.zone, worker.rack);
    let capacity = map(vec![("Cpu", n(CPU)), ("MemMb", n(MEM_MB)), ("Gpu", n(0))]);
    map(vec![
        ("Service", s(SERVICE)),
        ("Addr", s(&worker.address.to_string())),
        ("Zone", s(["alfold-a", "alfold-b", "alfold-c"][worker.zone])),
        ("Version", s("v1")),
        ("Slots", n(8)),
        (
            "State",
            s(if worker.draining { "draining" } else { "ready" }),
        ),
        ("ColdLeftMs", n(0)),
        ("Capacity", capacity),
        ("Labels", Json::List(vec![s(worker.kind), s(&rack)])),
        ("ClockMs", n(worker.clock_ms())),
        ("Seq", n(1)),
        ("born", n(worker.born)),
    ])
}
