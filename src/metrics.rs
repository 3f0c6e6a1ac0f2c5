//! Metrics in the statsd format, which docs/metrics.md lists.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::error::{Error, Result};
use crate::model::VmName;

/// Maximum number of queued metrics. Further metrics are dropped and counted.
const MAX_QUEUED_METRICS: usize = 8_192;

/// The interval at which buffered metrics are sent even if their packet is not full.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Declares an enum of metrics with their names and descriptions.
macro_rules! metrics {
    ($(#[$meta:meta])* $name:ident { $($(#[doc = $help:literal])+ $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[doc = $help])+ $variant,)+
        }

        impl $name {
            /// All metrics of this type.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the name without the prefix.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

metrics! {
    /// A count of events.
    Counter {
        /// Requests of callers, to services and for jobs, without health checks.
        Requests = "requests.count",
        /// Requests of callers that were refused and did not run.
        RequestsRefused = "requests.refused",
        /// Requests of callers with an unknown outcome.
        RequestsUnknown = "requests.unknown",
        /// Requests of callers that were refused because their key is missing or unknown.
        RequestsUnauthorized = "requests.unauthorized",
        /// Submissions that were refused because they can never run under the limit of their account.
        RequestsOverLimit = "requests.over_limit",
        /// Jobs that were recorded.
        JobsAccepted = "jobs.accepted",
        /// Jobs that were refused.
        JobsRefused = "jobs.refused",
        /// Tasks that were placed on a worker.
        TasksPlaced = "tasks.placed",
        /// Tasks of jobs that a shard's owner refused.
        TasksRefused = "tasks.refused",
        /// Tasks that were queued again after a failed or lost attempt.
        TasksRetried = "tasks.retried",
        /// Tasks that ended with any outcome.
        TasksEnded = "tasks.ended",
        /// Tasks that ended, but neither succeeded nor were cancelled.
        TasksFailed = "tasks.failed",
        /// Draws on teams' balances by shards of this VM.
        BalanceDraws = "balances.draws",
        /// Core-milliseconds drawn from teams' balances.
        BalanceDrawn = "balances.drawn_core_ms",
        /// Committed transactions.
        TableCommits = "table.commits",
        /// Transactions with a precondition that did not hold.
        TableConflicts = "table.conflicts",
        /// Transactions that the table will never take, because of what they hold.
        TableRejections = "table.rejections",
        /// Reads of single rows of the table and of pages of scans.
        TableReads = "table.reads",
        /// Calls to the table that failed or got no response.
        TableErrors = "table.errors",
        /// Requests to other VMs.
        PeerRequests = "peers.requests",
        /// Requests to other VMs that failed.
        PeerErrors = "peers.errors",
        /// Requests to workers.
        WorkerCalls = "workers.calls",
        /// Requests to workers that failed.
        WorkerErrors = "workers.errors",
        /// Shards that this VM became the owner of.
        ShardsTaken = "shards.taken",
        /// Shards and services that were taken over from a process that had not released them.
        ShardsTakenOver = "shards.taken_over",
        /// Shards that were released or lost.
        ShardsReleased = "shards.released",
        /// Transactions that changed shares of accounts' limits.
        LimitShareWrites = "limit_shares.writes",
        /// Such transactions that another owner's change preceded.
        LimitShareConflicts = "limit_shares.conflicts",
        /// Such transactions that failed or got no response.
        LimitShareErrors = "limit_shares.errors",
        /// Shares of accounts' limits that a shard of this VM raised.
        LimitSharesRaised = "limit_shares.raised",
        /// Shares of accounts' limits that a shard of this VM lowered.
        LimitSharesLowered = "limit_shares.lowered",
        /// Configuration versions that were applied.
        ConfigApplied = "config.applied",
    }
}

metrics! {
    /// A current value.
    Gauge {
        /// Shards that this VM owns.
        ShardsOwned = "shards.owned",
        /// Queued tasks in the shards of this VM.
        TasksQueued = "tasks.queued",
        /// Running tasks in the shards of this VM.
        TasksRunning = "tasks.running",
        /// Set-aside workers in the shards of this VM.
        WorkersSetAside = "workers.set_aside",
        /// Granted slots of the services that this VM owns.
        SlotsHeld = "slots.held",
        /// The version of the configuration in force.
        ConfigVersion = "config.version",
        /// VMs with an unexpired lease, as seen by this VM.
        VmsLive = "vms.live",
    }
}

metrics! {
    /// A duration.
    Timer {
        /// The time from the headers of a caller's request to the headers of its response.
        RequestTime = "requests.time",
        /// The time from the acceptance of a task to the dispatch of its start.
        TaskWaitingTime = "tasks.waiting_time",
        /// The time in which an owner handles an event that places tasks, including the decisions.
        DecisionTime = "decisions.time",
        /// The time from sending a transaction to its response.
        TableCommitTime = "table.commit_time",
        /// The time from sending a request to another VM to its reply.
        PeerTime = "peers.time",
    }
}

/// A client that sends metrics, or drops them if it is disabled.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Creates a client that sends the metrics of `vm` to `address`, or a disabled one if there is
    /// no address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket or the flushing thread cannot be created.
    pub fn new(address: Option<SocketAddr>, vm: &VmName) -> Result<Self> {
        let Some(address) = address else {
            return Ok(Self::disabled());
        };
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(local).map_err(Error::io("metrics socket"))?;
        let nonblocking = socket.set_nonblocking(true);
        nonblocking.map_err(Error::io("metrics socket"))?;
        let udp = BufferedUdpMetricSink::from(address, socket);
        let udp = udp.map_err(|error| Error::Other(format!("metrics to {address}: {error}")))?;
        let queue = QueuingMetricSink::with_capacity(udp, MAX_QUEUED_METRICS);
        // Dots separate the levels of a metric name.
        let prefix = format!("chestnutlug.{}", vm.as_str().replace('.', "_"));
        let metrics = Self::with_client(StatsdClient::from_sink(&prefix, queue));
        metrics.spawn_flusher()?;
        Ok(metrics)
    }

    /// Flushes periodically on a separate thread until the last clone is dropped.
    fn spawn_flusher(&self) -> Result<()> {
        let client = Arc::downgrade(&self.client);
        let dropped = Arc::downgrade(&self.dropped);
        let flusher = thread::Builder::new().name("metrics".to_owned());
        let spawned = flusher.spawn(move || {
            while let (Some(client), Some(dropped)) = (client.upgrade(), dropped.upgrade()) {
                Self { client, dropped }.flush();
                thread::sleep(FLUSH_INTERVAL);
            }
        });
        spawned.map(drop).map_err(Error::io("metrics thread"))
    }

    /// Creates a client that passes metrics to `sink`, without a prefix.
    pub fn with_sink(
        sink: impl MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self::with_client(StatsdClient::from_sink("", sink))
    }

    /// Creates a disabled client, which sends no metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::metrics::{Counter, Metrics};
    ///
    /// let metrics = Metrics::disabled();
    /// metrics.count(Counter::JobsAccepted, 1);
    /// assert_eq!(metrics.dropped(), 0);
    /// ```
    pub fn disabled() -> Self {
        Self::with_client(StatsdClient::from_sink("chestnutlug", NopMetricSink))
    }

    fn with_client(client: StatsdClient) -> Self {
        Self {
            client: Arc::new(client),
            dropped: Arc::default(),
        }
    }

    /// Adds `n` to a counter.
    pub fn count(&self, counter: Counter, n: u64) {
        self.count_if_dropped(self.client.count(counter.name(), n).is_ok());
    }

    /// Sets the value of a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.count_if_dropped(self.client.gauge(gauge.name(), value).is_ok());
    }

    /// Records a duration, which is sent in milliseconds.
    pub fn time(&self, timer: Timer, time: Duration) {
        self.count_if_dropped(self.client.time(timer.name(), time).is_ok());
    }

    /// Returns the number of metrics or packets that were dropped because the queue was full or
    /// sending failed.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Sends buffered metrics immediately, without waiting for the flush interval of 1 s.
    pub fn flush(&self) {
        self.count_if_dropped(self.client.flush().is_ok());
    }

    fn count_if_dropped(&self, sent: bool) {
        if !sent {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
