//! State of workers, jobs, teams, kinds and queues.

use std::collections::VecDeque;

use super::super::backoff::RetryBudget;
use super::super::health::WorkerHealth;
use super::super::rate::EventRate;
use super::super::usage::UsageEstimator;
use super::super::{JobKey, KindLimits, TeamLimits, WorkerKey, WorkerState};
use crate::model::{JobSpec, Lifetime, Resources, Time, Urgency};

/// Index of a team.
pub(super) type TeamId = usize;
/// Index of a kind.
pub(super) type KindId = usize;
/// Index of a queue.
pub(super) type QueueId = usize;
/// Index of an attempt.
pub(super) type AttemptId = usize;

#[derive(Debug)]
pub(super) struct Worker {
    pub capacity: Resources,
    pub reserved: Resources,
    pub state: WorkerState,
    pub rack: u32,
    pub zone: u32,
    pub attempts: Vec<AttemptId>,
    /// Attempts that use more than is reserved for them.
    pub overusing: Vec<AttemptId>,
    /// Reserved by preemptible attempts.
    pub preemptible: Resources,
    /// Reserved by services, which do not end by themselves.
    pub service_reserved: Resources,
    /// Needs of the task for which the worker is claimed.
    pub claimed_for: Option<Resources>,
    pub health: WorkerHealth,
}

impl Worker {
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.reserved)
    }
}

#[derive(Debug)]
pub(super) struct Team {
    pub limits: TeamLimits,
    /// Whether limits were ever set.
    pub is_configured: bool,
    pub queued: u64,
    pub held: Resources,
    pub queues: Vec<QueueId>,
    /// Number of queues with queued or placed tasks.
    pub active_queues: u32,
    /// Prepaid for running tasks, in core-milliseconds.
    pub prepaid_core_ms: u64,
    /// Spent since the start, in core-milliseconds.
    pub spent_core_ms: u64,
    /// Whether further credits may follow.
    pub more_available: bool,
    /// Maximum processors that its tasks may hold, in millicores; `None` if unlimited.
    pub max_cpu_milli: Option<u32>,
    /// Attempts that have requested a slice which the balance does not pay for.
    pub unpaid_attempts: Vec<AttemptId>,
}

#[derive(Debug)]
pub(super) struct Kind {
    pub limits: KindLimits,
    /// Whether limits were ever set.
    pub is_configured: bool,
    pub queued: u64,
    pub placed: u64,
    pub held: Resources,
    /// Integral of the share that was held without a backlog, in billionths of the capacity times
    /// seconds.
    pub history_share_s: f64,
    /// Total time without a backlog, in seconds.
    pub history_s: f64,
    pub history_at: Time,
    pub start_rate: EventRate,
    pub usage_estimator: UsageEstimator,
    pub retry_budget: RetryBudget,
    pub outcomes: OutcomeCounts,
}

/// Numbers of recently succeeded and failed attempts, halved together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeCounts {
    pub succeeded: u32,
    pub failed: u32,
}

impl OutcomeCounts {
    /// Counts an outcome; halves the counts if their sum exceeds `max`.
    pub fn add(&mut self, failed: bool, max: u32) {
        self.succeeded += u32::from(!failed);
        self.failed += u32::from(failed);
        if self.succeeded + self.failed > max {
            self.succeeded /= 2;
            self.failed /= 2;
        }
    }
}

/// Jobs of one team, kind and urgency, in order.
#[derive(Debug)]
pub(super) struct Queue {
    pub team: TeamId,
    pub kind: KindId,
    pub urgency: Urgency,
    pub jobs: VecDeque<JobKey>,
    /// Number of queued tasks.
    pub queued: u64,
    pub held: Resources,
    /// Decayed average of the held share of the capacity, in billionths.
    pub usage: f64,
    pub usage_at: Time,
    pub placed: u32,
    pub head: Option<Head>,
    pub order_key: Option<OrderKey>,
    pub last_placement: u64,
    pub active: bool,
    /// Number of cancelled jobs in `jobs`.
    pub cancelled_jobs: usize,
    /// What blocks the queue, if anything.
    pub blocked_by: Option<BlockReason>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BlockReason {
    Quota,
    Balance,
}

impl Queue {
    pub fn new(team: TeamId, kind: KindId, urgency: Urgency) -> Self {
        Self {
            team,
            kind,
            urgency,
            jobs: VecDeque::new(),
            queued: 0,
            held: Resources::default(),
            usage: 0.0,
            usage_at: Time::default(),
            placed: 0,
            head: None,
            order_key: None,
            last_placement: 0,
            active: false,
            cancelled_jobs: 0,
            blocked_by: None,
        }
    }
}

/// The job that is next in a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Head {
    pub job: JobKey,
    /// Resources to reserve per task.
    pub need: Resources,
}

