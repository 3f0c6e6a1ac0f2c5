//! The actor that runs the owner of one shard: carries out its effects and feeds back their ends.

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
use crate::port::worker::{SharedWorkers, SyncAnswer, SyncCall, WorkerError};
use crate::report::{JobSummary, SetAside};
use crate::shard::commit_queue::CommitOutcome;
use crate::shard::job::ReplyToken;
use crate::shard::rows::IdempotencyKey;
use crate::shard::worker_session::{Reachability, WorkerChannel};
use crate::shard::{Effect, Shard, TaskCounts};

/// How often time passes for a shard when nothing else happens.
const TICK: Duration = Duration::from_millis(10);

/// How the ownership of a shard ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipEnd {
    /// Another process took the shard.
    Overtaken,
    /// The shard was given up in the table.
    Released,
}

/// Tells that the ownership of a shard ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipEnded {
    /// The shard.
    pub shard: ShardName,
    /// The epoch that ended.
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

/// Takes note of what owners do, for reports and metrics.
pub trait OwnerObserver: Send + Sync + 'static {
    /// A task was started for the first time.
    fn task_started(&self, task: &StartedTask);

    /// A configuration came into force.
    fn config_applied(&self, cfg: &CellConfig);

    /// Tasks came to these ends.
    fn tasks_counted(&self, tally: &TaskCounts);

    /// An event that placed tasks took this long.
    fn decision_timed(&self, took: Duration);

    /// A shard took up a part of a team's balance.
    fn balance_drawn(&self, core_ms: u64);

    /// A shard or service was taken over from a process that had not given it up.
    fn ownership_taken_over(&self);
}

/// Asks the owners of other shards for parts of jobs.
pub trait PartClient: Send + Sync + 'static {
    /// Asks the owner of the part's shard; `None` where no reply came.
    fn call<'a>(&'a self, part: &'a JobId, call: PartCall) -> BoxFuture<'a, Option<Reply>>;
}

/// What an owner needs from its node.
#[derive(Clone)]
pub struct OwnerPorts {
    /// The table.
    pub table: SharedTable,
    /// The workers.
    pub workers: SharedWorkers,
    /// The clock.
    pub clock: Clock,
    /// Where ends of ownerships are told.
    pub ownership_ends: mpsc::UnboundedSender<OwnershipEnded>,
    /// Who takes note.
    pub observer: Arc<dyn OwnerObserver>,
    /// The owners of other shards.
    pub parts: Arc<dyn PartClient>,
}

/// The actor.
#[derive(Actor)]
pub struct ShardOwner {
    shard: Shard,
    ports: OwnerPorts,
    callers: Slab<oneshot::Sender<Reply>>,
    exited: bool,
}

/// A summary of a shard for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSummary {
    /// The counted summary.
    pub digest: ShardDigest,
    /// Whether each worker answers.
    pub workers: Vec<(WorkerInfo, Reachability)>,
    /// Jobs that have not ended.
    pub jobs: Vec<JobSummary>,
    /// Workers that are set aside.
    pub set_aside: Vec<SetAside>,
}

/// What happens to an owner.
pub enum OwnerEvent {
    /// A submission.
    Submit {
        /// The job's name.
        job: JobId,
        /// The job.
        spec: JobSpec,
        /// Its idempotency key.
        key: Option<IdempotencyKey>,
        /// Where the reply goes.
        tx: oneshot::Sender<Reply>,
    },
    /// A question about a job's state.
    Query {
        /// The job.
        job: JobId,
        /// How long to wait for its end.
        wait: Duration,
        /// Where the reply goes.
        tx: oneshot::Sender<Reply>,
    },
    /// A cancellation.
    Cancel {
        /// The job.
        job: JobId,
        /// Where the reply goes.
        tx: oneshot::Sender<Reply>,
    },
    /// What the owner of a job over several shards asks.
    Part {
        /// The part.
        part: JobId,
        /// What is asked.
        call: PartCall,
        /// Where the reply goes.
        tx: oneshot::Sender<Reply>,
    },
    /// The end of a call to the owner of a part's shard.
    PartReplied {
        /// The number of the job whose part it is.
        job: u64,
        /// The part.
        part: JobId,
        /// The reply, if one came.
        reply: Option<Reply>,
    },
    /// A question about the decisions taken on a job.
    Explain {
        /// The job.
        job: JobId,
        /// Where the reply goes.
        tx: oneshot::Sender<Reply>,
    },
    /// A question about the shard.
    Summarize(oneshot::Sender<ShardSummary>),
    /// A question about what teams spent and may spend.
    ReadSpending(oneshot::Sender<Vec<TeamSpending>>),
    /// A part of a team's balance was drawn.
    AddBalance {
        /// The team.
        team: TeamName,
        /// The part.
        part: BalanceCredit,
    },
    /// What a team has not spent is taken back.
    ReclaimBalance {
        /// The team.
        team: TeamName,
        /// Where the amount goes, in core-milliseconds.
        tx: oneshot::Sender<u64>,
    },
    /// The end of the transaction under way.
    Committed(CommitOutcome),
    /// The end of a call to a worker.
    WorkerAnswered {
        /// The worker's index.
        worker_index: usize,
        /// Which of its two calls.
        channel: WorkerChannel,
        /// The end.
        result: Result<SyncAnswer, WorkerError>,
    },
    /// Time passes.
    Tick,
    /// A configuration came into force.
    Configure(Arc<CellConfig>),
    /// The previous owner's process is gone.
    PreviousOwnerGone,
    /// The shard is to be given up.
    Stop,
}

