//! Simulation of a policy in virtual time, without a network and without worker processes.
//!
//! A task runs for its actual run time, whatever was declared. Usage is reported with a delay. A
//! checkpoint takes time and keeps the progress of the task.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::iter::Peekable;

use rustc_hash::FxHashMap;

use super::counts::{KindCounts, SimulationCounts};
use super::simulation_state::{SimAttempt, SimEvent, SimJob, SimWorker};
use super::workload::{Arrival, FLOOD_TEAM, KINDS, SERVICE_KIND, team_name};
use crate::decide::{
    Action, AttemptEnd, JobKey, KindLimits, Policy, TaskDisposition, TeamLimits, WorkerKey,
    WorkerState,
};
use crate::model::{Lifetime, Outcome, Resources, Time, Urgency, WorkerInfo};

/// Interval between decisions of the policy, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 50;
/// Time from a placement to the start of the task on the worker, in milliseconds.
const START_LATENCY_MS: u64 = 10;
/// Duration of a checkpoint or a stop, in milliseconds.
const PREEMPTION_MS: u64 = 500;
/// Interval between usage reports of a worker, in milliseconds.
const USAGE_REPORT_INTERVAL_MS: u64 = 5_000;
/// Time after which a failing worker fails a task, in milliseconds.
const FAILURE_DELAY_MS: u64 = 200;
const MAX_PLACEMENTS_PER_ROUND: usize = 10_000;
const WORKER_CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};
const WORKERS_PER_RACK: u32 = 8;
const ZONES: u32 = 3;
const KIND_MAX_QUEUED: u32 = 50_000;
const TEAM_MAX_QUEUED: u32 = 2_000;

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationParams {
    /// Number of workers, each with 16 cores and 64 GiB.
    pub workers: u32,
    /// Number of teams.
    pub teams: u32,
    /// One in this many workers fails all tasks; 0 for none.
    pub failing_worker_stride: u32,
    /// Start of the measured period, in milliseconds.
    pub measure_from_ms: u64,
    /// End of the measured period and of the simulation, in milliseconds.
    pub end_ms: u64,
}

/// Simulates `policy` with the jobs of `arrivals`.
///
/// # Examples
///
/// ```
/// use chestnutlug::bench::simulation::{SimulationParams, simulate};
/// use chestnutlug::bench::workload::{WorkloadParams, generate};
/// use chestnutlug::decide::fifo::Fifo;
///
/// let workload = WorkloadParams {
///     teams: 4,
///     cores: 160,
///     load_percent: 50,
///     until_ms: 60_000,
///     misdeclared: false,
///     seed: 1,
/// };
/// let params = SimulationParams {
///     workers: 10,
///     teams: 4,
///     failing_worker_stride: 0,
///     measure_from_ms: 0,
///     end_ms: 60_000,
/// };
/// let counts = simulate(&mut Fifo::default(), &mut generate(&workload, None), &params);
/// assert_eq!(counts.overcommitted, 0);
/// assert!(counts.kinds["preview"].succeeded > 0);
/// ```
pub fn simulate(
    policy: &mut dyn Policy,
    arrivals: &mut dyn Iterator<Item = Arrival>,
    params: &SimulationParams,
) -> SimulationCounts {
    let mut simulation = Simulation::new(policy, arrivals, params);
    for round in 0..=params.end_ms / ROUND_INTERVAL_MS {
        simulation.now_ms = round * ROUND_INTERVAL_MS;
        simulation.submit_arrivals();
        simulation.handle_events();
        simulation.decide();
        simulation.record_utilization();
    }
    simulation.record_open_waits();
    simulation.counts
}

struct Simulation<'a> {
    policy: &'a mut dyn Policy,
    arrivals: Peekable<&'a mut dyn Iterator<Item = Arrival>>,
    params: &'a SimulationParams,
    now_ms: u64,
    /// Version of the most recently scheduled events.
    event_version: u64,
    events: BinaryHeap<Reverse<(u64, SimEvent)>>,
    workers: FxHashMap<WorkerKey, SimWorker>,
    jobs: FxHashMap<JobKey, SimJob>,
    attempts: FxHashMap<(JobKey, u32), SimAttempt>,
    /// Actual use of all running tasks: processors in thousandths of a core, and memory in MiB.
    used: (u64, u64),
    actions: Vec<Action>,
    counts: SimulationCounts,
}

