//! The policy of a shard: fair queues, placement by an ordered index, and limits.

mod cancel;
mod charge;
mod claim;
mod finish;
mod gang;
mod intake;
mod limits;
mod order;
mod outgrow;
mod place;
mod preempt;
mod state;
mod timers;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use slab::Slab;
use slotmap::SlotMap;

pub use self::limits::SchedulerLimits;

use self::claim::Claim;
use self::gang::GangHold;
use self::state::{Ends, Job, Kind, KindId, OrderKey, Queue, QueueId, Run, Team, TeamId, Worker};
use self::timers::Timer;
use super::backoff::RetryBudget;
use super::index::FreeIndex;
use super::rate::Rate;
use super::sizes::LearnedSizes;
use super::{
    Action, AttemptEnd, BalanceCredit, JobKey, KindLimits, Load, Policy, RestoredTask,
    SetAsideWorker, TaskDisposition, TeamLimits, TeamSpending, WorkerKey, WorkerState,
};
use crate::error::Refusal;
use crate::model::{
    JobSpec, KindName, RackName, Resources, TeamName, Time, Urgency, WorkerInfo, ZoneName,
};

/// The policy of a shard.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::{KindLimits, Policy, Action, TeamLimits, WorkerState};
/// use chestnutlug::decide::scheduler::Scheduler;
/// use chestnutlug::model::{JobSpec, Lifetime, Resources, Time, Urgency, WorkerInfo};
///
/// let now = Time::from_millis(1);
/// let cores = |n: u32| Resources { cpu_milli: n * 1_000, memory_mib: n * 1_024, accelerators: 0 };
/// let mut policy = Scheduler::new(7);
/// let team = TeamLimits {
///     weight: 1,
///     quota: cores(64),
///     max_queued: 10,
///     balance_core_ms: 3_600_000,
/// };
/// policy.set_team(&"parlour".into(), &team, now);
/// policy.set_kind(&"swap".into(), &KindLimits { max_queued: 10, max_attempts: 3 }, now);
/// let worker = policy.add_worker(
///     &WorkerInfo {
///         name: "w1".into(),
///         rack: "r1".into(),
///         zone: "z1".into(),
///         capacity: cores(16),
///         address: "127.0.0.1:9000".parse().unwrap(),
///     },
///     now,
/// );
/// policy.set_worker_state(worker, WorkerState::Available, now);
/// let spec = JobSpec {
///     team: "parlour".into(),
///     kind: "swap".into(),
///     urgency: Urgency::Urgent,
///     lifetime: Lifetime::Batch,
///     idempotent: true,
///     all_at_once: false,
///     tasks: 2,
///     resources: cores(1),
///     expected_ms: 500,
///     payload: String::new(),
/// };
/// policy.submit(&spec, now).unwrap();
/// let mut steps = Vec::new();
/// policy.decide(now, 100, &mut steps);
/// assert!(matches!(steps[..], [Action::Place { .. }, Action::Place { .. }]));
///
/// let refusal = policy.submit(&JobSpec { resources: cores(17), ..spec }, now).unwrap_err();
/// assert_eq!(refusal.code, "never_fits");
/// ```
#[derive(Debug)]
pub struct Scheduler {
    limits: SchedulerLimits,
    rng: SmallRng,
    teams: Vec<Team>,
    team_ids: FxHashMap<TeamName, TeamId>,
    kinds: Vec<Kind>,
    kind_ids: FxHashMap<KindName, KindId>,
    queues: Vec<Queue>,
    queue_ids: FxHashMap<(TeamId, KindId, Urgency), QueueId>,
    workers: SlotMap<WorkerKey, Worker>,
    racks: FxHashMap<RackName, u32>,
    zones: FxHashMap<ZoneName, u32>,
    index: FreeIndex,
    /// What the workers that can be given work hold together.
    capacity: Resources,
    /// How many workers that stay have each capacity.
    classes: BTreeMap<Resources, u32>,
    jobs: SlotMap<JobKey, Job>,
    runs: Slab<Run>,
    order: BTreeSet<OrderKey>,
    /// How many queues offer a task with so many processors.
    head_cpu_milli: BTreeMap<u32, u32>,
    active_weight: u64,
    active_urgent: u64,
    urgent_seen: Option<Time>,
    /// Processors that urgent tasks hold, in thousandths of a core.
    urgent_cpu_milli: u64,
    urgent_placed: u64,
    /// The decayed average of the same.
    urgent_usage: f64,
    urgent_at: Time,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// Steps decided between two calls of `decide`.
    pending: Vec<Action>,
    claims: Vec<Claim>,
    /// Processors that claims wait for, in thousandths of a core.
    claimed_cpu_milli: u64,
    gang: Option<GangHold>,
    gang_cooldown: FxHashMap<QueueId, Time>,
    /// Workers set aside that a probe is due for.
    probes: Vec<WorkerKey>,
    aside: u32,
    ends: Ends,
    queued: u64,
    refreshed: Time,
    next_refresh: QueueId,
    served: u64,
    yielding_cpu_milli: u64,
}

