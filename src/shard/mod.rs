//! The owner of one shard of workers, without input or output of its own.
//!
//! A [`Shard`] takes events (a submission, a worker's answer, the end of a transaction, the passing of
//! time) and gives effects for its caller to carry out. Record, then start: the command that starts
//! an attempt is made only once the attempt's row is in the table.

pub mod attempt;
pub mod commit_queue;
pub mod job;
pub mod rows;
pub mod worker_session;

mod commit;
mod configure;
mod finish;
mod gang;
mod open;
mod place;
mod submit;
mod task_counts;
mod view;
mod worker_result;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rustc_hash::FxHashMap;

use attempt::{Attempt, Decided};
use commit_queue::CommitQueue;
use gang::Gangs;
use job::{Job, ReplyToken, Task, TaskPhase};
use worker_session::{WorkerCallTimings, WorkerChannel, WorkerSession};

use crate::decide::{JobKey, Policy, WorkerKey};
use crate::error::Refusal;
use crate::message::{PartCall, Reply};
use crate::model::{JobId, KindName, ShardName, TaskId, TeamName, Time, WorkerInfo};
use crate::port::table::Txn;
use crate::port::worker::SyncCall;

pub use open::{OpenError, StoredRows};
pub use task_counts::TaskCounts;

/// The most changes that wait for the table before no more placements are decided.
const MAX_PENDING: usize = 2_048;

/// The most placements decided in one step.
const STEP_LIMIT: usize = 256;

/// The most ended jobs forgotten in one step.
const FORGET_LIMIT: usize = 32;

/// The longest wait that a refusal during an outage of the table names, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 2_000;

/// What the shard's caller carries out.
#[derive(Debug)]
pub enum Effect {
    /// Commit this transaction and report by [`Shard::handle_commit_outcome`].
    Commit(Txn),
    /// Call this worker and report by [`Shard::handle_worker_result`].
    CallWorker {
        /// The worker's index.
        worker_index: usize,
        /// The worker.
        info: WorkerInfo,
        /// Which of the worker's two calls this is.
        channel: WorkerChannel,
        /// The call.
        call: SyncCall,
    },
    /// Ask the owner of a part's shard and report by [`Shard::handle_part_reply`].
    CallPartOwner {
        /// The number of the job whose part it is.
        job: u64,
        /// The part.
        part: JobId,
        /// What is asked.
        call: PartCall,
    },
    /// Reply to a caller.
    Reply {
        /// The caller.
        token: ReplyToken,
        /// The reply.
        reply: Reply,
    },
    /// A task was started for the first time after this wait.
    TaskStarted {
        /// The team.
        team: TeamName,
        /// The kind.
        kind: KindName,
        /// From acceptance to the start command.
        waited: Duration,
    },
    /// Another owner has the shard; nothing more follows.
    Fenced,
    /// The shard was given up in the table; nothing more follows.
    Released,
}

/// What follows once a change is in the table.
#[derive(Debug)]
pub(crate) enum OnApplied {
    Accepted,
    Start(Vec<Attempt<Decided>>),
    Acknowledge(Vec<(usize, TaskId, u32)>),
    JobEnded(Vec<(usize, TaskId, u32)>),
    Cancelled(ReplyToken),
    /// All parts of a job over several shards are recorded.
    Spanned,
    /// A part that was reserved here is withdrawn.
    Withdrawn,
    Nothing,
}

/// How long things last in a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardTimings {
    /// Calls to workers and their leases.
    pub calls: WorkerCallTimings,
    /// How long an owner goes on without the table.
    pub max_detached: Duration,
    /// How long an ended job is kept.
    pub retention: Duration,
    /// The least time between the beginnings of two transactions.
    pub min_commit_interval: Duration,
}

impl Default for ShardTimings {
    fn default() -> Self {
        Self {
            calls: WorkerCallTimings::default(),
            max_detached: Duration::from_secs(600),
            retention: Duration::from_secs(3_600),
            min_commit_interval: Duration::from_millis(5),
        }
    }
}

