//! Puts a node together and takes it apart.

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
use crate::adapter::nng::{NngPeers, NngServer};
use crate::adapter::traffic::VmTraffic;
use crate::error::{Error, Result};
use crate::log::LogHandle;
use crate::message::{Reply, Request};
use crate::metrics::Metrics;
use crate::port::BoxFuture;
use crate::port::objects::SharedObjects;
use crate::port::peer::{PeerHandler, SharedPeers};
use crate::port::table::SharedTable;
use crate::port::vms::SharedVmList;
use crate::port::worker::SharedWorkers;
use crate::settings::Settings;
use crate::shard::rows::OwnerRef;

/// The outside of a node.
#[derive(Clone)]
pub struct NodePorts {
    /// The table.
    pub table: SharedTable,
    /// The object store.
    pub objects: SharedObjects,
    /// The list of VMs.
    pub vms: SharedVmList,
    /// The workers.
    pub workers: SharedWorkers,
    /// Counts what goes to each of them and to the other VMs.
    pub traffic: VmTraffic,
}

/// What a service host is made from.
pub struct SlotServiceParts {
    /// The node's settings.
    pub settings: Settings,
    /// This process.
    pub me: OwnerRef,
    /// Who owns what.
    pub directory: Arc<SnapshotDirectory>,
    /// The other VMs.
    pub peers: SharedPeers,
    /// The configuration in force.
    pub config: Arc<ConfigHolder>,
    /// The clock.
    pub clock: Clock,
}

/// A running node.
pub struct Node {
    /// What its parts share.
    pub context: Arc<NodeContext>,
    /// Callers' jobs.
    pub jobs: Arc<JobRouter>,
    /// What operators see.
    pub view: Arc<NodeOperatorService>,
    server: NngServer,
    stop: watch::Sender<StopPhase>,
    membership: JoinHandle<()>,
    balances: JoinHandle<()>,
    burn_stop: oneshot::Sender<()>,
    burn: JoinHandle<()>,
}

/// A handler that exists before its node does.
#[derive(Default)]
struct LateHandler {
    inner: OnceLock<NodeHandler>,
}

impl PeerHandler for LateHandler {
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
    /// Returns an error if the peers' address cannot be listened on.
    pub fn start<S: SlotGranter>(
        settings: &Settings,
        secret: &str,
        node_ports: &NodePorts,
        policy_factory: PolicyFactory,
        metrics: Metrics,
        log: Option<LogHandle>,
        slots: impl FnOnce(&SlotServiceParts) -> Arc<S>,
    ) -> Result<(Self, Arc<S>)> {
        let handler = Arc::new(LateHandler::default());
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
        let context = share(&parts, node_ports, address, slots.clone(), policy_factory);
        let jobs = Arc::new(JobRouter::new(context.clone()));
        let view = NodeOperatorService::new(context.clone(), jobs.clone(), observer.clone(), log);
        let view = Arc::new(view);
        let late = NodeHandler::new(context.clone(), jobs.clone(), view.clone());
        let _ = handler.inner.set(late);
        let (stop, stopped) = watch::channel(StopPhase::Running);
        let balances = tokio::spawn(BalanceReconciler::new(context.clone()).run());
        let (burn_stop, burn_stopped) = oneshot::channel();
        let burn = start_burn(&context, &observer, burn_stopped);
        let membership = start_membership(&context, node_ports, observer, jobs.clone(), stopped);
        let node = Self {
            context,
            jobs,
            view,
            server,
            stop,
            membership,
            balances,
            burn_stop,
            burn,
        };
        Ok((node, slots))
    }

    /// Where the node takes requests of other VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Begins to give up all that the node owns; the node stays a member of the cell.
    pub fn begin_handover(&self) {
        self.stop.send_replace(StopPhase::HandingOver);
    }

    /// Leaves the cell; returns how many shards the node still owned when `limit` had passed.
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

    /// Writes the last counts, within `limit`, and stops listening for other VMs.
    pub async fn close(self, limit: Duration) {
        let _ = self.burn_stop.send(());
        if tokio::time::timeout(limit, self.burn).await.is_err() {
            tracing::warn!("the last counts of the service-level burn could not be written");
        }
        self.balances.abort();
        self.server.close().await;
    }
}

fn metered_peers(secret: &str, metrics: &Metrics, traffic: &VmTraffic) -> SharedPeers {
    let peers = NngPeers::new(secret).counted(traffic.peers.clone());
    let peers: SharedPeers = Arc::new(peers);
    Arc::new(Metered::new(peers, metrics))
}

fn share(
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

fn start_burn(
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

fn start_membership(
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
