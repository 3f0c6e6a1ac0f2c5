//! A cell of processes, its configuration and its faults.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use chestnutlug::adapter::http::HttpClient;
use chestnutlug::adapter::table::HttpTable;
use chestnutlug::model::{VmName, WorkerName};
use chestnutlug::oracle::{CheckOptions, Observations, ReportedWork, Verdict, check_invariants};
use chestnutlug::port::table::Table;
use chestnutlug::port::vm_list::ListedVm;
use chestnutlug::shard::rows::{ShardRow, decode, shard_key};
use chestnutlug::standin::{backend, worker};
use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde::de::DeserializeOwned;
use tempfile::TempDir;

use super::layout::Layout;
use super::links::Links;
use super::process::Process;

/// The shards of workers.
pub const SHARDS: [&str; 2] = ["s-0", "s-1"];

/// A service whose requests may be repeated, and one whose may not.
pub const SERVICES: [&str; 2] = ["repeatable", "once"];

const SECRET: &str = "a secret of the process tests";

/// How long the cell may take until it works, and a planned stop until it ends.
const LIMIT: Duration = Duration::from_secs(30);

/// How long one call of the tests themselves may take.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The addresses at which callers find the VMs; the platform's balancer, as it were.
pub type Balancer = Arc<RwLock<Vec<SocketAddr>>>;

pub struct Cell {
    dir: TempDir,
    pub layout: Layout,
    pub links: Links,
    pub platform: Process,
    pub workers: Vec<Process>,
    pub backends: Vec<Process>,
    pub vms: Vec<Process>,
    pub balancer: Balancer,
    starts: usize,
    killed: Vec<(WorkerName, u64)>,
}

impl Cell {
    /// Starts the usual cell; see [`Cell::of`].
    pub async fn start() -> Self {
        Self::of(Layout::default()).await
    }

    /// Starts everything, applies a configuration and waits until work is taken.
    pub async fn of(layout: Layout) -> Self {
        let dir = TempDir::new().unwrap();
        let at = |name: &str| dir.path().join(name);
        std::fs::write(at("secret"), SECRET).unwrap();
        let log = |name: &str| at(&format!("{name}.log"));
        let platform = Process::start(&["standin", "platform"], 1, &log("platform"));
        let workers: Vec<Process> = (0..layout.workers)
            .map(|i| start_worker(dir.path(), i))
            .collect();
        let backends = (0..layout.backends)
            .map(|i| start_backend(dir.path(), i))
            .collect();
        let links = match layout.relayed {
            true => Links::to(platform.addresses[0], &addresses(&workers), layout.vms).await,
            false => Links::default(),
        };
        let mut cell = Self {
            dir,
            layout,
            links,
            platform,
            workers,
            backends,
            vms: Vec::new(),
            balancer: Balancer::default(),
            starts: 0,
            killed: Vec::new(),
        };
        cell.apply_config();
        for i in 0..layout.vms {
            cell.start_vm(i);
        }
        cell.await_ready().await;
        cell
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the configuration and applies it as an operator does.
    pub fn apply_config(&self) {
        let folder = self.path("config");
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("10-cell.toml"), self.config()).unwrap();
        let platform = self.platform.addresses[0].to_string();
        let folder = folder.to_str().unwrap();
        let args = [
            "config",
            "apply",
            folder,
            "--platform",
            &platform,
            "--author",
            "test",
        ];
        let code = Process::run(&args);
        assert_eq!(code, Some(0), "the configuration is accepted");
    }

