//! What a scheduler keeps of workers, jobs, teams, kinds and queues.

use std::collections::VecDeque;

use super::super::backoff::RetryBudget;
use super::super::health::Health;
use super::super::rate::Rate;
use super::super::sizes::LearnedSizes;
use super::super::{JobKey, KindLimits, TeamLimits, WorkerKey, WorkerState};
use crate::model::{JobSpec, Lifetime, Resources, Time, Urgency};

/// An index of a team.
pub(super) type TeamId = usize;
/// An index of a kind.
pub(super) type KindId = usize;
/// An index of a queue.
pub(super) type QueueId = usize;
/// An index of a placed task.
pub(super) type RunId = usize;

#[derive(Debug)]
pub(super) struct Worker {
    pub capacity: Resources,
    pub reserved: Resources,
    pub state: WorkerState,
    pub rack: u32,
    pub zone: u32,
    pub runs: Vec<RunId>,
    /// Runs that use more than is reserved for them.
    pub short: Vec<RunId>,
    /// Reserved by patient tasks that may be checkpointed.
    pub yieldable: Resources,
    /// Reserved by services, which do not end by themselves.
    pub pinned: Resources,
    /// What the work needs that the worker is kept for.
    pub claimed: Option<Resources>,
    pub health: Health,
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
    pub known: bool,
    pub queued: u64,
    pub held: Resources,
    pub queues: Vec<QueueId>,
    /// Queues with waiting or placed tasks.
    pub active: u32,
    /// Taken from the balance in advance for tasks that run, in core-milliseconds.
    pub committed_core_ms: u64,
    /// Spent since the start, in core-milliseconds.
    pub spent_core_ms: u64,
    /// Whether further parts of the balance may follow.
    pub more_balance: bool,
    /// The processors that its tasks may hold, in thousandths of a core; no bound where absent.
    pub max_cpu_milli: Option<u32>,
    /// Running tasks that ask for a slice which the balance here does not pay.
    pub unpaid: Vec<RunId>,
}

#[derive(Debug)]
pub(super) struct Kind {
    pub limits: KindLimits,
    /// Whether limits were ever set.
    pub known: bool,
    pub queued: u64,
    pub placed: u64,
    pub held: Resources,
    /// What was held without a backlog: the part of the capacity in billionths, times seconds.
    pub calm_held: f64,
    /// For how long that was, in seconds.
    pub calm_s: f64,
    pub calm_at: Time,
    pub starts: Rate,
    pub sizes: LearnedSizes,
    pub budget: RetryBudget,
    pub ends: Ends,
}

/// Recent ends of attempts, halved together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ends {
    pub succeeded: u32,
    pub failed: u32,
}

impl Ends {
    /// Counts an end; halves the counts above `most`.
    pub fn add(&mut self, failed: bool, most: u32) {
        self.succeeded += u32::from(!failed);
        self.failed += u32::from(failed);
        if self.succeeded + self.failed > most {
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
    /// Tasks that wait.
    pub queued: u64,
    pub held: Resources,
    /// The decayed average of the part of the capacity that was held, in billionths.
    pub usage: f64,
    pub usage_at: Time,
    pub placed: u32,
    pub head: Option<Head>,
    pub key: Option<OrderKey>,
    pub served: u64,
    pub active: bool,
    /// Jobs in `jobs` that were cancelled.
    pub dead: usize,
    /// Whether the team's quota or balance holds the queue back.
    pub parked: Option<Parked>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Parked {
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
            key: None,
            served: 0,
            active: false,
            dead: 0,
            parked: None,
        }
    }
}

/// The job that a queue offers next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Head {
    pub job: JobKey,
    /// What one task needs.
    pub need: Resources,
}

/// The order in which queues are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    pub rank: Rank,
    /// The part of the capacity that the queue used of late per weight, in billionths.
    pub share: u64,
    pub served: u64,
    pub queue: QueueId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// Urgent, and holds less than its part of what is kept free for urgent work.
    Reserved,
    /// Urgent, of a kind that holds what its history entitles it to.
    Urgent,
    /// Normal or aged, of such a kind.
    Normal,
    /// Patient, of such a kind.
    Patient,
    /// Urgent, of a kind beyond its history, within the team's fair share.
    FairUrgent,
    /// Normal, likewise.
    FairNormal,
    /// Patient, likewise.
    FairPatient,
    /// Above its fair share.
    Beyond,
}

#[derive(Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    pub queue: QueueId,
    pub tasks: Vec<Task>,
    /// Tasks from this index on were never offered.
    pub fresh: u32,
    /// Tasks that are queued again.
    pub returned: Vec<u32>,
    /// Tasks that wait, those in backoff included.
    pub queued: u32,
    pub placed: u32,
    pub cancelled: bool,
    /// Whether the queue has the job.
    pub listed: bool,
    pub since: Time,
    /// How often the job gave collected parts back.
    pub holds: u32,
    /// Workers on which a task of the job failed.
    pub failed_on: Vec<WorkerKey>,
}

impl Job {
    /// Tasks that can be placed now.
    pub fn ready(&self) -> u32 {
        if self.cancelled {
            return 0;
        }
        self.tasks.len() as u32 - self.fresh + self.returned.len() as u32
    }

    pub fn next_ready(&self) -> Option<u32> {
        if self.ready() == 0 {
            return None;
        }
        self.returned.last().copied().or(Some(self.fresh))
    }

    pub fn take_ready(&mut self) -> Option<u32> {
        let index = self.next_ready()?;
        if self.returned.pop().is_none() {
            self.fresh += 1;
        }
        Some(index)
    }

    /// Whether a task may be ended early and run again.
    pub fn can_yield(&self) -> bool {
        self.spec.idempotent && self.spec.lifetime == Lifetime::Batch && !self.spec.all_at_once
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Task {
    pub state: TaskState,
    pub failures: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    Queued,
    Backoff,
    Placed(RunId),
    Ended,
}

/// A placed task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// Tells this run from a later one with the same index.
    pub serial: u64,
    pub job: JobKey,
    pub index: u32,
    pub worker: WorkerKey,
    pub reserved: Resources,
    pub started: Time,
    pub stage: Stage,
    pub probe: bool,
    /// The most that it was reported to use.
    pub peak: Resources,
    /// Taken from the balance in advance, in core-milliseconds.
    pub committed_core_ms: u64,
    /// What it cost before `charged_from`, in core-milliseconds.
    pub accrued_core_ms: u64,
    pub charged_from: Time,
    /// Until when it is paid for.
    pub paid_until: Time,
    /// Whether an earlier owner started it and nothing was paid for it here yet.
    pub is_inherited: bool,
    /// Whether it is being stopped because the balance pays it no longer.
    pub ends_unpaid: bool,
    /// Whether it is patient work that may be checkpointed.
    pub yieldable: bool,
}

/// What was done about a task that outgrew its reservation or has to give way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    Calm,
    Throttled(Time),
    Yielding(Time),
    Stopping,
}
