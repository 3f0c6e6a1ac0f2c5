//! A driver in virtual time: feeds a policy with work and counts what comes of it.
//!
//! Workers are counters: there is no network and no process. A task runs for its true time;
//! reports of usage lag; a checkpoint takes time and keeps what was done.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::iter::Peekable;

use rustc_hash::FxHashMap;

use super::count::{Count, KindCount};
use super::running::{Event, SimJob, SimRun, SimWorker};
use super::workload::{Arrival, FLOOD_TEAM, KINDS, SERVICE, team_name};
use crate::decide::{
    Action, AttemptEnd, JobKey, KindLimits, Policy, TaskDisposition, TeamLimits, WorkerKey,
    WorkerState,
};
use crate::model::{Lifetime, Outcome, Resources, Time, Urgency, WorkerInfo};

/// How often the policy decides, in milliseconds.
const ROUND_MS: u64 = 50;
/// From a decision until the worker has started the task, in milliseconds.
const START_MS: u64 = 10;
/// How long a checkpoint or a stop takes, in milliseconds.
const YIELD_MS: u64 = 500;
/// How often a worker reports usage, in milliseconds.
const REPORT_MS: u64 = 5_000;
/// After how long a bad worker fails a task, in milliseconds.
const BAD_MS: u64 = 200;
/// The most work that one round places.
const ROUND_LIMIT: usize = 10_000;
const WORKER: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};
const WORKERS_PER_RACK: u32 = 8;
const ZONES: u32 = 3;
const KIND_MAX_QUEUED: u32 = 50_000;
const TEAM_MAX_QUEUED: u32 = 2_000;

/// The workers and what is measured.
#[derive(Clone, Copy, Debug)]
pub struct SimulationParams {
    /// Workers of 16 cores and 64 GiB.
    pub workers: u32,
    /// Teams.
    pub teams: u32,
    /// Every so many workers, one fails everything; 0 where none does.
    pub failing_worker_stride: u32,
    /// When measuring begins, in milliseconds.
    pub measure_from_ms: u64,
    /// When everything ends, in milliseconds.
    pub end_ms: u64,
}

/// Runs `arrivals` through `policy`.
///
/// # Examples
///
/// ```
/// use chestnutlug::bench::simulation::{SimulationParams, simulate};
/// use chestnutlug::bench::workload::{WorkloadParams, generate};
/// use chestnutlug::decide::fifo::Fifo;
///
/// let demand = WorkloadParams {
///     teams: 4,
///     cores: 160,
///     load_percent: 50,
///     until_ms: 60_000,
///     misdeclared: false,
///     seed: 1,
/// };
/// let setup = SimulationParams { workers: 10, teams: 4, failing_worker_stride: 0, measure_from_ms: 0, end_ms: 60_000 };
/// let count = simulate(&mut Fifo::default(), &mut generate(&demand, None), &setup);
/// assert_eq!(count.overcommitted, 0);
/// assert!(count.kinds["preview"].ended > 0);
/// ```
pub fn simulate(
    policy: &mut dyn Policy,
    arrivals: &mut dyn Iterator<Item = Arrival>,
    setup: &SimulationParams,
) -> Count {
    let mut sim = Sim::new(policy, arrivals, setup);
    for round in 0..=setup.end_ms / ROUND_MS {
        sim.now_ms = round * ROUND_MS;
        sim.take_arrivals();
        sim.take_events();
        sim.decide();
        sim.measure();
    }
    sim.count_waiting();
    sim.count
}

struct Sim<'a> {
    policy: &'a mut dyn Policy,
    arrivals: Peekable<&'a mut dyn Iterator<Item = Arrival>>,
    setup: &'a SimulationParams,
    now_ms: u64,
    version: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    workers: FxHashMap<WorkerKey, SimWorker>,
    jobs: FxHashMap<JobKey, SimJob>,
    runs: FxHashMap<(JobKey, u32), SimRun>,
    used: (u64, u64),
    steps: Vec<Action>,
    count: Count,
}