/// The owner of one shard of workers.
pub struct Shard {
    name: ShardName,
    times: ShardTimings,
    policy: Box<dyn Policy>,
    commit_queue: CommitQueue<OnApplied>,
    jobs: FxHashMap<u64, Job>,
    numbers: FxHashMap<JobKey, u64>,
    keys: FxHashMap<String, (u64, u64)>,
    ended: VecDeque<u64>,
    sessions: Vec<WorkerSession>,
    session_of: FxHashMap<WorkerKey, usize>,
    opened: Time,
    prior_gone: Option<Time>,
    held: Vec<u64>,
    deadlines: BTreeSet<(Time, ReplyToken, u64)>,
    table_failed: Option<Time>,
    began: Option<Time>,
    /// When the last transaction that took effect began.
    proved: Option<Time>,
    retry_commit: Option<Time>,
    next_commit: Option<Time>,
    stopping: bool,
    closed: bool,
    gangs: Gangs,
    effects: Vec<Effect>,
    task_counts: TaskCounts,
}

impl Shard {
    /// The shard's name.
    pub fn name(&self) -> &ShardName {
        &self.name
    }

    /// The epoch of the ownership.
    pub fn epoch(&self) -> u64 {
        self.commit_queue.epoch()
    }

    /// Takes the effects that the last events gave.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the numbers of tasks since the last call.
    pub fn take_task_counts(&mut self) -> TaskCounts {
        std::mem::take(&mut self.task_counts)
    }

    /// Notes that the previous owner's process is known to be gone, so that it renews no lease.
    /// That says nothing where owners before it may go on.
    pub fn prior_owner_gone(&mut self, now: Time) {
        if self.commit_queue.earlier_owners() <= 1 {
            self.prior_gone.get_or_insert(now);
        }
    }

    /// Takes no new jobs and places nothing more; once nothing waits to be recorded, gives the
    /// shard up.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Lets time pass: decides, commits, calls workers, and gives up what has surely lapsed.
    pub fn tick(&mut self, now: Time) {
        if self.closed {
            return;
        }
        if self.is_unproved_for(self.times.max_detached, now) {
            return self.overtaken();
        }
        self.settle();
        self.give_up_lapsed(now);
        self.release_held(now);
        self.end_waits(now);
        self.forget_old(now);
        self.decide(now);
        self.tend_parts(now);
        self.tend_spans(now);
        self.start_ahead(now);
        self.commit(now);
        self.call_workers(now);
    }

    /// Notes in the shard's row that no earlier owner can run anything any more.
    fn settle(&mut self) {
        if self.all_heard() {
            self.commit_queue.settle();
        }
    }

    fn overtaken(&mut self) {
        self.closed = true;
        let tokens: Vec<ReplyToken> = self.waiting_tokens();
        for token in tokens {
            self.reply(token, Reply::NotOwner);
        }
        self.effects.push(Effect::Fenced);
    }

    fn waiting_tokens(&mut self) -> Vec<ReplyToken> {
        self.deadlines.clear();
        let mut tokens = Vec::new();
        for job in self.jobs.values_mut() {
            tokens.append(&mut job.submitters);
            tokens.extend(job.waiters.drain(..).map(|(token, _)| token));
        }
        tokens
    }

    /// Calls no worker before the first proof: a process that was paused since it claimed the shard
    /// may have been overtaken.
    fn call_workers(&mut self, now: Time) {
        if self.proved.is_none() {
            return;
        }
        let epoch = self.commit_queue.epoch();
        for (index, session) in self.sessions.iter_mut().enumerate() {
            for channel in [WorkerChannel::Commands, WorkerChannel::LongPoll] {
                if let Some(call) = session.next_call(channel, epoch, &self.times.calls, now) {
                    self.effects.push(Effect::CallWorker {
                        worker_index: index,
                        info: session.info.clone(),
                        channel,
                        call,
                    });
                }
            }
        }
    }

    fn reply(&mut self, token: ReplyToken, reply: Reply) {
        self.effects.push(Effect::Reply { token, reply });
    }

    fn refuse(&mut self, token: ReplyToken, refusal: Refusal) {
        self.reply(token, Reply::Refused(refusal));
    }

    fn task(&self, number: u64, index: u32) -> Option<&Task> {
        let job = self.jobs.get(&number)?;
        job.tasks.get(index as usize)
    }

    fn command_of(&self, number: u64, index: u32) -> u64 {
        self.task(number, index).map_or(0, |task| task.command)
    }

    fn boot_of(&self, number: u64, index: u32) -> u64 {
        self.task(number, index).map_or(0, |task| task.boot)
    }

    fn phase_of(&self, number: u64, index: u32) -> Option<TaskPhase> {
        self.task(number, index).map(|task| task.phase)
    }
}
