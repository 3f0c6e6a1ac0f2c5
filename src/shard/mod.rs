//! The state machine of a shard's owner, without I/O.
//!
//! A [`Shard`] takes events (a submission, a worker's response, the outcome of a commit, a tick)
//! and returns [`Effect`]s for its caller to carry out. Attempts are written ahead: the command
//! that starts an attempt is queued only after the attempt's row was committed to the table. The
//! only exception is made for idempotent tasks while the table is down.

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
use crate::port::worker::SyncRequest;

pub use open::{OpenError, StoredRows};
pub use task_counts::TaskCounts;

/// No further placements are decided while this many changes wait to be committed.
const MAX_PENDING_CHANGES: usize = 2_048;

/// Bounds the work of one tick.
const MAX_PLACEMENTS_PER_TICK: usize = 256;

/// Bounds the work of one tick.
const MAX_REMOVED_JOBS_PER_TICK: usize = 32;

/// The retry delay that refusals name during a table outage or a handover, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 2_000;

/// An action for the caller of the shard to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Commit this transaction and report the outcome to [`Shard::handle_commit_outcome`].
    Commit(Txn),
    /// Call this worker and report the result to [`Shard::handle_worker_result`].
    CallWorker {
        /// The worker's index in the shard.
        worker_index: usize,
        /// The worker.
        info: WorkerInfo,
        /// The channel of the call; each worker has at most one call in flight on each.
        channel: WorkerChannel,
        /// The call.
        call: SyncRequest,
    },
    /// Call the owner of the shard that a part of a cross-shard gang runs in, and report the reply
    /// to [`Shard::handle_part_reply`].
    CallPartOwner {
        /// The number of the gang's job.
        job: u64,
        /// The part.
        part: JobId,
        /// The call.
        call: PartCall,
    },
    /// Reply to a caller.
    Reply {
        /// Identifies the caller.
        token: ReplyToken,
        /// The reply.
        reply: Reply,
    },
    /// The start command of a task's first attempt was queued.
    TaskStarted {
        /// The team.
        team: TeamName,
        /// The kind.
        kind: KindName,
        /// The time from the job's acceptance to the start command.
        waited: Duration,
    },
    /// This owner is fenced or can no longer verify its ownership; no further effects follow.
    Fenced,
    /// The ownership was released in the table; no further effects follow.
    Released,
}

/// What the owner does once a change is in the table.
#[derive(Debug)]
pub(crate) enum OnApplied {
    Accepted,
    StartAttempts(Vec<Attempt<Decided>>),
    /// Acknowledges ended attempts to their workers: worker index, task and attempt.
    AcknowledgeEnds(Vec<(usize, TaskId, u32)>),
    JobEnded(Vec<(usize, TaskId, u32)>),
    Cancelled(ReplyToken),
    /// All parts of a cross-shard gang are recorded.
    GangRecorded,
    /// A part that was reserved in this shard is withdrawn.
    PartWithdrawn,
    Nothing,
}

/// The intervals and time limits of a shard's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardTimings {
    /// Timings of calls to workers and of their leases.
    pub calls: WorkerCallTimings,
    /// The owner stops after it could not verify its ownership in the table for this long.
    pub max_detached: Duration,
    /// How long an ended job is kept.
    pub retention: Duration,
    /// The minimum time between the starts of two commits.
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

