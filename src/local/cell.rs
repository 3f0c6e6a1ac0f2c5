//! A small cell: stand-ins and entry VMs in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::adapter::object_store::HttpObjectStore;
use crate::adapter::table::HttpTable;
use crate::config::{
    ApplyPlan, BackendConfig, CellConfig, CommitInfo, ConfigStore, KindConfig, ServiceConfig,
};
use crate::config::{TeamConfig, WorkerConfig};
use crate::error::{Error, Result};
use crate::model::{Resources, ServiceName, ShardName, Urgency};
use crate::node::vm::EntryVm;
use crate::settings::{Secret, Settings};
use crate::standin::backend::{self, StandinBackend};
use crate::standin::platform::{self, StandinPlatform};
use crate::standin::worker::{self, StandinWorker, StandinWorkerServer};

/// How large a cell is, and how its platform behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct CellOptions {
    /// Entry VMs.
    pub vms: usize,
    /// Workers.
    pub workers: usize,
    /// Shards that the workers form.
    pub shards: usize,
    /// Backend servers of each service.
    pub backends: usize,
    /// How long each operation of the platform takes, in milliseconds.
    pub platform_latency_ms: u64,
    /// Transactions a second that the platform takes; unlimited where absent.
    pub writes_per_s: Option<u32>,
    /// What each team prepaid, in core-hours.
    pub balance_core_hours: f64,
}

impl Default for CellOptions {
    /// The cell of `chestnutlug local`.
    fn default() -> Self {
        Self {
            vms: 3,
            workers: 6,
            shards: 2,
            backends: 3,
            platform_latency_ms: 0,
            writes_per_s: None,
            balance_core_hours: 10_000.0,
        }
    }
}

/// Availability zones of the cell.
const ZONES: usize = 3;

/// Workers of one shard in a rack.
const RACK_WORKERS: usize = 4;

/// Slots of each backend server.
const SLOTS: u32 = 8;

/// Connections that each backend server accepts.
const CONNECTIONS: u64 = 64;

/// What each worker holds.
const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};

/// The services, each with its backend servers.
const SERVICES: [&str; 2] = ["rota-service", "layout-svc"];

/// The kinds of jobs.
const KINDS: [&str; 4] = ["rebuild", "sourcing-check", "compile", "heat-map"];

/// How long the cell may take to begin to work.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How long a planned stop of a VM may take.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Threads of each VM's runtime.
const VM_THREADS: usize = 2;

/// The secret of a cell that lives in one process.
const SECRET: &str = "embedded-cell-of-one-process";

/// A running cell.
pub struct LocalCell {
    /// The workers.
    pub workers: Vec<Arc<StandinWorkerServer>>,
    /// The backend servers.
    pub backends: Vec<Arc<StandinBackend>>,
    /// The platform.
    pub platform: Arc<StandinPlatform>,
    vms: Vec<Vm>,
    stop: watch::Sender<bool>,
    cfg: CellConfig,
    version: u64,
    address: SocketAddr,
}

/// An entry VM in a runtime of its own, which ends with it.
struct Vm {
    entry: EntryVm,
    runtime: VmRuntime,
}

/// Ends all tasks of a VM at once when dropped.
struct VmRuntime(Option<Runtime>);

impl Drop for VmRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Vm {
    async fn start(settings: Settings, secret: Secret) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(VM_THREADS)
            .enable_all()
            .build()
            .map_err(Error::io("start a runtime"))?;
        let start = async move { EntryVm::start(&settings, &secret, None).await };
        let started = runtime.spawn(start).await;
        let entry = started.map_err(|e| Error::Other(e.to_string()))??;
        Ok(Self {
            entry,
            runtime: VmRuntime(Some(runtime)),
        })
    }
}

/// The stand-ins of a cell, running and configured, without entry VMs.
pub struct Standins {
    workers: Vec<Arc<StandinWorkerServer>>,
    backends: Vec<Arc<StandinBackend>>,
    platform: Arc<StandinPlatform>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    cfg: CellConfig,
    version: u64,
}

impl Standins {
    /// Starts the stand-ins and applies a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error where a listener fails or the configuration is refused.
    pub async fn start(shape: &CellOptions) -> Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let mut cfg = base_config(shape);
        let (platform, address) = start_platform(&stopped).await?;
        let workers = start_workers(&mut cfg, shape, &stopped).await?;
        let backends = start_backends(&mut cfg, shape, &stopped).await?;
        let version = apply(address, cfg.clone(), None).await?;
        platform.update_switches(|switches| {
            switches.latency_ms = shape.platform_latency_ms;
            switches.writes_per_s = shape.writes_per_s.map(f64::from);
        });
        Ok(Self {
            workers,
            backends,
            platform,
            address,
            stop,
            cfg,
            version,
        })
    }
}

