//! A small deployment: the VMs of the deploy file as processes of their own, and the clients' calls.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOLD_MAX_MS};
use crate::http;
use crate::json::{Json, n, obj, s};
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

/// The ids of the running VM processes.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the VM processes that still run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).stderr(Stdio::null()).status();
    }
}

pub struct Vm {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub process: Option<Child>,
}

pub struct Cell {
    pub vms: Vec<Vm>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub record: Arc<Record>,
    folder: PathBuf,
    /// The key of the client, where the desired state has tenants.
    pub key: Option<String>,
}

fn end(mut process: Child) {
    let _ = process.kill();
    let _ = process.wait();
    RUNNING.lock().unwrap().retain(|id| *id != process.id());
}

/// A free address. Its port is outside of the range from which outgoing connections get theirs, so that
/// none takes it before the VM listens.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = (std::process::id() * 61 + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Cell {
    /// Starts `vms` VMs and a worker of each of `kinds`; `config` is the desired state.
    pub fn start(vms: usize, kinds: &[&'static str], config: &Json, record: &str) -> Self {
        let record = Arc::new(Record::create(record));
        let store = Store::start(vms, 1);
        store.put("op", "config", Some(config));
        let fleet = Fleet::start(store.clone(), record.clone(), kinds);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let addresses: Vec<[SocketAddr; 4]> =
            (0..vms).map(|_| [(); 4].map(|()| free_address())).collect();
        let seeds: Vec<String> = addresses.iter().take(3).map(|a| format!("\"{}\"", a[2])).collect();
        let vms = addresses.iter().enumerate().map(|(i, [callers, readiness, peers, metrics])| {
            let name = format!("edge-{i}");
            let settings = folder.join(format!("{name}.toml"));
            let text = format!(
                "vm = \"{name}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
                 peers = \"{peers}\"\nmetrics = \"{metrics}\"\nseeds = [{}]\nstore = \"{}\"\n\
                 lease_max_ms = {HOLD_MAX_MS}\ncores = 0.25\ncore_speed = 1\ngrace_s = 6\n",
                seeds.join(","),
                store.addresses[i]
            );
            std::fs::write(&settings, text).unwrap();
            let log = folder.join(format!("{name}.log"));
            Vm { name, settings, log, callers: *callers, readiness: *readiness, process: None }
        });
        let vms = vms.collect();
        let mut cell = Self { vms, store, fleet, record, folder, key: None };
        for vm in 0..cell.vms.len() {
            cell.start_vm(vm);
        }
        cell
    }

    /// Runs the command of the deploy file.
    pub fn start_vm(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&vm.log).unwrap();
        let process = Command::new("target/release/chestnutlug")
            .arg("coordinate")
            .env("CHESTNUTLUG_SETTINGS", &vm.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let process = process.expect("cannot start the program");
        RUNNING.lock().unwrap().push(process.id());
        vm.process = Some(process);
        self.record.line(&format!("VM {} starts", self.vms[index].name));
    }

    pub fn signal_vm(&self, index: usize, signal: &str) {
        if let Some(process) = &self.vms[index].process {
            let _ = Command::new("kill").arg(signal).arg(process.id().to_string()).status();
        }
        self.record.line(&format!("VM {} gets {signal}", self.vms[index].name));
    }

    pub fn kill_vm(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if let Some(process) = vm.process.take() {
            end(process);
        }
        self.record.line(&format!("VM {} is killed", self.vms[index].name));
    }

    /// Waits until all VMs are ready; false if that takes longer than 20 s.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let ready = |vm: &Vm| {
                let response = http::call(vm.readiness, "GET", "vm", "/chestnutlug/readyz", &[], "");
                response.is_some_and(|(status, _)| status == 200)
            };
            if self.vms.iter().all(ready) {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// The VM whose log says last that it has loaded the workflows of the shard.
    pub fn owner(&self) -> Option<usize> {
        const TEXT: &str = "the workflows of a claimed shard are loaded";
        let mut found = None;
        for (index, vm) in self.vms.iter().enumerate() {
            let log = std::fs::read_to_string(&vm.log).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains(TEXT)) {
                let entry = Json::parse(line).unwrap_or(Json::Null);
                let at = entry.get("timestamp").str().to_owned();
                if found.as_ref().is_none_or(|(last, _)| *last < at) {
                    found = Some((at, index));
                }
            }
        }
        found.map(|(_, index)| index)
    }

    pub fn call(&self, vm: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let bearer = self.key.as_ref().map(|key| format!("Bearer {key}"));
        let headers: Vec<(&str, &str)> =
            bearer.iter().map(|bearer| ("Authorization", bearer.as_str())).collect();
        let path = format!("{PREFIX}{path}");
        let response = http::call(self.vms[vm].callers, method, HOST, &path, &headers, body);
        let answer = response.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        let sent = body.chars().take(160).collect::<String>();
        self.record.line(&format!("client: {method} {path} at {} {sent} -> {answer}", self.vms[vm].name));
        response
    }

    /// Hands in a submission until it is accepted.
    pub fn submit(&self, id: &str, body: &Json) -> bool {
        let body = body.to_string();
        (0..5).any(|attempt| {
            let response = self.call(attempt % self.vms.len(), "POST", id, &body);
            let accepted = response.is_some_and(|(status, _)| status == 200);
            if !accepted {
                std::thread::sleep(Duration::from_millis(500));
            }
            accepted
        })
    }

    /// The state that any VM shows.
    pub fn state(&self, id: &str) -> Option<String> {
        (0..self.vms.len()).find_map(|vm| {
            let (status, body) = self.call(vm, "GET", id, "")?;
            (status == 200).then(|| Json::parse(&body).unwrap_or(Json::Null).get("State").str().to_owned())
        })
    }

    /// Ends all processes; the folder with their logs is removed unless `KEEP_LOGS` is set.
    pub fn stop(&mut self) {
        for vm in &mut self.vms {
            if let Some(process) = vm.process.take() {
                end(process);
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The prefix of the urgent queue.
pub const URGENT_PREFIX: &str = "/pule252/";

fn route(name: &str, prefix: &str, priority: u64, slo_ms: u64) -> Json {
    obj(vec![
        ("Name", s(name)),
        ("Host", s(HOST)),
        ("Prefix", s(prefix)),
        ("Kind", s("mutating")),
        ("TimeoutMs", n(3_000)),
        ("SloMs", n(slo_ms)),
        ("Priority", n(priority)),
        ("Service", s("svc")),
        ("Attempts", n(4)),
        ("SlackFactor", Json::Num(2.2)),
    ])
}

/// A desired state with a queue of priority 1 and an urgent one.
pub fn config(tenants: Option<Json>) -> Json {
    let routes = vec![route("r-3hwrr6x", PREFIX, 1, 1_000), route("r-9n73hh2", URGENT_PREFIX, 0, 250)];
    let service = obj(vec![
        ("Name", s("svc")),
        ("HealthPath", s("/healthz")),
        ("MaxConns", n(64)),
        ("Proto", s("h1")),
        ("Tls", Json::Bool(false)),
        ("RejectsOverload", Json::Bool(false)),
        ("Standby", Json::Bool(false)),
    ]);
    let limits = obj(vec![("MaxHeaderBytes", n(16_384)), ("MaxBodyBytes", n(262_144))]);
    let mut members = vec![
        ("Version", n(7)),
        ("Routes", Json::Arr(routes)),
        ("Services", Json::Arr(vec![service])),
        ("Limits", limits),
    ];
    if let Some(tenants) = tenants {
        members.push(("Tenants", tenants));
    }
    obj(members)
}