/// The state of a shard as its owner keeps it.
pub struct Shard {
    name: ShardName,
    timings: ShardTimings,
    policy: Box<dyn Policy>,
    commit_queue: CommitQueue<OnApplied>,
    jobs: FxHashMap<u64, Job>,
    /// The job numbers by the policy's keys.
    job_numbers: FxHashMap<JobKey, u64>,
    /// By the key of the idempotency key's row: the job's number and the digest of its description.
    idempotency_keys: FxHashMap<String, (u64, u64)>,
    /// The ended jobs in the order of their ends.
    ended_jobs: VecDeque<u64>,
    sessions: Vec<WorkerSession>,
    worker_indices: FxHashMap<WorkerKey, usize>,
    opened_at: Time,
    previous_owner_gone_at: Option<Time>,
    /// Jobs whose queued tasks the policy does not know yet; see [`Job::deferred`].
    deferred_jobs: Vec<u64>,
    query_deadlines: BTreeSet<(Time, ReplyToken, u64)>,
    /// The start of the first commit that failed since the last applied one.
    table_failed_at: Option<Time>,
    /// The start of the commit in flight.
    commit_started_at: Option<Time>,
    /// When this owner last knew that the table names it: the start of the last applied commit.
    verified_at: Option<Time>,
    commit_retry_at: Option<Time>,
    next_commit_at: Option<Time>,
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

    /// Returns the effects of the events since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the task counts since the last call.
    pub fn take_task_counts(&mut self) -> TaskCounts {
        std::mem::take(&mut self.task_counts)
    }

    /// Notes that the previous owner's process has ended and renews no more leases. Ignored while
    /// still earlier owners may be running.
    pub fn previous_owner_gone(&mut self, now: Time) {
        if self.commit_queue.unfenced_owners() <= 1 {
            self.previous_owner_gone_at.get_or_insert(now);
        }
    }

    /// Stops accepting and placing work. The ownership is released once all pending changes are
    /// committed.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Does everything that is due at `now`: expires leases and queries, decides placements, starts
    /// a commit and calls workers.
    pub fn tick(&mut self, now: Time) {
        if self.closed {
            return;
        }
        if self.is_unverified_for(self.timings.max_detached, now) {
            return self.close_fenced();
        }
        self.clear_unfenced_owners();
        self.expire_unreachable_workers(now);
        self.queue_deferred_jobs(now);
        self.expire_queries(now);
        self.remove_expired_jobs(now);
        self.decide(now);
        self.update_parts(now);
        self.update_cross_shard_gangs(now);
        self.start_ahead_of_rows(now);
        self.start_commit(now);
        self.call_workers(now);
    }

    /// Records in the shard's row that no earlier owner can run anything any more: each worker has
    /// responded to this owner, or the leases of its tasks have expired.
    fn clear_unfenced_owners(&mut self) {
        if self.all_workers_accounted_for() {
            self.commit_queue.clear_unfenced_owners();
        }
    }

    fn close_fenced(&mut self) {
        self.closed = true;
        let tokens: Vec<ReplyToken> = self.take_waiting_tokens();
        for token in tokens {
            self.reply(token, Reply::NotOwner);
        }
        self.effects.push(Effect::Fenced);
    }

    fn take_waiting_tokens(&mut self) -> Vec<ReplyToken> {
        self.query_deadlines.clear();
        let mut tokens = Vec::new();
        for job in self.jobs.values_mut() {
            tokens.append(&mut job.submitters);
            tokens.extend(job.waiters.drain(..).map(|(token, _)| token));
        }
        tokens
    }

    /// Calls no worker before the first applied commit: a process that was paused after its claim
    /// may be fenced already.
    fn call_workers(&mut self, now: Time) {
        if self.verified_at.is_none() {
            return;
        }
        let epoch = self.commit_queue.epoch();
        for (index, session) in self.sessions.iter_mut().enumerate() {
            for channel in [WorkerChannel::Commands, WorkerChannel::LongPoll] {
                if let Some(call) = session.next_call(channel, epoch, &self.timings.calls, now) {
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

    fn start_command_number(&self, number: u64, index: u32) -> u64 {
        self.task(number, index)
            .map_or(0, |task| task.start_command)
    }

    fn attempt_boot(&self, number: u64, index: u32) -> u64 {
        self.task(number, index).map_or(0, |task| task.boot)
    }

    fn task_phase(&self, number: u64, index: u32) -> Option<TaskPhase> {
        self.task(number, index).map(|task| task.phase)
    }
}
