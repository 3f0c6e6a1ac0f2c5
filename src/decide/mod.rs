//! The decisions: pure, without a runtime or an adapter, with the present time as an argument.

pub mod admission;
pub mod assign;
pub mod backoff;
pub mod balance;
pub mod fifo;
pub mod first_fit;
pub mod gang_split;
pub mod health;
pub mod index;
pub mod lease;
pub mod priority;
pub mod rate;
pub mod route;
pub mod scheduler;
pub mod sizes;
pub mod slots;

use crate::error::Refusal;
use crate::model::{JobSpec, KindName, Outcome, Resources, TeamName, Time, WorkerInfo};

slotmap::new_key_type! {
    /// A job within one [`Policy`].
    pub struct JobKey;
    /// A worker within one [`Policy`].
    pub struct WorkerKey;
}

/// What a team may use.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimits {
    /// The team's share beside other teams that wait; at least 1.
    pub weight: u32,
    /// The most that the team's tasks may hold at once in this shard.
    pub quota: Resources,
    /// The most tasks of the team that may wait in this shard.
    pub max_queued: u32,
    /// What this shard may spend of the team's balance at first, in core-milliseconds; later
    /// limits of the same team leave the balance as it is.
    pub balance_core_ms: u64,
}

/// What a team spent and may spend in one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpending {
    /// The team.
    pub team: TeamName,
    /// Spent since the policy was made, running tasks included, in core-milliseconds.
    pub spent_core_ms: u64,
    /// What may be spent and is not taken in advance for running tasks, in core-milliseconds.
    pub left_core_ms: u64,
    /// Processors that the team's tasks hold, in thousandths of a core.
    pub held_cpu_milli: u32,
    /// Whether tasks of the team wait.
    pub has_queued_tasks: bool,
    /// What running tasks lack to be paid for longer, in core-milliseconds.
    pub renewal_shortfall_core_ms: u64,
    /// What the next start costs of each queue that the balance here holds back, in
    /// core-milliseconds.
    pub blocked_start_costs_core_ms: Vec<u64>,
    /// The most processors that one of these takes, in thousandths of a core.
    pub max_blocked_start_cpu_milli: u32,
    /// The processors that the team's tasks may hold, as last told, in thousandths of a core.
    pub max_cpu_milli: Option<u32>,
}

impl TeamSpending {
    /// That of a team that has nothing here.
    pub fn new(team: TeamName) -> Self {
        Self {
            team,
            spent_core_ms: 0,
            left_core_ms: 0,
            held_cpu_milli: 0,
            has_queued_tasks: false,
            renewal_shortfall_core_ms: 0,
            blocked_start_costs_core_ms: Vec::new(),
            max_blocked_start_cpu_milli: 0,
            max_cpu_milli: None,
        }
    }
}

/// A part of a team's balance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalanceCredit {
    /// How much, in core-milliseconds.
    pub core_ms: u64,
    /// Whether further parts may follow, so that work waits for them instead of being refused.
    pub more_available: bool,
    /// The processors that the team's tasks may hold from now on, in thousandths of a core; `None`
    /// leaves that as it is.
    pub max_cpu_milli: Option<u32>,
}

/// The limits on a kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct KindLimits {
    /// The most tasks of the kind that may wait in this shard.
    pub max_queued: u32,
    /// The most attempts of an idempotent task.
    pub max_attempts: u32,
}

/// A step that a policy decided on.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a task on a worker; its resources are already reserved there.
    Place {
        /// The job.
        job: JobKey,
        /// The task's index.
        index: u32,
        /// The worker.
        worker: WorkerKey,
        /// What is reserved.
        reserved: Resources,
    },
    /// Checkpoint a running task, so that it gives way; it is queued again once it has ended.
    Checkpoint {
        /// The job.
        job: JobKey,
        /// The task's index.
        index: u32,
        /// The worker.
        worker: WorkerKey,
        /// Whether it is because the team's balance pays the task no longer.
        unpaid: bool,
    },
    /// Hold a running task to what it was allowed.
    Throttle {
        /// The job.
        job: JobKey,
        /// The task's index.
        index: u32,
        /// The worker.
        worker: WorkerKey,
        /// What the task is allowed.
        allowed: Resources,
    },
    /// Stop a running task; it is queued again once it has ended, if it is idempotent.
    Stop {
        /// The job.
        job: JobKey,
        /// The task's index.
        index: u32,
        /// The worker.
        worker: WorkerKey,
        /// Whether it is because the team's balance pays the task no longer.
        unpaid: bool,
    },
}

/// How an attempt ended, as the policy needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker reported the end.
    Reported(Outcome),
    /// The attempt was never sent, or the worker surely never ran it.
    NeverRan,
    /// The worker is lost, with its leases surely lapsed; whether the attempt ran on is unknown.
    Lost,
}

/// What becomes of a task after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskDisposition {
    /// The task is queued again by the policy itself; the next attempt may come at once or after
    /// a backoff.
    Queued,
    /// The task has ended.
    Ended(Outcome),
}

