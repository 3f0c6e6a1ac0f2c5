//! A cell of separate processes, its configuration and the faults that tests inject into it.

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

/// The shards that the workers form.
pub const SHARDS: [&str; 2] = ["s-0", "s-1"];

/// An idempotent service and one that is not idempotent.
pub const SERVICES: [&str; 2] = ["repeatable", "once"];

const SECRET: &str = "a secret of the process tests";

/// The timeout for the cell to become ready and for the planned stop of a VM.
const LIFECYCLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout of calls that the tests make themselves.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The addresses of the VMs that callers use, in place of the platform's load balancer.
pub type LoadBalancer = Arc<RwLock<Vec<SocketAddr>>>;

pub struct Cell {
    dir: TempDir,
    pub layout: Layout,
    pub links: Links,
    pub platform: Process,
    pub workers: Vec<Process>,
    pub backends: Vec<Process>,
    pub vms: Vec<Process>,
    pub load_balancer: LoadBalancer,
    vm_starts: usize,
    killed_workers: Vec<(WorkerName, u64)>,
}

impl Cell {
    /// Starts a cell of the default layout; see [`Cell::start_with`].
    pub async fn start() -> Self {
        Self::start_with(Layout::default()).await
    }

    /// Starts all processes, applies a configuration and waits until the cell is ready.
    pub async fn start_with(layout: Layout) -> Self {
        let dir = TempDir::new().unwrap();
        let path = |name: &str| dir.path().join(name);
        std::fs::write(path("secret"), SECRET).unwrap();
        let log = |name: &str| path(&format!("{name}.log"));
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
            load_balancer: LoadBalancer::default(),
            vm_starts: 0,
            killed_workers: Vec::new(),
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

    /// Writes the configuration and applies it with `config apply`, as an operator does.
    pub fn apply_config(&self) {
        let config_dir = self.path("config");
        std::fs::create_dir_all(&config_dir).unwrap();
        std::fs::write(config_dir.join("10-cell.toml"), self.config_toml()).unwrap();
        let platform = self.platform.addresses[0].to_string();
        let config_dir = config_dir.to_str().unwrap();
        let args = [
            "config",
            "apply",
            config_dir,
            "--platform",
            &platform,
            "--author",
            "test",
        ];
        let code = Process::run(&args);
        assert_eq!(code, Some(0), "`config apply` accepts the configuration");
    }

    /// Writes the cell's configuration and these teams to a folder of its own and returns its path.
    pub fn write_config_with_teams(&self, teams: &[String]) -> PathBuf {
        let config_dir = self.path(&format!("config-{}", teams.join("-")));
        std::fs::create_dir_all(&config_dir).unwrap();
        std::fs::write(config_dir.join("10-cell.toml"), self.config_toml()).unwrap();
        let added = teams.iter().filter(|team| *team != "parlours");
        let teams = added.fold(String::new(), |mut text, team| {
            writeln!(text, "[team.{team}]\nbalance_core_hours = 1").unwrap();
            text
        });
        std::fs::write(config_dir.join("20-teams.toml"), teams).unwrap();
        config_dir
    }

    fn config_toml(&self) -> String {
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

    /// Starts the process of VM `i` in place of an earlier one, if there is one.
    pub fn start_vm(&mut self, i: usize) {
        self.vm_starts += 1;
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
        let log = self.path(&format!("vm-{i}-{}.log", self.vm_starts));
        let args = ["serve", "--settings", settings.to_str().unwrap()];
        let process = Process::start(&args, 3, &log);
        if let Some(relay) = self.links.vms.get(i) {
            relay.set_target(process.addresses[1]);
        }
        match self.vms.get_mut(i) {
            Some(vm) => *vm = process,
            None => self.vms.push(process),
        }
        self.update_load_balancer();
    }

    /// Sets the load balancer to the VMs that are running.
    pub fn update_load_balancer(&mut self) {
        let running = self.vms.iter_mut().filter_map(|vm| {
            let address = vm.addresses[0];
            vm.is_running().then_some(address)
        });
        *self.load_balancer.write().unwrap() = running.collect();
    }

    /// Removes VM `i` from the load balancer.
    pub fn remove_from_load_balancer(&self, i: usize) {
        let address = self.vms[i].addresses[0];
        self.load_balancer
            .write()
            .unwrap()
            .retain(|known| *known != address);
    }

    /// Waits until every VM of the load balancer is healthy and every shard of workers has an owner.
    pub async fn await_ready(&self) {
        let begin = Instant::now();
        let addresses = self.load_balancer.read().unwrap().clone();
        for address in addresses {
            while !is_healthy(address).await {
                assert!(
                    begin.elapsed() < LIFECYCLE_TIMEOUT,
                    "the VM at {address} is not healthy in time"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        for shard in SHARDS {
            while self.owner(shard).await.is_none() {
                assert!(
                    begin.elapsed() < LIFECYCLE_TIMEOUT,
                    "shard {shard} has no owner in time"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// The VM that owns `shard` according to the platform's table, and its epoch.
    pub async fn owner(&self, shard: &str) -> Option<(usize, u64)> {
        let table = HttpTable::new(self.platform.addresses[0], CALL_TIMEOUT);
        let row = table.read(&shard_key(&shard.into())).await.ok()??;
        let row: ShardRow = decode(&row.value).ok()?;
        let vm: VmName = row.owner?.vm;
        Some((vm.as_str().strip_prefix("vm-")?.parse().ok()?, row.epoch))
    }

    /// Sets switches of the platform.
    pub async fn set_platform_switches(&self, json: &'static str) {
        post_switches(self.platform.addresses[0], json).await;
    }

    /// Sets switches of worker `i`.
    pub async fn set_worker_switches(&self, i: usize, json: &'static str) {
        post_switches(self.workers[i].addresses[0], json).await;
    }

    /// Sets switches of backend server `i`.
    pub async fn set_backend_switches(&self, i: usize, json: &'static str) {
        post_switches(self.backends[i].addresses[1], json).await;
    }

    /// Sets the platform's list of VMs.
    pub async fn set_vm_list(&self, vms: &[ListedVm]) {
        let client = HttpClient::new(self.platform.addresses[0], 1);
        let body = serde_json::to_vec(vms).unwrap().into();
        let response = client.call(Method::PUT, "/vms", body, CALL_TIMEOUT).await;
        assert_eq!(response.unwrap().status, StatusCode::OK);
    }

    /// Kills worker `i` and records a time at which it has certainly ended.
    pub fn kill_worker(&mut self, i: usize) {
        self.workers[i].kill();
        self.killed_workers
            .push((format!("w-{i}").as_str().into(), unix_us()));
    }

    /// Stops VM `i` as planned and returns its exit code.
    pub async fn stop_vm(&mut self, i: usize) -> Option<i32> {
        self.vms[i].signal(Signal::SIGTERM);
        let code = self.vms[i].exit_code(LIFECYCLE_TIMEOUT).await;
        self.update_load_balancer();
        code
    }

    /// Checks the stand-ins' journals against the outcomes that were reported to callers.
    pub fn check_invariants(&self, reported: &[ReportedWork], faults_injected: bool) -> Verdict {
        let workers: Vec<_> = (0..self.layout.workers)
            .flat_map(|i| read_journal(&self.path(&format!("w-{i}.journal"))))
            .collect();
        let backends: Vec<_> = (0..self.layout.backends)
            .flat_map(|i| read_journal(&self.path(&format!("b-{i}.journal"))))
            .collect();
        let observations = Observations {
            workers: &workers,
            backends: &backends,
            reported,
            killed_workers: &self.killed_workers,
        };
        let options = CheckOptions {
            faults_injected,
            ..CheckOptions::default()
        };
        check_invariants(observations, options)
    }

    /// When tasks started in shard `shard`, in microseconds since the Unix epoch, and the owner's epoch
    /// under which they started.
    pub fn task_starts(&self, shard: usize) -> Vec<(u64, u64)> {
        let workers = (shard..self.layout.workers).step_by(SHARDS.len());
        workers.flat_map(|i| self.task_starts_on(i)).collect()
    }

    /// As [`Self::task_starts`], on worker `i` only.
    pub fn task_starts_on(&self, i: usize) -> Vec<(u64, u64)> {
        let entries = read_journal(&self.path(&format!("w-{i}.journal"))).into_iter();
        let starts =
            entries.filter(|e: &worker::JournalEntry| e.event == worker::JournalEvent::Started);
        starts.map(|entry| (entry.time_us, entry.epoch)).collect()
    }

    /// The workers on which tasks of `work` started, one entry for each start.
    pub fn workers_that_started(&self, work: &str) -> Vec<usize> {
        let is_start = |entry: &worker::JournalEntry| {
            entry.event == worker::JournalEvent::Started && entry.work.as_deref() == Some(work)
        };
        let workers = (0..self.layout.workers).flat_map(|i| {
            let entries = read_journal(&self.path(&format!("w-{i}.journal")));
            entries.into_iter().filter(is_start).map(move |_| i)
        });
        workers.collect()
    }

    /// The number of requests of epoch `epoch` that the workers of shard `shard` rejected as fenced.
    pub fn fenced_requests(&self, shard: usize, epoch: u64) -> usize {
        let workers = (shard..self.layout.workers).step_by(SHARDS.len());
        let entries = workers.flat_map(|i| read_journal(&self.path(&format!("w-{i}.journal"))));
        let fenced =
            entries.filter(|e: &worker::JournalEntry| e.event == worker::JournalEvent::Fenced);
        fenced.filter(|entry| entry.epoch == epoch).count()
    }

    /// The times at which requests began on backend servers, in microseconds since the Unix epoch.
    pub fn request_begin_times(&self) -> Vec<u64> {
        let entries = (0..self.layout.backends)
            .flat_map(|i| read_journal(&self.path(&format!("b-{i}.journal"))));
        let begins =
            entries.filter(|e: &backend::JournalEntry| e.event == backend::JournalEvent::Begin);
        begins.map(|entry| entry.time_us).collect()
    }

    /// Keeps the logs and journals of a failed test and returns their folder.
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
    let capacity = ["--cpu-milli", "4000", "--memory-mib", "4096"];
    let journal = ["--journal", journal.to_str().unwrap()];
    Process::start(&[&args[..], &capacity, &journal].concat(), 1, &log)
}

fn start_backend(dir: &Path, i: usize) -> Process {
    let name = format!("b-{i}");
    let journal = dir.join(format!("{name}.journal"));
    let log = dir.join(format!("{name}.log"));
    let args = ["standin", "backend", "--name", &name];
    let journal = ["--journal", journal.to_str().unwrap()];
    Process::start(&[&args[..], &journal].concat(), 2, &log)
}

fn read_journal<T: DeserializeOwned>(path: &Path) -> Vec<T> {
    let text = std::fs::read_to_string(path).unwrap();
    // The last line may be incomplete while the process runs.
    let complete_len = text.rfind('\n').map_or(0, |end| end + 1);
    let lines = text[..complete_len].lines().map(serde_json::from_str);
    lines.collect::<Result<_, _>>().unwrap()
}

async fn post_switches(address: SocketAddr, json: &'static str) {
    let client = HttpClient::new(address, 1);
    let body = Bytes::from_static(json.as_bytes());
    let response = client
        .call(Method::POST, "/switches", body, CALL_TIMEOUT)
        .await;
    assert_eq!(response.unwrap().status, StatusCode::OK, "{json}");
}

async fn is_healthy(address: SocketAddr) -> bool {
    let client = HttpClient::new(address, 1);
    let response = client
        .call(Method::GET, "/healthz", Bytes::new(), CALL_TIMEOUT)
        .await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}
