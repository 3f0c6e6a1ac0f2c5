//! The actor that runs the owner of one shard: it carries out the shard's effects and feeds their
//! results back.

use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use slab::Slab;
use tokio::sync::{mpsc, oneshot};

use super::clock::Clock;
use super::commit::commit_fenced;
use crate::config::CellConfig;
use crate::decide::{BalanceCredit, TeamSpending};
use crate::message::{PartCall, Reply, ShardDigest};
use crate::model::{JobId, JobSpec, KindName, ShardName, TeamName, Time, WorkerInfo};
use crate::port::BoxFuture;
use crate::port::table::{SharedTable, Txn};
use crate::port::worker::{SharedWorkerClient, SyncRequest, SyncResponse, WorkerError};
use crate::report::{JobSummary, SetAsideStatus};
use crate::shard::commit_queue::CommitOutcome;
use crate::shard::job::ReplyToken;
use crate::shard::rows::IdempotencyKey;
use crate::shard::worker_session::{Reachability, WorkerChannel};
use crate::shard::{Effect, Shard, TaskCounts};

/// Interval between the ticks that let time pass for a shard.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// How the ownership of a shard ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipEnd {
    /// Another process has claimed the shard: the owner is fenced.
    Overtaken,
    /// The owner released the shard in the table.
    Released,
}

/// Notifies the node that the ownership of a shard has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipEnded {
    /// The shard.
    pub shard: ShardName,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// How it ended.
    pub end: OwnershipEnd,
}

/// A task that was started for the first time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedTask {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// From acceptance to the start command.
    pub waited: Duration,
}

/// Receives the events of shard owners, for reports and metrics.
pub trait OwnerObserver: Send + Sync + 'static {
    /// A task was started for the first time.
    fn task_started(&self, task: &StartedTask);

    /// A configuration came into force.
    fn config_applied(&self, cfg: &CellConfig);

    /// So many tasks were refused, placed, retried, ended and failed.
    fn tasks_counted(&self, counts: &TaskCounts);

    /// The handling of an event that placed tasks took this long.
    fn decision_timed(&self, took: Duration);

    /// A shard was credited with this much of a team's balance.
    fn balance_drawn(&self, core_ms: u64);

    /// A shard or service was taken over from a process that had not released it.
    fn ownership_taken_over(&self);
}

/// Calls the owners of the other shards of a cross-shard gang.
pub trait PartClient: Send + Sync + 'static {
    /// Calls the owner of the part's shard; `None` if there is no reply.
    fn call<'a>(&'a self, part: &'a JobId, call: PartCall) -> BoxFuture<'a, Option<Reply>>;
}

/// The ports of an owner to its node and beyond.
#[derive(Clone)]
pub struct OwnerPorts {
    /// The table.
    pub table: SharedTable,
    /// The workers.
    pub workers: SharedWorkerClient,
    /// The clock.
    pub clock: Clock,
    /// Notified when an ownership has ended.
    pub ownership_ends: mpsc::UnboundedSender<OwnershipEnded>,
    /// Receives the owner's events.
    pub observer: Arc<dyn OwnerObserver>,
    /// Calls the owners of other shards.
    pub parts: Arc<dyn PartClient>,
}

/// The actor that runs the owner of one shard.
#[derive(Actor)]
pub struct ShardOwner {
    shard: Shard,
    ports: OwnerPorts,
    pending_replies: Slab<oneshot::Sender<Reply>>,
    has_ended: bool,
}

/// A summary of a shard for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSummary {
    /// The counts.
    pub digest: ShardDigest,
    /// The reachability of each worker.
    pub workers: Vec<(WorkerInfo, Reachability)>,
    /// Jobs that have not ended.
    pub jobs: Vec<JobSummary>,
    /// Workers that are set aside.
    pub set_aside: Vec<SetAsideStatus>,
}

