//! The scheduling policy of a shard: fair queues, best-fit placement, gangs, preemption and
//! balances.

mod cancel;
mod charge;
mod claim;
mod config;
mod finish;
mod gang;
mod intake;
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

pub use self::config::SchedulerConfig;

use self::claim::Claim;
use self::gang::GangHold;
use self::state::{
    Attempt, Job, Kind, KindId, OrderKey, OutcomeCounts, Queue, QueueId, Team, TeamId, Worker,
};
use self::timers::Timer;
use super::backoff::RetryBudget;
use super::index::FreeCapacityIndex;
use super::rate::EventRate;
use super::usage::UsageEstimator;
use super::{
    Action, AttemptEnd, BalanceCredit, JobKey, KindLimits, Load, Policy, RestoredTask,
    SetAsideWorker, TaskDisposition, TeamLimits, TeamSpending, WorkerKey, WorkerState,
};
use crate::error::Refusal;
use crate::model::{
    JobSpec, KindName, RackName, Resources, TeamName, Time, Urgency, WorkerInfo, ZoneName,
};

/// The scheduling policy of a shard.
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
/// let mut actions = Vec::new();
/// policy.decide(now, 100, &mut actions);
/// assert!(matches!(actions[..], [Action::Place { .. }, Action::Place { .. }]));
///
/// let refusal = policy.submit(&JobSpec { resources: cores(17), ..spec }, now).unwrap_err();
/// assert_eq!(refusal.code, "never_fits");
/// ```
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    rng: SmallRng,
    teams: Vec<Team>,
    team_ids: FxHashMap<TeamName, TeamId>,
    kinds: Vec<Kind>,
    kind_ids: FxHashMap<KindName, KindId>,
    queues: Vec<Queue>,
    queue_ids: FxHashMap<(TeamId, KindId, Urgency), QueueId>,
    workers: SlotMap<WorkerKey, Worker>,
    rack_ids: FxHashMap<RackName, u32>,
    zone_ids: FxHashMap<ZoneName, u32>,
    free_capacity: FreeCapacityIndex,
    /// Total capacity of the available workers.
    capacity: Resources,
    /// Number of workers per capacity, draining workers excluded.
    workers_by_capacity: BTreeMap<Resources, u32>,
    jobs: SlotMap<JobKey, Job>,
    attempts: Slab<Attempt>,
    queue_order: BTreeSet<OrderKey>,
    /// Number of queues whose head needs this many millicores per task.
    heads_by_cpu_milli: BTreeMap<u32, u32>,
    active_weight: u64,
    active_urgent_queues: u64,
    last_urgent_submit: Option<Time>,
    /// Processors that urgent tasks hold, in millicores.
    urgent_cpu_milli: u64,
    urgent_placed: u64,
    /// Decayed average of `urgent_cpu_milli`.
    urgent_mean_cpu_milli: f64,
    urgent_averaged_at: Time,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// Actions decided on between two calls of `decide`.
    pending_actions: Vec<Action>,
    claims: Vec<Claim>,
    /// Processors that claims wait for, in millicores.
    claimed_cpu_milli: u64,
    gang_hold: Option<GangHold>,
    gang_cooldowns: FxHashMap<QueueId, Time>,
    /// Workers that are set aside and whose probe is due.
    due_probes: Vec<WorkerKey>,
    set_aside_count: u32,
    outcomes: OutcomeCounts,
    queued: u64,
    last_refresh: Time,
    next_refresh: QueueId,
    placement_count: u64,
    ending_cpu_milli: u64,
}

impl Scheduler {
    /// Creates a scheduler with the default configuration; `seed` seeds the jitter of backoffs.
    pub fn new(seed: u64) -> Self {
        Self::with_config(seed, SchedulerConfig::default())
    }

