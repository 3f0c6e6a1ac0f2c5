//! The actor that runs the engine on the VM that owns a shard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use slab::Slab;
use tokio::sync::{oneshot, watch};

use super::cluster_view::ClusterView;
use super::event::{Event, FinishedWrite, OwnerRequest, OwnershipEnd};
use super::fenced_writer::{FencedWriter, MAX_ENTRIES, WriteError};
use super::layout::InboxEntry;
use super::message::{Member, WorkflowReply};
use super::permit_queue::{PermitQueue, PermitRequest};
use super::reader::InboxRecord;
use super::shards::{ShardId, ShardMap};
use super::store_health::StoreHealth;
use crate::metrics::{Counter, Gauge, Metrics, Timer};
use crate::model::Time;
use crate::node::clock::Clock;
use crate::port::executor::Executors;
use crate::port::feeds::{FeedUpdate, SharedFeeds, WorkerChange};
use crate::port::peer::SharedPeers;
use crate::port::permits::SharedPermitService;
use crate::port::record_store::{RecordKey, SharedRecordStore};
use crate::workflow::{CancelStatus, Effect, Engine, ReplyToken, SubmitStatus, WorkflowId};

/// How often time passes for the engine when nothing else happens.
const TICK: Duration = Duration::from_millis(10);

/// Between the beginnings of two transactions, so that one carries the changes of several events.
const COMMIT_INTERVAL: Duration = Duration::from_millis(30);

/// Between two transactions while the store fails.
const FAILED_COMMIT_INTERVAL: Duration = Duration::from_millis(150);

/// An owner without changes rewrites its record so often; others look for a third of the time that
/// they wait before they follow it.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(500);

/// New workflows are refused once the store has failed for so long. It is below a quarter of the
/// shortest objective of a queue, beyond which a refusal counts as late.
const REFUSE_AFTER_MS: u64 = 200;

/// An owner gives up in favour of a larger VM no sooner than this after it began, so that a larger VM
/// that does not follow costs little: workflows change owners in about a second.
const YIELD_AFTER: Duration = Duration::from_secs(3);

/// An owner that no other VM tells that it lives for so long gives up: several pings.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_500);

/// What an owner needs from its VM.
#[derive(Clone)]
pub(super) struct WorkflowOwnerPorts {
    pub(super) records: SharedRecordStore,
    pub(super) executors: Arc<dyn Executors>,
    pub(super) feeds: SharedFeeds,
    pub(super) permits: SharedPermitService,
    pub(super) peers: SharedPeers,
    pub(super) directory: Arc<ClusterView>,
    pub(super) metrics: Metrics,
    pub(super) clock: Clock,
}

/// The actor.
#[derive(Actor)]
pub(super) struct WorkflowOwner {
    engine: Engine,
    /// `None` while a transaction is under way.
    ledger: Option<FencedWriter>,
    pub(super) ports: WorkflowOwnerPorts,
    shard: ShardId,
    shards: ShardMap,
    pub(super) permit_queue: PermitQueue,
    callers: Slab<oneshot::Sender<WorkflowReply>>,
    health: Arc<StoreHealth>,
    last_commit: Time,
    /// Set once another VM is to follow.
    releasing: Option<OwnershipEnd>,
    /// Who waits for that.
    release: Option<oneshot::Sender<()>>,
    began: Time,
    ended: watch::Sender<Option<OwnershipEnd>>,
}

impl WorkflowOwner {
    /// An actor for an engine that has taken up what is recorded; `ended` says when and why it no
    /// longer owns the shard.
    pub(super) fn new(
        engine: Engine,
        ledger: FencedWriter,
        ports: WorkflowOwnerPorts,
        (shard, shards): (ShardId, ShardMap),
        ended: watch::Sender<Option<OwnershipEnd>>,
    ) -> Self {
        Self {
            engine,
            ledger: Some(ledger),
            health: Arc::new(StoreHealth::new(ports.clock)),
            last_commit: ports.clock.now(),
            began: ports.clock.now(),
            ports,
            shard,
            shards,
            permit_queue: PermitQueue::default(),
            callers: Slab::new(),
            releasing: None,
            release: None,
            ended,
        }
    }

