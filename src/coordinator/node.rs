//! The process on one VM: starts the electors, the gateway and the listener for other VMs.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use futures_util::future::join_all;
use tokio::task::JoinSet;

use super::availability::StoreAvailability;
use super::cluster_view::ClusterView;
use super::current_config::CurrentConfig;
use super::direct_store::DirectStore;
use super::elector::OwnerElector;
use super::gateway::Gateway;
use super::handler::WorkflowHandler;
use super::message::Member;
use super::owner::WorkflowOwnerPorts;
use super::relay::RelayedRecordStore;
use super::settings::CoordinatorSettings;
use super::shards::{self, OwnerElectors};
use crate::adapter::nng::{NngPeerClient, NngServer};
use crate::error::Result;
use crate::metrics::Metrics;
use crate::model::Time;
use crate::node::clock::Clock;
use crate::port::executor::Executors;
use crate::port::feeds::SharedFeeds;
use crate::port::permits::SharedPermitService;
use crate::port::record_store::SharedRecordStore;
use crate::workflow::wall_clock::MAX_AGE;
use crate::workflow::{EngineConfig, RateBurst};

/// The maximum lease that is requested from workers. It is longer than a takeover from a failed owner,
/// so that tasks keep running, and short enough that the tasks of a worker that is cut off are soon
/// known to have ended.
const MAX_LEASE_MS: u64 = 5_000;

/// How long a read of the configuration feed waits for a change. A dead connection is detected after
/// this plus the timeout of the call, which is within the 5 s in which a VM that was cut off has to
/// learn of a new version.
const CONFIG_WAIT: Duration = Duration::from_secs(2);

/// The interval between two full reads of the configuration on VMs that do not get it from an owner.
/// With a call of a slow store, it stays within the 2 s in which a version has to be in effect.
const CONFIG_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(800);

/// The delay before a failed read of the feed is retried, so that a configuration is in effect within
/// the platform's limit of 2 s after the store recovers.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(200);

/// VMs use no shared secret, because the platform blocks other access to the ports between them.
const NO_SECRET: &str = "";

/// The adapters that a coordinator uses.
pub struct Ports {
    /// The store, without relays through other VMs.
    pub store: SharedRecordStore,
    /// The workers.
    pub executors: Arc<dyn Executors>,
    /// The permit service.
    pub permits: SharedPermitService,
    /// The sink of metrics.
    pub metrics: Metrics,
    /// Creates the feeds on a store that relays calls through other VMs.
    pub feeds: fn(SharedRecordStore) -> SharedFeeds,
}

/// The process on one VM that runs workflows.
pub struct Coordinator {
    gateway: Arc<Gateway>,
    electors: Arc<OwnerElectors>,
    server: NngServer,
    tasks: JoinSet<()>,
}

impl Coordinator {
    /// Starts the process's tasks and its listener for other VMs; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot listen on the address for other VMs.
    pub fn start(settings: &CoordinatorSettings, ports: Ports) -> Result<Self> {
        // A workflow may have been accepted by another VM long before this process started.
        let clock = Clock::start_at(Time::default() + MAX_AGE);
        let local = Member {
            vm: settings.vm.clone(),
            address: settings.peers,
            started_unix_ms: unix_ms(),
            cpu_milli: settings.cpu_milli(),
            owned: 0,
        };
        let cluster = Arc::new(ClusterView::new(local.clone(), settings.seeds.clone()));
        let peers = Arc::new(NngPeerClient::new(NO_SECRET));
        let availability = Arc::new(StoreAvailability::default());
        let direct = DirectStore::new(ports.store);
        let relayed = RelayedRecordStore::new(
            direct.clone(),
            peers.clone(),
            cluster.clone(),
            clock,
            availability.clone(),
        );
        let store: SharedRecordStore = Arc::new(relayed);
        let feeds = (ports.feeds)(store.clone());
        let (config, policies) = CurrentConfig::new(ports.metrics.clone());
        let config = Arc::new(config);
        let owner_ports = WorkflowOwnerPorts {
            store: store.clone(),
            executors: ports.executors,
            feeds: feeds.clone(),
            permits: ports.permits.clone(),
            overload_control: settings.overload_control,
            peers: peers.clone(),
            cluster: cluster.clone(),
            metrics: ports.metrics.clone(),
            clock,
        };
        let cfg = EngineConfig {
            lease_ms: MAX_LEASE_MS.min(settings.lease_max_ms),
            max_lease_ms: settings.lease_max_ms,
            account_burst: RateBurst {
                window_ms: (settings.account_window_s * 1_000.0) as u64,
                submissions: settings.account_slack,
            },
            overload_control: settings.overload_control,
        };
        let electors = Arc::new(OwnerElectors::default());
        let gateway = Gateway::new(&owner_ports, electors.clone(), config.clone(), availability);
        let gateway = Arc::new(gateway);
        let handler = WorkflowHandler {
            electors: electors.clone(),
            gateway: gateway.clone(),
            cluster: cluster.clone(),
            direct,
            permits: ports.permits,
            clock,
        };
        let server = NngServer::listen(settings.peers, NO_SECRET, Arc::new(handler))?;
        let mut tasks = JoinSet::new();
        tasks.spawn(watch_config(feeds.clone(), config.clone(), cluster));
        let elector_set = electors.clone();
        tasks.spawn(async move {
            let map = shards::determine_shard_map(&store, &feeds).await;
            let elector =
                |shard| OwnerElector::new(shard, map, cfg, owner_ports.clone(), policies.clone());
            let all: Vec<Arc<OwnerElector>> = map.shards().map(elector).map(Arc::new).collect();
            elector_set.set(map, all.clone());
            let mut running = JoinSet::new();
            for elector in all {
                let (current, applier) = (config.clone(), config.clone());
                let apply = move |newer| {
                    applier.apply(newer);
                };
                running.spawn(elector.run(move || current.version(), apply));
            }
            running.join_all().await;
        });
        Ok(Self {
            gateway,
            electors,
            server,
            tasks,
        })
    }

    /// The gateway that handles the requests of callers.
    pub fn gateway(&self) -> Arc<Gateway> {
        self.gateway.clone()
    }

    /// Hands over the shards that this VM owns and claims no more. Callers are still served.
    pub async fn release_shards(&self) {
        join_all(self.electors.all().iter().map(|elector| elector.stop())).await;
    }

    /// Stops all tasks and the listener for other VMs.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
        self.server.close().await;
    }
}

/// Applies new versions of the configuration from their feed. The feed may miss a version when the store
/// truncates its history, so a VM that cannot get the configuration from an owner also reads it in full.
async fn watch_config(feeds: SharedFeeds, config: Arc<CurrentConfig>, cluster: Arc<ClusterView>) {
    let mut version = None;
    loop {
        let needs_full_read = cluster.local_member().owned > 0 || !cluster.has_responsive_owner();
        if version.is_some() && needs_full_read {
            version = None;
            tokio::time::sleep(CONFIG_SNAPSHOT_INTERVAL).await;
        }
        match feeds.configurations(version, CONFIG_WAIT).await {
            Ok(update) => {
                version = Some(update.version);
                for newer in update.items {
                    config.apply(newer);
                }
            }
            Err(error) => {
                tracing::warn!(%error,
                    "cannot read the queue configuration from its feed; retrying");
                tokio::time::sleep(CONFIG_RETRY_DELAY).await;
            }
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