impl LocalCell {
    /// Starts the stand-ins, applies a configuration and starts the entry VMs.
    ///
    /// # Errors
    ///
    /// Returns an error where a listener fails or the cell does not begin to work in time.
    pub async fn start(shape: &CellOptions) -> Result<Self> {
        Self::over(Standins::start(shape).await?, shape.vms).await
    }

    /// Starts `vms` entry VMs over stand-ins that run already, perhaps on another runtime.
    ///
    /// # Errors
    ///
    /// Returns an error where a listener fails or the cell does not begin to work in time.
    pub async fn over(standins: Standins, vms: usize) -> Result<Self> {
        let secret = Secret::new(SECRET)?;
        let mut started = Vec::new();
        for index in 1..=vms {
            let settings = settings(index, standins.address)?;
            started.push(Vm::start(settings, secret.clone()).await?);
        }
        let cell = Self {
            workers: standins.workers,
            backends: standins.backends,
            platform: standins.platform,
            vms: started,
            stop: standins.stop,
            cfg: standins.cfg,
            version: standins.version,
            address: standins.address,
        };
        cell.await_ready().await?;
        Ok(cell)
    }

    /// The entry VMs.
    pub fn vms(&self) -> impl Iterator<Item = &EntryVm> {
        self.vms.iter().map(|vm| &vm.entry)
    }

    /// Where callers connect, one address for each VM.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.vms().map(EntryVm::caller_address).collect()
    }

    /// Where the platform is reached.
    pub fn platform_address(&self) -> SocketAddr {
        self.address
    }

    /// The configuration versions in force, one for each VM.
    pub fn config_versions(&self) -> Vec<u64> {
        self.vms().map(EntryVm::config_version).collect()
    }

    /// Where the backend servers of `service` take requests.
    pub fn backend_addresses(&self, service: &ServiceName) -> impl Iterator<Item = SocketAddr> {
        let backends = self.cfg.backend.values();
        backends
            .filter(move |backend| backend.service == *service)
            .map(|backend| backend.address)
    }

    async fn await_ready(&self) -> Result<()> {
        let ready = async {
            while !self.vms.iter().all(|vm| vm.entry.knows_all_owners()) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let late = |_| Error::Other("the cell did not begin to work in time".to_owned());
        tokio::time::timeout(START_LIMIT, ready).await.map_err(late)
    }

    /// The index of the VM that owns `shard`, as far as the VMs know.
    pub fn owner_index(&self, shard: &ShardName) -> Option<usize> {
        self.vms.iter().position(|vm| vm.entry.owns(shard))
    }

    /// Ends an entry VM at once: nothing is handed over, no connection is closed in order. The VMs
    /// after it move down by one.
    pub fn kill(&mut self, vm: usize) {
        let Vm { entry, runtime } = self.vms.remove(vm);
        drop(runtime);
        drop(entry);
    }

    /// Applies a changed configuration, based on the one in force.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not take it.
    pub async fn update_config(&mut self, change: impl FnOnce(&mut CellConfig)) -> Result<()> {
        change(&mut self.cfg);
        self.version = apply(self.address, self.cfg.clone(), Some(self.version)).await?;
        Ok(())
    }

    /// Stops the entry VMs as planned, one after the other; returns the requests that were cut
    /// off and the shards that were not handed over.
    pub async fn stop(self) -> usize {
        let mut unclean = 0;
        for vm in self.vms {
            let report = vm.entry.stop(STOP_LIMIT).await;
            drop(vm.runtime);
            unclean += report.aborted_requests + report.unreleased_shards;
        }
        let _ = self.stop.send(true);
        unclean
    }
}

fn base_config(shape: &CellOptions) -> CellConfig {
    let team = TeamConfig {
        balance_core_hours: shape.balance_core_hours,
        weight: 1,
        quota: None,
        max_queued: 10_000,
    };
    let kind = KindConfig {
        max_queued: 10_000,
        max_attempts: 3,
        urgency: Urgency::Urgent,
    };
    let service = ServiceConfig {
        timeout_ms: 10_000,
        max_waiting: 1_000,
        idempotent: true,
        max_body_bytes: 1 << 20,
    };
    let teams = ["fagylaltkor", "kowhai"];
    CellConfig {
        team: teams.map(|name| (name.into(), team.clone())).into(),
        kind: KINDS.map(|name| (name.into(), kind.clone())).into(),
        service: SERVICES.map(|name| (name.into(), service.clone())).into(),
        worker: BTreeMap::new(),
        ..CellConfig::default()
    }
}