impl<'a> Simulation<'a> {
    fn new(
        policy: &'a mut dyn Policy,
        arrivals: &'a mut dyn Iterator<Item = Arrival>,
        params: &'a SimulationParams,
    ) -> Self {
        let kind_names = KINDS
            .iter()
            .map(|profile| profile.name)
            .chain([SERVICE_KIND]);
        let kinds = kind_names
            .map(|name| (name, KindCounts::default()))
            .collect();
        let mut simulation = Self {
            policy,
            arrivals: arrivals.peekable(),
            params,
            now_ms: 0,
            event_version: 0,
            events: BinaryHeap::new(),
            workers: FxHashMap::default(),
            jobs: FxHashMap::default(),
            attempts: FxHashMap::default(),
            used: (0, 0),
            actions: Vec::new(),
            counts: SimulationCounts {
                kinds,
                ..SimulationCounts::default()
            },
        };
        simulation.configure_policy();
        simulation
    }

    fn configure_policy(&mut self) {
        let now = Time::default();
        for team in 0..self.params.teams {
            let limits = TeamLimits {
                weight: 1,
                quota: Resources {
                    cpu_milli: u32::MAX,
                    memory_mib: u32::MAX,
                    accelerators: u32::MAX,
                },
                max_queued: TEAM_MAX_QUEUED,
                balance_core_ms: u64::MAX / 2,
            };
            let name = team_name(team);
            self.policy.set_team(&name.as_str().into(), &limits, now);
        }
        let limits = KindLimits {
            max_queued: KIND_MAX_QUEUED,
            max_attempts: 10,
        };
        for &name in self.counts.kinds.keys() {
            self.policy.set_kind(&name.into(), &limits, now);
        }
        for i in 0..self.params.workers {
            self.add_worker(i);
        }
    }

