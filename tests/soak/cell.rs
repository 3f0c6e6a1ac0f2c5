//! The processes of one run: VMs of the real program beside stand-ins of the store and the workers,
//! with a link that can be cut between each of them and what it talks to.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnutlug::adapter::http::HttpClient;
use hyper::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;

use crate::judge::Judge;
use crate::relay::Relay;
use crate::store::Store;
use crate::worker::{LEASE_MAX_MS, Worker};

/// How long the VMs may take to serve callers.
const READY: Duration = Duration::from_secs(20);

/// How often workers write to the store.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// One VM.
pub struct Vm {
    name: String,
    front: SocketAddr,
    readiness: SocketAddr,
    /// Its link to the store.
    pub store: Relay,
    settings: PathBuf,
    child: Child,
}

/// The cell.
pub struct Cell {
    pub vms: Vec<Vm>,
    pub workers: Vec<Arc<Worker>>,
    /// The links from all VMs to each worker.
    pub links: Vec<Arc<Relay>>,
    pub store: Arc<Store>,
    version: u64,
    dir: tempfile::TempDir,
}

/// The addresses of a VM. Each run has loopback addresses of its own, so that runs side by side do not
/// take each other's ports.
fn addresses(vm: usize) -> [SocketAddr; 4] {
    let run = std::process::id();
    let third = u8::try_from(run / 250 % 250).unwrap();
    let fourth = u8::try_from(run % 250).unwrap();
    let vm = u8::try_from(vm).unwrap();
    [8_001, 8_002, 8_003, 8_004].map(|port| ([127, 1 + vm, third, 1 + fourth], port).into())
}

impl Cell {
    pub async fn start(vms: usize, workers: usize, judge: Arc<Judge>) -> Self {
        let store = Store::start().await;
        let dir = tempfile::tempdir().unwrap();
        let mut cell = Self {
            vms: Vec::new(),
            workers: Vec::new(),
            links: Vec::new(),
            store,
            version: 0,
            dir,
        };
        for index in 0..workers {
            // The link comes first, since the worker tells the store the link's address.
            let link = Relay::to(cell.store.address).await;
            let worker = Worker::start(index, link.address, judge.clone()).await;
            link.set_target(worker.address);
            tokio::spawn(tell(cell.store.clone(), worker.clone()));
            cell.workers.push(worker);
            cell.links.push(Arc::new(link));
        }
        let addresses = (0..vms).map(addresses);
        let addresses: Vec<[SocketAddr; 4]> = addresses.collect();
        let seeds: Vec<String> = addresses
            .iter()
            .map(|vm| format!("\"{}\"", vm[2]))
            .collect();
        for (index, [front, readiness, peers, metrics]) in addresses.into_iter().enumerate() {
            let name = format!("vm-{index}");
            let link = Relay::to(cell.store.address).await;
            let settings = cell.dir.path().join(format!("{name}.toml"));
            let text = format!(
                "vm = \"{name}\"\nzone = \"a\"\ncallers = \"{front}\"\nreadiness = \"{readiness}\"\n\
                 peers = \"{peers}\"\nmetrics = \"{metrics}\"\nseeds = [{}]\nstore = \"{}\"\n\
                 lease_max_ms = {LEASE_MAX_MS}\ngrace_s = 4\n",
                seeds.join(", "),
                link.address,
            );
            std::fs::write(&settings, text).unwrap();
            let child = spawn(&name, &settings, &cell.dir);
            cell.vms.push(Vm {
                name,
                front,
                readiness,
                store: link,
                settings,
                child,
            });
        }
        cell.configure();
        cell.wait_until_ready().await;
        cell
    }

    /// Where callers connect.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.front).collect()
    }

    /// Writes the next version of the configuration.
    pub fn configure(&mut self) {
        self.version += 3;
        let routes = self.vms.iter().map(|vm| {
            json!({
                "Name": "jobs", "Host": vm.front.to_string(), "Prefix": "/jobs/", "Service": "svc",
                "Priority": self.version % 2, "Attempts": 3, "SlackFactor": 3.0, "SloMs": 500,
            })
        });
        let config = json!({
            "Version": self.version, "Routes": routes.collect::<Vec<_>>(), "Services": [], "Limits": {},
        });
        self.store.put("op", "config", &config);
    }

    pub async fn wait_until_ready(&self) {
        let began = Instant::now();
        for vm in &self.vms {
            let client = HttpClient::new(vm.readiness, 1);
            loop {
                let limit = Duration::from_secs(1);
                let path = "/chestnutlug/readyz";
                let sent = client
                    .call(Method::GET, path, bytes::Bytes::new(), limit)
                    .await;
                if sent.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                assert!(
                    began.elapsed() < READY,
                    "{} does not serve callers",
                    vm.name
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    pub fn signal(&self, vm: usize, signal: Signal) {
        let pid = i32::try_from(self.vms[vm].child.id()).unwrap();
        // A process that has ended by itself is found by the next start.
        let _ = kill(Pid::from_raw(pid), signal);
    }

    /// Ends the process of a VM, if it has not ended, and starts it again.
    pub fn restart(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let _ = vm.child.kill();
        vm.child.wait().unwrap();
        vm.child = spawn(&vm.name, &vm.settings, &self.dir);
    }

    /// Ends all processes; the logs are kept where something was `found`.
    pub fn end(self, found: bool) {
        drop(self.vms);
        if found {
            println!("logs: {}", self.dir.keep().display());
        }
    }
}

/// Ends the process, also where a run ends in a panic.
impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(name: &str, settings: &PathBuf, dir: &tempfile::TempDir) -> Child {
    let path = dir.path().join(format!("{name}.log"));
    let log = File::options()
        .create(true)
        .append(true)
        .open(path)
        .unwrap();
    Command::new(env!("CARGO_BIN_EXE_chestnutlug"))
        .arg("coordinate")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

/// Lets a worker tell the store of itself.
async fn tell(store: Arc<Store>, worker: Arc<Worker>) {
    loop {
        store.put("servers", &worker.name, &worker.listing());
        tokio::time::sleep(HEARTBEAT).await;
    }
}
