//! The speed of decisions on one core.

use std::hint::black_box;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use super::workload::team_name;
use crate::decide::scheduler::Scheduler;
use crate::decide::{Action, AttemptEnd, JobKey, KindLimits, Policy, TeamLimits, WorkerState};
use crate::model::{JobSpec, Lifetime, Outcome, Resources, Time, Urgency, WorkerInfo};

const KINDS: [(&str, Urgency); 3] = [
    ("preview", Urgency::Urgent),
    ("check", Urgency::Normal),
    ("compile", Urgency::Patient),
];
const WORKER: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};
/// The part of the capacity that the running tasks hold, in percent.
const FULL_PERCENT: u32 = 90;
/// Jobs that wait for each team, so that every decision chooses among all teams.
const BACKLOG_PER_TEAM: u32 = 4;
const PLACEMENTS: u64 = 200_000;
const MAX_NANOS: u64 = 10_000_000_000;
const ROUND_LIMIT: usize = 64;

/// How fast decisions are.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Workers.
    pub workers: u32,
    /// Tasks that run throughout.
    pub running: u32,
    /// Teams.
    pub teams: u32,
    /// Placements that were timed.
    pub placements: u64,
    /// Placements a second: each with the end of a task, a new job and a decision.
    pub placements_per_s: f64,
    /// The median time of one end, new job and decision, in microseconds.
    pub p50_us: f64,
    /// The 99th percentile of the same, in microseconds.
    pub p99_us: f64,
    /// The longest of the same, in microseconds.
    pub max_us: f64,
}

/// Times decisions with `running` tasks on `workers` for `teams`.
///
/// # Examples
///
/// ```
/// let report = chestnutlug::bench::decide::run_some(4, 40, 3, 100);
/// assert_eq!(report.placements, 100);
/// assert!(report.placements_per_s > 0.0);
/// ```
pub fn run_some(workers: u32, running: u32, teams: u32, placements: u64) -> Report {
    let mut bench = Bench::new(workers, running.max(1), teams.max(1));
    bench.fill(running.max(1));
    let mut nanos: Histogram<u64> =
        Histogram::new_with_max(MAX_NANOS, 3).expect("the bounds are valid");
    let mut total = Duration::ZERO;
    let mut placed = 0;
    while placed < placements {
        let job = bench.next_job();
        let (key, index) = bench.next_end();
        let start = Instant::now();
        let steps = bench.turn(&job, key, index);
        let taken = start.elapsed();
        total += taken;
        nanos.saturating_record(taken.as_nanos() as u64);
        placed += steps;
    }
    let us = |nanos: u64| nanos as f64 / 1_000.0;
    Report {
        workers,
        running,
        teams,
        placements: placed,
        placements_per_s: placed as f64 / total.as_secs_f64(),
        p50_us: us(nanos.value_at_quantile(0.5)),
        p99_us: us(nanos.value_at_quantile(0.99)),
        max_us: us(nanos.max()),
    }
}

/// Times 200,000 decisions.
pub fn run(workers: u32, running: u32, teams: u32) -> Report {
    run_some(workers, running, teams, PLACEMENTS)
}

struct Bench {
    policy: Scheduler,
    rng: SmallRng,
    unit_cpu_milli: u32,
    teams: u32,
    running: Vec<(JobKey, u32)>,
    steps: Vec<Action>,
    now_us: u64,
}

impl Bench {
    fn new(workers: u32, running: u32, teams: u32) -> Self {
        let now = Time::default();
        let mut policy = Scheduler::new(1);
        let limits = TeamLimits {
            weight: 1,
            quota: Resources {
                cpu_milli: u32::MAX,
                memory_mib: u32::MAX,
                accelerators: u32::MAX,
            },
            max_queued: 1_000_000,
            balance_core_ms: u64::MAX / 2,
        };
        for team in 0..teams {
            policy.set_team(&team_name(team).as_str().into(), &limits, now);
        }
        let limits = KindLimits {
            max_queued: 10_000_000,
            max_attempts: 3,
        };
        for (kind, _) in KINDS {
            policy.set_kind(&kind.into(), &limits, now);
        }
        for i in 0..workers {
            let info = WorkerInfo {
                name: format!("w{i}").as_str().into(),
                rack: format!("r{}", i / 8).as_str().into(),
                zone: format!("z{}", i / 8 % 16).as_str().into(),
                capacity: WORKER,
                address: ([127, 0, 0, 1], 1).into(),
            };
            let key = policy.add_worker(&info, now);
            policy.set_worker_state(key, WorkerState::Available, now);
        }
        let per_worker = running.div_ceil(workers.max(1));
        Self {
            policy,
            rng: SmallRng::seed_from_u64(1),
            unit_cpu_milli: WORKER.cpu_milli * FULL_PERCENT / 100 / per_worker,
            teams,
            running: Vec::new(),
            steps: Vec::new(),
            now_us: 0,
        }
    }

    /// A job whose size is, on average, the unit.
    fn next_job(&mut self) -> JobSpec {
        let (kind, urgency) = KINDS[self.rng.random_range(0..KINDS.len())];
        let percent = [25, 50, 75, 100, 125, 225][self.rng.random_range(0..6)];
        let cpu_milli = self.unit_cpu_milli * percent / 100;
        let per_core_mib = self.rng.random_range(1_024..=4_096);
        let team = self.rng.random_range(0..self.teams);
        JobSpec {
            team: team_name(team).as_str().into(),
            kind: kind.into(),
            urgency,
            lifetime: Lifetime::Batch,
            idempotent: true,
            all_at_once: false,
            tasks: 1,
            resources: Resources {
                cpu_milli,
                memory_mib: cpu_milli * per_core_mib / 1_000,
                accelerators: 0,
            },
            expected_ms: 60_000,
            payload: String::new(),
        }
    }

    fn fill(&mut self, running: u32) {
        while self.running.len() < running as usize {
            let job = self.next_job();
            self.submit(&job);
            if self.decide() == 0 {
                break;
            }
        }
        for _ in 0..self.teams * BACKLOG_PER_TEAM {
            let job = self.next_job();
            self.submit(&job);
        }
        self.decide();
    }

    fn submit(&mut self, job: &JobSpec) {
        let key = self.policy.submit(job, Time(self.now_us));
        black_box(key).expect("the bounds of the queues are out of reach");
    }

    fn next_end(&mut self) -> (JobKey, u32) {
        let nth = self.rng.random_range(0..self.running.len());
        self.running.swap_remove(nth)
    }

    /// Ends a task, submits a job and decides; returns how many tasks were placed.
    fn turn(&mut self, job: &JobSpec, key: JobKey, index: u32) -> u64 {
        self.now_us += 20;
        let end = AttemptEnd::Reported(Outcome::Succeeded);
        let now = Time(self.now_us);
        self.policy.attempt_ended(key, index, 1, end, now);
        self.policy.remove_job(key, now);
        self.submit(job);
        self.decide()
    }

    fn decide(&mut self) -> u64 {
        self.steps.clear();
        let now = Time(self.now_us);
        self.policy.decide(now, ROUND_LIMIT, &mut self.steps);
        let mut placed = 0;
        for step in &self.steps {
            if let Action::Place { job, index, .. } = *step {
                self.running.push((job, index));
                placed += 1;
            }
        }
        placed
    }
}
