//! The workers. Each machine has one address; a worker is one life of it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Request, Response};
use crate::json::{Json, n, obj, s};
use crate::random::Random;
use crate::record::Record;
use crate::store::Store;

/// `HoldMaxMs`, `StopMs`, `CheckpointS` and `HeartbeatMs` of the site files, in milliseconds.
pub const HOLD_MAX_MS: u64 = 6_000;
pub const STOP_MS: u64 = 400;
const CHECKPOINT_MS: u64 = 500;
const HEARTBEAT_MS: u64 = 1_500;

/// What the tasks of a step do.
#[derive(Clone, Debug, Default)]
pub struct Work {
    pub count: usize,
    /// `None` if the tasks last.
    pub work_ms: Option<u64>,
    pub cpu: u64,
    pub gang: bool,
    pub saves: bool,
    pub after: Vec<usize>,
    pub requires: Option<&'static str>,
    pub apart: Option<usize>,
    /// The share of runs that fail.
    pub fails: f64,
    pub attempts: usize,
    /// When an occurrence is due: the first time and the interval, in milliseconds since 1970.
    pub due: Option<(u64, u64)>,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
    /// When the run began to work; that of a gang once all its members are there.
    works_since: Option<Instant>,
    stops_at: Option<Instant>,
    fails: bool,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
    /// Whether the worker's lease has lapsed since.
    lapsed: bool,
}

pub struct Machine {
    pub id: String,
    pub kind: &'static str,
    pub alive: bool,
    pub born: u64,
    since: Instant,
    /// When the worker writes its entry next.
    next_beat: Instant,
    beats: u64,
    fence: u64,
    lease_until_ms: u64,
    pub runs: BTreeMap<String, Run>,
    last_run: HashMap<String, u64>,
    ended: Vec<End>,
    last_number: u64,
    address: SocketAddr,
    /// How fast it works; 1 is usual.
    pub speed: f64,
    /// Since when the machine has no power: it answers nothing, and its connections stay open.
    dark_since: Option<Instant>,
    /// Requests with this fence or a higher one do not arrive.
    pub unreachable_from: u64,
}

impl Machine {
    fn clock_ms(&self) -> u64 {
        1_000 + self.since.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str, saved: String) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.last_number += 1;
        let last = self.last_run.entry(task.to_owned()).or_default();
        *last = (*last).max(run.run);
        let (number, run_id) = (self.last_number, run.run);
        self.ended.push(End { number, task: task.to_owned(), run: run_id, how, saved, lapsed: false });
        Some(run)
    }
}

/// A start that a worker has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub worker: String,
    pub kind: &'static str,
    pub task: String,
    pub run: u64,
}

/// Watches whether the tasks of a step that lasts run while there is room.
#[derive(Clone, Debug)]
pub struct Watch {
    pub step: String,
    /// From when on they have to run.
    pub from: Instant,
    pub waits_since: Option<Instant>,
    pub longest: Duration,
    /// The number of tasks that ran, and how often two more would have fit, at the end of the longest wait.
    pub seen: (usize, u64),
}