    /// A folder of its own with the cell's configuration and these teams.
    pub fn folder_with(&self, teams: &[String]) -> PathBuf {
        let folder = self.path(&format!("config-{}", teams.join("-")));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("10-cell.toml"), self.config()).unwrap();
        let own = teams.iter().filter(|team| *team != "parlours");
        let teams = own.fold(String::new(), |mut text, team| {
            writeln!(text, "[team.{team}]\nbalance_core_hours = 1").unwrap();
            text
        });
        std::fs::write(folder.join("20-teams.toml"), teams).unwrap();
        folder
    }

    fn config(&self) -> String {
        let mut text = String::from(
            "[team.parlours]\nbalance_core_hours = 1000\n\n[kind.rebuild]\nmax_attempts = 20\n\n\
             [kind.swap]\nmax_attempts = 20\nurgency = \"urgent\"\n\n",
        );
        for service in SERVICES {
            let idempotent = service == SERVICES[0];
            writeln!(text, "[service.{service}]\nidempotent = {idempotent}\n").unwrap();
        }
        for (i, worker) in self.workers.iter().enumerate() {
            let shard = SHARDS[i % SHARDS.len()];
            let zone = i % self.layout.zones;
            let relay = self.links.workers.get(i);
            let address = relay.map_or(worker.addresses[0], |relay| relay.address);
            writeln!(
                text,
                "[worker.w-{i}]\nshard = \"{shard}\"\nzone = \"z-{zone}\"\nrack = \"r-{i}\"\n\
                 address = \"{address}\"\ncapacity = {{ cpu_milli = 4000, memory_mib = 4096 }}\n"
            )
            .unwrap();
        }
        for (i, backend) in self.backends.iter().enumerate() {
            let service = SERVICES[i % SERVICES.len()];
            let zone = i % self.layout.zones;
            let address = backend.addresses[0];
            writeln!(
                text,
                "[backend.b-{i}]\nservice = \"{service}\"\nzone = \"z-{zone}\"\n\
                 address = \"{address}\"\n"
            )
            .unwrap();
        }
        text
    }

    /// Starts the process of VM `i`, in the place of an earlier one or anew.
    pub fn start_vm(&mut self, i: usize) {
        self.starts += 1;
        let zone = i % self.layout.zones;
        let settings = self.path(&format!("vm-{i}.toml"));
        let secret = self.path("secret");
        let relay = self.links.platform.get(i);
        let platform = relay.map_or(self.platform.addresses[0], |relay| relay.address);
        let mut text = format!(
            "vm = \"vm-{i}\"\nzone = \"z-{zone}\"\ncallers = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n\
             secret_file = {secret:?}\ntask_lease_ms = 2000\nstop_ms = 20000\n"
        );
        if let Some(relay) = self.links.vms.get(i) {
            writeln!(text, "peers_advertised = \"{}\"", relay.address).unwrap();
        }
        std::fs::write(&settings, text).unwrap();
        let log = self.path(&format!("vm-{i}-{}.log", self.starts));
        let args = ["serve", "--settings", settings.to_str().unwrap()];
        let process = Process::start(&args, 3, &log);
        if let Some(relay) = self.links.vms.get(i) {
            relay.lead_to(process.addresses[1]);
        }
        match self.vms.get_mut(i) {
            Some(vm) => *vm = process,
            None => self.vms.push(process),
        }
        self.balance();
    }

    /// Lets the balancer name exactly the VMs that run.
    pub fn balance(&mut self) {
        let running = self.vms.iter_mut().filter_map(|vm| {
            let address = vm.addresses[0];
            vm.is_running().then_some(address)
        });
        *self.balancer.write().unwrap() = running.collect();
    }

    /// Lets the balancer name VM `i` no more.
    pub fn unbalance(&self, i: usize) {
        let address = self.vms[i].addresses[0];
        self.balancer
            .write()
            .unwrap()
            .retain(|known| *known != address);
    }

    /// Waits until every running VM takes work and every shard has an owner.
    pub async fn await_ready(&self) {
        let begin = Instant::now();
        let addresses = self.balancer.read().unwrap().clone();
        for address in addresses {
            while !is_healthy(address).await {
                assert!(begin.elapsed() < LIMIT, "{address} is not ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        for shard in SHARDS {
            while self.owner(shard).await.is_none() {
                assert!(begin.elapsed() < LIMIT, "{shard} has no owner");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// The VM that owns `shard` by the table, and its epoch.
    pub async fn owner(&self, shard: &str) -> Option<(usize, u64)> {
        let table = HttpTable::new(self.platform.addresses[0], CALL_LIMIT);
        let row = table.read(&shard_key(&shard.into())).await.ok()??;
        let row: ShardRow = decode(&row.value).ok()?;
        let vm: VmName = row.owner?.vm;
        Some((vm.as_str().strip_prefix("vm-")?.parse().ok()?, row.epoch))
    }

    /// Sets switches of the platform.
    pub async fn platform_switches(&self, json: &'static str) {
        post(self.platform.addresses[0], json).await;
    }

    /// Sets switches of worker `i`.
    pub async fn worker_switches(&self, i: usize, json: &'static str) {
        post(self.workers[i].addresses[0], json).await;
    }

    /// Sets switches of backend server `i`.
    pub async fn backend_switches(&self, i: usize, json: &'static str) {
        post(self.backends[i].addresses[1], json).await;
    }

    /// Sets the platform's list of VMs.
    pub async fn list_vms(&self, vms: &[ListedVm]) {
        let client = HttpClient::new(self.platform.addresses[0], 1);
        let body = serde_json::to_vec(vms).unwrap().into();
        let answer = client.call(Method::PUT, "/vms", body, CALL_LIMIT).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }

    /// Kills worker `i` and notes when it was surely gone.
    pub fn kill_worker(&mut self, i: usize) {
        self.workers[i].kill();
        self.killed
            .push((format!("w-{i}").as_str().into(), unix_us()));
    }

    /// Stops VM `i` as planned and returns its exit code.
    pub async fn stop_vm(&mut self, i: usize) -> Option<i32> {
        self.vms[i].signal(Signal::SIGTERM);
        let code = self.vms[i].exit_code(LIMIT).await;
        self.balance();
        code
    }

    /// Judges what the stand-ins saw, beside what callers were told.
    pub fn judge(&self, reported: &[ReportedWork], faults_injected: bool) -> Verdict {
        let workers: Vec<_> = (0..self.layout.workers)
            .flat_map(|i| journal(&self.path(&format!("w-{i}.journal"))))
            .collect();
        let backends: Vec<_> = (0..self.layout.backends)
            .flat_map(|i| journal(&self.path(&format!("b-{i}.journal"))))
            .collect();
        let evidence = Observations {
            workers: &workers,
            backends: &backends,
            reported,
            killed_workers: &self.killed,
        };
        let rules = CheckOptions {
            faults_injected,
            ..CheckOptions::default()
        };
        check_invariants(evidence, rules)
    }

    /// When tasks started in shard `shard`, in microseconds since the Unix epoch, with the epoch.
    pub fn starts(&self, shard: usize) -> Vec<(u64, u64)> {
        let workers = (shard..self.layout.workers).step_by(SHARDS.len());
        workers.flat_map(|i| self.starts_on(i)).collect()
    }

    /// The same on worker `i` alone.
    pub fn starts_on(&self, i: usize) -> Vec<(u64, u64)> {
        let entries = journal(&self.path(&format!("w-{i}.journal"))).into_iter();
        let starts =
            entries.filter(|e: &worker::JournalEntry| e.event == worker::JournalEvent::Started);
        starts.map(|entry| (entry.time_us, entry.epoch)).collect()
    }

    /// The workers on which tasks of `work` started.
    pub fn started_on(&self, work: &str) -> Vec<usize> {
        let named = |entry: &worker::JournalEntry| {
            entry.event == worker::JournalEvent::Started && entry.work.as_deref() == Some(work)
        };
        let workers = (0..self.layout.workers).flat_map(|i| {
            let entries = journal(&self.path(&format!("w-{i}.journal")));
            entries.into_iter().filter(named).map(move |_| i)
        });
        workers.collect()
    }

    /// How many calls under epoch `epoch` the workers of shard `shard` turned away as fenced.
    pub fn fenced(&self, shard: usize, epoch: u64) -> usize {
        let workers = (shard..self.layout.workers).step_by(SHARDS.len());
        let entries = workers.flat_map(|i| journal(&self.path(&format!("w-{i}.journal"))));
        let fenced =
            entries.filter(|e: &worker::JournalEntry| e.event == worker::JournalEvent::Fenced);
        fenced.filter(|entry| entry.epoch == epoch).count()
    }

    /// When backend servers were given requests, in microseconds since the Unix epoch.
    pub fn requests_begun(&self) -> Vec<u64> {
        let entries =
            (0..self.layout.backends).flat_map(|i| journal(&self.path(&format!("b-{i}.journal"))));
        let begun =
            entries.filter(|e: &backend::JournalEntry| e.event == backend::JournalEvent::Begin);
        begun.map(|entry| entry.time_us).collect()
    }

    /// Keeps the logs and journals where a test failed.
    pub fn keep(self) -> PathBuf {
        let Self { dir, .. } = self;
        dir.keep()
    }
}

pub fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_micros()).unwrap()
}

fn addresses(processes: &[Process]) -> Vec<SocketAddr> {
    let first = processes.iter().map(|process| process.addresses[0]);
    first.collect()
}

fn start_worker(dir: &Path, i: usize) -> Process {
    let name = format!("w-{i}");
    let journal = dir.join(format!("{name}.journal"));
    let log = dir.join(format!("{name}.log"));
    let args = ["standin", "worker", "--name", &name];
    let holds = ["--cpu-milli", "4000", "--memory-mib", "4096"];
    let journal = ["--journal", journal.to_str().unwrap()];
    Process::start(&[&args[..], &holds, &journal].concat(), 1, &log)
}

fn start_backend(dir: &Path, i: usize) -> Process {
    let name = format!("b-{i}");
    let journal = dir.join(format!("{name}.journal"));
    let log = dir.join(format!("{name}.log"));
    let args = ["standin", "backend", "--name", &name];
    let journal = ["--journal", journal.to_str().unwrap()];
    Process::start(&[&args[..], &journal].concat(), 2, &log)
}

fn journal<T: DeserializeOwned>(path: &Path) -> Vec<T> {
    let text = std::fs::read_to_string(path).unwrap();
    // The last line may be half written while its process runs.
    let whole = text.rfind('\n').map_or(0, |end| end + 1);
    let lines = text[..whole].lines().map(serde_json::from_str);
    lines.collect::<Result<_, _>>().unwrap()
}

async fn post(address: SocketAddr, json: &'static str) {
    let client = HttpClient::new(address, 1);
    let body = Bytes::from_static(json.as_bytes());
    let answer = client
        .call(Method::POST, "/switches", body, CALL_LIMIT)
        .await;
    assert_eq!(answer.unwrap().status, StatusCode::OK, "{json}");
}

async fn is_healthy(address: SocketAddr) -> bool {
    let client = HttpClient::new(address, 1);
    let answer = client
        .call(Method::GET, "/healthz", Bytes::new(), CALL_LIMIT)
        .await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}
