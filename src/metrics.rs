//! Metrics in the statsd format; docs/metrics.md lists them.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::error::{Error, Result};
use crate::model::VmName;

/// The most metrics that wait to be sent; more are dropped and counted.
const MAX_QUEUED_METRICS: usize = 8_192;

/// How long metrics wait at most for their packet to fill.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Declares an enum of metrics with their names and meanings.
macro_rules! metrics {
    ($(#[$meta:meta])* $name:ident { $($(#[doc = $help:literal])+ $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[doc = $help])+ $variant,)+
        }

        impl $name {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The name, without the prefix.
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
        /// Calls of callers, for requests and jobs, without health checks.
        Requests = "requests.count",
        /// Calls of callers that were refused, and did not run.
        RequestsRefused = "requests.refused",
        /// Calls of callers whose end is unknown.
        RequestsUnknown = "requests.unknown",
        /// Jobs that were recorded.
        JobsAccepted = "jobs.accepted",
        /// Jobs that were refused.
        JobsRefused = "jobs.refused",
        /// Tasks that were placed on a worker.
        TasksPlaced = "tasks.placed",
        /// Tasks of jobs that the owner of a shard refused.
        TasksRefused = "tasks.refused",
        /// Tasks that wait again after an attempt that failed or was lost.
        TasksRetried = "tasks.retried",
        /// Tasks that ended, whatever their outcome.
        TasksEnded = "tasks.ended",
        /// Tasks that ended otherwise than in success or by a cancellation.
        TasksFailed = "tasks.failed",
        /// Parts of teams' balances that shards of this VM took up.
        BalanceDraws = "balances.draws",
        /// Core-milliseconds of these parts.
        BalanceDrawn = "balances.drawn_core_ms",
        /// Transactions that took effect.
        TableCommits = "table.commits",
        /// Transactions whose condition did not hold.
        TableConflicts = "table.conflicts",
        /// Reads of the table, and pages of scans.
        TableReads = "table.reads",
        /// Calls of the table that failed or were not answered.
        TableErrors = "table.errors",
        /// Requests that were sent to other VMs.
        PeerRequests = "peers.requests",
        /// Requests to other VMs that failed.
        PeerErrors = "peers.errors",
        /// Calls of workers.
        WorkerCalls = "workers.calls",
        /// Calls of workers that failed.
        WorkerErrors = "workers.errors",
        /// Shards that were taken over.
        ShardsTaken = "shards.taken",
        /// Shards and services that were taken over from a process that had not given them up.
        ShardsTakenOver = "shards.taken_over",
        /// Shards that were given up or lost.
        ShardsReleased = "shards.released",
        /// Configuration versions that were taken up.
        ConfigApplied = "config.applied",
    }
}

metrics! {
    /// A value at this moment.
    Gauge {
        /// Shards that this VM owns.
        ShardsOwned = "shards.owned",
        /// Tasks that wait in the shards of this VM.
        TasksQueued = "tasks.queued",
        /// Tasks that run in the shards of this VM.
        TasksRunning = "tasks.running",
        /// Workers of the shards of this VM that are set aside.
        WorkersSetAside = "workers.set_aside",
        /// Slots that are held of the services that this VM owns.
        SlotsHeld = "slots.held",
        /// The configuration version in force.
        ConfigVersion = "config.version",
        /// VMs whose leases have not lapsed, as this VM sees them.
        VmsLive = "vms.live",
    }
}

metrics! {
    /// A duration.
    Timer {
        /// From the head of a caller's call to the head of its answer.
        RequestTime = "requests.time",
        /// From a task's acceptance to its start being sent.
        TaskWaitingTime = "tasks.waiting_time",
        /// What an owner makes of one event that places tasks, decisions and all.
        DecisionTime = "decisions.time",
        /// One transaction, from sending to its answer.
        TableCommitTime = "table.commit_time",
        /// One request to another VM, from sending to its reply.
        PeerTime = "peers.time",
    }
}

/// Sends metrics; without an address it sends none.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Sends the metrics of `vm` to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error where no socket can be had.
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
        // Dots part the levels of a metric's name.
        let prefix = format!("chestnutlug.{}", vm.as_str().replace('.', "_"));
        let metrics = Self::with_client(StatsdClient::from_sink(&prefix, queue));
        metrics.flush_regularly()?;
        Ok(metrics)
    }

    /// Flushes on a thread of its own until the last clone is dropped.
    fn flush_regularly(&self) -> Result<()> {
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

    /// Hands them to `sink`, without a prefix.
    pub fn with_sink(
        sink: impl MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self::with_client(StatsdClient::from_sink("", sink))
    }

    /// Sends none.
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

    /// Counts `n` events.
    pub fn count(&self, counter: Counter, n: u64) {
        self.note(self.client.count(counter.name(), n).is_ok());
    }

    /// Sets a value.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.note(self.client.gauge(gauge.name(), value).is_ok());
    }

    /// Records a duration, sent in milliseconds.
    pub fn time(&self, timer: Timer, time: Duration) {
        self.note(self.client.time(timer.name(), time).is_ok());
    }

    /// How many metrics or packets were dropped, because too many waited or sending failed.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Sends what is buffered now, in place of within a second.
    pub fn flush(&self) {
        self.note(self.client.flush().is_ok());
    }

    fn note(&self, sent: bool) {
        if !sent {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
