//! A small cell in one process: stand-ins and entry VMs.

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

/// Size of a cell, and properties of its platform.
#[derive(Clone, Debug, PartialEq)]
pub struct CellOptions {
    /// Entry VMs.
    pub vms: usize,
    /// Workers.
    pub workers: usize,
    /// Shards among which the workers are divided.
    pub shards: usize,
    /// Backend servers per service.
    pub backends: usize,
    /// Latency of each operation of the platform, in milliseconds.
    pub platform_latency_ms: u64,
    /// Maximum transactions per second of the platform; unlimited if absent.
    pub writes_per_s: Option<u32>,
    /// Prepaid balance of each team, in core-hours.
    pub balance_core_hours: f64,
}

impl Default for CellOptions {
    /// Options of the cell of `chestnutlug local`.
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

/// Number of availability zones.
const ZONES: usize = 3;

/// Number of workers of one shard per rack.
const WORKERS_PER_RACK: usize = 4;

const SLOTS_PER_BACKEND: u32 = 8;

const CONNECTIONS_PER_BACKEND: u64 = 64;

const WORKER_CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};

/// Configured services.
const SERVICES: [&str; 2] = ["rota-service", "layout-svc"];

/// Configured kinds of jobs.
const KINDS: [&str; 4] = ["rebuild", "sourcing-check", "compile", "heat-map"];

/// Maximum time until all VMs know the owners of all shards.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum duration of a planned stop of a VM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of threads of each VM's runtime.
const THREADS_PER_VM: usize = 2;

/// Shared secret of a cell whose VMs all run in this process.
const SECRET: &str = "embedded-cell-of-one-process";

/// A running cell.
pub struct LocalCell {
    /// Stand-in workers.
    pub workers: Vec<Arc<StandinWorkerServer>>,
    /// Stand-in backend servers.
    pub backends: Vec<Arc<StandinBackend>>,
    /// The stand-in platform.
    pub platform: Arc<StandinPlatform>,
    vms: Vec<Vm>,
    stop: watch::Sender<bool>,
    cfg: CellConfig,
    config_version: u64,
    platform_address: SocketAddr,
}

/// An entry VM in its own runtime, which is shut down with it.
struct Vm {
    entry: EntryVm,
    runtime: VmRuntime,
}

/// Runtime of a VM. Aborts all tasks of the VM when dropped.
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
            .worker_threads(THREADS_PER_VM)
            .enable_all()
            .build()
            .map_err(Error::io("start the runtime of a VM"))?;
        let start = async move { EntryVm::start(&settings, &secret, None).await };
        let started = runtime.spawn(start).await;
        let entry = started.map_err(|e| Error::Other(e.to_string()))??;
        Ok(Self {
            entry,
            runtime: VmRuntime(Some(runtime)),
        })
    }
}

/// Running stand-ins of a cell with an applied configuration, without entry VMs.
pub struct Standins {
    workers: Vec<Arc<StandinWorkerServer>>,
    backends: Vec<Arc<StandinBackend>>,
    platform: Arc<StandinPlatform>,
    platform_address: SocketAddr,
    stop: watch::Sender<bool>,
    cfg: CellConfig,
    config_version: u64,
}

impl Standins {
    /// Starts the stand-ins and applies a configuration that lists them.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be opened or the configuration is refused.
    pub async fn start(options: &CellOptions) -> Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let mut cfg = base_config(options);
        let (platform, platform_address) = start_platform(&stopped).await?;
        let workers = start_workers(&mut cfg, options, &stopped).await?;
        let backends = start_backends(&mut cfg, options, &stopped).await?;
        let config_version = apply_config(platform_address, cfg.clone(), None).await?;
        platform.update_switches(|switches| {
            switches.latency_ms = options.platform_latency_ms;
            switches.writes_per_s = options.writes_per_s.map(f64::from);
        });
        Ok(Self {
            workers,
            backends,
            platform,
            platform_address,
            stop,
            cfg,
            config_version,
        })
    }
}

impl LocalCell {
    /// Starts the stand-ins, applies a configuration and starts the entry VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be opened, the configuration is refused, or not all
    /// VMs know the owners of all shards in time.
    pub async fn start(options: &CellOptions) -> Result<Self> {
        Self::start_on(Standins::start(options).await?, options.vms).await
    }

    /// Starts `vms` entry VMs with running stand-ins, which may run on another runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a VM does not start, or not all VMs know the owners of all shards in
    /// time.
    pub async fn start_on(standins: Standins, vms: usize) -> Result<Self> {
        let secret = Secret::new(SECRET)?;
        let mut started_vms = Vec::new();
        for index in 1..=vms {
            let settings = settings(index, standins.platform_address)?;
            started_vms.push(Vm::start(settings, secret.clone()).await?);
        }
        let cell = Self {
            workers: standins.workers,
            backends: standins.backends,
            platform: standins.platform,
            vms: started_vms,
            stop: standins.stop,
            cfg: standins.cfg,
            config_version: standins.config_version,
            platform_address: standins.platform_address,
        };
        cell.wait_until_ready().await?;
        Ok(cell)
    }

    /// The entry VMs.
    pub fn vms(&self) -> impl Iterator<Item = &EntryVm> {
        self.vms.iter().map(|vm| &vm.entry)
    }