async fn start_platform(
    stopped: &watch::Receiver<bool>,
) -> Result<(Arc<StandinPlatform>, SocketAddr)> {
    let (listener, address) = listen().await?;
    let platform = Arc::new(StandinPlatform::new());
    let serving = platform::serve(platform.clone(), listener, ended(stopped));
    tokio::spawn(serving);
    Ok((platform, address))
}

async fn start_workers(
    cfg: &mut CellConfig,
    shape: &CellOptions,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<Arc<StandinWorkerServer>>> {
    let mut workers = Vec::new();
    for index in 0..shape.workers {
        let (listener, address) = listen().await?;
        let name = format!("worker-{}", index + 1);
        let worker = StandinWorker::new(name.as_str().into(), CAPACITY);
        let worker = Arc::new(StandinWorkerServer::new(worker, None));
        tokio::spawn(worker::serve(worker.clone(), listener, ended(stopped)));
        workers.push(worker);
        let row = WorkerConfig {
            shard: format!("shard-{}", index % shape.shards + 1)
                .as_str()
                .into(),
            zone: format!("zone-{}", index / shape.shards % ZONES + 1)
                .as_str()
                .into(),
            rack: format!("rack-{}", index / shape.shards / RACK_WORKERS + 1)
                .as_str()
                .into(),
            address,
            capacity: CAPACITY,
        };
        cfg.worker.insert(name.as_str().into(), row);
    }
    Ok(workers)
}

async fn start_backends(
    cfg: &mut CellConfig,
    shape: &CellOptions,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<Arc<StandinBackend>>> {
    let mut backends = Vec::new();
    for service in SERVICES {
        for index in 1..=shape.backends {
            let (work, address) = listen().await?;
            let (control, _) = listen().await?;
            let name = format!("{service}-{index}");
            let backend = Arc::new(StandinBackend::new(
                name.as_str().into(),
                SLOTS,
                CONNECTIONS,
            ));
            let serving = backend::serve(backend.clone(), work, control, ended(stopped));
            tokio::spawn(serving);
            backends.push(backend);
            let row = BackendConfig {
                service: service.into(),
                zone: zone(index).as_str().into(),
                address,
                slots: SLOTS,
                connections: CONNECTIONS as u32,
            };
            cfg.backend.insert(name.as_str().into(), row);
        }
    }
    Ok(backends)
}

async fn listen() -> Result<(TcpListener, SocketAddr)> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(loopback).await;
    let listener = listener.map_err(Error::io("listen on loopback"))?;
    let address = listener
        .local_addr()
        .map_err(Error::io("read an address"))?;
    Ok((listener, address))
}

fn ended(stopped: &watch::Receiver<bool>) -> impl Future<Output = ()> + use<> {
    let mut stopped = stopped.clone();
    async move {
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}

async fn apply(platform: SocketAddr, cfg: CellConfig, base: Option<u64>) -> Result<u64> {
    let timeout = Duration::from_secs(2);
    let table = HttpTable::new(platform, timeout);
    let objects = HttpObjectStore::new(platform, timeout);
    let store = ConfigStore {
        table: &table,
        objects: &objects,
    };
    let commit_info = CommitInfo {
        author: "local".to_owned(),
        applied_unix_s: 0,
        txn_id: rand::random(),
    };
    let refused = |e: crate::config::ApplyError| Error::Other(e.to_string());
    let plan = ApplyPlan::new(store, cfg, base).await.map_err(refused)?;
    plan.commit(store, &commit_info).await.map_err(refused)
}

/// The zone of the `index`th of a set that is spread over all zones, counted from 1.
fn zone(index: usize) -> String {
    format!("zone-{}", (index - 1) % ZONES + 1)
}

fn settings(index: usize, platform: SocketAddr) -> Result<Settings> {
    let zone = zone(index);
    let text = format!(
        "vm = \"vm-{index}\"\nzone = \"{zone}\"\ncallers = \"127.0.0.1:0\"\n\
         peers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n\
         secret_file = \"embedded\"\n"
    );
    toml::from_str(&text).map_err(|e| Error::Other(e.to_string()))
}