impl Scheduler {
    /// An empty scheduler with default limits; `seed` feeds the jitter of backoffs.
    pub fn new(seed: u64) -> Self {
        Self::with_limits(seed, SchedulerLimits::default())
    }

    /// An empty scheduler.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::decide::{Policy, scheduler::{Scheduler, SchedulerLimits}};
    ///
    /// let limits = SchedulerLimits { max_scan: 64, ..SchedulerLimits::default() };
    /// assert_eq!(Scheduler::with_limits(1, limits).load().placed, 0);
    /// ```
    pub fn with_limits(seed: u64, limits: SchedulerLimits) -> Self {
        Self {
            limits,
            rng: SmallRng::seed_from_u64(seed),
            teams: Vec::new(),
            team_ids: FxHashMap::default(),
            kinds: Vec::new(),
            kind_ids: FxHashMap::default(),
            queues: Vec::new(),
            queue_ids: FxHashMap::default(),
            workers: SlotMap::default(),
            racks: FxHashMap::default(),
            zones: FxHashMap::default(),
            index: FreeIndex::default(),
            capacity: Resources::default(),
            classes: BTreeMap::new(),
            jobs: SlotMap::default(),
            runs: Slab::new(),
            order: BTreeSet::new(),
            head_cpu_milli: BTreeMap::new(),
            active_weight: 0,
            active_urgent: 0,
            urgent_seen: None,
            urgent_cpu_milli: 0,
            urgent_placed: 0,
            urgent_usage: 0.0,
            urgent_at: Time::default(),
            timers: BinaryHeap::new(),
            pending: Vec::new(),
            claims: Vec::new(),
            claimed_cpu_milli: 0,
            gang: None,
            gang_cooldown: FxHashMap::default(),
            probes: Vec::new(),
            aside: 0,
            ends: Ends::default(),
            queued: 0,
            refreshed: Time::default(),
            next_refresh: 0,
            served: 0,
            yielding_cpu_milli: 0,
        }
    }

    /// What is reserved on a worker, parts held for an all-at-once job included.
    pub fn reserved(&self, worker: WorkerKey) -> Resources {
        self.workers
            .get(worker)
            .map_or_else(Resources::default, |worker| worker.reserved)
    }

    /// Whether a worker is set aside on evidence.
    pub fn is_aside(&self, worker: WorkerKey) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|worker| worker.health.is_aside())
    }

    fn team_id(&mut self, name: &TeamName) -> TeamId {
        if let Some(&id) = self.team_ids.get(name) {
            return id;
        }
        let id = self.teams.len();
        self.teams.push(Team {
            limits: TeamLimits {
                weight: 1,
                quota: Resources::default(),
                max_queued: 0,
                balance_core_ms: 0,
            },
            known: false,
            queued: 0,
            held: Resources::default(),
            queues: Vec::new(),
            active: 0,
            committed_core_ms: 0,
            spent_core_ms: 0,
            more_balance: false,
            max_cpu_milli: None,
            unpaid: Vec::new(),
        });
        self.team_ids.insert(name.clone(), id);
        id
    }

    fn kind_id(&mut self, name: &KindName) -> KindId {
        if let Some(&id) = self.kind_ids.get(name) {
            return id;
        }
        let id = self.kinds.len();
        self.kinds.push(Kind {
            limits: KindLimits {
                max_queued: 0,
                max_attempts: 1,
            },
            known: false,
            queued: 0,
            placed: 0,
            held: Resources::default(),
            calm_held: 0.0,
            calm_s: 0.0,
            calm_at: Time::default(),
            starts: Rate::default(),
            sizes: LearnedSizes::default(),
            budget: RetryBudget::new(self.limits.retry_burst, self.limits.retry_budget_permille),
            ends: Ends::default(),
        });
        self.kind_ids.insert(name.clone(), id);
        id
    }

    fn queue_id(&mut self, team: TeamId, kind: KindId, urgency: Urgency) -> QueueId {
        if let Some(&id) = self.queue_ids.get(&(team, kind, urgency)) {
            return id;
        }
        let id = self.queues.len();
        self.queues.push(Queue::new(team, kind, urgency));
        self.queue_ids.insert((team, kind, urgency), id);
        self.teams[team].queues.push(id);
        id
    }
}