#[derive(Default)]
pub struct State {
    pub machines: Vec<Machine>,
    pub work: HashMap<String, Work>,
    pub starts: Vec<Start>,
    /// Ends by task and kind of end.
    pub ends: Vec<(String, u64, &'static str)>,
    /// Tasks of which a run has ended as done.
    pub done: HashSet<String>,
    /// Those whose end has been taken note of.
    noted_done: HashSet<String>,
    /// Ends as failed that have been taken note of, by task, or by step for gangs.
    noted_failed: HashMap<String, HashSet<u64>>,
    /// When the cancelling of submissions was acknowledged.
    pub cancelled: HashMap<String, Instant>,
    pub findings: Vec<String>,
    /// Starts that came to a machine without power: the task, and whether the connection was opened before.
    pub swallowed: Vec<(String, bool)>,
    /// The longest time for which a task waited although the workers had room for it twice over.
    pub watch: Option<Watch>,
    /// The share of orders that get no answer and are carried out 2 to 12 s later.
    pub late_share: f64,
    /// The share of orders whose answer is lost.
    pub lost_share: f64,
    lives: u64,
}

pub struct Fleet {
    state: Mutex<State>,
    random: Mutex<Random>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
}

/// The step of a task: `ID.K.STEP`.
pub fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// The submission and the number of the step, without the occurrence.
fn work_key(task: &str) -> String {
    let parts: Vec<&str> = task.split('.').collect();
    format!("{}.{}", parts[0], parts.get(2).copied().unwrap_or(""))
}

impl Fleet {
    pub fn start(store: Arc<Store>, record: Arc<Record>, kinds: &[&'static str]) -> Arc<Self> {
        let fleet = Arc::new(Self {
            state: Mutex::default(),
            random: Mutex::new(Random::new(11)),
            changed: Condvar::new(),
            store,
            record,
        });
        for (index, kind) in kinds.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let machine = {
                let mut state = fleet.lock();
                let id = state.next_id();
                Machine {
                    id,
                    kind,
                    alive: true,
                    born: unix_ms(),
                    since: Instant::now(),
                    next_beat: Instant::now(),
                    beats: 0,
                    fence: 0,
                    lease_until_ms: 0,
                    runs: BTreeMap::new(),
                    last_run: HashMap::new(),
                    ended: Vec::new(),
                    last_number: 0,
                    address,
                    speed: 1.0,
                    dark_since: None,
                    unreachable_from: u64::MAX,
                }
            };
            fleet.lock().machines.push(machine);
            let server = fleet.clone();
            http::serve(listener, Arc::new(move |request| server.clone().receive(index, request)));
        }
        let ticker = fleet.clone();
        std::thread::spawn(move || {
            loop {
                ticker.tick();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        fleet
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The worker process ends at once; nothing that ran on it is reported.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let machine = &mut state.machines[index];
        machine.alive = false;
        let lost: Vec<String> = machine.runs.values().map(|r| format!("{} run {}", r.task, r.run)).collect();
        machine.runs.clear();
        let id = machine.id.clone();
        drop(state);
        self.changed.notify_all();
        self.record.line(&format!("worker {id} crashes; it ran: {lost:?}"));
    }

    /// The machine loses power.
    pub fn power_off(&self, index: usize) {
        self.lock().machines[index].dark_since = Some(Instant::now());
        self.crash(index);
    }

    /// Three report intervals after its last one, the entry of a crashed worker is removed.
    pub fn expire_entry(&self, id: &str) {
        self.store.put("servers", id, None);
        self.record.line(&format!("the entry of worker {id} is removed"));
    }

    /// The machine starts again, as another worker or under the id that it had. It registers `beat_after`
    /// its start.
    pub fn restart(&self, index: usize, same_id: bool, kind: &'static str, beat_after: Duration) {
        let mut state = self.lock();
        let id = if same_id { state.machines[index].id.clone() } else { state.next_id() };
        let machine = &mut state.machines[index];
        machine.id = id.clone();
        machine.kind = kind;
        machine.alive = true;
        machine.dark_since = None;
        machine.born = unix_ms();
        machine.since = Instant::now();
        machine.next_beat = Instant::now() + beat_after;
        (machine.fence, machine.lease_until_ms, machine.last_number) = (0, 0, 0);
        machine.runs.clear();
        machine.last_run.clear();
        machine.ended.clear();
        drop(state);
        self.record.line(&format!("machine {index} starts worker {id} of kind {kind}"));
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut beats = Vec::new();
        for machine in state.machines.iter_mut().filter(|machine| machine.alive) {
            if now >= machine.next_beat {
                machine.next_beat = now + Duration::from_millis(HEARTBEAT_MS);
                machine.beats += 1;
                beats.push((machine.id.clone(), listing(machine)));
            }
        }
        // The members of a gang work from the moment when all of one run are there.
        let mut present: HashMap<(String, u64), usize> = HashMap::new();
        for run in state.machines.iter().flat_map(|machine| machine.runs.values()) {
            *present.entry((step_of(&run.task).to_owned(), run.run)).or_default() += 1;
        }
        let work = state.work.clone();
        let mut gang_done = Vec::new();
        let mut gang_present = Vec::new();
        for machine in state.machines.iter_mut() {
            for run in machine.runs.values_mut() {
                let Some(work) = work.get(&work_key(&run.task)) else { continue };
                let key = (step_of(&run.task).to_owned(), run.run);
                if run.works_since.is_none() && (!work.gang || present.get(&key) == Some(&work.count)) {
                    run.works_since = Some(now);
                }
                if work.gang && run.works_since.is_some() {
                    gang_present.push(key);
                }
            }
        }
        let mut ends: Vec<(usize, String, &'static str)> = Vec::new();
        for machine in state.machines.iter_mut() {
            if machine.clock_ms() >= machine.lease_until_ms {
                machine.ended.iter_mut().for_each(|end| end.lapsed = true);
            }
        }
        for (index, machine) in state.machines.iter().enumerate() {
            let lapsed = machine.clock_ms() >= machine.lease_until_ms;
            for run in machine.runs.values() {
                let work = work.get(&work_key(&run.task));
                let done = work.is_some_and(|work| is_done(run, work, machine.speed, now));
                let key = (step_of(&run.task).to_owned(), run.run);
                let is_gang = work.is_some_and(|work| work.gang);
                let how = if run.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if done {
                    if run.fails { "failed" } else { "done" }
                } else if lapsed {
                    "lapsed"
                } else if is_gang && run.works_since.is_some() && present.get(&key) < work.map(|w| w.count).as_ref() {
                    "broken"
                } else {
                    continue;
                };
                if done && is_gang && how == "done" {
                    gang_done.push(key);
                }
                ends.push((index, run.task.clone(), how));
            }
        }
        let changed = !ends.is_empty();
        for (index, task, how) in ends {
            let machine = &mut state.machines[index];
            let saved = machine.runs.get(&task).map(|run| saved(run, work.get(&work_key(&task)), now));
            let Some(run) = machine.end(&task, how, saved.unwrap_or_default()) else { continue };
            self.record.line(&format!("{} ends {task} run {}: {how}", machine.id, run.run));
            if how == "done" {
                let tasks = work.get(&work_key(&task)).filter(|work| work.gang).map_or(0, |work| work.count);
                let members: Vec<String> = (0..tasks).map(|i| format!("{}.{i}", step_of(&task))).collect();
                state.done.extend(members);
                state.done.insert(task.clone());
            }
            state.ends.push((task, run.run, how));
        }
        state.watch(now);
        drop(state);
        if changed {
            self.changed.notify_all();
        }
        for (id, entry) in beats {
            self.store.put("servers", &id, Some(&entry));
        }
    }

    /// Delays or drops a request before or after it is handled.
    fn receive(self: Arc<Self>, index: usize, request: Request) -> Response {
        let is_order = request.path != "/chestnutlug/hold";
        let (late, lost, born) = {
            let state = self.lock();
            let mut random = self.random.lock().unwrap();
            let late = is_order && random.chance(state.late_share);
            let lost = is_order && random.chance(state.lost_share);
            (late.then(|| random.between(2_000, 12_000)), lost, state.machines[index].born)
        };
        if let Some(late) = late {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(late));
                let is_same_life = self.lock().machines[index].born == born;
                if is_same_life {
                    self.record.line(&format!("carried out {late} ms late:"));
                    self.handle(index, request);
                }
            });
            std::thread::sleep(Duration::from_millis(900));
            return None;
        }
        let response = self.handle(index, request);
        if lost {
            std::thread::sleep(Duration::from_millis(900));
            return None;
        }
        response
    }

    fn handle(&self, index: usize, request: Request) -> Response {
        let body = Json::parse(&request.body)?;
        let mut state = self.lock();
        let unreachable_from = state.machines[index].unreachable_from;
        if body.get("Fence").num().unwrap_or(0) >= unreachable_from {
            drop(state);
            std::thread::sleep(Duration::from_secs(4));
            return None;
        }
        if let Some(since) = state.machines[index].dark_since {
            if request.path == "/chestnutlug/run-start" {
                let task = body.get("Task").str().to_owned();
                let id = state.machines[index].id.clone();
                self.record.line(&format!("a start of {task} comes to {id}, which has no power"));
                state.swallowed.push((task, request.opened < since));
            }
            drop(state);
            // What came to a machine without power is lost, also when the power returns.
            std::thread::sleep(Duration::from_secs(6));
            return None;
        }
        let machine = &mut state.machines[index];
        if !machine.alive {
            return None;
        }
        if request.target.as_ref().is_some_and(|target| *target != machine.id) {
            return Some((421, "{}".to_owned()));
        }
        let fence = body.get("Fence").num().unwrap_or(0);
        let reject = |machine: &Machine, reason: &str| {
            let body = obj(vec![("ClockMs", n(machine.clock_ms())), ("Reason", s(reason)), ("born", n(machine.born))]);
            Some((409, body.to_string()))
        };
        if fence < machine.fence {
            return reject(machine, "fence");
        }
        machine.fence = fence;
        if let Some(until) = body.get("DeadlineMs").num() {
            let until = until.min(machine.clock_ms() + HOLD_MAX_MS);
            machine.lease_until_ms = machine.lease_until_ms.max(until);
        }
        match request.path.as_str() {
            "/chestnutlug/hold" => {
                let seen = body.get("LastSeen").num().unwrap_or(0);
                let noted: Vec<End> = machine.ended.extract_if(.., |end| end.number <= seen).collect();
                let wait = Duration::from_millis(body.get("WaitMs").num().unwrap_or(0));
                let (born, deadline) = (machine.born, Instant::now() + wait);
                for end in noted {
                    state.note(&end);
                }
                loop {
                    let machine = &state.machines[index];
                    if !machine.alive || machine.born != born {
                        return None;
                    }
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !machine.ended.is_empty() || left.is_zero() {
                        let work = &state.work;
                        return Some((200, lists(machine, work).to_string()));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/chestnutlug/run-start" => {
                let (task, run) = (body.get("Task").str().to_owned(), body.get("RunId").num()?);
                let ok = obj(vec![("ClockMs", n(machine.clock_ms())), ("born", n(machine.born))]).to_string();
                let current = machine.runs.get(&task).map(|current| current.run);
                if current == Some(run) {
                    return Some((200, ok));
                }
                if current.is_some() || machine.last_run.get(&task).is_some_and(|last| run <= *last) {
                    return reject(machine, "old");
                }
                if body.get("DeadlineMs").num().unwrap_or(0) <= machine.clock_ms() {
                    return reject(machine, "late");
                }
                let checkpoint = body.get("Checkpoint").str().to_owned();
                let start = Start {
                    worker: machine.id.clone(),
                    kind: machine.kind,
                    task: task.clone(),
                    run,
                };
                self.record.line(&format!(
                    "{} of kind {} starts {task} run {run}, fence {fence}, checkpoint {checkpoint:?}",
                    machine.id, machine.kind
                ));
                let fails = state.work.get(&work_key(&task)).map_or(0.0, |work| work.fails);
                let fails = self.random.lock().unwrap().chance(fails);
                let new = Run {
                    task: task.clone(),
                    run,
                    checkpoint,
                    works_since: None,
                    stops_at: None,
                    fails,
                };
                state.check_start(index, &task, run);
                if let Some(finding) = state.findings.last() {
                    self.record.line(finding);
                }
                state.machines[index].runs.insert(task, new);
                state.starts.push(start);
                Some((200, ok))
            }
            "/chestnutlug/run-stop" => {
                let (task, run) = (body.get("Task").str().to_owned(), body.get("RunId").num()?);
                let stops_at = Instant::now() + Duration::from_millis(STOP_MS);
                match machine.runs.get_mut(&task) {
                    Some(current) if current.run <= run => {
                        current.stops_at.get_or_insert(stops_at);
                        self.record.line(&format!("{} is told to stop {task} run {run}", machine.id));
                    }
                    _ => {
                        let last = machine.last_run.entry(task).or_default();
                        *last = (*last).max(run);
                    }
                }
                Some((200, obj(vec![("ClockMs", n(machine.clock_ms())), ("born", n(machine.born))]).to_string()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

impl State {
    fn watch(&mut self, now: Instant) {
        let Some(mut watch) = self.watch.clone().filter(|watch| now >= watch.from) else { return };
        let work = self.work.get(&work_key(&format!("{}.0", watch.step))).cloned().unwrap_or_default();
        let runs = self.machines.iter().flat_map(|machine| machine.runs.values());
        let running = runs.filter(|run| step_of(&run.task) == watch.step).count();
        let cpu_of = |run: &Run| self.work.get(&work_key(&run.task)).map_or(0, |work| work.cpu);
        let fitting = self.machines.iter().filter(|machine| machine.alive).map(|machine| {
            let used: u64 = machine.runs.values().map(cpu_of).sum();
            16_000_u64.saturating_sub(used) / work.cpu.max(1)
        });
        let fitting: u64 = fitting.sum();
        if running < work.count && fitting >= 2 {
            let since = *watch.waits_since.get_or_insert(now);
            if now - since > watch.longest {
                watch.longest = now - since;
                watch.seen = (running, fitting);
            }
        } else {
            watch.waits_since = None;
        }
        self.watch = Some(watch);
    }

    /// Takes note of an end that `LastSeen` has reached.
    fn note(&mut self, end: &End) {
        let work = self.work.get(&work_key(&end.task)).cloned().unwrap_or_default();
        match end.how {
            "done" if !end.lapsed && work.work_ms.is_some() => {
                let members = if work.gang { work.count } else { 0 };
                let members: Vec<String> =
                    (0..members).map(|i| format!("{}.{i}", step_of(&end.task))).collect();
                self.noted_done.extend(members);
                self.noted_done.insert(end.task.clone());
            }
            "failed" if !end.lapsed => {
                let key = if work.gang { step_of(&end.task) } else { &end.task };
                self.noted_failed.entry(key.to_owned()).or_default().insert(end.run);
            }
            _ => {}
        }
    }

    /// Checks a start against the rules.
    fn check_start(&mut self, index: usize, task: &str, run: u64) {
        let Some(work) = self.work.get(&work_key(task)).cloned() else {
            self.findings.push(format!("UNASKED {task} run {run}: nobody submitted it"));
            return;
        };
        let mut found = Vec::new();
        let others = self.machines.iter().enumerate();
        let mut others = others.filter(|(i, m)| *i != index && m.alive && m.runs.contains_key(task));
        if let Some((_, other)) = others.next() {
            found.push(format!("TWICE {task} run {run}: another run is on {}", other.id));
        }
        if self.noted_done.contains(task) {
            found.push(format!("TWICE {task} run {run}: its end as done has been taken note of"));
        }
        let machine = &self.machines[index];
        let cpu_of = |task: &str| self.work.get(&work_key(task)).map_or(0, |work| work.cpu);
        let used: u64 = machine.runs.keys().map(|task| cpu_of(task)).sum();
        if used + work.cpu > 16_000 {
            found.push(format!("LIMIT {task} run {run}: {used} in use on {}", machine.id));
        }
        if work.requires.is_some_and(|kind| kind != machine.kind) {
            found.push(format!("ROUTE {task} run {run}: {} is of kind {}", machine.id, machine.kind));
        }
        let beside = machine.runs.keys().filter(|other| step_of(other) == step_of(task)).count();
        if work.apart.is_some_and(|most| beside >= most) {
            found.push(format!("ROUTE {task} run {run}: {beside} of its step on {}", machine.id));
        }
        let (id, _) = task.split_once('.').unwrap();
        let occurrence = task.split('.').nth(1).unwrap_or("0");
        for step in &work.after {
            let count = self.work.get(&format!("{id}.{step}")).map_or(0, |work| work.count);
            let not_done = (0..count).find(|i| !self.done.contains(&format!("{id}.{occurrence}.{step}.{i}")));
            if let Some(i) = not_done {
                found.push(format!("ORDER {task} run {run}: {id}.{occurrence}.{step}.{i} is not done"));
            }
        }
        if let Some((first, interval)) = work.due {
            let due = first + interval * occurrence.parse::<u64>().unwrap_or(0);
            if unix_ms() + 250 < due {
                found.push(format!("ORDER {task} run {run}: {} ms early", due - unix_ms()));
            }
        }
        let key = if work.gang { step_of(task) } else { task };
        let failed = self.noted_failed.get(key).map_or(0, HashSet::len);
        if work.work_ms.is_some() && work.attempts > 0 && failed >= work.attempts {
            found.push(format!("BUDGET {task} run {run}: {failed} ends as failed have been taken note of"));
        }
        if self.cancelled.get(id).is_some_and(|at| at.elapsed() > Duration::from_secs(3)) {
            found.push(format!("UNASKED {task} run {run}: its submission is cancelled"));
        }
        self.findings.extend(found);
    }

    fn next_id(&mut self) -> String {
        self.lives += 1;
        format!("i-{:08x}", 0x7f3a_9000 + self.lives)
    }
}

fn is_done(run: &Run, work: &Work, speed: f64, now: Instant) -> bool {
    work.work_ms.is_some_and(|ms| worked_ms(run, now) as f64 * speed >= ms as f64)
}

/// The work that the run and those before it have done.
fn worked_ms(run: &Run, now: Instant) -> u64 {
    let before: u64 = run.checkpoint.parse().unwrap_or(0);
    let since = run.works_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    before + since.as_millis() as u64
}

/// The checkpoint of a run; work in milliseconds, in steps of the interval.
fn saved(run: &Run, work: Option<&Work>, now: Instant) -> String {
    if !work.is_some_and(|work| work.saves) {
        return String::new();
    }
    let worked = worked_ms(run, now) / CHECKPOINT_MS * CHECKPOINT_MS;
    if worked == 0 { String::new() } else { worked.to_string() }
}

fn lists(machine: &Machine, work: &HashMap<String, Work>) -> Json {
    let now = Instant::now();
    let running = machine.runs.values().map(|run| {
        let saved = saved(run, work.get(&work_key(&run.task)), now);
        Json::Arr(vec![s(&run.task), n(run.run), s(saved), n(50), n(0)])
    });
    let ended = machine.ended.iter().take(500).map(|end| {
        Json::Arr(vec![n(end.number), s(&end.task), n(end.run), s(end.how), s(&end.saved)])
    });
    obj(vec![
        ("ClockMs", n(machine.clock_ms())),
        ("born", n(machine.born)),
        ("Running", Json::Arr(running.collect())),
        ("Ended", Json::Arr(ended.collect())),
    ])
}

fn listing(machine: &Machine) -> Json {
    obj(vec![
        ("Service", s("svc")),
        ("Addr", s(machine.address.to_string())),
        ("Zone", s("zone-a")),
        ("Version", s("v1")),
        ("Slots", n(8)),
        ("State", s("ready")),
        ("ColdLeftMs", n(0)),
        ("Capacity", obj(vec![("Cpu", n(16_000)), ("MemMb", n(65_536)), ("Gpu", n(0))])),
        ("Labels", Json::Arr(vec![s(machine.kind), s("r1-1")])),
        ("ClockMs", n(machine.clock_ms())),
        ("Seq", n(machine.beats)),
        ("born", n(machine.born)),
    ])
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