    /// Addresses to which callers connect, one per VM.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.vms().map(EntryVm::caller_address).collect()
    }

    /// Address of the platform.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Versions of the configuration in force, one per VM.
    pub fn config_versions(&self) -> Vec<u64> {
        self.vms().map(EntryVm::config_version).collect()
    }

    /// Addresses at which the backend servers of `service` accept requests.
    pub fn backend_addresses(&self, service: &ServiceName) -> impl Iterator<Item = SocketAddr> {
        let backends = self.cfg.backend.values();
        backends
            .filter(move |backend| backend.service == *service)
            .map(|backend| backend.address)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let ready = async {
            while !self.vms.iter().all(|vm| vm.entry.knows_all_owners()) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let to_error = |_| {
            Error::Other(
                "the local cell did not start in time: not all VMs know the owners of all shards"
                    .to_owned(),
            )
        };
        tokio::time::timeout(START_TIMEOUT, ready)
            .await
            .map_err(to_error)
    }

    /// Index of the VM that considers itself the owner of `shard`.
    pub fn owner_index(&self, shard: &ShardName) -> Option<usize> {
        self.vms.iter().position(|vm| vm.entry.owns(shard))
    }

    /// Kills an entry VM: it releases no shards and does not close its connections in order. The
    /// indices of the VMs after it decrease by one.
    pub fn kill(&mut self, vm: usize) {
        let Vm { entry, runtime } = self.vms.remove(vm);
        drop(runtime);
        drop(entry);
    }

    /// Applies `change` to the configuration and publishes the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is refused or the platform is unavailable.
    pub async fn update_config(&mut self, change: impl FnOnce(&mut CellConfig)) -> Result<()> {
        change(&mut self.cfg);
        self.config_version = apply_config(
            self.platform_address,
            self.cfg.clone(),
            Some(self.config_version),
        )
        .await?;
        Ok(())
    }

    /// Stops the entry VMs as planned, one after the other, and then the stand-ins. Returns the
    /// number of aborted requests plus the number of shards that were not released.
    pub async fn stop(self) -> usize {
        let mut unclean_stops = 0;
        for vm in self.vms {
            let report = vm.entry.stop(STOP_TIMEOUT).await;
            drop(vm.runtime);
            unclean_stops += report.aborted_requests + report.unreleased_shards;
        }
        let _ = self.stop.send(true);
        unclean_stops
    }
}

fn base_config(options: &CellOptions) -> CellConfig {
    let team = TeamConfig {
        balance_core_hours: options.balance_core_hours,
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
    let serving = platform::serve(platform.clone(), listener, stop_signal(stopped));
    tokio::spawn(serving);
    Ok((platform, address))
}

async fn start_workers(
    cfg: &mut CellConfig,
    options: &CellOptions,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<Arc<StandinWorkerServer>>> {
    let mut workers = Vec::new();
    for index in 0..options.workers {
        let (listener, address) = listen().await?;
        let name = format!("worker-{}", index + 1);
        let worker = StandinWorker::new(name.as_str().into(), WORKER_CAPACITY);
        let worker = Arc::new(StandinWorkerServer::new(worker, None));
        tokio::spawn(worker::serve(
            worker.clone(),
            listener,
            stop_signal(stopped),
        ));
        workers.push(worker);
        let row = WorkerConfig {
            shard: format!("shard-{}", index % options.shards + 1)
                .as_str()
                .into(),
            zone: format!("zone-{}", index / options.shards % ZONES + 1)
                .as_str()
                .into(),
            rack: format!("rack-{}", index / options.shards / WORKERS_PER_RACK + 1)
                .as_str()
                .into(),
            address,
            capacity: WORKER_CAPACITY,
        };
        cfg.worker.insert(name.as_str().into(), row);
    }
    Ok(workers)
}

async fn start_backends(
    cfg: &mut CellConfig,
    options: &CellOptions,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<Arc<StandinBackend>>> {
    let mut backends = Vec::new();
    for service in SERVICES {
        for index in 1..=options.backends {
            let (requests, address) = listen().await?;
            let (control, _) = listen().await?;
            let name = format!("{service}-{index}");
            let backend = Arc::new(StandinBackend::new(
                name.as_str().into(),
                SLOTS_PER_BACKEND,
                CONNECTIONS_PER_BACKEND,
            ));
            let serving = backend::serve(backend.clone(), requests, control, stop_signal(stopped));
            tokio::spawn(serving);
            backends.push(backend);
            let row = BackendConfig {
                service: service.into(),
                zone: zone(index).as_str().into(),
                address,
                slots: SLOTS_PER_BACKEND,
                connections: CONNECTIONS_PER_BACKEND as u32,
            };
            cfg.backend.insert(name.as_str().into(), row);
        }
    }
    Ok(backends)
}

async fn listen() -> Result<(TcpListener, SocketAddr)> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(loopback).await;
    let listener = listener.map_err(Error::io("listen on the loopback interface"))?;
    let address = listener
        .local_addr()
        .map_err(Error::io("read the address of a listener"))?;
    Ok((listener, address))
}

fn stop_signal(stopped: &watch::Receiver<bool>) -> impl Future<Output = ()> + use<> {
    let mut stopped = stopped.clone();
    async move {
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}

async fn apply_config(platform: SocketAddr, cfg: CellConfig, base: Option<u64>) -> Result<u64> {
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
    let to_error = |e: crate::config::ApplyError| Error::Other(e.to_string());
    let plan = ApplyPlan::new(store, cfg, base).await.map_err(to_error)?;
    plan.commit(store, &commit_info).await.map_err(to_error)
}

/// Zone of the member `index`, counted from 1, of a set that is spread over all zones.
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