    /// Lets time pass for `owner` until it has ended.
    pub(super) async fn run_ticks(owner: ActorRef<Self>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if owner.tell(Event::Tick).await.is_err() {
                return;
            }
        }
    }

    fn token(&mut self, tx: oneshot::Sender<WorkflowReply>) -> ReplyToken {
        ReplyToken(self.callers.insert(tx) as u64)
    }

    fn reply(&mut self, token: ReplyToken, told: WorkflowReply) {
        let index = usize::try_from(token.0).unwrap_or(usize::MAX);
        if let Some(tx) = self.callers.try_remove(index) {
            // A caller that no longer waits needs no answer.
            let _ = tx.send(told);
        }
    }

    fn take(&mut self, event: Event, me: &ActorRef<Self>) {
        let now = self.ports.clock.now();
        match event {
            Event::Request(ask, tx) => self.asked(ask, tx, now),
            Event::PollResponse(worker, sent, answer) => {
                self.engine.handle_poll_response(worker, sent, answer, now)
            }
            Event::StartResponse(worker, task, run, answer) => {
                self.engine
                    .handle_start_response(worker, task, run, answer, now);
            }
            Event::StopResponse(worker, task, run, answer) => {
                self.engine
                    .handle_stop_response(worker, task, run, answer, now);
            }
            Event::PermitResponse {
                vm,
                step,
                asked,
                answer,
            } => {
                let granted = answer.as_ref().map_or(0, |permits| permits.granted.len());
                tracing::info!(request = %step.workflow, %step, %vm, asked = asked.len(), granted,
                    answered = answer.is_ok(), "a question about permits has ended");
                self.permit_queue.finished(vm, answer.is_ok(), now);
                self.engine
                    .handle_permit_response(step, &asked, answer, now);
            }
            Event::WriteFinished(recorded) => self.recorded(*recorded, now),
            Event::Workers(news) => self.workers(news, now),
            Event::InboxEntries(handovers, tx) => {
                let settled = self.handed_over(handovers, now);
                // A feed that is gone leaves the handovers to the next owner.
                let _ = tx.send(settled);
            }
            Event::Queues(queues) => self.engine.set_queues(queues),
            Event::Tick => self.tick(now),
            Event::Release(tx) => {
                self.releasing = Some(OwnershipEnd::Released);
                self.release = Some(tx);
            }
        }
        if self.has_ended() {
            // One more transaction would take back that the shard is given up.
            return;
        }
        let unix_ms = self.ports.clock.unix_now().0 / 1_000;
        self.engine.tick(now, unix_ms);
        self.carry_out(me, now);
        self.commit(me, now);
        self.ask_permits(me, now);
    }

    fn asked(&mut self, ask: OwnerRequest, tx: oneshot::Sender<WorkflowReply>, now: Time) {
        if self.releasing.is_some() {
            let _ = tx.send(WorkflowReply::NotOwner(None));
            return;
        }
        match ask {
            OwnerRequest::Submit(id, spec) => {
                let token = self.token(tx);
                if self.engine.submit(id, spec, token, now) == SubmitStatus::Recorded {
                    self.reply(token, WorkflowReply::Accepted);
                }
            }
            OwnerRequest::State(id) => {
                let _ = tx.send(WorkflowReply::State(self.engine.state(id)));
            }
            OwnerRequest::Cancel(id) => {
                let token = self.token(tx);
                match self.engine.cancel(id, Some(token), now) {
                    CancelStatus::Ended => self.reply(token, WorkflowReply::Cancelled),
                    CancelStatus::Unknown => self.reply(token, WorkflowReply::State(None)),
                    CancelStatus::AwaitingCommit => {}
                }
            }
            OwnerRequest::Pending(queue) => {
                let _ = tx.send(WorkflowReply::Pending(self.engine.pending(&queue)));
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let members = self.ports.directory.members(now);
        self.yield_to_larger(&members, now);
        let vms: Vec<SocketAddr> = members.into_iter().map(|member| member.address).collect();
        self.ports.metrics.gauge(Gauge::VmsLive, vms.len() as u64);
        let askers = self.askers(vms);
        self.permit_queue.set_vms(&askers);
        self.engine.set_permit_requesters(askers.len());
        if self.releasing.is_none() && self.is_cut_off(now) {
            tracing::warn!("no other VM is heard of any more; one that is reached is to follow");
            self.releasing = Some(OwnershipEnd::Isolated);
        }
        if self
            .health
            .failing_ms()
            .is_some_and(|ms| ms > REFUSE_AFTER_MS)
        {
            self.engine.refuse_unsent_submissions();
        }
    }

    /// Gives the shard up if a VM is there that has much more room for it.
    fn yield_to_larger(&mut self, members: &[Member], now: Time) {
        if self.releasing.is_some() || now.since(self.began) < YIELD_AFTER {
            return;
        }
        let me = self.ports.directory.local_member();
        let share = me.share(me.owned);
        let larger = members
            .iter()
            .find(|member| member.vm != me.vm && member.outweighs(share));
        if let Some(larger) = larger
            && self.ports.directory.try_begin_yield(now)
        {
            tracing::info!(shard = self.shard.0, vm = %larger.vm, cpu_milli = larger.cpu_milli,
                owned = larger.owned, own_cpu_milli = me.cpu_milli, own_owned = me.owned,
                "a VM with more room is to follow");
            self.releasing = Some(OwnershipEnd::Yielded);
        }
    }

    /// The VMs that ask about permits for this shard: each of them asks for one shard where there
    /// are enough, since the service answers one question of a VM at a time.
    fn askers(&self, mut vms: Vec<SocketAddr>) -> Vec<SocketAddr> {
        /// Fewer VMs a shard are shared.
        const LEAST_VMS: usize = 2;
        let shards = self.shards.shards().count();
        if vms.len() < shards * LEAST_VMS {
            return vms;
        }
        vms.sort_unstable();
        let own = usize::from(self.shard.0);
        let of_shard = vms.into_iter().enumerate();
        let of_shard = of_shard.filter(|(i, _)| i % shards == own);
        of_shard.map(|(_, vm)| vm).collect()
    }

    /// Whether other VMs were heard of since this one owns the shard, and no longer are.
    fn is_cut_off(&self, now: Time) -> bool {
        let heard = self.ports.directory.last_heartbeat();
        let heard = heard.filter(|at| *at > self.began);
        heard.is_some_and(|at| now.since(at) > CUT_OFF_AFTER)
    }

    fn workers(&mut self, news: FeedUpdate<WorkerChange>, now: Time) {
        let mut listed = Vec::new();
        for change in news.items {
            match change {
                WorkerChange::Listed(listing) => {
                    listed.push(listing.name.clone());
                    self.engine.set_worker(listing, now);
                }
                WorkerChange::Unlisted(name) => self.engine.unlist_worker(&name),
            }
        }
        if news.is_snapshot {
            self.engine.retain_workers(&listed);
        }
    }

    /// Takes handovers up and returns those whose effect is recorded.
    fn handed_over(&mut self, handovers: Vec<InboxRecord>, now: Time) -> Vec<RecordKey> {
        let mut settled = Vec::new();
        for handed in handovers {
            let is_recorded = match handed.handover {
                InboxEntry::Submitted(spec) => {
                    self.engine.submit_from_inbox(handed.id, spec, now) == SubmitStatus::Recorded
                }
                InboxEntry::Cancelled => self.cancellation_handed_over(handed.id, now),
            };
            if is_recorded {
                settled.push(handed.key);
            }
        }
        settled
    }

    /// Takes up a cancellation; true where it is recorded. No one waits: the caller was answered when
    /// it was written.
    fn cancellation_handed_over(&mut self, id: WorkflowId, now: Time) -> bool {
        match self.engine.cancel(id, None, now) {
            CancelStatus::Ended => true,
            CancelStatus::AwaitingCommit => {
                tracing::info!(request = %id, "a cancellation was handed over through the store");
                false
            }
            CancelStatus::Unknown => {
                tracing::warn!(request = %id, "a cancelled workflow is not known yet");
                false
            }
        }
    }

    fn recorded(&mut self, recorded: FinishedWrite, now: Time) {
        let batch = &recorded.batch;
        let metrics = &self.ports.metrics;
        metrics.time(Timer::TableCommitTime, now.since(self.last_commit));
        match &recorded.recording {
            Ok(_) => metrics.count(Counter::TableCommits, 1),
            Err(WriteError::Fenced) => metrics.count(Counter::TableConflicts, 1),
            Err(WriteError::NotDone) => metrics.count(Counter::TableErrors, 1),
        }
        let released = recorded.ledger.owner.released;
        self.ledger = Some(recorded.ledger);
        match recorded.recording {
            Ok(recording) => {
                self.engine.handle_commit(batch, &recording.existing, now);
            }
            Err(WriteError::NotDone) => {
                tracing::warn!(refused = batch.added.len(), "a batch is not recorded");
                self.engine.handle_commit_failure(batch);
                return;
            }
            Err(WriteError::Fenced) => {
                tracing::warn!(
                    age_ms = now.since(self.last_commit).as_millis(),
                    shard = self.shard.0,
                    "another process owns the shard"
                );
                self.end(OwnershipEnd::Fenced);
                return;
            }
        }
        if released {
            tracing::info!(shard = self.shard.0, "a shard is given up");
            self.end(self.releasing.unwrap_or(OwnershipEnd::Released));
        }
    }

    fn end(&mut self, ending: OwnershipEnd) {
        for tx in self.callers.drain() {
            let _ = tx.send(WorkflowReply::Unknown);
        }
        if let Some(tx) = self.release.take() {
            let _ = tx.send(());
        }
        self.ended.send_replace(Some(ending));
    }

    fn has_ended(&self) -> bool {
        self.ended.borrow().is_some()
    }

    fn carry_out(&mut self, me: &ActorRef<Self>, now: Time) {
        if self.engine.is_fenced() {
            tracing::warn!("a worker has seen a later owner");
        }
        for effect in self.engine.take_effects() {
            match effect {
                Effect::Poll {
                    worker,
                    target,
                    request,
                } => self.look(me, worker, target, request, now),
                Effect::Start {
                    worker,
                    target,
                    request,
                } => self.start(me, worker, target, request),
                Effect::Stop {
                    worker,
                    target,
                    task,
                    run,
                } => self.stop(me, worker, target, task, run),
                Effect::RequestPermits {
                    step,
                    workers,
                    takes_ms,
                    priority,
                } => self.permit_queue.push(PermitRequest {
                    step,
                    workers,
                    takes_ms,
                    priority,
                }),
                Effect::Accepted(token) => self.reply(token, WorkflowReply::Accepted),
                Effect::Refused(token) => self.reply(token, WorkflowReply::Refused),
                Effect::Cancelled(token) => self.reply(token, WorkflowReply::Cancelled),
            }
        }
    }

    /// Begins the next transaction if there is something to record, or the heartbeat is due.
    fn commit(&mut self, me: &ActorRef<Self>, now: Time) {
        let waited = now.since(self.last_commit);
        let releasing = self.releasing.is_some();
        let interval = match self.health.failing_ms() {
            Some(_) => FAILED_COMMIT_INTERVAL,
            None => COMMIT_INTERVAL,
        };
        if self.ledger.is_none() || (waited < interval && !releasing) {
            return;
        }
        let batch = self.engine.take_batch(MAX_ENTRIES);
        if batch.is_none() && waited < HEARTBEAT && !releasing {
            return;
        }
        let Some(mut ledger) = self.ledger.take() else {
            return;
        };
        self.last_commit = now;
        let release = releasing && batch.is_none();
        let batch = batch.unwrap_or_default();
        let (records, health, me) = (self.ports.records.clone(), self.health.clone(), me.clone());
        tokio::spawn(async move {
            let recording = ledger
                .record(&records, &batch, release, health.as_ref())
                .await;
            let _ = me
                .tell(Event::WriteFinished(Box::new(FinishedWrite {
                    ledger,
                    batch,
                    recording,
                })))
                .await;
        });
    }
}

impl Message<Event> for WorkflowOwner {
    type Reply = ();

    async fn handle(&mut self, event: Event, cx: &mut Context<Self, ()>) {
        if self.has_ended() {
            return;
        }
        let me = cx.actor_ref().clone();
        self.take(event, &me);
        if self.has_ended() {
            cx.stop();
        }
    }
}