impl Policy for Scheduler {
    fn set_team(&mut self, team: &TeamName, limits: &TeamLimits, now: Time) {
        self.set_team_limits(team, limits, now);
    }

    fn add_balance(&mut self, team: &TeamName, part: &BalanceCredit, now: Time) {
        self.add_team_balance(team, part, now);
    }

    fn reclaim_balance(&mut self, team: &TeamName) -> u64 {
        self.take_back_team_balance(team)
    }

    fn spending(&self, now: Time) -> Vec<TeamSpending> {
        self.spending_of_teams(now)
    }

    fn set_kind(&mut self, kind: &KindName, limits: &KindLimits, _now: Time) {
        let id = self.kind_id(kind);
        self.kinds[id].limits = limits.clone();
        self.kinds[id].known = true;
    }

    fn add_worker(&mut self, info: &WorkerInfo, _now: Time) -> WorkerKey {
        self.insert_worker(info)
    }

    fn set_worker_capacity(&mut self, worker: WorkerKey, capacity: Resources, _now: Time) {
        self.change_worker_capacity(worker, capacity);
    }

    fn set_aside_workers(&self, _now: Time) -> Vec<SetAsideWorker> {
        self.workers_aside()
    }

    fn set_worker_state(&mut self, worker: WorkerKey, state: WorkerState, now: Time) {
        self.change_worker_state(worker, state, now);
    }

    fn submit(&mut self, spec: &JobSpec, now: Time) -> Result<JobKey, Refusal> {
        self.admit(spec, now)?;
        Ok(self.enqueue(spec, now))
    }

    fn submit_since(&mut self, spec: &JobSpec, since: Time, now: Time) -> Result<JobKey, Refusal> {
        self.admit(spec, now)?;
        Ok(self.enqueue_since(spec, since, now))
    }

    fn restore(&mut self, spec: &JobSpec, tasks: &[RestoredTask], now: Time) -> JobKey {
        self.take_over(spec, tasks, now)
    }

    fn decide(&mut self, now: Time, limit: usize, steps: &mut Vec<Action>) {
        self.run_timers(now);
        self.refresh_some(now);
        self.take_pending(steps);
        self.place_all(now, limit, steps);
        self.take_pending(steps);
    }

    fn attempt_ended(
        &mut self,
        job: JobKey,
        index: u32,
        _attempts: u32,
        end: AttemptEnd,
        now: Time,
    ) -> TaskDisposition {
        self.finish(job, index, end, now)
    }

    fn usage_reported(&mut self, job: JobKey, index: u32, usage: Resources, now: Time) {
        self.take_usage(job, index, usage, now);
    }

    fn cancel(&mut self, job: JobKey, now: Time) -> Vec<(u32, WorkerKey)> {
        self.cancel_job(job, now)
    }

    fn remove_job(&mut self, job: JobKey, now: Time) {
        self.forget_job(job, now);
    }

    fn waiting_for(&self, job: JobKey, now: Time) -> Option<String> {
        self.reason(job, now)
    }

    fn load(&self) -> Load {
        Load {
            queued: self.queued,
            placed: self.runs.len() as u64,
            free: self.index.total(),
        }
    }
}
