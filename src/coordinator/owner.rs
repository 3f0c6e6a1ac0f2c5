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
use super::fenced_writer::{BATCH_LIMITS, FencedWriter, WriteError};
use super::limit_shares::LimitShares;
use super::message::{Member, WorkflowReply};
use super::permit_queue::{PermitQueue, PermitRequest};
use super::shards::{ShardId, ShardMap};
use super::store_health::StoreHealth;
use crate::metrics::{Counter, Gauge, Metrics, Timer};
use crate::model::Time;
use crate::node::clock::Clock;
use crate::port::executor::Executors;
use crate::port::feeds::{FeedUpdate, SharedFeeds, WorkerChange};
use crate::port::peer::SharedPeerClient;
use crate::port::permits::SharedPermitService;
use crate::port::record_store::SharedRecordStore;
use crate::workflow::{CancelStatus, Effect, Engine, ReplyToken, SubmitStatus};

/// The interval between two ticks of the engine when no other event arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The minimum interval between the starts of two transactions, so that one transaction carries the
/// changes of several events.
const COMMIT_INTERVAL: Duration = Duration::from_millis(30);

/// The same interval while the store fails.
const FAILED_COMMIT_INTERVAL: Duration = Duration::from_millis(150);

/// How often an owner without changes rewrites its record. It is a third of the time after which
/// another VM takes over from an owner whose record does not change.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// New workflows are refused once the store has failed for this long. It is less than a quarter of the
/// shortest latency objective of a queue; after a quarter of the objective a refusal counts as late.
const REFUSE_AFTER_MS: u64 = 200;

/// The minimum time for which an owner keeps a shard before it yields to a larger VM. It limits the
/// cost if the larger VM does not take over: a handover takes about a second.
const MIN_TIME_BEFORE_YIELD: Duration = Duration::from_secs(3);

/// An owner that gets no heartbeat from any other VM for this long, several ping intervals, releases
/// the shard.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The adapters and shared state that an owner uses.
#[derive(Clone)]
pub(super) struct WorkflowOwnerPorts {
    pub(super) store: SharedRecordStore,
    pub(super) executors: Arc<dyn Executors>,
    pub(super) feeds: SharedFeeds,
    pub(super) permits: SharedPermitService,
    /// Whether refusals say when to retry by the age of an outage, see the setting `overload_control`.
    pub(super) overload_control: bool,
    pub(super) peers: SharedPeerClient,
    pub(super) cluster: Arc<ClusterView>,
    pub(super) metrics: Metrics,
    pub(super) clock: Clock,
}

/// The actor that owns a shard.
#[derive(Actor)]
pub(super) struct WorkflowOwner {
    pub(super) engine: Engine,
    /// `None` while a transaction is in flight.
    writer: Option<FencedWriter>,
    pub(super) ports: WorkflowOwnerPorts,
    pub(super) shard: ShardId,
    shard_map: ShardMap,
    pub(super) permit_queue: PermitQueue,
    pub(super) limit_shares: LimitShares,
    /// Reply channels of requests that wait for a commit, indexed by reply token.
    pending_replies: Slab<oneshot::Sender<WorkflowReply>>,
    health: Arc<StoreHealth>,
    last_commit: Time,
    /// Why the owner is releasing the shard; `None` while it keeps the shard.
    releasing: Option<OwnershipEnd>,
    /// Notified when ownership has ended after [`Event::Release`].
    release_tx: Option<oneshot::Sender<()>>,
    started_at: Time,
    /// When the tenure of the previous owner ends. This owner releases the shard only after that,
    /// because its successor knows of this owner only.
    predecessor_ends_at: Time,
    end_tx: watch::Sender<Option<OwnershipEnd>>,
}

impl WorkflowOwner {
    /// An owner for an engine that has loaded the records of the shard. `end_tx` is set to the reason
    /// when ownership ends.
    pub(super) fn new(
        engine: Engine,
        writer: FencedWriter,
        ports: WorkflowOwnerPorts,
        (shard, shard_map): (ShardId, ShardMap),
        predecessor_ends_at: Time,
        end_tx: watch::Sender<Option<OwnershipEnd>>,
    ) -> Self {
        Self {
            engine,
            limit_shares: LimitShares::new(shard, &shard_map, writer.owner.epoch),
            writer: Some(writer),
            health: Arc::new(StoreHealth::new(ports.clock)),
            last_commit: ports.clock.now(),
            started_at: ports.clock.now(),
            ports,
            shard,
            shard_map,
            permit_queue: PermitQueue::default(),
            pending_replies: Slab::new(),
            releasing: None,
            release_tx: None,
            predecessor_ends_at,
            end_tx,
        }
    }

