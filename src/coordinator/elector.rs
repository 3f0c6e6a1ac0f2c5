//! Ownership of a shard on this VM: monitors the shard's owner and takes over when it fails or releases
//! the shard.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;

use super::event::{Event, OwnershipEnd};
use super::feeder;
use super::fenced_writer::{FencedWriter, StoreObserver, WriteError};
use super::first_claim::first_claim_delay;
use super::layout::OwnerRecord;
use super::message::{OwnerHint, WorkflowReply, WorkflowRequest};
use super::owner::{HEARTBEAT_INTERVAL, WorkflowOwner, WorkflowOwnerPorts};
use super::reader::{self, ShardSnapshot};
use super::shards::{ShardId, ShardMap};
use crate::decide::limit_share;
use crate::message::{Reply, Request};
use crate::metrics::Counter;
use crate::model::{Time, VmName};
use crate::port::feeds::{FeedUpdate, WorkerChange};
use crate::port::record_store::StoreError;
use crate::workflow::wall_clock::WallClock;
use crate::workflow::{
    CommitBatch, Engine, EngineConfig, EnginePolicies, LongLeases, Predecessor, QueueConfig,
    Tenure, predecessor_ends_at,
};

/// The interval between two pings of the owner.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// The timeout of a ping. A slowed VM replies within tens of milliseconds.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of consecutive failed pings after which the owner record is checked.
const MAX_MISSED_PINGS: u32 = 2;

/// Another VM takes over from an owner whose record has not changed for this long. A live owner changes
/// its record every 500 ms, and one transaction of a slow store takes up to 630 ms.
const OWNER_RECORD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The interval between two checks of the record of an unresponsive owner.
const RECORD_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// How long a VM delays its takeover from a failed owner if it knows a larger VM. The larger VM checks
/// the owner record within two intervals.
const LARGER_VM_HEAD_START: Duration = Duration::from_millis(700);

/// How long a VM that released a shard because it was isolated or yielded to a larger VM does not try to
/// take over again. Other VMs see the release within two checks of the owner record.
const TAKEOVER_BACKOFF: Duration = Duration::from_secs(2);

/// The last version of an unresponsive owner's record, and since when it has not changed.
#[derive(Clone, Debug)]
struct UnchangedRecord {
    version: u64,
    since: Time,
}

impl UnchangedRecord {
    /// Since when the record, whose version is `version` now, has not changed. Updates `known`.
    fn since(known: &mut Option<Self>, version: u64, now: Time) -> Time {
        let unchanged = known.take().filter(|known| known.version == version);
        let since = unchanged.map_or(now, |known| known.since);
        *known = Some(Self { version, since });
        since
    }
}

/// Logs failed calls only; used while a new owner loads the shard.
struct NoStoreObserver;

impl StoreObserver for NoStoreObserver {
    fn on_failure(&self, error: &StoreError) {
        tracing::debug!(%error, "heartbeat of a new shard owner fails; retrying");
    }

    fn on_success(&self) {}
}

/// Decides when this VM claims a shard, and runs the shard's owner while this VM owns it.
pub(super) struct OwnerElector {
    shard: ShardId,
    map: ShardMap,
    cfg: EngineConfig,
    ports: WorkflowOwnerPorts,
    policies: watch::Receiver<EnginePolicies>,
    owner: Mutex<Option<ActorRef<WorkflowOwner>>>,
    takeover_requested: Notify,
    stopping: watch::Sender<bool>,
}

impl OwnerElector {
    pub(super) fn new(
        shard: ShardId,
        map: ShardMap,
        cfg: EngineConfig,
        ports: WorkflowOwnerPorts,
        policies: watch::Receiver<EnginePolicies>,
    ) -> Self {
        Self {
            shard,
            map,
            cfg,
            ports,
            policies,
            owner: Mutex::default(),
            takeover_requested: Notify::new(),
            stopping: watch::Sender::new(false),
        }
    }

    /// The owner actor, if this VM owns the shard.
    pub(super) fn owner(&self) -> Option<ActorRef<WorkflowOwner>> {
        self.lock().clone()
    }

    /// Whether this VM owns the shard.
    pub(super) fn is_owner(&self) -> bool {
        self.lock().is_some()
    }

    /// Requests a takeover from the owner of `epoch`, which has released the shard.
    pub(super) fn request_takeover(&self, epoch: u64) {
        tracing::info!(
            shard = self.shard.0,
            epoch,
            "another VM requests that this VM take over a shard that its owner releases"
        );
        self.takeover_requested.notify_one();
    }