/// Whether a worker can be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It can.
    Available,
    /// It does not answer, or its state is not yet known; what is reserved there stays reserved.
    Unreachable,
    /// It is being taken away; it gets no new work.
    Draining,
}

/// A worker that is set aside because what it starts fails.
#[derive(Clone, Debug, PartialEq)]
pub struct SetAsideWorker {
    /// The worker.
    pub worker: WorkerKey,
    /// The evidence, in words.
    pub reason: String,
    /// When it is tried again.
    pub retry_at: Option<Time>,
}

/// A counted summary of a policy's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Tasks that wait.
    pub queued: u64,
    /// Tasks that are placed.
    pub placed: u64,
    /// Free resources on available workers.
    pub free: Resources,
}

/// Decides which task runs on which worker, for the workers of one shard.
///
/// A policy reserves resources as it places; the caller tells it of each attempt's end exactly
/// once. The sum of what is reserved on a worker never exceeds the worker's capacity.
pub trait Policy: Send {
    /// Sets what a team may use; teams without limits get none of the shard.
    fn set_team(&mut self, team: &TeamName, limits: &TeamLimits, now: Time);

    /// Adds to what a team may spend in this shard. A policy that keeps no balances ignores it.
    fn add_balance(&mut self, _team: &TeamName, _part: &BalanceCredit, _now: Time) {}

    /// Takes back what a team may spend and has not spent; returns it, in core-milliseconds.
    fn reclaim_balance(&mut self, _team: &TeamName) -> u64 {
        0
    }

    /// What teams spent and may spend; empty for a policy that keeps no balances.
    fn spending(&self, _now: Time) -> Vec<TeamSpending> {
        Vec::new()
    }

    /// Sets the limits on a kind; kinds without limits are refused.
    fn set_kind(&mut self, kind: &KindName, limits: &KindLimits, now: Time);

    /// Adds a worker, at first [`WorkerState::Unreachable`].
    fn add_worker(&mut self, info: &WorkerInfo, now: Time) -> WorkerKey;

    /// Sets what a worker holds; what runs there beyond that is left to end.
    fn set_worker_capacity(&mut self, worker: WorkerKey, capacity: Resources, now: Time);

    /// Sets whether a worker can be given work.
    fn set_worker_state(&mut self, worker: WorkerKey, state: WorkerState, now: Time);

    /// Queues all tasks of a job.
    ///
    /// # Errors
    ///
    /// Returns a refusal of certainty `not_run` where the job can never run, a queue is full, the
    /// team or the kind is not known, or the balance is spent.
    fn submit(&mut self, spec: &JobSpec, now: Time) -> Result<JobKey, Refusal>;

    /// Queues a job as [`Policy::submit`] does, as one that has waited since `since`, so that it
    /// neither ages anew nor starts behind what came after it.
    ///
    /// # Errors
    ///
    /// See [`Policy::submit`].
    fn submit_since(&mut self, spec: &JobSpec, since: Time, now: Time) -> Result<JobKey, Refusal> {
        let _ = since;
        self.submit(spec, now)
    }

    /// Takes over a job that an earlier owner of the shard accepted, past all limits on queues.
    /// `tasks` gives, for each task in order, what is known of it.
    fn restore(&mut self, spec: &JobSpec, tasks: &[RestoredTask], now: Time) -> JobKey;

    /// Appends steps to `steps`, at most about `limit` placements; gangs are never split.
    fn decide(&mut self, now: Time, limit: usize, steps: &mut Vec<Action>);

    /// Notes the end of an attempt and frees what it held. `attempts` counts this one.
    fn attempt_ended(
        &mut self,
        job: JobKey,
        index: u32,
        attempts: u32,
        end: AttemptEnd,
        now: Time,
    ) -> TaskDisposition;

    /// Takes a report of what a running task uses.
    fn usage_reported(&mut self, job: JobKey, index: u32, usage: Resources, now: Time);

    /// Cancels a job: its waiting tasks end at once as cancelled and are never started. Returns
    /// the placed tasks that the caller must stop.
    fn cancel(&mut self, job: JobKey, now: Time) -> Vec<(u32, WorkerKey)>;

    /// Forgets a job all of whose tasks have ended.
    fn remove_job(&mut self, job: JobKey, now: Time);

    /// Why a job waits; `None` where no task of it waits.
    fn waiting_for(&self, job: JobKey, now: Time) -> Option<String>;

    /// The workers that are set aside because what they start fails; a policy that does not judge
    /// workers sets none aside.
    fn set_aside_workers(&self, _now: Time) -> Vec<SetAsideWorker> {
        Vec::new()
    }

    /// A counted summary.
    fn load(&self) -> Load;
}

/// What is known of a task that an earlier owner accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredTask {
    /// It waits; `attempts` were made before.
    Queued {
        /// Attempts made before.
        attempts: u32,
    },
    /// It is placed on a worker, or may still run there.
    Placed {
        /// The worker.
        worker: WorkerKey,
        /// What is reserved there.
        reserved: Resources,
        /// The attempt that is placed.
        attempt: u32,
    },
    /// It ended.
    Ended(Outcome),
}
