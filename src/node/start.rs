//! Starts and stops a node.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use super::balances::BalanceReconciler;
use super::burn::BurnStore;
use super::clock::Clock;
use super::config::ConfigHolder;
use super::context::{NodeContext, NodeContextParts, PolicyFactory};
use super::directory::SnapshotDirectory;
use super::handler::NodeHandler;
use super::job_router::JobRouter;
use super::membership::{Membership, StopPhase};
use super::metered::Metered;
use super::observer::NodeObserver;
use super::operator_service::NodeOperatorService;
use super::owner::{OwnerObserver, OwnerPorts, PartClient};
use super::slot_granter::SlotGranter;
use crate::adapter::nng::{NngPeerClient, NngServer};
use crate::adapter::traffic::VmTraffic;
use crate::error::{Error, Result};
use crate::log::LogHandle;
use crate::message::{Reply, Request};
use crate::metrics::Metrics;
use crate::port::BoxFuture;
use crate::port::object_store::SharedObjectStore;
use crate::port::peer::{PeerHandler, SharedPeerClient};
use crate::port::table::SharedTable;
use crate::port::vm_list::SharedVmList;
use crate::port::worker::SharedWorkerClient;
use crate::settings::Settings;
use crate::shard::rows::OwnerRef;

/// The ports of a node to the platform and to workers.
#[derive(Clone)]
pub struct NodePorts {
    /// The table.
    pub table: SharedTable,
    /// The object store.
    pub objects: SharedObjectStore,
    /// The platform's list of VMs.
    pub vms: SharedVmList,
    /// The workers.
    pub workers: SharedWorkerClient,
    /// Counts the traffic over each of these ports and with other VMs.
    pub traffic: VmTraffic,
}

/// The parts of a node from which its [`SlotGranter`] is built.
pub struct SlotServiceParts {
    /// The node's settings.
    pub settings: Settings,
    /// This process.
    pub me: OwnerRef,
    /// The shard owners and live VMs.
    pub directory: Arc<SnapshotDirectory>,
    /// Calls other VMs.
    pub peers: SharedPeerClient,
    /// The configuration in force.
    pub config: Arc<ConfigHolder>,
    /// The clock.
    pub clock: Clock,
}

/// A running node.
pub struct Node {
    /// The state and ports that the components share.
    pub context: Arc<NodeContext>,
    /// Routes jobs to the owners of their shards.
    pub jobs: Arc<JobRouter>,
    /// Serves operators.
    pub operator_service: Arc<NodeOperatorService>,
    server: NngServer,
    stop: watch::Sender<StopPhase>,
    membership: JoinHandle<()>,
    balances: JoinHandle<()>,
    burn_stop: oneshot::Sender<()>,
    burn: JoinHandle<()>,
}

/// A handler that is created before its node. Until `inner` is set, it replies that this process
/// owns nothing.
#[derive(Default)]
struct DeferredHandler {
    inner: OnceLock<NodeHandler>,
}

impl PeerHandler for DeferredHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply> {
        match self.inner.get() {
            Some(handler) => handler.handle(request),
            None => Box::pin(async { Reply::NotOwner }),
        }
    }
}

impl Node {
    /// Starts a node: listens for other VMs and becomes a member of the cell.
    ///
    /// # Errors
    ///
    /// Returns an error if the node cannot listen on its address for peers.
    pub fn start<S: SlotGranter>(
        settings: &Settings,
        secret: &str,
        node_ports: &NodePorts,
        policy_factory: PolicyFactory,
        metrics: Metrics,
        log: Option<LogHandle>,
        slots: impl FnOnce(&SlotServiceParts) -> Arc<S>,
    ) -> Result<(Self, Arc<S>)> {
        let handler = Arc::new(DeferredHandler::default());
        let server = NngServer::listen(settings.peers, secret, handler.clone())
            .map_err(|e| Error::Peer(e.to_string()))?;
        let parts = SlotServiceParts {
            settings: settings.clone(),
            me: OwnerRef {
                vm: settings.vm.clone(),
                incarnation: rand::random(),
            },
            directory: Arc::default(),
            peers: metered_peers(secret, &metrics, &node_ports.traffic),
            config: Arc::default(),
            clock: Clock::start(),
        };
        let observer = Arc::new(NodeObserver::new(metrics, parts.clock));
        let slots = slots(&parts);
        let address = settings.peers_advertised.unwrap_or(server.address());
        let context = build_context(&parts, node_ports, address, slots.clone(), policy_factory);
        let jobs = Arc::new(JobRouter::new(context.clone()));
        let operator_service =
            NodeOperatorService::new(context.clone(), jobs.clone(), observer.clone(), log);
        let operator_service = Arc::new(operator_service);
        let node_handler =
            NodeHandler::new(context.clone(), jobs.clone(), operator_service.clone());
        let _ = handler.inner.set(node_handler);
        let (stop, stopped) = watch::channel(StopPhase::Running);
        let balances = tokio::spawn(BalanceReconciler::new(context.clone()).run());
        let (burn_stop, burn_stopped) = oneshot::channel();
        let burn = spawn_burn_store(&context, &observer, burn_stopped);
        let membership = spawn_membership(&context, node_ports, observer, jobs.clone(), stopped);
        let node = Self {
            context,
            jobs,
            operator_service,
            server,
            stop,
            membership,
            balances,
            burn_stop,
            burn,
        };
        Ok((node, slots))
    }

