//! Scheduling and placement decisions, as pure logic: no I/O and no async runtime, and the current
//! time is an argument.

pub mod admission;
pub mod admission_estimate;
pub mod assign;
pub mod backoff;
pub mod balance;
pub mod fifo;
pub mod first_fit;
pub mod gang_split;
pub mod health;
pub mod index;
pub mod lease;
pub mod least_cost;
pub mod limit_share;
pub mod priority;
pub mod rate;
pub mod route;
pub mod scheduler;
pub mod slots;
pub mod usage;

use crate::error::Refusal;
use crate::model::{JobSpec, KindName, Outcome, Resources, TeamName, Time, WorkerInfo};

slotmap::new_key_type! {
    /// Identifies a job within one [`Policy`].
    pub struct JobKey;
    /// Identifies a worker within one [`Policy`].
    pub struct WorkerKey;
}

/// Limits of a team within one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimits {
    /// Weight of the team in fair sharing among the teams with queued tasks; at least 1.
    pub weight: u32,
    /// Maximum resources that the team's tasks may hold at once in this shard.
    pub quota: Resources,
    /// Maximum number of the team's queued tasks in this shard.
    pub max_queued: u32,
    /// Initial balance of the team in this shard, in core-milliseconds. Setting the limits again
    /// leaves the balance as it is.
    pub balance_core_ms: u64,
}

/// Spending of a team in one shard, and what it still may spend.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpending {
    /// The team.
    pub team: TeamName,
    /// Spent since the policy was created, running tasks included, in core-milliseconds.
    pub spent_core_ms: u64,
    /// Balance that may still be spent and is not prepaid for running tasks, in core-milliseconds.
    pub left_core_ms: u64,
    /// Processors that the team's tasks hold, in millicores.
    pub held_cpu_milli: u32,
    /// Whether the team has queued tasks.
    pub has_queued_tasks: bool,
    /// Balance that is missing to renew the slices of running tasks, in core-milliseconds.
    pub renewal_shortfall_core_ms: u64,
    /// For each queue that is blocked by the balance here, the cost of its next start, in
    /// core-milliseconds.
    pub blocked_start_costs_core_ms: Vec<u64>,
    /// Processors that the largest of these starts needs, in millicores.
    pub max_blocked_start_cpu_milli: u32,
    /// Maximum processors that the team's tasks may hold, as last set, in millicores.
    pub max_cpu_milli: Option<u32>,
}

impl TeamSpending {
    /// Creates the spending of a team without tasks or balance in the shard.
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

/// Balance that is added to what a team may spend in a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalanceCredit {
    /// Amount in core-milliseconds.
    pub core_ms: u64,
    /// Whether further credits may follow, so that work waits for them instead of being refused.
    pub more_available: bool,
    /// Maximum processors that the team's tasks may hold from now on, in millicores; `None` leaves
    /// the maximum unchanged.
    pub max_cpu_milli: Option<u32>,
}

/// Limits of a kind of work within one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct KindLimits {
    /// Maximum number of queued tasks of the kind in this shard.
    pub max_queued: u32,
    /// Maximum number of attempts of an idempotent task.
    pub max_attempts: u32,
}

/// Action that a policy decided on and the caller has to carry out.
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
        /// Resources that are reserved for the task.
        reserved: Resources,
    },
    /// Checkpoint a running task to free its resources; it is queued again once the attempt has
    /// ended.
    Checkpoint {
        /// The job.
        job: JobKey,
        /// The task's index.
        index: u32,
        /// The worker.
        worker: WorkerKey,
        /// Whether the reason is that the team's balance no longer pays for the task.
        unpaid: bool,
    },
    /// Limit the resource usage of a running task.
    Throttle {
        /// The job.
        job: JobKey,
        /// The task's index.
        index: u32,
        /// The worker.
        worker: WorkerKey,
        /// Maximum resources that the task may use.
        allowed: Resources,
    },
    /// Stop a running task; if it is idempotent, it is queued again once the attempt has ended.
    Stop {
        /// The job.
        job: JobKey,
        /// The task's index.
        index: u32,
        /// The worker.
        worker: WorkerKey,
        /// Whether the reason is that the team's balance no longer pays for the task.
        unpaid: bool,
    },
}

/// End of an attempt, as reported to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker reported the outcome.
    Reported(Outcome),
    /// The attempt was never sent, or certainly never ran on the worker.
    NeverRan,
    /// The worker is lost and its leases have certainly expired; whether the attempt ran to its end
    /// is unknown.
    Lost,
}

/// State of a task after one of its attempts has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskDisposition {
    /// The policy queued the task again; the next attempt starts at once or after a backoff.
    Queued,
    /// The task has ended.
    Ended(Outcome),
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes new work.
    Available,
    /// Does not respond, or its state is not known yet; its reservations stay in place.
    Unreachable,
    /// Gets no new work because it is being removed.
    Draining,
}