    /// Pings the owner, and takes over when it fails, until the process stops.
    ///
    /// `config_version` returns the version of the configuration in effect; `apply_config` applies a
    /// newer one that the owner sends.
    pub(super) async fn run(
        self: Arc<Self>,
        config_version: impl Fn() -> u64,
        apply_config: impl Fn(QueueConfig),
    ) {
        let mut missed_pings = 0;
        let mut unchanged: Option<UnchangedRecord> = None;
        while !*self.stopping.borrow() {
            if self.is_owner() {
                (missed_pings, unchanged) = (0, None);
                tokio::time::sleep(PING_INTERVAL).await;
                continue;
            }
            if self.ping(config_version(), &apply_config).await {
                (missed_pings, unchanged) = (0, None);
                self.sleep(PING_INTERVAL).await;
                continue;
            }
            missed_pings += 1;
            if missed_pings >= MAX_MISSED_PINGS || self.ports.cluster.owner(self.shard).is_none() {
                self.check_owner_record(&mut unchanged, false).await;
                self.sleep(RECORD_CHECK_INTERVAL).await;
            }
        }
    }

    /// Sleeps for `interval`; a takeover request ends the sleep with a check of the owner record.
    async fn sleep(&self, interval: Duration) {
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = self.takeover_requested.notified() => {
                let mut unchanged = None;
                self.check_owner_record(&mut unchanged, true).await;
            }
        }
    }

    /// Sends a heartbeat to the owner; false if the owner is unknown or does not reply.
    async fn ping(&self, config_version: u64, apply_config: &impl Fn(QueueConfig)) -> bool {
        let Some(owner) = self.ports.cluster.owner(self.shard) else {
            return false;
        };
        let request = Request::Workflow(WorkflowRequest::Ping {
            shard: self.shard,
            member: self.ports.cluster.local_member(),
            config_version,
        });
        let reply = self.ports.peers.call(owner.address, &request, PING_TIMEOUT);
        let reply = reply.await;
        let responsive = matches!(reply, Ok(Reply::Workflow(WorkflowReply::Pong { .. })));
        self.ports
            .cluster
            .set_owner_responsive(self.shard, responsive);
        match reply {
            Ok(Reply::Workflow(WorkflowReply::Pong { members, config })) => {
                let now = self.ports.clock.now();
                self.ports.cluster.merge_reported_members(members, now);
                if let Some(config) = config {
                    apply_config(config);
                }
                true
            }
            Ok(Reply::Workflow(WorkflowReply::NotOwner(Some(hint))))
                if hint.epoch > owner.epoch =>
            {
                self.ports.cluster.set_owner(self.shard, hint);
                true
            }
            Ok(other) => {
                tracing::debug!(
                    ?other,
                    "unexpected reply to a ping to a shard owner; counting the ping as missed"
                );
                false
            }
            Err(error) => {
                tracing::debug!(%error, "ping to a shard owner fails; counting it as missed");
                false
            }
        }
    }

    /// Reads the owner record and claims the shard if the owner has released it or the record has not
    /// changed for too long. Unless the takeover was `requested`, larger VMs get a head start.
    async fn check_owner_record(&self, unchanged: &mut Option<UnchangedRecord>, requested: bool) {
        let found = match reader::read_owner(&self.ports.store, self.shard).await {
            Ok(found) => found,
            Err(error) => {
                tracing::debug!(%error,
                    "cannot read the owner record of a shard; retrying at the next check");
                return;
            }
        };
        let now = self.ports.clock.now();
        let local = self.ports.cluster.local_member();
        let Some((record, version)) = found else {
            let since = UnchangedRecord::since(unchanged, 0, now);
            let delay = first_claim_delay(&local, self.shard);
            let delay_left = delay.saturating_sub(now.since(since));
            if delay_left <= RECORD_CHECK_INTERVAL {
                tokio::time::sleep(delay_left).await;
                let nobody = Predecessor {
                    ends_at: now,
                    long_leases: LongLeases::Workers(Vec::new()),
                };
                self.claim(0, 0, nobody).await;
            }
            return;
        };
        let hint = OwnerHint {
            epoch: record.epoch,
            address: record.address,
        };
        self.ports.cluster.set_owner(self.shard, hint);
        // This VM runs no owner now, so a record of this VM is from an earlier owner.
        let is_own_record = record.vm == local.vm;
        let since = UnchangedRecord::since(unchanged, version, now);
        let timeout = if record.released || is_own_record {
            Duration::ZERO
        } else {
            OWNER_RECORD_TIMEOUT
        };
        let head_start = if !requested && self.knows_larger_vm(&record.vm, now) {
            LARGER_VM_HEAD_START
        } else {
            Duration::ZERO
        };
        if now.since(since) >= timeout + head_start {
            // An owner sends its release last. The predecessor of a process that has failed may
            // still act, even if that process itself does not.
            let ends_at = match (record.released, is_own_record) {
                (true, _) => now,
                (false, true) => predecessor_ends_at(now),
                (false, false) => predecessor_ends_at(since),
            };
            let predecessor = Predecessor {
                ends_at,
                long_leases: record.long_leases,
            };
            self.claim(record.epoch, version, predecessor).await;
        }
    }

    /// Whether a VM other than the `previous_owner` is known that has much more CPU for the shard.
    fn knows_larger_vm(&self, previous_owner: &VmName, now: Time) -> bool {
        let members = self.ports.cluster.members(now);
        let local = self.ports.cluster.local_member();
        let cpu_milli = local.cpu_milli_per_shard(local.owned + 1);
        let mut others = members
            .iter()
            .filter(|member| member.vm != *previous_owner && member.vm != local.vm);
        others.any(|member| member.is_preferred_owner(cpu_milli))
    }

    /// Claims the shard after the owner of `epoch`, whose record has `version`, and runs the owner until
    /// its ownership ends.
    async fn claim(&self, epoch: u64, version: u64, predecessor: Predecessor) {
        // An owner without a configuration cannot run workflows.
        if *self.stopping.borrow() || self.policies.borrow().queues.is_empty() {
            return;
        }
        let local = self.ports.cluster.local_member();
        let record = OwnerRecord {
            vm: local.vm,
            address: local.address,
            started_unix_ms: local.started_unix_ms,
            epoch: epoch + 1,
            transaction: 0,
            released: false,
            // Kept for a successor that finds no later record of this owner.
            long_leases: predecessor.long_leases.clone(),
        };
        let clock = self.ports.clock;
        let tenure = Tenure::begin(clock.now());
        match FencedWriter::claim(&self.ports.store, self.shard, record, version, clock).await {
            Ok(Some(writer)) => {
                tracing::info!(
                    shard = self.shard.0,
                    epoch = writer.owner.epoch,
                    "this VM has claimed a shard; loading its records"
                );
                self.run_owner(writer, tenure, predecessor).await;
            }
            Ok(None) => tracing::info!(
                shard = self.shard.0,
                epoch,
                "another VM has already claimed the shard; not taking it over"
            ),
            Err(error) => {
                tracing::warn!(shard = self.shard.0, %error,
                    "cannot claim a shard; retrying at the next check of its owner record")
            }
        }
    }

    /// Loads the shard's records and runs the owner until its ownership ends.
    async fn run_owner(
        &self,
        mut writer: FencedWriter,
        mut tenure: Tenure,
        mut predecessor: Predecessor,
    ) {
        // Counted while the records are still being loaded, so that this VM claims no further shard
        // that another one has more CPU for.
        self.ports.cluster.shard_acquired();
        let Some((snapshot, listed)) = self.load_snapshot(&mut writer, &mut tenure).await else {
            self.ports.cluster.shard_released();
            return;
        };
        let now = self.ports.clock.now();
        let epoch = writer.owner.epoch;
        let mut engine = Engine::new(self.cfg, epoch, tenure);
        engine.set_policies(self.policies.borrow().clone());
        let shards = u16::try_from(self.map.shards().count()).unwrap_or(u16::MAX);
        engine.join_shards(self.shard, shards);
        let workflow_share = f64::from(self.map.workflow_share(self.shard));
        engine.set_workflow_share(workflow_share / f64::from(limit_share::WHOLE));
        for (worker, assignment) in snapshot.assignments {
            engine.load_assignment(worker, assignment);
        }
        for (part, workers) in snapshot.workers {
            engine.restore_workers(part, workers, now);
        }
        for change in listed.items {
            if let WorkerChange::Listed(listing) = change {
                let home = self.map.of_worker(&listing.name);
                engine.list_worker(listing, home, now);
            }
        }
        if epoch > 1 {
            predecessor.ends_at = predecessor.ends_at.max(now);
            engine.begin_recovery(&predecessor);
        }
        let workflows = snapshot.workflows.len();
        let unix_ms = self.ports.clock.unix_now().0 / 1_000;
        let wall_clock = WallClock { at: now, unix_ms };
        for (id, record, parts) in snapshot.workflows {
            engine.load_workflow(id, record, parts, wall_clock);
        }
        tracing::info!(
            shard = self.shard.0,
            epoch,
            workflows,
            "the workflows of a claimed shard are loaded; starting its owner"
        );
        self.ports.metrics.count(Counter::ShardsTaken, 1);
        let (end_tx, mut end_rx) = watch::channel(None);
        let owner = WorkflowOwner::new(
            engine,
            writer,
            self.ports.clone(),
            (self.shard, self.map),
            predecessor.ends_at,
            end_tx,
        );
        let owner = WorkflowOwner::spawn(owner);
        let mut tasks = JoinSet::new();
        tasks.spawn(WorkflowOwner::run_ticks(owner.clone()));
        feeder::spawn_all(
            &mut tasks,
            &self.ports,
            self.shard,
            &owner,
            listed.version,
            snapshot.inbox_entries,
            &self.policies,
        );
        *self.lock() = Some(owner);
        let hint = OwnerHint {
            epoch,
            address: self.ports.cluster.local_address(),
        };
        self.ports.cluster.set_owner(self.shard, hint);
        // The actor holds the sender, so this also returns if the actor dies.
        let end = end_rx.wait_for(Option::is_some).await;
        let end = end.ok().and_then(|end| *end);
        tasks.shutdown().await;
        *self.lock() = None;
        self.ports.cluster.shard_released();
        if end == Some(OwnershipEnd::Yielded) {
            self.request_successor(self.ports.clock.now()).await;
        }
        if matches!(end, Some(OwnershipEnd::Isolated | OwnershipEnd::Yielded)) {
            tokio::time::sleep(TAKEOVER_BACKOFF).await;
        }
    }

    /// Reads the shard's records and the list of workers, and keeps the owner record fresh meanwhile.
    /// Returns `None` if another process has taken over the shard.
    async fn load_snapshot(
        &self,
        writer: &mut FencedWriter,
        tenure: &mut Tenure,
    ) -> Option<(ShardSnapshot, FeedUpdate<WorkerChange>)> {
        let store = &self.ports.store;
        let reading = async {
            let snapshot = feeder::retry(|| reader::read_all(store, self.shard)).await;
            let listed = feeder::retry(|| self.ports.feeds.workers(None, Duration::ZERO)).await;
            (snapshot, listed)
        };
        tokio::pin!(reading);
        loop {
            tokio::select! {
                read = &mut reading => return Some(read),
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            }
            let empty = CommitBatch::default();
            let heartbeat = writer.commit(store, &empty, false, &NoStoreObserver);
            match heartbeat.await {
                Ok(outcome) => tenure.renew(outcome.sent_at),
                Err(WriteError::Fenced) => {
                    tracing::warn!(
                        "another process owns the shard whose records are being loaded; starting no owner"
                    );
                    return None;
                }
                // The observer has logged the failure.
                Err(WriteError::NotDone | WriteError::Rejected { .. }) => {}
            }
        }
    }

    /// Stops claiming the shard and, if this VM owns it, hands it over to another VM.
    pub(super) async fn stop(&self) {
        self.stopping.send_replace(true);
        let Some(owner) = self.owner() else {
            return;
        };
        let now = self.ports.clock.now();
        let (tx, rx) = oneshot::channel();
        if owner.tell(Event::Release(tx)).await.is_err() {
            return;
        }
        if rx.await.is_err() {
            tracing::warn!(
                "the owner of a shard ended without releasing it; requesting a takeover anyway"
            );
        }
        self.request_successor(now).await;
    }

    /// Requests a takeover by the VM with the most CPU for the shard. Among equals, the VM that started
    /// last is preferred, because planned restarts reach it last.
    async fn request_successor(&self, now: Time) {
        let cluster = &self.ports.cluster;
        let epoch = cluster.owner(self.shard).map_or(0, |owner| owner.epoch);
        let mut members = cluster.members(now);
        members.retain(|member| member.address != cluster.local_address());
        members.sort_by_key(|member| {
            std::cmp::Reverse((
                member.cpu_milli_per_shard(member.owned + 1),
                member.started_unix_ms,
            ))
        });
        for member in members {
            let request = Request::Workflow(WorkflowRequest::TakeOver {
                shard: self.shard,
                epoch,
            });
            let reply = self
                .ports
                .peers
                .call(member.address, &request, PING_TIMEOUT);
            if matches!(reply.await, Ok(Reply::Workflow(WorkflowReply::Done))) {
                tracing::info!(shard = self.shard.0, vm = %member.vm,
                    "another VM accepts the request to take over a released shard");
                return;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<ActorRef<WorkflowOwner>>> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