    /// The address on which the node listens for other VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Begins to release all that the node owns; the node stays a member of the cell.
    pub fn begin_handover(&self) {
        self.stop.send_replace(StopPhase::HandingOver);
    }

    /// Leaves the cell within `limit`; returns the number of shards that the node still owned then.
    pub async fn leave(&mut self, limit: Duration) -> usize {
        self.stop.send_replace(StopPhase::Leaving);
        if tokio::time::timeout(limit, &mut self.membership)
            .await
            .is_err()
        {
            self.membership.abort();
        }
        self.context.owned_shards.count()
    }

    /// Writes the last burn counts within `limit`, and stops listening for other VMs.
    pub async fn close(self, limit: Duration) {
        let _ = self.burn_stop.send(());
        if tokio::time::timeout(limit, self.burn).await.is_err() {
            tracing::warn!(
                "the last burn counts were not written before the end of the planned stop; they \
                 may be lost"
            );
        }
        self.balances.abort();
        self.server.close().await;
    }
}

fn metered_peers(secret: &str, metrics: &Metrics, traffic: &VmTraffic) -> SharedPeerClient {
    let peers = NngPeerClient::new(secret).with_traffic(traffic.peers.clone());
    let peers: SharedPeerClient = Arc::new(peers);
    Arc::new(Metered::new(peers, metrics))
}

fn build_context(
    parts: &SlotServiceParts,
    node_ports: &NodePorts,
    peer_address: SocketAddr,
    slots: Arc<dyn SlotGranter>,
    policy_factory: PolicyFactory,
) -> Arc<NodeContext> {
    Arc::new(NodeContext::new(NodeContextParts {
        settings: parts.settings.clone(),
        me: parts.me.clone(),
        peer_address,
        clock: parts.clock,
        table: node_ports.table.clone(),
        objects: node_ports.objects.clone(),
        vms: node_ports.vms.clone(),
        peers: parts.peers.clone(),
        directory: parts.directory.clone(),
        slots,
        config: parts.config.clone(),
        policy_factory,
    }))
}

fn spawn_burn_store(
    context: &NodeContext,
    observer: &Arc<NodeObserver>,
    stopped: oneshot::Receiver<()>,
) -> JoinHandle<()> {
    let store = BurnStore::new(
        context.table.clone(),
        observer.clone(),
        context.directory.clone(),
        context.me.clone(),
    );
    tokio::spawn(store.run(context.clock, stopped))
}

fn spawn_membership(
    context: &Arc<NodeContext>,
    node_ports: &NodePorts,
    observer: Arc<dyn OwnerObserver>,
    parts: Arc<dyn PartClient>,
    stopped: watch::Receiver<StopPhase>,
) -> JoinHandle<()> {
    let (ownership_ends_tx, ownership_ends) = mpsc::unbounded_channel();
    let ports = OwnerPorts {
        table: node_ports.table.clone(),
        workers: node_ports.workers.clone(),
        clock: context.clock,
        ownership_ends: ownership_ends_tx,
        observer,
        parts,
    };
    let membership = Membership::new(context.clone(), ports, ownership_ends, stopped);
    tokio::spawn(membership.run())
}
