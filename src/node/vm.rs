//! An entry VM as a whole: the node and its listeners for callers and operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::api::ShardDirectory;
use super::gauges;
use super::metered::Metered;
use super::operator_listener;
use super::operator_service::NodeOperatorService;
use super::slots::SlotService;
use super::start::{Node, NodePorts};
use crate::adapter::object_store::HttpObjectStore;
use crate::adapter::table::HttpTable;
use crate::adapter::traffic::VmTraffic;
use crate::adapter::vm_list::HttpVmList;
use crate::adapter::worker::HttpWorkerClient;
use crate::config::service_shard;
use crate::decide::Policy;
use crate::decide::scheduler::Scheduler;
use crate::entry::{EntryLimits, EntryServer};
use crate::error::{Error, Result};
use crate::log::LogHandle;
use crate::metrics::Metrics;
use crate::model::ShardName;
use crate::port::table::SharedTable;
use crate::port::worker::SharedWorkerClient;
use crate::settings::{Secret, Settings};

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a call to a worker, in addition to the time for which the worker holds a long poll.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The part of a planned stop's time that is reserved for leaving the cell once all requests have
/// ended.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a planned stop's time that is reserved for writing the last burn counts.
const FINAL_STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running entry VM.
pub struct EntryVm {
    node: Node,
    server: EntryServer,
    slots: Arc<SlotService>,
    traffic: VmTraffic,
    operators: OperatorServer,
    gauges: JoinHandle<()>,
}

/// The result of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// The number of aborted requests.
    pub aborted_requests: usize,
    /// The number of shards that were not released in time; their leases expire.
    pub unreleased_shards: usize,
}

impl StopReport {
    /// Whether no request was aborted and every shard was released.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

impl EntryVm {
    /// Starts an entry VM on the platform that `settings` name.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM cannot listen on one of its addresses.
    pub async fn start(
        settings: &Settings,
        secret: &Secret,
        log: Option<LogHandle>,
    ) -> Result<Self> {
        let metrics = Metrics::new(settings.statsd, &settings.vm)?;
        let policy_factory: Arc<dyn Fn() -> Box<dyn Policy> + Send + Sync> =
            Arc::new(|| Box::new(Scheduler::new(rand::random())));
        let node_ports = node_ports(settings, &metrics);
        let (node, slots) = Node::start(
            settings,
            secret.expose(),
            &node_ports,
            policy_factory,
            metrics.clone(),
            log,
            SlotService::for_node,
        )?;
        let limits = EntryLimits::from(settings);
        let jobs = Arc::new(Metered::new(node.jobs.clone(), &metrics));
        let callers = settings.callers;
        let server =
            EntryServer::listen_with_metrics(callers, limits, jobs, slots.clone(), metrics.clone())
                .await?;
        let operators =
            OperatorServer::listen(settings.operators, node.operator_service.clone(), secret)
                .await?;
        let gauges = tokio::spawn(gauges::run(node.context.clone(), metrics));
        Ok(Self {
            node,
            server,
            gauges,
            slots,
            traffic: node_ports.traffic,
            operators,
        })
    }

    /// The address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The address of the listener for other VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.node.peer_address()
    }

    /// The address of the operators' listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address
    }

    /// Whether the configuration in force is known, so that the VM accepts work.
    pub fn is_ready(&self) -> bool {
        self.node.context.config.is_ready()
    }

    /// The configuration version in force.
    pub fn config_version(&self) -> u64 {
        self.node.context.config.version().number
    }

    /// Whether the VM owns `shard`, according to its directory.
    pub fn owns(&self, shard: &ShardName) -> bool {
        let owner = self.node.context.directory.owner_of(shard);
        owner.is_some_and(|owner| owner.local)
    }

    /// The traffic of the VM so far with the platform, workers and other VMs.
    pub fn traffic(&self) -> &VmTraffic {
        &self.traffic
    }

    /// The service that grants and requests slots on this VM.
    pub fn slots(&self) -> &Arc<SlotService> {
        &self.slots
    }

    /// Whether this VM knows an owner of every configured shard.
    pub fn knows_all_owners(&self) -> bool {
        let context = &self.node.context;
        let cfg = context.config.config();
        let workers = cfg.workers_by_shard().into_keys();
        let mut shards = workers.chain(cfg.service.keys().map(service_shard));
        self.is_ready() && shards.all(|shard| context.directory.owner_of(&shard).is_some())
    }

    /// Stops as planned: accepts no new work, releases what it owns, and finishes the work in
    /// progress within `limit`.
    pub async fn stop(self, limit: Duration) -> StopReport {
        let Self {
            mut node,
            server,
            operators,
            gauges,
            ..
        } = self;
        gauges.abort();
        node.begin_handover();
        let stopped = server
            .stop(limit.saturating_sub(LEAVE_TIMEOUT + FINAL_STORE_TIMEOUT))
            .await;
        let unreleased_shards = node.leave(LEAVE_TIMEOUT).await;
        operators.close().await;
        node.close(FINAL_STORE_TIMEOUT).await;
        StopReport {
            aborted_requests: stopped.aborted_requests,
            unreleased_shards,
        }
    }
}

/// The running operators' listener of a VM.
struct OperatorServer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    serving: JoinHandle<()>,
}

impl OperatorServer {
    async fn listen(
        address: SocketAddr,
        operator_service: Arc<NodeOperatorService>,
        secret: &Secret,
    ) -> Result<Self> {
        let context = format!("listen for operators on {address}");
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(Error::io(context.clone()))?;
        let address = listener.local_addr().map_err(Error::io(context))?;
        let (stop, stopped) = oneshot::channel();
        let ended = async {
            let _ = stopped.await;
        };
        let serving = operator_listener::serve(listener, operator_service, secret.clone(), ended);
        Ok(Self {
            address,
            stop,
            serving: tokio::spawn(serving),
        })
    }

    async fn close(self) {
        let _ = self.stop.send(());
        let _ = self.serving.await;
    }
}

fn node_ports(settings: &Settings, metrics: &Metrics) -> NodePorts {
    let traffic = VmTraffic::default();
    let (platform, timeout) = (settings.platform, PLATFORM_TIMEOUT);
    let table = HttpTable::new(platform, timeout).with_traffic(traffic.table.clone());
    let objects = HttpObjectStore::new(platform, timeout).with_traffic(traffic.objects.clone());
    let vms = HttpVmList::new(platform, timeout).with_traffic(traffic.vm_list.clone());
    let workers = HttpWorkerClient::new(WORKER_TIMEOUT).with_traffic(traffic.workers.clone());
    let table: SharedTable = Arc::new(table);
    let workers: SharedWorkerClient = Arc::new(workers);
    NodePorts {
        table: Arc::new(Metered::new(table, metrics)),
        objects: Arc::new(objects),
        vms: Arc::new(vms),
        workers: Arc::new(Metered::new(workers, metrics)),
        traffic,
    }
}