/// Sort key of a queue; queues are served in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    pub rank: Rank,
    /// Recently used share of the capacity per weight, in billionths.
    pub share: u64,
    pub last_placement: u64,
    pub queue: QueueId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// Urgent, and holds less than its share of the reserve for urgent work.
    UrgentReserve,
    /// Urgent, of a kind that is within its history.
    Urgent,
    /// Normal or aged, of a kind that is within its history.
    Normal,
    /// Patient, of a kind that is within its history.
    Patient,
    /// Urgent, of a kind beyond its history, within the team's fair share.
    FairUrgent,
    /// Normal, of a kind beyond its history, within the team's fair share.
    FairNormal,
    /// Patient, of a kind beyond its history, within the team's fair share.
    FairPatient,
    /// Above the team's fair share.
    OverShare,
}

#[derive(Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    pub queue: QueueId,
    pub tasks: Vec<Task>,
    /// Index of the first task that was never placed.
    pub first_unplaced: u32,
    /// Indexes of tasks that are queued again.
    pub requeued: Vec<u32>,
    /// Number of queued tasks, including those in backoff.
    pub queued: u32,
    pub placed: u32,
    pub cancelled: bool,
    /// Whether the job is in the queue's list.
    pub in_queue: bool,
    pub since: Time,
    /// Number of expired holds of the gang.
    pub expired_holds: u32,
    /// Workers on which a task of the job failed.
    pub failed_workers: Vec<WorkerKey>,
}

impl Job {
    /// Returns the number of tasks that can be placed now.
    pub fn ready_tasks(&self) -> u32 {
        if self.cancelled {
            return 0;
        }
        self.tasks.len() as u32 - self.first_unplaced + self.requeued.len() as u32
    }

    pub fn next_ready(&self) -> Option<u32> {
        if self.ready_tasks() == 0 {
            return None;
        }
        self.requeued.last().copied().or(Some(self.first_unplaced))
    }

    pub fn take_ready(&mut self) -> Option<u32> {
        let index = self.next_ready()?;
        if self.requeued.pop().is_none() {
            self.first_unplaced += 1;
        }
        Some(index)
    }

    /// Returns whether a task may be checkpointed and run again later.
    pub fn is_interruptible(&self) -> bool {
        self.spec.idempotent && self.spec.lifetime == Lifetime::Batch && !self.spec.all_at_once
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Task {
    pub status: TaskStatus,
    pub failures: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskStatus {
    Queued,
    Backoff,
    Placed(AttemptId),
    Ended,
}

/// An attempt of a placed task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Distinguishes the attempt from a later one with the same index.
    pub serial: u64,
    pub job: JobKey,
    pub index: u32,
    pub worker: WorkerKey,
    pub reserved: Resources,
    pub started: Time,
    pub stage: Stage,
    pub is_probe: bool,
    /// Maximum reported usage.
    pub peak_usage: Resources,
    /// Prepaid from the balance, in core-milliseconds.
    pub prepaid_core_ms: u64,
    /// Cost before `charged_from`, in core-milliseconds.
    pub accrued_core_ms: u64,
    pub charged_from: Time,
    /// End of the paid time.
    pub paid_until: Time,
    /// Whether an earlier owner started the attempt and nothing was paid for it here yet.
    pub is_inherited: bool,
    /// Whether the attempt is being ended because the balance no longer pays for it.
    pub ends_unpaid: bool,
    /// Whether the attempt is patient work that may be checkpointed for urgent work.
    pub preemptible: bool,
}

/// Escalation stage of an attempt that uses more than its reservation or has to be ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    Running,
    Throttled(Time),
    Checkpointing(Time),
    Stopping,
}
