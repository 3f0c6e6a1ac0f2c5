//! The processes of the system, and a client.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOLD_MAX_MS, SERVICE};
use crate::http;
use crate::json::{Json, map, n, s};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "rota.example";
pub const PREFIX: &str = "/rota/";
/// The clients' time budget and retries on the sheet of the deployment.
const BUDGET: Duration = Duration::from_secs(3);
const RETRIES: usize = 4;
const READY_TIMEOUT: Duration = Duration::from_secs(25);

pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    children: Mutex<Vec<Child>>,
    names: Vec<String>,
    root: PathBuf,
    command: Vec<String>,
    dir: PathBuf,
    next_front: std::sync::atomic::AtomicUsize,
}

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Accepted,
    /// Each attempt was answered 429, 503 or another 4xx.
    Rejected,
    Unknown,
}

/// Free ports of a loopback address that other runs of the scripts do not use, four for each machine.
fn free_ports(machines: usize) -> Vec<[SocketAddr; 4]> {
    let run = std::process::id();
    let address = format!("127.7.{}.{}:0", run / 250 % 250, 1 + run % 250);
    // All are bound at the same time, so that no port is returned twice.
    let bind = || TcpListener::bind(&address).expect("a free port");
    let bound: Vec<[TcpListener; 4]> = (0..machines).map(|_| [(); 4].map(|()| bind())).collect();
    let port = |listener: TcpListener| listener.local_addr().expect("its address");
    bound
        .into_iter()
        .map(|listeners| listeners.map(port))
        .collect()
}

