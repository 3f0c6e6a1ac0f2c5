//! One entry VM as a whole: the node and its callers' listener.

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
use crate::adapter::objects::HttpObjects;
use crate::adapter::table::HttpTable;
use crate::adapter::traffic::VmTraffic;
use crate::adapter::vms::HttpVmList;
use crate::adapter::worker::HttpWorkers;
use crate::config::service_shard;
use crate::decide::Policy;
use crate::decide::scheduler::Scheduler;
use crate::entry::{Entry, Limits};
use crate::error::{Error, Result};
use crate::log::LogHandle;
use crate::metrics::Metrics;
use crate::model::ShardName;
use crate::port::table::SharedTable;
use crate::port::worker::SharedWorkers;
use crate::settings::{Secret, Settings};

/// How long a call of the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a call of a worker may take beyond what it waits for.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How much of a planned stop is kept for leaving the cell once all requests have ended.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// How much of a planned stop is kept for writing the last counts.
const STORE_TIME: Duration = Duration::from_secs(1);

/// A running entry VM.
pub struct EntryVm {
    node: Node,
    entry: Entry,
    slots: Arc<SlotService>,
    traffic: VmTraffic,
    operators: Operators,
    gauges: JoinHandle<()>,
}

/// How a planned stop went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were cut off.
    pub aborted_requests: usize,
    /// Shards that were not given up in time; their leases lapse.
    pub unreleased_shards: usize,
}

impl StopReport {
    /// Whether nothing was cut off and everything was handed over.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

impl EntryVm {
    /// Starts an entry VM over the platform that `settings` name.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on.
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
            SlotService::of_node,
        )?;
        let limits = Limits::from(settings);
        let jobs = Arc::new(Metered::new(node.jobs.clone(), &metrics));
        let callers = settings.callers;
        let entry =
            Entry::listen_metered(callers, limits, jobs, slots.clone(), metrics.clone()).await?;
        let operators = Operators::listen(settings.operators, node.view.clone(), secret).await?;
        let gauges = tokio::spawn(gauges::run(node.context.clone(), metrics));
        Ok(Self {
            node,
            entry,
            gauges,
            slots,
            traffic: node_ports.traffic,
            operators,
        })
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Where other VMs connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.node.peer_address()
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address
    }

    /// Whether the configuration in force is known, so that work is taken.
    pub fn is_ready(&self) -> bool {
        self.node.context.config.is_ready()
    }

    /// The configuration version in force.
    pub fn config_version(&self) -> u64 {
        self.node.context.config.version().number
    }

    /// Whether the VM owns `shard`, as far as it knows.
    pub fn owns(&self, shard: &ShardName) -> bool {
        let owner = self.node.context.directory.owner_of(shard);
        owner.is_some_and(|owner| owner.local)
    }

    /// What the VM has exchanged with the outside so far.
    pub fn traffic(&self) -> &VmTraffic {
        &self.traffic
    }

    /// The slots of services, as this VM grants and asks for them.
    pub fn slots(&self) -> &Arc<SlotService> {
        &self.slots
    }

    /// Whether every shard of the configuration has an owner that this VM knows.
    pub fn knows_all_owners(&self) -> bool {
        let context = &self.node.context;
        let cfg = context.config.config();
        let workers = cfg.worker_shards().into_keys();
        let mut shards = workers.chain(cfg.service.keys().map(service_shard));
        self.is_ready() && shards.all(|shard| context.directory.owner_of(&shard).is_some())
    }

    /// Stops: takes no new work, hands over what it owns, and finishes what is in progress for up
    /// to `limit`.
    pub async fn stop(self, limit: Duration) -> StopReport {
        let Self {
            mut node,
            entry,
            operators,
            gauges,
            ..
        } = self;
        gauges.abort();
        node.begin_handover();
        let stopped = entry
            .stop(limit.saturating_sub(LEAVE_TIME + STORE_TIME))
            .await;
        let unreleased_shards = node.leave(LEAVE_TIME).await;
        operators.close().await;
        node.close(STORE_TIME).await;
        StopReport {
            aborted_requests: stopped.cut,
            unreleased_shards,
        }
    }
}

/// The operators' listener of a VM.
struct Operators {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    serving: JoinHandle<()>,
}

impl Operators {
    async fn listen(
        address: SocketAddr,
        view: Arc<NodeOperatorService>,
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
        let serving = operator_listener::serve(listener, view, secret.clone(), ended);
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
    let table = HttpTable::new(platform, timeout).counted(traffic.table.clone());
    let objects = HttpObjects::new(platform, timeout).counted(traffic.objects.clone());
    let vms = HttpVmList::new(platform, timeout).counted(traffic.vm_list.clone());
    let workers = HttpWorkers::new(WORKER_TIMEOUT).counted(traffic.workers.clone());
    let table: SharedTable = Arc::new(table);
    let workers: SharedWorkers = Arc::new(workers);
    NodePorts {
        table: Arc::new(Metered::new(table, metrics)),
        objects: Arc::new(objects),
        vms: Arc::new(vms),
        workers: Arc::new(Metered::new(workers, metrics)),
        traffic,
    }
}