/// Worker that gets no new work because the tasks it starts fail.
#[derive(Clone, Debug, PartialEq)]
pub struct SetAsideWorker {
    /// The worker.
    pub worker: WorkerKey,
    /// Human-readable reason.
    pub reason: String,
    /// When a task is started on it as a probe.
    pub retry_at: Option<Time>,
}

/// Summary of a policy's queues and of the free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of queued tasks.
    pub queued: u64,
    /// Number of placed tasks.
    pub placed: u64,
    /// Free resources on available workers.
    pub free: Resources,
}

/// Decides which task runs on which worker, for the workers of one shard.
///
/// A policy reserves resources when it places a task. The caller reports the end of each attempt
/// exactly once. The reservations on a worker never exceed its capacity.
pub trait Policy: Send {
    /// Sets the limits of a team; a team without limits gets no resources of the shard.
    fn set_team(&mut self, team: &TeamName, limits: &TeamLimits, now: Time);

    /// Adds to the balance of a team in this shard. A policy without balances ignores it.
    fn add_balance(&mut self, _team: &TeamName, _credit: &BalanceCredit, _now: Time) {}

    /// Removes the balance that a team has not spent, and returns it in core-milliseconds.
    fn reclaim_balance(&mut self, _team: &TeamName) -> u64 {
        0
    }

    /// Returns the spending of all teams; empty for a policy without balances.
    fn spending(&self, _now: Time) -> Vec<TeamSpending> {
        Vec::new()
    }

    /// Sets the limits of a kind; jobs of a kind without limits are refused.
    fn set_kind(&mut self, kind: &KindName, limits: &KindLimits, now: Time);

    /// Adds a worker, which is [`WorkerState::Unreachable`] at first.
    fn add_worker(&mut self, info: &WorkerInfo, now: Time) -> WorkerKey;

    /// Sets the capacity of a worker; tasks that exceed a reduced capacity run to their end.
    fn set_worker_capacity(&mut self, worker: WorkerKey, capacity: Resources, now: Time);

    /// Sets whether a worker takes new work.
    fn set_worker_state(&mut self, worker: WorkerKey, state: WorkerState, now: Time);

    /// Queues all tasks of a job.
    ///
    /// # Errors
    ///
    /// Returns a refusal of certainty `not_run` if the job can never run, a queue is full, the team
    /// or the kind is unknown, or the balance is spent.
    fn submit(&mut self, spec: &JobSpec, now: Time) -> Result<JobKey, Refusal>;

    /// Queues a job like [`Policy::submit`], but as one that has waited since `since`: its age
    /// counts from then, and it is queued ahead of jobs that have waited for less time.
    ///
    /// # Errors
    ///
    /// See [`Policy::submit`].
    fn submit_since(&mut self, spec: &JobSpec, since: Time, now: Time) -> Result<JobKey, Refusal> {
        let _ = since;
        self.submit(spec, now)
    }

    /// Restores a job that an earlier owner of the shard accepted, regardless of queue limits.
    /// `tasks` gives the known state of each task, in order.
    fn restore(&mut self, spec: &JobSpec, tasks: &[RestoredTask], now: Time) -> JobKey;

    /// Appends actions to `actions`, with at most about `limit` placements; a gang is placed whole
    /// even beyond the limit.
    fn decide(&mut self, now: Time, limit: usize, actions: &mut Vec<Action>);

    /// Records the end of an attempt and frees its reservation. `attempts` includes this one.
    fn attempt_ended(
        &mut self,
        job: JobKey,
        index: u32,
        attempts: u32,
        end: AttemptEnd,
        now: Time,
    ) -> TaskDisposition;

    /// Records the reported resource usage of a running task.
    fn usage_reported(&mut self, job: JobKey, index: u32, usage: Resources, now: Time);

    /// Cancels a job: its queued tasks end as cancelled and are never started. Returns the placed
    /// tasks, which the caller has to stop.
    fn cancel(&mut self, job: JobKey, now: Time) -> Vec<(u32, WorkerKey)>;

    /// Removes a job whose tasks have all ended.
    fn remove_job(&mut self, job: JobKey, now: Time);

    /// Returns what a job waits for; `None` if none of its tasks is queued.
    fn waiting_for(&self, job: JobKey, now: Time) -> Option<String>;

    /// Returns the workers that are set aside because the tasks they start fail; empty for a policy
    /// that does not track worker failures.
    fn set_aside_workers(&self, _now: Time) -> Vec<SetAsideWorker> {
        Vec::new()
    }

    /// Returns a summary of queued and placed tasks and of the free capacity.
    fn load(&self) -> Load;
}

/// Known state of a task that an earlier owner accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredTask {
    /// Queued.
    Queued {
        /// Number of attempts so far.
        attempts: u32,
    },
    /// Placed on a worker, or possibly still running there.
    Placed {
        /// The worker.
        worker: WorkerKey,
        /// Resources that are reserved for the task there.
        reserved: Resources,
        /// Number of the placed attempt.
        attempt: u32,
    },
    /// Ended.
    Ended(Outcome),
}