impl ShardOwner {
    /// An actor for `shard`.
    pub fn new(shard: Shard, ports: OwnerPorts) -> Self {
        Self {
            shard,
            ports,
            callers: Slab::new(),
            exited: false,
        }
    }

    /// Lets time pass for `owner` until it has ended.
    pub async fn run_ticks(owner: ActorRef<Self>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if owner.tell(OwnerEvent::Tick).await.is_err() {
                return;
            }
        }
    }

    fn token(&mut self, tx: oneshot::Sender<Reply>) -> ReplyToken {
        ReplyToken(self.callers.insert(tx))
    }

    fn take(&mut self, event: OwnerEvent) {
        let now = self.ports.clock.now();
        match event {
            OwnerEvent::Submit { job, spec, key, tx } => {
                let token = self.token(tx);
                self.shard.submit(token, &job, &spec, key, now);
            }
            OwnerEvent::Query { job, wait, tx } => {
                let token = self.token(tx);
                self.shard.query(token, &job, now + wait, now);
            }
            OwnerEvent::Cancel { job, tx } => {
                let token = self.token(tx);
                self.shard.cancel(token, &job, now);
            }
            OwnerEvent::Part { part, call, tx } => {
                let token = self.token(tx);
                self.shard.handle_part_call(token, &part, call, now);
            }
            OwnerEvent::PartReplied { job, part, reply } => {
                self.shard.handle_part_reply(job, &part, reply, now);
            }
            OwnerEvent::Explain { job, tx } => {
                let explained = self.shard.decisions(&job).unwrap_or_default().to_vec();
                let _ = tx.send(Reply::Explained(explained));
            }
            OwnerEvent::Summarize(tx) => {
                let _ = tx.send(self.summary());
            }
            OwnerEvent::ReadSpending(tx) => {
                let _ = tx.send(self.shard.spending(now));
            }
            OwnerEvent::AddBalance { team, part } => {
                if part.core_ms > 0 {
                    self.ports.observer.balance_drawn(part.core_ms);
                }
                self.shard.add_balance(&team, &part, now);
            }
            OwnerEvent::ReclaimBalance { team, tx } => {
                let _ = tx.send(self.shard.reclaim_balance(&team));
            }
            OwnerEvent::Committed(commit) => self.shard.handle_commit_outcome(commit, now),
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
                .map(|(info, contact)| (info.clone(), contact))
                .collect(),
            jobs: self
                .shard
                .open_jobs(now)
                .map(|(job, why)| job.summary(why, now))
                .collect(),
            set_aside: self.shard.set_aside_workers(now),
        }
    }

    /// Tells what the last event, which began to be taken at `began`, came to.
    fn count(&mut self, began: Time) {
        let tally = self.shard.take_task_counts();
        if tally == TaskCounts::default() {
            return;
        }
        self.ports.observer.tasks_counted(&tally);
        if tally.placed > 0 {
            let took = self.ports.clock.now().since(began);
            self.ports.observer.decision_timed(took);
        }
    }

    fn carry_out(&mut self, me: &ActorRef<Self>) {
        for effect in self.shard.take_effects() {
            match effect {
                Effect::Commit(txn) => self.commit(txn, me.clone()),
                Effect::CallWorker {
                    worker_index,
                    info,
                    channel,
                    call,
                } => self.call(worker_index, info, channel, call, me.clone()),
                Effect::CallPartOwner { job, part, call } => self.ask(job, part, call, me.clone()),
                Effect::Reply { token, reply } => {
                    if let Some(tx) = self.callers.try_remove(token.0) {
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
            let end = commit_fenced(table.as_ref(), &txn).await;
            let _ = me.tell(OwnerEvent::Committed(end)).await;
        });
    }

    fn call(
        &self,
        worker_index: usize,
        info: WorkerInfo,
        channel: WorkerChannel,
        call: SyncCall,
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

    fn ask(&self, job: u64, part: JobId, call: PartCall, me: ActorRef<Self>) {
        let parts = self.ports.parts.clone();
        tokio::spawn(async move {
            let reply = parts.call(&part, call).await;
            let _ = me.tell(OwnerEvent::PartReplied { job, part, reply }).await;
        });
    }

    fn end_ownership(&mut self, end: OwnershipEnd) {
        self.exited = true;
        for tx in self.callers.drain() {
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
        if self.exited {
            return;
        }
        let began = self.ports.clock.now();
        self.take(event);
        self.count(began);
        let me = cx.actor_ref().clone();
        self.carry_out(&me);
        if self.exited {
            cx.stop();
        }
    }
}