/// The messages of a [`ShardOwner`].
pub enum OwnerEvent {
    /// Submits a job.
    Submit {
        /// The job's id.
        job: JobId,
        /// The job.
        spec: JobSpec,
        /// The idempotency key.
        key: Option<IdempotencyKey>,
        /// Receives the reply.
        tx: oneshot::Sender<Reply>,
    },
    /// Reads a job's state.
    Query {
        /// The job.
        job: JobId,
        /// How long to wait for the job to end.
        wait: Duration,
        /// Receives the reply.
        tx: oneshot::Sender<Reply>,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
        /// Receives the reply.
        tx: oneshot::Sender<Reply>,
    },
    /// A call of the owner of a cross-shard gang, about the part in this shard.
    CallPart {
        /// The part.
        part: JobId,
        /// The call.
        call: PartCall,
        /// Receives the reply.
        tx: oneshot::Sender<Reply>,
    },
    /// A call to the owner of a part's shard has ended.
    PartReplied {
        /// The number of the cross-shard gang's job.
        job: u64,
        /// The part.
        part: JobId,
        /// The reply, if there is one.
        reply: Option<Reply>,
    },
    /// Reads the scheduling decisions on a job.
    Explain {
        /// The job.
        job: JobId,
        /// Receives the reply.
        tx: oneshot::Sender<Reply>,
    },
    /// Reads the summary of the shard.
    Summarize(oneshot::Sender<ShardSummary>),
    /// Reads what teams have spent and may spend.
    ReadSpending(oneshot::Sender<Vec<TeamSpending>>),
    /// Credits the shard with balance of a team.
    AddBalance {
        /// The team.
        team: TeamName,
        /// The credit.
        credit: BalanceCredit,
    },
    /// Reclaims what a team has not spent.
    ReclaimBalance {
        /// The team.
        team: TeamName,
        /// Receives the reclaimed amount, in core-milliseconds.
        tx: oneshot::Sender<u64>,
    },
    /// The transaction in flight has ended.
    CommitEnded(CommitOutcome),
    /// A call to a worker has ended.
    WorkerAnswered {
        /// The worker's index.
        worker_index: usize,
        /// Which of the worker's two calls it was.
        channel: WorkerChannel,
        /// The result.
        result: Result<SyncResponse, WorkerError>,
    },
    /// Lets time pass.
    Tick,
    /// A configuration came into force.
    Configure(Arc<CellConfig>),
    /// The previous owner's process is known to have ended.
    PreviousOwnerGone,
    /// Asks the owner to release the shard.
    Stop,
}

impl ShardOwner {
    /// Creates an actor for `shard`.
    pub fn new(shard: Shard, ports: OwnerPorts) -> Self {
        Self {
            shard,
            ports,
            pending_replies: Slab::new(),
            has_ended: false,
        }
    }

