//! Benchmark of the speed of scheduling decisions on one core.

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
const WORKER_CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};
/// Share of the capacity that the running tasks use, in percent.
const BUSY_PERCENT: u32 = 90;
/// Number of waiting jobs per team, so that each decision chooses among all teams.
const BACKLOG_PER_TEAM: u32 = 4;
const DEFAULT_PLACEMENTS: u64 = 200_000;
const MAX_DURATION_NS: u64 = 10_000_000_000;
const MAX_PLACEMENTS_PER_DECISION: usize = 64;

/// Results of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of workers.
    pub workers: u32,
    /// Number of tasks that run throughout.
    pub running: u32,
    /// Number of teams.
    pub teams: u32,
    /// Number of timed placements.
    pub placements: u64,
    /// Placements per second, each with the end of a task, a new job and a decision.
    pub placements_per_s: f64,
    /// Median duration of one end of a task, new job and decision, in microseconds.
    pub p50_us: f64,
    /// 99th percentile of this duration, in microseconds.
    pub p99_us: f64,
    /// Maximum of this duration, in microseconds.
    pub max_us: f64,
}

/// Times `placements` placements with `running` tasks on `workers` workers and `teams` teams.
///
/// # Examples
///
/// ```
/// let report = chestnutlug::bench::decide::run_placements(4, 40, 3, 100);
/// assert_eq!(report.placements, 100);
/// assert!(report.placements_per_s > 0.0);
/// ```
pub fn run_placements(workers: u32, running: u32, teams: u32, placements: u64) -> Report {
    let mut bench = DecisionBench::new(workers, running.max(1), teams.max(1));
    bench.fill(running.max(1));
    let mut duration_ns: Histogram<u64> =
        Histogram::new_with_max(MAX_DURATION_NS, 3).expect("the bounds of the histogram are valid");
    let mut total = Duration::ZERO;
    let mut placed = 0;
    while placed < placements {
        let job = bench.next_job();
        let (key, index) = bench.remove_running_task();
        let start = Instant::now();
        let newly_placed = bench.replace_task(&job, key, index);
        let duration = start.elapsed();
        total += duration;
        duration_ns.saturating_record(duration.as_nanos() as u64);
        placed += newly_placed;
    }
    let us = |duration_ns: u64| duration_ns as f64 / 1_000.0;
    Report {
        workers,
        running,
        teams,
        placements: placed,
        placements_per_s: placed as f64 / total.as_secs_f64(),
        p50_us: us(duration_ns.value_at_quantile(0.5)),
        p99_us: us(duration_ns.value_at_quantile(0.99)),
        max_us: us(duration_ns.max()),
    }
}

/// Times 200,000 placements.
pub fn run(workers: u32, running: u32, teams: u32) -> Report {
    run_placements(workers, running, teams, DEFAULT_PLACEMENTS)
}

struct DecisionBench {
    policy: Scheduler,
    rng: SmallRng,
    mean_cpu_milli: u32,
    teams: u32,
    running: Vec<(JobKey, u32)>,
    actions: Vec<Action>,
    now_us: u64,
}

impl DecisionBench {
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
                capacity: WORKER_CAPACITY,
                address: ([127, 0, 0, 1], 1).into(),
            };
            let key = policy.add_worker(&info, now);
            policy.set_worker_state(key, WorkerState::Available, now);
        }
        let per_worker = running.div_ceil(workers.max(1));
        Self {
            policy,
            rng: SmallRng::seed_from_u64(1),
            mean_cpu_milli: WORKER_CAPACITY.cpu_milli * BUSY_PERCENT / 100 / per_worker,
            teams,
            running: Vec::new(),
            actions: Vec::new(),
            now_us: 0,
        }
    }

    /// Draws a job of one task, with `mean_cpu_milli` on average.
    fn next_job(&mut self) -> JobSpec {
        let (kind, urgency) = KINDS[self.rng.random_range(0..KINDS.len())];
        let size_percent = [25, 50, 75, 100, 125, 225][self.rng.random_range(0..6)];
        let cpu_milli = self.mean_cpu_milli * size_percent / 100;
        let memory_mib_per_core = self.rng.random_range(1_024..=4_096);
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
                memory_mib: cpu_milli * memory_mib_per_core / 1_000,
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
        black_box(key).expect("the queue limits are not reached");
    }

    fn remove_running_task(&mut self) -> (JobKey, u32) {
        let index = self.rng.random_range(0..self.running.len());
        self.running.swap_remove(index)
    }

    /// Ends a task, submits a job and decides. Returns the number of placed tasks.
    fn replace_task(&mut self, job: &JobSpec, key: JobKey, index: u32) -> u64 {
        self.now_us += 20;
        let end = AttemptEnd::Reported(Outcome::Succeeded);
        let now = Time(self.now_us);
        self.policy.attempt_ended(key, index, 1, end, now);
        self.policy.remove_job(key, now);
        self.submit(job);
        self.decide()
    }

    fn decide(&mut self) -> u64 {
        self.actions.clear();
        let now = Time(self.now_us);
        self.policy
            .decide(now, MAX_PLACEMENTS_PER_DECISION, &mut self.actions);
        let mut placed = 0;
        for action in &self.actions {
            if let Action::Place { job, index, .. } = *action {
                self.running.push((job, index));
                placed += 1;
            }
        }
        placed
    }
}