impl<'a> Sim<'a> {
    fn new(
        policy: &'a mut dyn Policy,
        arrivals: &'a mut dyn Iterator<Item = Arrival>,
        setup: &'a SimulationParams,
    ) -> Self {
        let names = KINDS.iter().map(|shape| shape.name).chain([SERVICE]);
        let kinds = names.map(|name| (name, KindCount::default())).collect();
        let mut sim = Self {
            policy,
            arrivals: arrivals.peekable(),
            setup,
            now_ms: 0,
            version: 0,
            events: BinaryHeap::new(),
            workers: FxHashMap::default(),
            jobs: FxHashMap::default(),
            runs: FxHashMap::default(),
            used: (0, 0),
            steps: Vec::new(),
            count: Count {
                kinds,
                ..Count::default()
            },
        };
        sim.set_up();
        sim
    }

    fn set_up(&mut self) {
        let now = Time::default();
        for team in 0..self.setup.teams {
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
        for &name in self.count.kinds.keys() {
            self.policy.set_kind(&name.into(), &limits, now);
        }
        for i in 0..self.setup.workers {
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
            capacity: WORKER,
            address: ([127, 0, 0, 1], 1).into(),
        };
        let key = self.policy.add_worker(&info, now);
        self.policy
            .set_worker_state(key, WorkerState::Available, now);
        let worker = SimWorker {
            bad: self.setup.failing_worker_stride > 0
                && i.is_multiple_of(self.setup.failing_worker_stride),
            counted: Resources::default(),
        };
        self.workers.insert(key, worker);
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn is_measured(&self, at_ms: u64) -> bool {
        (self.setup.measure_from_ms..self.setup.end_ms).contains(&at_ms)
    }

    fn take_arrivals(&mut self) {
        let now_ms = self.now_ms;
        while let Some(arrival) = self.arrivals.next_if(|arrival| arrival.at_ms <= now_ms) {
            self.submit(arrival);
        }
    }

    fn submit(&mut self, arrival: Arrival) {
        let kind = arrival.spec.kind.as_str();
        let (&kind, count) = self
            .count
            .kinds
            .iter_mut()
            .find(|(name, _)| **name == kind)
            .expect("arrivals are of known kinds");
        let submitted = self
            .policy
            .submit(&arrival.spec, Time::from_millis(self.now_ms));
        let Ok(key) = submitted else {
            if arrival.flood {
                self.count.flood_refused += 1;
            } else {
                count.refused += 1;
            }
            return;
        };
        let tasks = arrival.spec.tasks as usize;
        let jitter =
            |i: usize| arrival.actual_run_ms / 100 * (80 + (arrival.at_ms + i as u64 * 17) % 41);
        let job = SimJob {
            kind,
            left: arrival.spec.tasks,
            waits: vec![true; tasks],
            left_ms: (0..tasks).map(jitter).collect(),
            attempts: vec![0; tasks],
            arrival,
        };
        self.jobs.insert(key, job);
    }

    fn take_events(&mut self) {
        while let Some(&Reverse((at_ms, event))) = self.events.peek() {
            if at_ms > self.now_ms {
                return;
            }
            self.events.pop();
            match event {
                Event::End(job, index, version) => self.end(job, index, version),
                Event::Report(job, index, version) => self.report(job, index, version),
            }
        }
    }

    fn decide(&mut self) {
        let mut steps = std::mem::take(&mut self.steps);
        steps.clear();
        self.policy.decide(self.now(), ROUND_LIMIT, &mut steps);
        for step in &steps {
            match *step {
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
                Action::Checkpoint { job, index, .. } => self.give_way(job, index, true),
                Action::Stop { job, index, .. } => self.give_way(job, index, false),
            }
        }
        self.steps = steps;
    }

    fn start(&mut self, key: JobKey, index: u32, worker: WorkerKey, reserved: Resources) {
        self.version += 1;
        let job = self.jobs.get_mut(&key).expect("a placed job was submitted");
        job.attempts[index as usize] += 1;
        let need = job.arrival.actual_resources;
        if std::mem::take(&mut job.waits[index as usize]) {
            let wait_ms = self.now_ms + START_MS - job.arrival.at_ms;
            self.count_wait(key, wait_ms);
        }
        let here = self.workers.get_mut(&worker).expect("a known worker");
        here.counted = here.counted.plus(&reserved);
        if !here.counted.fits_in(&WORKER) {
            self.count.overcommitted += 1;
        }
        let left_ms = self.jobs[&key].left_ms[index as usize];
        let mut run = SimRun {
            version: self.version,
            worker,
            reserved,
            reported: Resources::default(),
            allowed: need,
            since_ms: self.now_ms + START_MS,
            left_ms,
            end: AttemptEnd::Reported(Outcome::Succeeded),
        };
        if self.workers[&worker].bad {
            run.left_ms = BAD_MS;
            run.end = AttemptEnd::Reported(Outcome::Failed);
        }
        self.used.0 += u64::from(need.cpu_milli);
        self.used.1 += u64::from(need.memory_mib);
        let (end_ms, version) = (run.since_ms + run.left_ms, run.version);
        let report_ms = run.since_ms + REPORT_MS;
        self.runs.insert((key, index), run);
        self.events
            .push(Reverse((end_ms, Event::End(key, index, version))));
        self.events
            .push(Reverse((report_ms, Event::Report(key, index, version))));
    }

    /// Counts a waiting time, unless it is the flood's or an urgent one of the team that floods.
    fn count_wait(&mut self, key: JobKey, wait_ms: u64) {
        let job = &self.jobs[&key];
        let arrival = &job.arrival;
        let other_team = arrival.spec.team.as_str() != team_name(FLOOD_TEAM);
        let counted = !arrival.flood && (other_team || arrival.spec.urgency != Urgency::Urgent);
        if counted && self.is_measured(arrival.at_ms) {
            let count = self.count.kinds.entry(job.kind).or_default();
            count.waiting_ms.saturating_record(wait_ms);
        }
    }

    fn need(&self, key: JobKey) -> Resources {
        self.jobs[&key].arrival.actual_resources
    }

    fn report(&mut self, key: JobKey, index: u32, version: u64) {
        let same = |run: &&mut SimRun| run.version == version;
        let Some(run) = self.runs.get_mut(&(key, index)).filter(same) else {
            return;
        };
        let usage = run.allowed;
        let larger = Resources::max(&run.reserved, &usage);
        let here = self.workers.get_mut(&run.worker).expect("a known worker");
        here.counted = here
            .counted
            .minus(&Resources::max(&run.reserved, &run.reported))
            .plus(&larger);
        run.reported = usage;
        let now = Time::from_millis(self.now_ms);
        self.policy.usage_reported(key, index, usage, now);
        let next_ms = self.now_ms + REPORT_MS;
        self.events
            .push(Reverse((next_ms, Event::Report(key, index, version))));
    }

    /// Holds a task to `allowed`: fewer processors make it run longer.
    fn throttle(&mut self, key: JobKey, index: u32, allowed: Resources) {
        let need = self.need(key);
        self.update_left(key, index);
        let Some(run) = self.runs.get_mut(&(key, index)) else {
            return;
        };
        run.allowed.cpu_milli = need.cpu_milli.min(allowed.cpu_milli.max(1));
        self.version += 1;
        run.version = self.version;
        let slower = u64::from(need.cpu_milli) * 100 / u64::from(run.allowed.cpu_milli);
        let end_ms = self.now_ms + run.left_ms.saturating_mul(slower) / 100;
        let report_ms = self.now_ms + REPORT_MS;
        let version = run.version;
        self.events
            .push(Reverse((end_ms, Event::End(key, index, version))));
        self.events
            .push(Reverse((report_ms, Event::Report(key, index, version))));
    }

    /// Works out what a run still has to do.
    fn update_left(&mut self, key: JobKey, index: u32) {
        let need = self.need(key);
        let Some(run) = self.runs.get_mut(&(key, index)) else {
            return;
        };
        let passed_ms = self.now_ms.saturating_sub(run.since_ms);
        let speed = u64::from(run.allowed.cpu_milli) * 100 / u64::from(need.cpu_milli.max(1));
        run.left_ms = run.left_ms.saturating_sub(passed_ms * speed / 100);
        run.since_ms = self.now_ms.max(run.since_ms);
    }

    fn give_way(&mut self, key: JobKey, index: u32, keeps: bool) {
        self.update_left(key, index);
        let Some(run) = self.runs.get_mut(&(key, index)) else {
            return;
        };
        if run.end == AttemptEnd::Reported(Outcome::Cancelled) {
            return;
        }
        self.count.preempted += 1;
        if keeps && let Some(job) = self.jobs.get_mut(&key) {
            job.left_ms[index as usize] = run.left_ms;
        }
        self.version += 1;
        run.version = self.version;
        run.end = AttemptEnd::Reported(Outcome::Cancelled);
        let (end_ms, version) = (self.now_ms + YIELD_MS, run.version);
        self.events
            .push(Reverse((end_ms, Event::End(key, index, version))));
    }

    fn end(&mut self, key: JobKey, index: u32, version: u64) {
        let same = |run: &SimRun| run.version == version;
        if !self.runs.get(&(key, index)).is_some_and(same) {
            return;
        }
        let run = self.runs.remove(&(key, index)).expect("the run was found");
        let here = self.workers.get_mut(&run.worker).expect("a known worker");
        here.counted = here
            .counted
            .minus(&Resources::max(&run.reserved, &run.reported));
        let need = self.need(key);
        self.used.0 -= u64::from(need.cpu_milli);
        self.used.1 -= u64::from(need.memory_mib);
        let attempts = self.jobs[&key].attempts[index as usize];
        let now = self.now();
        let after = self
            .policy
            .attempt_ended(key, index, attempts, run.end, now);
        if run.end == AttemptEnd::Reported(Outcome::Succeeded) {
            self.count_useful(key);
        }
        if let TaskDisposition::Ended(_) = after {
            self.end_task(key);
        }
    }

    fn count_useful(&mut self, key: JobKey) {
        let job = &self.jobs[&key];
        let arrival = &job.arrival;
        if !self.is_measured(self.now_ms) {
            return;
        }
        let cores_milli = u64::from(arrival.actual_resources.cpu_milli);
        let core_ms = arrival.actual_run_ms.saturating_mul(cores_milli) / 1_000;
        if arrival.flood {
            self.count.flood_core_ms += core_ms;
            return;
        }
        let count = self.count.kinds.entry(job.kind).or_default();
        count.ended += 1;
        count.useful_core_ms += core_ms;
    }

    fn end_task(&mut self, key: JobKey) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.left -= 1;
        if job.left == 0 {
            self.jobs.remove(&key);
            self.policy.remove_job(key, now);
        }
    }

    fn measure(&mut self) {
        if !self.is_measured(self.now_ms) {
            return;
        }
        let workers = f64::from(self.setup.workers);
        let cpu = self.used.0 as f64 / (workers * f64::from(WORKER.cpu_milli));
        let memory = self.used.1 as f64 / (workers * f64::from(WORKER.memory_mib));
        self.count.used += cpu.max(memory);
        self.count.rounds += 1;
    }

    /// Counts what still waits at the end with the time that it has waited so far.
    fn count_waiting(&mut self) {
        let keys: Vec<_> = self.jobs.keys().copied().collect();
        for key in keys {
            let job = &self.jobs[&key];
            if job.arrival.spec.lifetime == Lifetime::Service {
                continue;
            }
            let wait_ms = self.now_ms.saturating_sub(job.arrival.at_ms);
            let waiting = job.waits.iter().filter(|&&waits| waits).count();
            for _ in 0..waiting {
                self.count_wait(key, wait_ms);
            }
        }
    }
}