    /// Sends ticks to `owner` until it has ended.
    pub async fn run_ticks(owner: ActorRef<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if owner.tell(OwnerEvent::Tick).await.is_err() {
                return;
            }
        }
    }

    fn register_reply(&mut self, tx: oneshot::Sender<Reply>) -> ReplyToken {
        ReplyToken(self.pending_replies.insert(tx))
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        let now = self.ports.clock.now();
        match event {
            OwnerEvent::Submit { job, spec, key, tx } => {
                let token = self.register_reply(tx);
                self.shard.submit(token, &job, &spec, key, now);
            }
            OwnerEvent::Query { job, wait, tx } => {
                let token = self.register_reply(tx);
                self.shard.query(token, &job, now + wait, now);
            }
            OwnerEvent::Cancel { job, tx } => {
                let token = self.register_reply(tx);
                self.shard.cancel(token, &job, now);
            }
            OwnerEvent::CallPart { part, call, tx } => {
                let token = self.register_reply(tx);
                self.shard.handle_part_call(token, &part, call, now);
            }
            OwnerEvent::PartReplied { job, part, reply } => {
                self.shard.handle_part_reply(job, &part, reply, now);
            }
            OwnerEvent::Explain { job, tx } => {
                let decisions = self.shard.decisions(&job).unwrap_or_default().to_vec();
                let _ = tx.send(Reply::Explained(decisions));
            }
            OwnerEvent::Summarize(tx) => {
                let _ = tx.send(self.summary());
            }
            OwnerEvent::ReadSpending(tx) => {
                let _ = tx.send(self.shard.spending(now));
            }
            OwnerEvent::AddBalance { team, credit } => {
                if credit.core_ms > 0 {
                    self.ports.observer.balance_drawn(credit.core_ms);
                }
                self.shard.add_balance(&team, &credit, now);
            }
            OwnerEvent::ReclaimBalance { team, tx } => {
                let _ = tx.send(self.shard.reclaim_balance(&team));
            }
            OwnerEvent::CommitEnded(outcome) => self.shard.handle_commit_outcome(outcome, now),
            OwnerEvent::WorkerAnswered {
                worker_index,
                channel,
                result,
            } => {
                self.shard
                    .handle_worker_result(worker_index, channel, result, now);
            }
            OwnerEvent::Tick => self.shard.tick(now),
            OwnerEvent::Configure(cfg) => self.shard.configure(&cfg, now),
            OwnerEvent::PreviousOwnerGone => self.shard.previous_owner_gone(now),
            OwnerEvent::Stop => self.shard.stop(),
        }
    }

    fn summary(&self) -> ShardSummary {
        let now = self.ports.clock.now();
        ShardSummary {
            digest: self.shard.digest(),
            workers: self
                .shard
                .worker_reachability()
                .map(|(info, reachability)| (info.clone(), reachability))
                .collect(),
            jobs: self
                .shard
                .open_jobs(now)
                .map(|(job, waiting_for)| job.summary(waiting_for, now))
                .collect(),
            set_aside: self.shard.set_aside_workers(now),
        }
    }

    /// Reports the task counts of the last event, whose handling began at `began`.
    fn report_counts(&mut self, began: Time) {
        let counts = self.shard.take_task_counts();
        if counts == TaskCounts::default() {
            return;
        }
        self.ports.observer.tasks_counted(&counts);
        if counts.placed > 0 {
            let took = self.ports.clock.now().since(began);
            self.ports.observer.decision_timed(took);
        }
    }

    fn run_effects(&mut self, me: &ActorRef<Self>) {
        for effect in self.shard.take_effects() {
            match effect {
                Effect::Commit(txn) => self.commit(txn, me.clone()),
                Effect::CallWorker {
                    worker_index,
                    info,
                    channel,
                    call,
                } => self.call_worker(worker_index, info, channel, call, me.clone()),
                Effect::CallPartOwner { job, part, call } => {
                    self.call_part_owner(job, part, call, me.clone())
                }
                Effect::Reply { token, reply } => {
                    if let Some(tx) = self.pending_replies.try_remove(token.0) {
                        let _ = tx.send(reply);
                    }
                }
                Effect::TaskStarted { team, kind, waited } => {
                    let task = StartedTask { team, kind, waited };
                    self.ports.observer.task_started(&task);
                }
                Effect::Fenced => self.end_ownership(OwnershipEnd::Overtaken),
                Effect::Released => self.end_ownership(OwnershipEnd::Released),
            }
        }
    }

    fn commit(&self, txn: Txn, me: ActorRef<Self>) {
        let table = self.ports.table.clone();
        tokio::spawn(async move {
            let outcome = commit_fenced(table.as_ref(), &txn).await;
            let _ = me.tell(OwnerEvent::CommitEnded(outcome)).await;
        });
    }

    fn call_worker(
        &self,
        worker_index: usize,
        info: WorkerInfo,
        channel: WorkerChannel,
        call: SyncRequest,
        me: ActorRef<Self>,
    ) {
        let workers = self.ports.workers.clone();
        tokio::spawn(async move {
            let result = workers.sync(&info, &call).await;
            let _ = me
                .tell(OwnerEvent::WorkerAnswered {
                    worker_index,
                    channel,
                    result,
                })
                .await;
        });
    }

    fn call_part_owner(&self, job: u64, part: JobId, call: PartCall, me: ActorRef<Self>) {
        let client = self.ports.parts.clone();
        tokio::spawn(async move {
            let reply = client.call(&part, call).await;
            let _ = me.tell(OwnerEvent::PartReplied { job, part, reply }).await;
        });
    }

    fn end_ownership(&mut self, end: OwnershipEnd) {
        self.has_ended = true;
        for tx in self.pending_replies.drain() {
            let _ = tx.send(Reply::NotOwner);
        }
        let _ = self.ports.ownership_ends.send(OwnershipEnded {
            shard: self.shard.name().clone(),
            epoch: self.shard.epoch(),
            end,
        });
    }
}

impl Message<OwnerEvent> for ShardOwner {
    type Reply = ();

    async fn handle(&mut self, event: OwnerEvent, cx: &mut Context<Self, ()>) {
        if self.has_ended {
            return;
        }
        let began = self.ports.clock.now();
        self.handle_event(event);
        self.report_counts(began);
        let me = cx.actor_ref().clone();
        self.run_effects(&me);
        if self.has_ended {
            cx.stop();
        }
    }
}
