//! One VM: ties the seats, the gateway and the listener for other VMs together.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use futures_util::future::join_all;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::cluster_view::ClusterView;
use super::elector::OwnerElector;
use super::gateway::Gateway;
use super::handler::WorkflowHandler;
use super::message::Member;
use super::owner::WorkflowOwnerPorts;
use super::relay::RelayedRecordStore;
use super::settings::CoordinatorSettings;
use super::shards::{self, OwnerElectors};
use crate::adapter::nng::{NngPeers, NngServer};
use crate::error::Result;
use crate::metrics::Metrics;
use crate::node::clock::Clock;
use crate::port::executor::Executors;
use crate::port::feeds::SharedFeeds;
use crate::port::permits::SharedPermitService;
use crate::port::record_store::SharedRecordStore;
use crate::workflow::{EngineConfig, QueueConfig, QueuePolicy};

/// The longest lease that is asked for: longer than it takes to follow a lost owner, so that tasks go
/// on, and short enough that tasks of a worker that is cut off are soon known to have ended.
const LEASE_MS: u64 = 5_000;

/// How long the feed of configurations waits for a change. A connection that has gone silent is
/// noticed after this and the timeout of the call, within the 5 s in which a VM that was cut off has
/// to know a new version.
const CONFIG_WAIT: Duration = Duration::from_secs(2);

/// Between two reads of the whole configuration, on VMs that do not learn it from an owner: with a
/// call of a slow store it stays within the 2 s in which a version has to be in force.
const CONFIG_INTERVAL: Duration = Duration::from_millis(800);

/// After the feed failed it is read again after so long, so that a configuration is in force within
/// the platform's 2 s once the store serves again.
const CONFIG_RETRY: Duration = Duration::from_millis(200);

/// VMs share no secret on the platform, which keeps others off the ports between them.
const NO_SECRET: &str = "";

/// What a VM needs from the outside.
pub struct Ports {
    /// The store, directly.
    pub records: SharedRecordStore,
    /// The workers.
    pub executors: Arc<dyn Executors>,
    /// The service of permits.
    pub permits: SharedPermitService,
    /// Where counts and times go.
    pub metrics: Metrics,
    /// Makes the feeds from the store as it is reached through other VMs too.
    pub feeds: fn(SharedRecordStore) -> SharedFeeds,
}

/// One VM that runs workflows.
pub struct Coordinator {
    gateway: Arc<Gateway>,
    seats: Arc<OwnerElectors>,
    server: NngServer,
    tasks: JoinSet<()>,
}

impl Coordinator {
    /// Starts to take part; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error where the address for other VMs cannot be used.
    pub fn start(settings: &CoordinatorSettings, ports: Ports) -> Result<Self> {
        let clock = Clock::start();
        let me = Member {
            vm: settings.vm.clone(),
            address: settings.peers,
            started_unix_ms: unix_ms(),
            cpu_milli: settings.cpu_milli(),
            owned: 0,
        };
        let directory = Arc::new(ClusterView::new(me.clone(), settings.seeds.clone()));
        let peers = Arc::new(NngPeers::new(NO_SECRET));
        let relayed = RelayedRecordStore::new(
            ports.records.clone(),
            peers.clone(),
            directory.clone(),
            clock,
        );
        let records: SharedRecordStore = Arc::new(relayed);
        let feeds = (ports.feeds)(records.clone());
        let (queues_tx, queues) = watch::channel(Vec::new());
        let owner_ports = WorkflowOwnerPorts {
            records: records.clone(),
            executors: ports.executors,
            feeds: feeds.clone(),
            permits: ports.permits.clone(),
            peers: peers.clone(),
            directory: directory.clone(),
            metrics: ports.metrics.clone(),
            clock,
        };
        let cfg = EngineConfig {
            lease_ms: LEASE_MS.min(settings.lease_max_ms),
        };
        let seats = Arc::new(OwnerElectors::default());
        let gateway = Gateway::new(
            records.clone(),
            peers,
            directory.clone(),
            seats.clone(),
            clock,
            ports.metrics,
        );
        let gateway = Arc::new(gateway);
        let handler = WorkflowHandler {
            seats: seats.clone(),
            gateway: gateway.clone(),
            directory: directory.clone(),
            direct: ports.records,
            permits: ports.permits,
            clock,
        };
        let server = NngServer::listen(settings.peers, NO_SECRET, Arc::new(handler))?;
        let config = Arc::new(Config {
            gateway: gateway.clone(),
            queues: queues_tx,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(feed_config(feeds.clone(), config.clone(), directory));
        let set = seats.clone();
        tasks.spawn(async move {
            let map = shards::settle(&records, &feeds).await;
            let seat =
                |shard| OwnerElector::new(shard, map, cfg, owner_ports.clone(), queues.clone());
            let all: Vec<Arc<OwnerElector>> = map.shards().map(seat).map(Arc::new).collect();
            set.set(map, all.clone());
            let mut running = JoinSet::new();
            for seat in all {
                let (known, learning) = (config.clone(), config.clone());
                running
                    .spawn(seat.run(move || known.version(), move |newer| learning.learn(newer)));
            }
            running.join_all().await;
        });
        Ok(Self {
            gateway,
            seats,
            server,
            tasks,
        })
    }

    /// Answers callers.
    pub fn gateway(&self) -> Arc<Gateway> {
        self.gateway.clone()
    }

    /// Gives up the shards that this VM owns; callers are answered on.
    pub async fn release_shards(&self) {
        join_all(self.seats.all().iter().map(|seat| seat.stop())).await;
    }

    /// Ends.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
        self.server.close().await;
    }
}

/// The configuration in force on this VM, and who has to know of it.
struct Config {
    gateway: Arc<Gateway>,
    queues: watch::Sender<Vec<QueuePolicy>>,
}

impl Config {
    fn version(&self) -> u64 {
        let config = self.gateway.config();
        config.as_ref().as_ref().map_or(0, |config| config.version)
    }

    fn learn(&self, config: QueueConfig) {
        let queues = config.routes.iter().map(|route| route.queue.clone());
        let queues = queues.collect();
        if self.gateway.set_config(config) {
            self.queues.send_replace(queues);
        }
    }
}

/// Learns versions of the configuration from their feed. A feed whose history is cut may pass over
/// one, so a VM that cannot learn it from an owner reads the version in force as a whole too.
async fn feed_config(feeds: SharedFeeds, config: Arc<Config>, directory: Arc<ClusterView>) {
    let mut version = None;
    loop {
        let learns_alone = directory.local_member().owned > 0 || !directory.has_responsive_owner();
        if version.is_some() && learns_alone {
            version = None;
            tokio::time::sleep(CONFIG_INTERVAL).await;
        }
        match feeds.configurations(version, CONFIG_WAIT).await {
            Ok(news) => {
                version = Some(news.version);
                for newer in news.items {
                    config.learn(newer);
                }
            }
            Err(error) => {
                tracing::warn!(%error, "the configuration cannot be read");
                tokio::time::sleep(CONFIG_RETRY).await;
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
