//! Puts a node together and takes it apart.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use super::balances::Balances;
use super::burn::BurnStore;
use super::clock::Clock;
use super::config::ConfigHolder;
use super::directory::SharedDirectory;
use super::handler::NodeHandler;
use super::jobs::NodeJobs;
use super::membership::{Membership, StopPhase};
use super::metered::Metered;
use super::observe::NodeObserver;
use super::owner::{Observer, OwnerPorts, Parts};
use super::services::ServiceHost;
use super::shared::{PolicyMaker, Shared, SharedParts};
use super::view::NodeView;
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
pub struct Outside {
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
pub struct ServiceParts {
    /// The node's settings.
    pub settings: Settings,
    /// This process.
    pub me: OwnerRef,
    /// Who owns what.
    pub directory: Arc<SharedDirectory>,
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
    pub shared: Arc<Shared>,
    /// Callers' jobs.
    pub jobs: Arc<NodeJobs>,
    /// What operators see.
    pub view: Arc<NodeView>,
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
    pub fn start<S: ServiceHost>(
        settings: &Settings,
        secret: &str,
        outside: &Outside,
        policy: PolicyMaker,
        metrics: Metrics,
        log: Option<LogHandle>,
        services: impl FnOnce(&ServiceParts) -> Arc<S>,
    ) -> Result<(Self, Arc<S>)> {
        let handler = Arc::new(LateHandler::default());
        let server = NngServer::listen(settings.peers, secret, handler.clone())
            .map_err(|e| Error::Peer(e.to_string()))?;
        let parts = ServiceParts {
            settings: settings.clone(),
            me: OwnerRef {
                vm: settings.vm.clone(),
                incarnation: rand::random(),
            },
            directory: Arc::default(),
            peers: metered_peers(secret, &metrics, &outside.traffic),
            config: Arc::default(),
            clock: Clock::start(),
        };
        let observer = Arc::new(NodeObserver::new(metrics, parts.clock));
        let services = services(&parts);
        let address = settings.peers_advertised.unwrap_or(server.address());
        let shared = share(&parts, outside, address, services.clone(), policy);
        let jobs = Arc::new(NodeJobs::new(shared.clone()));
        let view = NodeView::new(shared.clone(), jobs.clone(), observer.clone(), log);
        let view = Arc::new(view);
        let late = NodeHandler::new(shared.clone(), jobs.clone(), view.clone());
        let _ = handler.inner.set(late);
        let (stop, stopped) = watch::channel(StopPhase::Running);
        let balances = tokio::spawn(Balances::new(shared.clone()).run());
        let (burn_stop, burn_stopped) = oneshot::channel();
        let burn = start_burn(&shared, &observer, burn_stopped);
        let membership = start_membership(&shared, outside, observer, jobs.clone(), stopped);
        let node = Self {
            shared,
            jobs,
            view,
            server,
            stop,
            membership,
            balances,
            burn_stop,
            burn,
        };
        Ok((node, services))
    }

    /// Where the node takes requests of other VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Begins to give up all that the node owns; the node stays a member of the cell.
    pub fn begin_hand_over(&self) {
        self.stop.send_replace(StopPhase::HandOver);
    }

    /// Leaves the cell; returns how many shards the node still owned when `limit` had passed.
    pub async fn leave(&mut self, limit: Duration) -> usize {
        self.stop.send_replace(StopPhase::Leave);
        if tokio::time::timeout(limit, &mut self.membership)
            .await
            .is_err()
        {
            self.membership.abort();
        }
        self.shared.owners.count()
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
    parts: &ServiceParts,
    outside: &Outside,
    peer_address: SocketAddr,
    services: Arc<dyn ServiceHost>,
    policy: PolicyMaker,
) -> Arc<Shared> {
    Arc::new(Shared::new(SharedParts {
        settings: parts.settings.clone(),
        me: parts.me.clone(),
        peer_address,
        clock: parts.clock,
        table: outside.table.clone(),
        objects: outside.objects.clone(),
        vms: outside.vms.clone(),
        peers: parts.peers.clone(),
        directory: parts.directory.clone(),
        services,
        config: parts.config.clone(),
        policy,
    }))
}

fn start_burn(
    shared: &Shared,
    observer: &Arc<NodeObserver>,
    stopped: oneshot::Receiver<()>,
) -> JoinHandle<()> {
    let store = BurnStore::new(
        shared.table.clone(),
        observer.clone(),
        shared.directory.clone(),
        shared.me.clone(),
    );
    tokio::spawn(store.run(shared.clock, stopped))
}

fn start_membership(
    shared: &Arc<Shared>,
    outside: &Outside,
    observer: Arc<dyn Observer>,
    parts: Arc<dyn Parts>,
    stopped: watch::Receiver<StopPhase>,
) -> JoinHandle<()> {
    let (exits_tx, exits) = mpsc::unbounded_channel();
    let ports = OwnerPorts {
        table: outside.table.clone(),
        workers: outside.workers.clone(),
        clock: shared.clock,
        exits: exits_tx,
        observer,
        parts,
    };
    let membership = Membership::new(shared.clone(), ports, exits, stopped);
    tokio::spawn(membership.run())
}
