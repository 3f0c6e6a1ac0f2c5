//! Whether this VM owns a shard: follows the shard's owner, and takes its place when it is lost.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use xxhash_rust::xxh3::xxh3_64;

use super::event::{Event, OwnershipEnd};
use super::feeder;
use super::fenced_writer::{FencedWriter, StoreObserver, WriteError};
use super::layout::OwnerRecord;
use super::message::{OwnerHint, WorkflowReply, WorkflowRequest};
use super::owner::{HEARTBEAT, WorkflowOwner, WorkflowOwnerPorts};
use super::reader::{self, ShardSnapshot};
use super::shards::{ShardId, ShardMap};
use crate::message::{Reply, Request};
use crate::metrics::Counter;
use crate::model::{Time, VmName, WorkerName};
use crate::port::feeds::{FeedUpdate, WorkerChange};
use crate::port::record_store::StoreError;
use crate::workflow::{CommitBatch, Engine, EngineConfig, QueueConfig, QueuePolicy};

/// Between two pings of the owner.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// How long a ping may take: a slowed VM answers in tens of milliseconds.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Pings without an answer after which the owner's record is watched.
const PINGS_MISSED: u32 = 2;

/// An owner whose record stands still for so long is followed. Its record changes each 500 ms, and
/// one transaction of a slow store takes up to 630 ms.
const OWNER_SILENCE: Duration = Duration::from_millis(1_500);

/// Between two looks at the record of an owner that does not answer.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// A VM leaves the place of a lost owner to larger VMs for so long: they look at the owner's record
/// within two intervals.
const LET_LARGER_FOLLOW: Duration = Duration::from_millis(700);

/// An owner that gave up as it reached no other VM, or as a larger one is there, leaves its place to others for so long: they see
/// its record within two looks.
const LET_OTHERS_FOLLOW: Duration = Duration::from_secs(2);

/// What the seat knows of an owner that does not answer.
#[derive(Clone, Debug)]
struct Silent {
    version: u64,
    since: Time,
}

/// Takes no note of how the store serves.
struct NoStoreObserver;

impl StoreObserver for NoStoreObserver {
    fn failed(&self, error: &StoreError) {
        tracing::debug!(%error, "a new owner's heartbeat has no result and is repeated");
    }

    fn succeeded(&self) {}
}

/// VMs that start together try to become the first owner of a shard at different times within so
/// long, so that one of them does not take all shards.
const FIRST_CLAIM_SPREAD_MS: u64 = 400;

/// The seat of a shard's owner on this VM.
pub(super) struct OwnerElector {
    shard: ShardId,
    map: ShardMap,
    cfg: EngineConfig,
    ports: WorkflowOwnerPorts,
    queues: watch::Receiver<Vec<QueuePolicy>>,
    owner: Mutex<Option<ActorRef<WorkflowOwner>>>,
    asked_to_follow: Notify,
    stopping: watch::Sender<bool>,
}

impl OwnerElector {
    pub(super) fn new(
        shard: ShardId,
        map: ShardMap,
        cfg: EngineConfig,
        ports: WorkflowOwnerPorts,
        queues: watch::Receiver<Vec<QueuePolicy>>,
    ) -> Self {
        Self {
            shard,
            map,
            cfg,
            ports,
            queues,
            owner: Mutex::default(),
            asked_to_follow: Notify::new(),
            stopping: watch::Sender::new(false),
        }
    }

    /// The owner on this VM.
    pub(super) fn owner(&self) -> Option<ActorRef<WorkflowOwner>> {
        self.lock().clone()
    }

    /// Whether this VM owns the shard.
    pub(super) fn is_owner(&self) -> bool {
        self.lock().is_some()
    }

    /// Takes the owner's place, if the owner of `epoch` has given up.
    pub(super) fn follow_now(&self, epoch: u64) {
        tracing::info!(
            shard = self.shard.0,
            epoch,
            "this VM is asked to follow an owner that gives up"
        );
        self.asked_to_follow.notify_one();
    }

    /// Follows the owner until the VM stops.
    pub(super) async fn run(
        self: Arc<Self>,
        config: impl Fn() -> u64,
        learn: impl Fn(QueueConfig),
    ) {
        let mut missed = 0;
        let mut silent: Option<Silent> = None;
        while !*self.stopping.borrow() {
            if self.is_owner() {
                (missed, silent) = (0, None);
                tokio::time::sleep(PING_INTERVAL).await;
                continue;
            }
            if self.ping(config(), &learn).await {
                (missed, silent) = (0, None);
                self.pause(PING_INTERVAL).await;
                continue;
            }
            missed += 1;
            if missed >= PINGS_MISSED || self.ports.directory.owner(self.shard).is_none() {
                self.watch_record(&mut silent, false).await;
                self.pause(WATCH_INTERVAL).await;
            }
        }
    }