    /// Sends ticks to `owner` until the actor has stopped.
    pub(super) async fn run_ticks(owner: ActorRef<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if owner.tell(Event::Tick).await.is_err() {
                return;
            }
        }
    }

    fn add_pending_reply(&mut self, tx: oneshot::Sender<WorkflowReply>) -> ReplyToken {
        ReplyToken(self.pending_replies.insert(tx) as u64)
    }

    fn reply(&mut self, token: ReplyToken, reply: WorkflowReply) {
        let index = usize::try_from(token.0).unwrap_or(usize::MAX);
        if let Some(tx) = self.pending_replies.try_remove(index) {
            // The receiver may have timed out.
            let _ = tx.send(reply);
        }
    }

    fn handle_event(&mut self, event: Event, actor_ref: &ActorRef<Self>) {
        let now = self.ports.clock.now();
        match event {
            Event::Request(request, tx) => self.handle_request(request, tx, now),
            Event::PollResponse(worker, sent, result) => {
                self.engine.handle_poll_response(worker, sent, result, now)
            }
            Event::StartResponse(worker, task, run, result) => {
                self.engine
                    .handle_start_response(worker, task, run, result, now);
            }
            Event::StopResponse(worker, task, run, result) => {
                self.engine
                    .handle_stop_response(worker, task, run, result, now);
            }
            Event::PermitResponse {
                vm,
                step,
                workers,
                result,
            } => {
                let granted = result.as_ref().map_or(0, |permits| permits.granted.len());
                tracing::info!(request = %step.workflow, %step, %vm, asked = workers.len(), granted,
                    answered = result.is_ok(), "a permit request for a step is finished");
                self.permit_queue.finished(vm, result.is_ok(), now);
                self.engine
                    .handle_permit_response(step, &workers, result, now);
            }
            Event::WriteFinished(write) => self.handle_finished_write(*write, now),
            Event::Workers(update) => self.apply_worker_changes(update, now),
            Event::InboxEntries(entries, tx) => {
                let recorded = self.apply_inbox_entries(entries, now);
                // If the receiver is gone, the entries stay in the inboxes for the next owner.
                let _ = tx.send(recorded);
            }
            Event::Policies(policies) => self.apply_policies(policies, now),
            Event::LimitShares(event) => self.handle_limit_shares(event, now),
            Event::Exchange(from, message) => self.engine.handle_exchange(from, message, now),
            Event::Tick => self.tick(now),
            Event::Release(tx) => {
                self.releasing = Some(OwnershipEnd::Released);
                self.release_tx = Some(tx);
            }
        }
        if self.has_ended() {
            // Another transaction would overwrite the release in the owner record.
            return;
        }
        let unix_ms = self.ports.clock.unix_now().0 / 1_000;
        self.engine.tick(now, unix_ms);
        self.execute_effects(actor_ref, now);
        self.commit(actor_ref, now);
        self.send_permit_requests(actor_ref, now);
    }

    fn handle_request(
        &mut self,
        request: OwnerRequest,
        tx: oneshot::Sender<WorkflowReply>,
        now: Time,
    ) {
        if self.releasing.is_some() {
            let _ = tx.send(WorkflowReply::NotOwner(None));
            return;
        }
        match request {
            OwnerRequest::Submit(id, _, access)
            | OwnerRequest::State(id, access)
            | OwnerRequest::Cancel(id, access)
                if !self.engine.permits(id, &access) =>
            {
                let _ = tx.send(WorkflowReply::OtherAccount);
            }
            OwnerRequest::Submit(id, spec, _) => {
                let token = self.add_pending_reply(tx);
                if self.engine.submit(id, spec, token, now) == SubmitStatus::Recorded {
                    self.reply(token, WorkflowReply::Accepted);
                }
            }
            OwnerRequest::State(id, _) => {
                let _ = tx.send(WorkflowReply::State(self.engine.state(id)));
            }
            OwnerRequest::Cancel(id, _) => {
                let token = self.add_pending_reply(tx);
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
        let members = self.ports.cluster.members(now);
        self.yield_to_larger(&members, now);
        let vms: Vec<SocketAddr> = members.into_iter().map(|member| member.address).collect();
        self.ports.metrics.gauge(Gauge::VmsLive, vms.len() as u64);
        let requesters = self.permit_requesters(vms);
        self.permit_queue.set_vms(&requesters);
        self.engine.set_permit_requesters(requesters.len());
        if self.releasing.is_none() && self.is_isolated(now) {
            tracing::warn!(
                "no heartbeats from other VMs; releasing a shard so that a reachable VM takes over"
            );
            self.releasing = Some(OwnershipEnd::Isolated);
        }
        if self
            .health
            .failing_for_ms()
            .is_some_and(|ms| ms > REFUSE_AFTER_MS)
        {
            self.engine.refuse_unsent_submissions();
        }
    }

    /// Starts to release the shard if another member has much more CPU for it.
    fn yield_to_larger(&mut self, members: &[Member], now: Time) {
        if self.releasing.is_some() || now.since(self.started_at) < MIN_TIME_BEFORE_YIELD {
            return;
        }
        let local = self.ports.cluster.local_member();
        let cpu_milli = local.cpu_milli_per_shard(local.owned);
        let larger = members
            .iter()
            .find(|member| member.vm != local.vm && member.is_preferred_owner(cpu_milli));
        if let Some(larger) = larger
            && self.ports.cluster.try_begin_yield(now)
        {
            tracing::info!(shard = self.shard.0, vm = %larger.vm, cpu_milli = larger.cpu_milli,
                owned = larger.owned, own_cpu_milli = local.cpu_milli, own_owned = local.owned,
                "releasing a shard to a VM with more CPU for it");
            self.releasing = Some(OwnershipEnd::Yielded);
        }
    }

    /// The VMs that send permit requests for this shard. If there are enough VMs, each sends requests
    /// for one shard only, because the permit service handles one request of a VM at a time.
    fn permit_requesters(&self, mut vms: Vec<SocketAddr>) -> Vec<SocketAddr> {
        /// With fewer VMs per shard, all shards use all VMs.
        const MIN_VMS_PER_SHARD: usize = 2;
        let shard_count = self.shard_map.shards().count();
        if vms.len() < shard_count * MIN_VMS_PER_SHARD {
            return vms;
        }
        vms.sort_unstable();
        let own = usize::from(self.shard.0);
        let of_shard = vms.into_iter().enumerate();
        let of_shard = of_shard.filter(|(i, _)| i % shard_count == own);
        of_shard.map(|(_, vm)| vm).collect()
    }

    /// Whether other VMs have sent heartbeats since this VM owns the shard, but no longer do.
    fn is_isolated(&self, now: Time) -> bool {
        let last = self.ports.cluster.last_heartbeat();
        let last = last.filter(|at| *at > self.started_at);
        last.is_some_and(|at| now.since(at) > ISOLATION_TIMEOUT)
    }

    fn apply_worker_changes(&mut self, update: FeedUpdate<WorkerChange>, now: Time) {
        let mut listed = Vec::new();
        for change in update.items {
            match change {
                WorkerChange::Listed(listing) => {
                    listed.push(listing.name.clone());
                    let home = self.shard_map.of_worker(&listing.name);
                    self.engine.list_worker(listing, home, now);
                }
                WorkerChange::Unlisted(name) => self.engine.unlist_worker(&name),
            }
        }
        if update.is_snapshot {
            self.engine.retain_workers(&listed);
        }
    }

    fn handle_finished_write(&mut self, write: FinishedWrite, now: Time) {
        let batch = &write.batch;
        let metrics = &self.ports.metrics;
        metrics.time(Timer::TableCommitTime, now.since(self.last_commit));
        match &write.result {
            Ok(_) => metrics.count(Counter::TableCommits, 1),
            Err(WriteError::Fenced) => metrics.count(Counter::TableConflicts, 1),
            Err(WriteError::NotDone) => metrics.count(Counter::TableErrors, 1),
            Err(WriteError::Rejected { .. }) => metrics.count(Counter::TableRejections, 1),
        }
        let released = write.writer.owner.released;
        self.writer = Some(write.writer);
        match write.result {
            Ok(outcome) => {
                if !released {
                    self.engine.renew_tenure(outcome.sent_at);
                }
                self.engine
                    .handle_commit(batch, outcome.write, &outcome.existing, now);
            }
            Err(WriteError::NotDone) => {
                batch.log_not_applied();
                self.engine.handle_commit_failure(batch);
                return;
            }
            Err(WriteError::Rejected { sent_at }) => {
                self.engine.renew_tenure(sent_at);
                self.engine.handle_commit_rejection(batch, now);
                return;
            }
            Err(WriteError::Fenced) => {
                tracing::warn!(
                    age_ms = now.since(self.last_commit).as_millis(),
                    shard = self.shard.0,
                    "another process owns the shard; this owner stops"
                );
                self.end(OwnershipEnd::Fenced);
                return;
            }
        }
        if released {
            tracing::info!(
                shard = self.shard.0,
                "the shard is released; its owner stops"
            );
            self.end(self.releasing.unwrap_or(OwnershipEnd::Released));
        }
    }

    fn end(&mut self, reason: OwnershipEnd) {
        for tx in self.pending_replies.drain() {
            let _ = tx.send(WorkflowReply::Unknown);
        }
        if let Some(tx) = self.release_tx.take() {
            let _ = tx.send(());
        }
        self.end_tx.send_replace(Some(reason));
    }

    fn has_ended(&self) -> bool {
        self.end_tx.borrow().is_some()
    }

    fn execute_effects(&mut self, actor_ref: &ActorRef<Self>, now: Time) {
        for effect in self.engine.take_effects() {
            match effect {
                Effect::Poll {
                    worker,
                    target,
                    request,
                } => self.poll(actor_ref, worker, target, request, now),
                Effect::Start {
                    worker,
                    target,
                    request,
                } => self.start(actor_ref, worker, target, request),
                Effect::Stop {
                    worker,
                    target,
                    task,
                    run,
                } => self.stop(actor_ref, worker, target, task, run),
                Effect::RequestPermits {
                    step,
                    workers,
                    takes_ms,
                    priority,
                    gang,
                } => {
                    let request = PermitRequest {
                        step,
                        workers,
                        takes_ms,
                        priority,
                        gang,
                    };
                    self.permit_queue.push(request, now);
                }
                Effect::Exchange { to, message } => self.send_to_shard(to, message),
                Effect::Accepted(token) => self.reply(token, WorkflowReply::Accepted),
                Effect::Refused(token) => self.reply(token, WorkflowReply::Refused),
                Effect::OtherAccount(token) => self.reply(token, WorkflowReply::OtherAccount),
                Effect::Overloaded {
                    token,
                    retry_after_ms,
                } => self.reply(token, WorkflowReply::Overloaded { retry_after_ms }),
                Effect::Cancelled(token) => self.reply(token, WorkflowReply::Cancelled),
            }
        }
    }

    /// Starts the next transaction if there are changes to record or the heartbeat is due.
    fn commit(&mut self, actor_ref: &ActorRef<Self>, now: Time) {
        let elapsed = now.since(self.last_commit);
        let releasing = self.releasing.is_some() && now >= self.predecessor_ends_at;
        let interval = match self.health.failing_for_ms() {
            Some(_) => FAILED_COMMIT_INTERVAL,
            None => COMMIT_INTERVAL,
        };
        if self.writer.is_none() || (elapsed < interval && !releasing) {
            return;
        }
        let batch = self.engine.take_batch(BATCH_LIMITS);
        if batch.is_none() && elapsed < HEARTBEAT_INTERVAL && !releasing {
            return;
        }
        let Some(mut writer) = self.writer.take() else {
            return;
        };
        self.last_commit = now;
        let release = releasing && batch.is_none();
        if release {
            // Another VM may take over as soon as the release is sent.
            self.engine.begin_release(now);
        }
        let batch = batch.unwrap_or_default();
        writer.owner.long_leases = self.engine.long_leases(&batch, now);
        let (store, health, actor_ref) = (
            self.ports.store.clone(),
            self.health.clone(),
            actor_ref.clone(),
        );
        tokio::spawn(async move {
            let result = writer
                .commit(&store, &batch, release, health.as_ref())
                .await;
            let _ = actor_ref
                .tell(Event::WriteFinished(Box::new(FinishedWrite {
                    writer,
                    batch,
                    result,
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
        let actor_ref = cx.actor_ref().clone();
        self.handle_event(event, &actor_ref);
        if self.has_ended() {
            cx.stop();
        }
    }
}