impl Cell {
    /// Starts `machines` processes with the command of the deploy file in `root`.
    pub fn start(
        root: &Path,
        machines: usize,
        workers: usize,
        rare: &[usize],
        record: Arc<Record>,
    ) -> Option<Cell> {
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).ok()?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))?;
        let command = run
            .trim()
            .trim_matches('"')
            .split(' ')
            .map(str::to_owned)
            .collect();
        let store = Store::start();
        let fleet = Fleet::start(workers, rare, &store, record.clone());
        store.put("op", "config", &config());
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).ok()?;
        let ports = free_ports(machines);
        let seeds: Vec<String> = ports
            .iter()
            .take(3)
            .map(|p| format!("\"{}\"", p[2]))
            .collect();
        let mut cell = Cell {
            record,
            store: store.clone(),
            fleet,
            fronts: ports.iter().map(|p| p[0]).collect(),
            ready: ports.iter().map(|p| p[1]).collect(),
            children: Mutex::default(),
            names: Vec::new(),
            root: root.to_owned(),
            command,
            dir,
            next_front: 0.into(),
        };
        for (index, [front, ready, control, metrics]) in ports.iter().enumerate() {
            let zone = ["alfold-a", "alfold-b", "alfold-c"][index % 3];
            let name = format!("edge-{zone}-{index}");
            let text = format!(
                "vm = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{front}\"\n\
                 readiness = \"{ready}\"\npeers = \"{control}\"\nmetrics = \"{metrics}\"\n\
                 seeds = [{}]\nstore = \"{}\"\nlease_max_ms = {HOLD_MAX_MS}\ncores = 0.25\n\
                 core_speed = 1\ngrace_s = 6\n",
                seeds.join(","),
                store.address
            );
            let settings = cell.dir.join(format!("{index}.toml"));
            fs::write(&settings, text).ok()?;
            cell.names.push(name);
            let child = cell.spawn(index)?;
            cell.children.lock().unwrap().push(child);
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        for ready in cell.ready.clone() {
            let probe = || http::call(ready, "GET", "/chestnutlug/readyz", HOST, "", BUDGET);
            while probe().is_none_or(|(status, _)| status != 200) {
                if Instant::now() > deadline {
                    return None;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        cell.record.line("all machines are ready");
        Some(cell)
    }

    /// Starts the process of a machine.
    fn spawn(&self, index: usize) -> Option<Child> {
        let log = self.dir.join(format!("{index}.log"));
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(log)
            .ok()?;
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .current_dir(&self.root)
            .env(
                "CHESTNUTLUG_SETTINGS",
                self.dir.join(format!("{index}.toml")),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn();
        child.ok()
    }

    /// Kills the process of a machine with SIGKILL, and starts it again after a short delay.
    pub fn kill(&self, index: usize, why: &str) {
        self.record
            .line(&format!("the process on machine {index} is killed: {why}"));
        let mut children = self.children.lock().unwrap();
        let _ = children[index].kill();
        let _ = children[index].wait();
        std::thread::sleep(Duration::from_millis(500));
        if let Some(child) = self.spawn(index) {
            children[index] = child;
        }
        self.record
            .line(&format!("the process on machine {index} is started again"));
    }

    /// The machine that last wrote to the store under a condition.
    pub fn leader(&self) -> Option<usize> {
        (0..50).find_map(|_| {
            std::thread::sleep(Duration::from_millis(50));
            self.names
                .iter()
                .position(|name| self.store.last_writer_is(name))
        })
    }

    /// The resident memory of each machine's process, in MB.
    pub fn memory_mb(&self) -> Vec<u64> {
        let of = |child: &Child| {
            let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
            let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        let children = self.children.lock().unwrap();
        children
            .iter()
            .map(|child| of(child).unwrap_or(0) / 1_000)
            .collect()
    }

    /// Sends one request to the next machine, and records it.
    fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let next = self
            .next_front
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let machine = next % self.fronts.len();
        let shown: String = body.chars().take(200).collect();
        self.record.line(&format!(
            "client sends {method} {path} {shown} to machine {machine}"
        ));
        let answer = http::call(self.fronts[machine], method, path, HOST, body, BUDGET);
        self.record
            .line(&format!("client gets for {method} {path}: {answer:?}"));
        answer
    }

    /// Submits; repeats as clients do until an answer is final.
    pub fn submit(&self, id: &str, spec: &str, phases: Json) -> Answer {
        let body = map(vec![("Spec", s(spec)), ("Phases", phases)]).to_string();
        let mut unknown = false;
        for _ in 0..=RETRIES {
            match self.call("POST", &format!("{PREFIX}{id}"), &body) {
                Some((200..=299, _)) => return Answer::Accepted,
                Some((429 | 503, _)) => std::thread::sleep(Duration::from_secs(1)),
                Some((400..=499, _)) => return Answer::Rejected,
                _ => unknown = true,
            }
        }
        if unknown {
            Answer::Unknown
        } else {
            Answer::Rejected
        }
    }

    /// The state of a submission: a state's name, `gone`, or nothing.
    pub fn state(&self, id: &str) -> Option<String> {
        match self.call("GET", &format!("{PREFIX}{id}"), "")? {
            (200, body) => Some(Json::parse(body.as_bytes())?.get("State").text().to_owned()),
            (410, _) => Some("gone".to_owned()),
            _ => None,
        }
    }

    /// Cancels; true once that is acknowledged with 2xx.
    pub fn cancel(&self, id: &str) -> bool {
        (0..=RETRIES).any(|_| {
            let answer = self.call("DELETE", &format!("{PREFIX}{id}"), "");
            answer.is_some_and(|(status, _)| (200..=299).contains(&status))
        })
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
        }
    }
}

/// A desired state with one queue.
fn config() -> Json {
    let route = map(vec![
        ("Name", s("r-3hwrr6x")),
        ("Host", s(HOST)),
        ("Prefix", s(PREFIX)),
        ("Kind", s("mutating")),
        ("TimeoutMs", n(3_000)),
        ("SloMs", n(3_000)),
        ("Priority", n(2)),
        ("Service", s(SERVICE)),
        ("Attempts", n(4)),
        ("SlackFactor", Json::Num(4.0)),
    ]);
    let service = map(vec![
        ("Name", s(SERVICE)),
        ("HealthPath", s("/healthz")),
        ("MaxConns", n(64)),
        ("Proto", s("h1")),
        ("Tls", Json::Bool(false)),
        ("RejectsOverload", Json::Bool(false)),
        ("Standby", Json::Bool(false)),
    ]);
    let limits = map(vec![
        ("MaxHeaderBytes", n(16_384)),
        ("MaxBodyBytes", n(262_144)),
        ("HeaderTimeoutMs", n(3_000)),
        ("IdleTimeoutMs", n(15_000)),
    ]);
    map(vec![
        ("Version", n(7)),
        ("Routes", Json::List(vec![route])),
        ("Services", Json::List(vec![service])),
        ("Limits", limits),
    ])
}