    async fn pause(&self, pause: Duration) {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.asked_to_follow.notified() => {
                let mut silent = None;
                self.watch_record(&mut silent, true).await;
            }
        }
    }

    /// Tells the owner that this VM lives; false where it does not answer.
    async fn ping(&self, config_version: u64, learn: &impl Fn(QueueConfig)) -> bool {
        let Some(owner) = self.ports.directory.owner(self.shard) else {
            return false;
        };
        let request = Request::Workflow(WorkflowRequest::Ping {
            shard: self.shard,
            member: self.ports.directory.local_member(),
            config_version,
        });
        let reply = self.ports.peers.call(owner.address, &request, PING_TIMEOUT);
        let reply = reply.await;
        let answered = matches!(reply, Ok(Reply::Workflow(WorkflowReply::Pong { .. })));
        self.ports
            .directory
            .set_owner_responsive(self.shard, answered);
        match reply {
            Ok(Reply::Workflow(WorkflowReply::Pong { members, config })) => {
                let now = self.ports.clock.now();
                self.ports.directory.merge_reported_members(members, now);
                if let Some(config) = config {
                    learn(config);
                }
                true
            }
            Ok(Reply::Workflow(WorkflowReply::NotOwner(Some(hint))))
                if hint.epoch > owner.epoch =>
            {
                self.ports.directory.set_owner(self.shard, hint);
                true
            }
            Ok(other) => {
                tracing::debug!(?other, "a ping was not answered by an owner");
                false
            }
            Err(error) => {
                tracing::debug!(%error, "a ping was not answered");
                false
            }
        }
    }

    /// Looks at the owner's record; takes the owner's place where it has given up or stood still. A
    /// VM that is not `asked` to follow lets larger ones go first.
    async fn watch_record(&self, silent: &mut Option<Silent>, asked: bool) {
        let found = match reader::read_owner(&self.ports.records, self.shard).await {
            Ok(found) => found,
            Err(error) => {
                tracing::debug!(%error, "the owner's record cannot be read");
                return;
            }
        };
        let now = self.ports.clock.now();
        let me = self.ports.directory.local_member();
        let Some((record, version)) = found else {
            let key = format!("{} {}", me.vm, self.shard);
            let pause = xxh3_64(key.as_bytes()) % FIRST_CLAIM_SPREAD_MS;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.claim(0, 0).await;
            return;
        };
        let hint = OwnerHint {
            epoch: record.epoch,
            address: record.address,
        };
        self.ports.directory.set_owner(self.shard, hint);
        let own_earlier = record.vm == me.vm;
        let since = match silent {
            Some(known) if known.version == version => known.since,
            _ => {
                *silent = Some(Silent {
                    version,
                    since: now,
                });
                now
            }
        };
        let lost = if record.released || own_earlier {
            Duration::ZERO
        } else {
            OWNER_SILENCE
        };
        let polite = if !asked && self.knows_larger(&record.vm, now) {
            LET_LARGER_FOLLOW
        } else {
            Duration::ZERO
        };
        if now.since(since) >= lost + polite {
            self.claim(record.epoch, version).await;
        }
    }

    /// Whether a VM other than the `lost` one was heard of that has much more room for the shard.
    fn knows_larger(&self, lost: &VmName, now: Time) -> bool {
        let members = self.ports.directory.members(now);
        let me = self.ports.directory.local_member();
        let share = me.share(me.owned + 1);
        let mut others = members
            .iter()
            .filter(|member| member.vm != *lost && member.vm != me.vm);
        others.any(|member| member.outweighs(share))
    }

    /// Tries to become the owner after the one of `epoch`.
    async fn claim(&self, epoch: u64, version: u64) {
        // Without a configuration no workflow can be served.
        if *self.stopping.borrow() || self.queues.borrow().is_empty() {
            return;
        }
        let me = self.ports.directory.local_member();
        let record = OwnerRecord {
            vm: me.vm,
            address: me.address,
            started_unix_ms: me.started_unix_ms,
            epoch: epoch + 1,
            transaction: 0,
            released: false,
        };
        match FencedWriter::claim(&self.ports.records, self.shard, record, version).await {
            Ok(Some(ledger)) => {
                tracing::info!(
                    shard = self.shard.0,
                    epoch = ledger.owner.epoch,
                    "this VM owns a shard"
                );
                self.begin(ledger).await;
            }
            Ok(None) => tracing::info!(
                shard = self.shard.0,
                epoch,
                "another VM was faster to follow the owner"
            ),
            Err(error) => {
                tracing::warn!(shard = self.shard.0, %error, "the owner cannot be followed now")
            }
        }
    }

    /// Takes up what is recorded and starts the owner.
    async fn begin(&self, mut ledger: FencedWriter) {
        let Some((recorded, listed)) = self.read_recorded(&mut ledger).await else {
            return;
        };
        let now = self.ports.clock.now();
        let epoch = ledger.owner.epoch;
        let mut engine = Engine::new(self.cfg, epoch);
        engine.set_queues(self.queues.borrow().clone());
        for change in listed.items {
            match change {
                WorkerChange::Listed(listing) if self.has(&listing.name) => {
                    engine.set_worker(listing, now);
                }
                WorkerChange::Listed(_) | WorkerChange::Unlisted(_) => {}
            }
        }
        for listing in recorded.workers {
            engine.restore_worker(listing, now);
        }
        if epoch > 1 {
            engine.begin_recovery(now);
        }
        let workflows = recorded.workflows.len();
        for (id, record, progress) in recorded.workflows {
            engine.load_workflow(id, record, &progress, now);
        }
        tracing::info!(
            shard = self.shard.0,
            epoch,
            workflows,
            "the recorded workflows are taken up"
        );
        self.ports.metrics.count(Counter::ShardsTaken, 1);
        let (ended, mut has_ended) = watch::channel(None);
        let owner = WorkflowOwner::new(
            engine,
            ledger,
            self.ports.clone(),
            (self.shard, self.map),
            ended,
        );
        let owner = WorkflowOwner::spawn(owner);
        let mut tasks = JoinSet::new();
        tasks.spawn(WorkflowOwner::run_ticks(owner.clone()));
        tasks.spawn(feeder::feed_workers(
            self.ports.clone(),
            self.shard,
            self.map,
            owner.clone(),
            listed.version,
        ));
        tasks.spawn(feeder::feed_handovers(
            self.ports.clone(),
            self.shard,
            owner.clone(),
            recorded.handovers,
        ));
        tasks.spawn(feeder::feed_queues(self.queues.clone(), owner.clone()));
        *self.lock() = Some(owner);
        self.ports.directory.shard_acquired();
        let hint = OwnerHint {
            epoch,
            address: self.ports.directory.local_address(),
        };
        self.ports.directory.set_owner(self.shard, hint);
        // The sender lives as long as the actor.
        let ending = has_ended.wait_for(Option::is_some).await;
        let ending = ending.ok().and_then(|ending| *ending);
        tasks.shutdown().await;
        *self.lock() = None;
        self.ports.directory.shard_released();
        if ending == Some(OwnershipEnd::Yielded) {
            self.ask_to_follow(self.ports.clock.now()).await;
        }
        if matches!(ending, Some(OwnershipEnd::Isolated | OwnershipEnd::Yielded)) {
            tokio::time::sleep(LET_OTHERS_FOLLOW).await;
        }
    }

    /// Reads what is recorded, and meanwhile shows that the new owner lives; `None` where it is
    /// followed by another.
    async fn read_recorded(
        &self,
        ledger: &mut FencedWriter,
    ) -> Option<(ShardSnapshot, FeedUpdate<WorkerChange>)> {
        let records = &self.ports.records;
        let reading = async {
            let recorded = feeder::retry(|| reader::read_all(records, self.shard)).await;
            let listed = feeder::retry(|| self.ports.feeds.workers(None, Duration::ZERO)).await;
            (recorded, listed)
        };
        tokio::pin!(reading);
        loop {
            tokio::select! {
                read = &mut reading => return Some(read),
                () = tokio::time::sleep(HEARTBEAT) => {}
            }
            let nothing = CommitBatch::default();
            let beat = ledger.record(records, &nothing, false, &NoStoreObserver);
            if beat.await.is_err_and(|error| error == WriteError::Fenced) {
                tracing::warn!("another process owns the shard");
                return None;
            }
        }
    }

    /// Gives the workflows up, if this VM owns them, and asks another VM to follow.
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
            tracing::warn!("the owner ended before it could give the workflows up");
        }
        self.ask_to_follow(now).await;
    }

    /// Asks the VM with the most room to follow; among those alike the one that started last, since planned
    /// restarts come to it last.
    async fn ask_to_follow(&self, now: Time) {
        let directory = &self.ports.directory;
        let epoch = directory.owner(self.shard).map_or(0, |owner| owner.epoch);
        let mut members = directory.members(now);
        members.retain(|member| member.address != directory.local_address());
        members.sort_by_key(|member| {
            std::cmp::Reverse((member.share(member.owned + 1), member.started_unix_ms))
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
                tracing::info!(shard = self.shard.0, vm = %member.vm, "another VM is asked to follow");
                return;
            }
        }
    }

    /// Whether the worker belongs to the shard.
    fn has(&self, worker: &WorkerName) -> bool {
        self.map.of_worker(worker) == self.shard
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<ActorRef<WorkflowOwner>>> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