    fn add_worker(&mut self, i: u32) {
        let now = Time::default();
        let rack = i / WORKERS_PER_RACK;
        let info = WorkerInfo {
            name: format!("w{i}").as_str().into(),
            rack: format!("r{rack}").as_str().into(),
            zone: format!("z{}", rack % ZONES).as_str().into(),
            capacity: WORKER_CAPACITY,
            address: ([127, 0, 0, 1], 1).into(),
        };
        let key = self.policy.add_worker(&info, now);
        self.policy
            .set_worker_state(key, WorkerState::Available, now);
        let worker = SimWorker {
            failing: self.params.failing_worker_stride > 0
                && i.is_multiple_of(self.params.failing_worker_stride),
            allocated: Resources::default(),
        };
        self.workers.insert(key, worker);
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn is_measured(&self, at_ms: u64) -> bool {
        (self.params.measure_from_ms..self.params.end_ms).contains(&at_ms)
    }

    fn submit_arrivals(&mut self) {
        let now_ms = self.now_ms;
        while let Some(arrival) = self.arrivals.next_if(|arrival| arrival.at_ms <= now_ms) {
            self.submit(arrival);
        }
    }

    fn submit(&mut self, arrival: Arrival) {
        let kind = arrival.spec.kind.as_str();
        let (&kind, counts) = self
            .counts
            .kinds
            .iter_mut()
            .find(|(name, _)| **name == kind)
            .expect("all arrivals are of configured kinds");
        let submitted = self
            .policy
            .submit(&arrival.spec, Time::from_millis(self.now_ms));
        let Ok(key) = submitted else {
            if arrival.flood {
                self.counts.flood_refused += 1;
            } else {
                counts.refused += 1;
            }
            return;
        };
        let tasks = arrival.spec.tasks as usize;
        let task_run_ms =
            |i: usize| arrival.actual_run_ms / 100 * (80 + (arrival.at_ms + i as u64 * 17) % 41);
        let job = SimJob {
            kind,
            remaining_tasks: arrival.spec.tasks,
            never_started: vec![true; tasks],
            remaining_ms: (0..tasks).map(task_run_ms).collect(),
            attempt_counts: vec![0; tasks],
            arrival,
        };
        self.jobs.insert(key, job);
    }

    fn handle_events(&mut self) {
        while let Some(&Reverse((at_ms, event))) = self.events.peek() {
            if at_ms > self.now_ms {
                return;
            }
            self.events.pop();
            match event {
                SimEvent::End(job, index, version) => self.end_attempt(job, index, version),
                SimEvent::Report(job, index, version) => self.report_usage(job, index, version),
            }
        }
    }

    fn decide(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.policy
            .decide(self.now(), MAX_PLACEMENTS_PER_ROUND, &mut actions);
        for action in &actions {
            match *action {
                Action::Place {
                    job,
                    index,
                    worker,
                    reserved,
                } => self.start(job, index, worker, reserved),
                Action::Throttle {
                    job,
                    index,
                    allowed,
                    ..
                } => self.throttle(job, index, allowed),
                Action::Checkpoint { job, index, .. } => self.preempt(job, index, true),
                Action::Stop { job, index, .. } => self.preempt(job, index, false),
            }
        }
        self.actions = actions;
    }

    fn start(&mut self, key: JobKey, index: u32, worker: WorkerKey, reserved: Resources) {
        self.event_version += 1;
        let job = self
            .jobs
            .get_mut(&key)
            .expect("only submitted jobs are placed");
        job.attempt_counts[index as usize] += 1;
        let actual_resources = job.arrival.actual_resources;
        if std::mem::take(&mut job.never_started[index as usize]) {
            let waiting_ms = self.now_ms + START_LATENCY_MS - job.arrival.at_ms;
            self.record_wait(key, waiting_ms);
        }
        let host = self
            .workers
            .get_mut(&worker)
            .expect("attempts run on added workers");
        host.allocated = host.allocated.plus(&reserved);
        if !host.allocated.fits_in(&WORKER_CAPACITY) {
            self.counts.overcommitted += 1;
        }
        let remaining_ms = self.jobs[&key].remaining_ms[index as usize];
        let mut attempt = SimAttempt {
            event_version: self.event_version,
            worker,
            reserved,
            reported: Resources::default(),
            allowed: actual_resources,
            updated_ms: self.now_ms + START_LATENCY_MS,
            remaining_ms,
            end: AttemptEnd::Reported(Outcome::Succeeded),
        };
        if self.workers[&worker].failing {
            attempt.remaining_ms = FAILURE_DELAY_MS;
            attempt.end = AttemptEnd::Reported(Outcome::Failed);
        }
        self.used.0 += u64::from(actual_resources.cpu_milli);
        self.used.1 += u64::from(actual_resources.memory_mib);
        let (end_ms, event_version) = (
            attempt.updated_ms + attempt.remaining_ms,
            attempt.event_version,
        );
        let report_ms = attempt.updated_ms + USAGE_REPORT_INTERVAL_MS;
        self.attempts.insert((key, index), attempt);
        self.events
            .push(Reverse((end_ms, SimEvent::End(key, index, event_version))));
        self.events.push(Reverse((
            report_ms,
            SimEvent::Report(key, index, event_version),
        )));
    }

    /// Records a waiting time, except those of the flood and of urgent jobs of the flooding team.
    fn record_wait(&mut self, key: JobKey, waiting_ms: u64) {
        let job = &self.jobs[&key];
        let arrival = &job.arrival;
        let other_team = arrival.spec.team.as_str() != team_name(FLOOD_TEAM);
        let is_counted = !arrival.flood && (other_team || arrival.spec.urgency != Urgency::Urgent);
        if is_counted && self.is_measured(arrival.at_ms) {
            let counts = self.counts.kinds.entry(job.kind).or_default();
            counts.waiting_ms.saturating_record(waiting_ms);
        }
    }

    fn actual_resources(&self, key: JobKey) -> Resources {
        self.jobs[&key].arrival.actual_resources
    }

    fn report_usage(&mut self, key: JobKey, index: u32, event_version: u64) {
        let is_current = |attempt: &&mut SimAttempt| attempt.event_version == event_version;
        let Some(attempt) = self.attempts.get_mut(&(key, index)).filter(is_current) else {
            return;
        };
        let usage = attempt.allowed;
        let larger = Resources::max(&attempt.reserved, &usage);
        let host = self
            .workers
            .get_mut(&attempt.worker)
            .expect("attempts run on added workers");
        host.allocated = host
            .allocated
            .minus(&Resources::max(&attempt.reserved, &attempt.reported))
            .plus(&larger);
        attempt.reported = usage;
        let now = Time::from_millis(self.now_ms);
        self.policy.usage_reported(key, index, usage, now);
        let next_ms = self.now_ms + USAGE_REPORT_INTERVAL_MS;
        self.events.push(Reverse((
            next_ms,
            SimEvent::Report(key, index, event_version),
        )));
    }

    /// Limits a task to `allowed`; with fewer processors it runs longer.
    fn throttle(&mut self, key: JobKey, index: u32, allowed: Resources) {
        let actual_resources = self.actual_resources(key);
        self.update_remaining(key, index);
        let Some(attempt) = self.attempts.get_mut(&(key, index)) else {
            return;
        };
        attempt.allowed.cpu_milli = actual_resources.cpu_milli.min(allowed.cpu_milli.max(1));
        self.event_version += 1;
        attempt.event_version = self.event_version;
        let slowdown_percent =
            u64::from(actual_resources.cpu_milli) * 100 / u64::from(attempt.allowed.cpu_milli);
        let end_ms = self.now_ms + attempt.remaining_ms.saturating_mul(slowdown_percent) / 100;
        let report_ms = self.now_ms + USAGE_REPORT_INTERVAL_MS;
        let event_version = attempt.event_version;
        self.events
            .push(Reverse((end_ms, SimEvent::End(key, index, event_version))));
        self.events.push(Reverse((
            report_ms,
            SimEvent::Report(key, index, event_version),
        )));
    }

    /// Updates the remaining run time of an attempt.
    fn update_remaining(&mut self, key: JobKey, index: u32) {
        let actual_resources = self.actual_resources(key);
        let Some(attempt) = self.attempts.get_mut(&(key, index)) else {
            return;
        };
        let elapsed_ms = self.now_ms.saturating_sub(attempt.updated_ms);
        let speed_percent = u64::from(attempt.allowed.cpu_milli) * 100
            / u64::from(actual_resources.cpu_milli.max(1));
        attempt.remaining_ms = attempt
            .remaining_ms
            .saturating_sub(elapsed_ms * speed_percent / 100);
        attempt.updated_ms = self.now_ms.max(attempt.updated_ms);
    }

    fn preempt(&mut self, key: JobKey, index: u32, keep_progress: bool) {
        self.update_remaining(key, index);
        let Some(attempt) = self.attempts.get_mut(&(key, index)) else {
            return;
        };
        if attempt.end == AttemptEnd::Reported(Outcome::Cancelled) {
            return;
        }
        self.counts.preempted += 1;
        if keep_progress && let Some(job) = self.jobs.get_mut(&key) {
            job.remaining_ms[index as usize] = attempt.remaining_ms;
        }
        self.event_version += 1;
        attempt.event_version = self.event_version;
        attempt.end = AttemptEnd::Reported(Outcome::Cancelled);
        let (end_ms, event_version) = (self.now_ms + PREEMPTION_MS, attempt.event_version);
        self.events
            .push(Reverse((end_ms, SimEvent::End(key, index, event_version))));
    }

    fn end_attempt(&mut self, key: JobKey, index: u32, event_version: u64) {
        let is_current = |attempt: &SimAttempt| attempt.event_version == event_version;
        if !self.attempts.get(&(key, index)).is_some_and(is_current) {
            return;
        }
        let attempt = self
            .attempts
            .remove(&(key, index))
            .expect("the attempt was just found");
        let host = self
            .workers
            .get_mut(&attempt.worker)
            .expect("attempts run on added workers");
        host.allocated = host
            .allocated
            .minus(&Resources::max(&attempt.reserved, &attempt.reported));
        let actual_resources = self.actual_resources(key);
        self.used.0 -= u64::from(actual_resources.cpu_milli);
        self.used.1 -= u64::from(actual_resources.memory_mib);
        let attempts = self.jobs[&key].attempt_counts[index as usize];
        let now = self.now();
        let disposition = self
            .policy
            .attempt_ended(key, index, attempts, attempt.end, now);
        if attempt.end == AttemptEnd::Reported(Outcome::Succeeded) {
            self.count_useful_work(key);
        }
        if let TaskDisposition::Ended(_) = disposition {
            self.end_task(key);
        }
    }

    fn count_useful_work(&mut self, key: JobKey) {
        let job = &self.jobs[&key];
        let arrival = &job.arrival;
        if !self.is_measured(self.now_ms) {
            return;
        }
        let cores_milli = u64::from(arrival.actual_resources.cpu_milli);
        let core_ms = arrival.actual_run_ms.saturating_mul(cores_milli) / 1_000;
        if arrival.flood {
            self.counts.flood_core_ms += core_ms;
            return;
        }
        let counts = self.counts.kinds.entry(job.kind).or_default();
        counts.succeeded += 1;
        counts.useful_core_ms += core_ms;
    }

    fn end_task(&mut self, key: JobKey) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.remaining_tasks -= 1;
        if job.remaining_tasks == 0 {
            self.jobs.remove(&key);
            self.policy.remove_job(key, now);
        }
    }

    fn record_utilization(&mut self) {
        if !self.is_measured(self.now_ms) {
            return;
        }
        let workers = f64::from(self.params.workers);
        let cpu = self.used.0 as f64 / (workers * f64::from(WORKER_CAPACITY.cpu_milli));
        let memory = self.used.1 as f64 / (workers * f64::from(WORKER_CAPACITY.memory_mib));
        self.counts.used_share_sum += cpu.max(memory);
        self.counts.measured_rounds += 1;
    }

    /// Records the waiting times so far of tasks that were never started.
    fn record_open_waits(&mut self) {
        let keys: Vec<_> = self.jobs.keys().copied().collect();
        for key in keys {
            let job = &self.jobs[&key];
            if job.arrival.spec.lifetime == Lifetime::Service {
                continue;
            }
            let waiting_ms = self.now_ms.saturating_sub(job.arrival.at_ms);
            let waiting = job
                .never_started
                .iter()
                .filter(|&&never_started| never_started)
                .count();
            for _ in 0..waiting {
                self.record_wait(key, waiting_ms);
            }
        }
    }
}