    /// Creates a scheduler.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::decide::{Policy, scheduler::{Scheduler, SchedulerConfig}};
    ///
    /// let config = SchedulerConfig { max_scan: 64, ..SchedulerConfig::default() };
    /// assert_eq!(Scheduler::with_config(1, config).load().placed, 0);
    /// ```
    pub fn with_config(seed: u64, config: SchedulerConfig) -> Self {
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            teams: Vec::new(),
            team_ids: FxHashMap::default(),
            kinds: Vec::new(),
            kind_ids: FxHashMap::default(),
            queues: Vec::new(),
            queue_ids: FxHashMap::default(),
            workers: SlotMap::default(),
            rack_ids: FxHashMap::default(),
            zone_ids: FxHashMap::default(),
            free_capacity: FreeCapacityIndex::default(),
            capacity: Resources::default(),
            workers_by_capacity: BTreeMap::new(),
            jobs: SlotMap::default(),
            attempts: Slab::new(),
            queue_order: BTreeSet::new(),
            heads_by_cpu_milli: BTreeMap::new(),
            active_weight: 0,
            active_urgent_queues: 0,
            last_urgent_submit: None,
            urgent_cpu_milli: 0,
            urgent_placed: 0,
            urgent_mean_cpu_milli: 0.0,
            urgent_averaged_at: Time::default(),
            timers: BinaryHeap::new(),
            pending_actions: Vec::new(),
            claims: Vec::new(),
            claimed_cpu_milli: 0,
            gang_hold: None,
            gang_cooldowns: FxHashMap::default(),
            due_probes: Vec::new(),
            set_aside_count: 0,
            outcomes: OutcomeCounts::default(),
            queued: 0,
            last_refresh: Time::default(),
            next_refresh: 0,
            placement_count: 0,
            ending_cpu_milli: 0,
        }
    }

    /// Returns the reserved resources of a worker, including those held for a gang.
    pub fn reserved(&self, worker: WorkerKey) -> Resources {
        self.workers
            .get(worker)
            .map_or_else(Resources::default, |worker| worker.reserved)
    }

    /// Returns whether a worker is set aside.
    pub fn is_set_aside(&self, worker: WorkerKey) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|worker| worker.health.is_set_aside())
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
            is_configured: false,
            queued: 0,
            held: Resources::default(),
            queues: Vec::new(),
            active_queues: 0,
            prepaid_core_ms: 0,
            spent_core_ms: 0,
            more_available: false,
            max_cpu_milli: None,
            unpaid_attempts: Vec::new(),
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
            is_configured: false,
            queued: 0,
            placed: 0,
            held: Resources::default(),
            history_share_s: 0.0,
            history_s: 0.0,
            history_at: Time::default(),
            start_rate: EventRate::default(),
            usage_estimator: UsageEstimator::default(),
            retry_budget: RetryBudget::new(
                self.config.retry_burst,
                self.config.retry_budget_permille,
            ),
            outcomes: OutcomeCounts::default(),
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

    fn add_balance(&mut self, team: &TeamName, credit: &BalanceCredit, now: Time) {
        self.add_team_credit(team, credit, now);
    }

    fn reclaim_balance(&mut self, team: &TeamName) -> u64 {
        self.reclaim_team_balance(team)
    }

    fn spending(&self, now: Time) -> Vec<TeamSpending> {
        self.spending_of_teams(now)
    }

    fn set_kind(&mut self, kind: &KindName, limits: &KindLimits, _now: Time) {
        let id = self.kind_id(kind);
        self.kinds[id].limits = limits.clone();
        self.kinds[id].is_configured = true;
    }

    fn add_worker(&mut self, info: &WorkerInfo, _now: Time) -> WorkerKey {
        self.insert_worker(info)
    }

    fn set_worker_capacity(&mut self, worker: WorkerKey, capacity: Resources, _now: Time) {
        self.change_worker_capacity(worker, capacity);
    }

    fn set_aside_workers(&self, _now: Time) -> Vec<SetAsideWorker> {
        self.list_set_aside()
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
        self.restore_job(spec, tasks, now)
    }

    fn decide(&mut self, now: Time, limit: usize, actions: &mut Vec<Action>) {
        self.run_timers(now);
        self.refresh_queues(now);
        self.take_pending_actions(actions);
        self.place_all(now, limit, actions);
        self.take_pending_actions(actions);
    }

    fn attempt_ended(
        &mut self,
        job: JobKey,
        index: u32,
        _attempts: u32,
        end: AttemptEnd,
        now: Time,
    ) -> TaskDisposition {
        self.finish_attempt(job, index, end, now)
    }

    fn usage_reported(&mut self, job: JobKey, index: u32, usage: Resources, now: Time) {
        self.record_usage(job, index, usage, now);
    }

    fn cancel(&mut self, job: JobKey, now: Time) -> Vec<(u32, WorkerKey)> {
        self.cancel_job(job, now)
    }

    fn remove_job(&mut self, job: JobKey, now: Time) {
        self.remove_ended_job(job, now);
    }

    fn waiting_for(&self, job: JobKey, now: Time) -> Option<String> {
        self.wait_reason(job, now)
    }

    fn load(&self) -> Load {
        Load {
            queued: self.queued,
            placed: self.attempts.len() as u64,
            free: self.free_capacity.total(),
        }
    }
}
