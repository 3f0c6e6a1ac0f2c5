//! Tests how running tasks are charged, in virtual time.

mod decide_support;

use std::collections::BTreeMap;

use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::decide::{Action, AttemptEnd, BalanceCredit, JobKey, Policy};
use chestnutlug::model::{JobSpec, Outcome, TeamName, Urgency};
use decide_support::{at, cores, decide, scheduler, spec};

const SUCCEEDED: AttemptEnd = AttemptEnd::Reported(Outcome::Succeeded);

/// Time that a task takes to stop.
const STOP_MS: u64 = 500;
const STEP_MS: u64 = 50;

struct Case {
    name: &'static str,
    /// Credits to the balance: time in milliseconds and amount in core-milliseconds.
    credits: &'static [(u64, u64)],
    tasks: u32,
    cores: u32,
    expected_ms: u64,
    /// Observed run time of each task unless it is stopped.
    run_ms: u64,
    started: usize,
    stopped: usize,
}

const CASES: [Case; 9] = [
    Case {
        name: "balance for all tasks",
        credits: &[(0, 50_000)],
        tasks: 4,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 10_000,
        started: 4,
        stopped: 0,
    },
    Case {
        name: "balance for two tasks",
        credits: &[(0, 25_000)],
        tasks: 4,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 9_000,
        started: 2,
        stopped: 0,
    },
    Case {
        name: "runs longer than declared and paid",
        credits: &[(0, 15_000)],
        tasks: 1,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 90_000,
        started: 1,
        stopped: 1,
    },
    Case {
        name: "runs longer than declared, with renewed slices",
        credits: &[(0, 200_000)],
        tasks: 1,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 90_000,
        started: 1,
        stopped: 0,
    },
    Case {
        name: "declared run time observed late, beside queued tasks",
        credits: &[(0, 64_000)],
        tasks: 12,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 1_400,
        started: 4,
        stopped: 0,
    },
    Case {
        name: "a renewal takes precedence over a start; the started task is not renewed",
        credits: &[(0, 20_000), (1_300, 20_000)],
        tasks: 2,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 2_500,
        started: 2,
        stopped: 1,
    },
    Case {
        name: "a shorter slice if the balance does not suffice",
        credits: &[(0, 33_500)],
        tasks: 1,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 3_000,
        started: 1,
        stopped: 0,
    },
    Case {
        name: "a credit that arrives after the request, before the paid time ends",
        credits: &[(0, 20_000), (1_300, 20_000)],
        tasks: 1,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 2_500,
        started: 1,
        stopped: 0,
    },
    Case {
        name: "not started if the balance does not cover the declared time",
        credits: &[(0, 100_000)],
        tasks: 1,
        cores: 1,
        expected_ms: 200_000,
        run_ms: 200_000,
        started: 0,
        stopped: 0,
    },
];

fn credit(core_ms: u64) -> BalanceCredit {
    BalanceCredit {
        core_ms,
        more_available: true,
        max_cpu_milli: None,
    }
}

/// The tasks of a team, as observed.
struct TeamRun {
    policy: Scheduler,
    team: TeamName,
    job: JobKey,
    run_ms: u64,
    /// Running tasks, with the time at which the end of each is observed.
    running: BTreeMap<u32, u64>,
    started: usize,
    stopped: usize,
}

impl TeamRun {
    fn new(case: &Case) -> Self {
        let (mut policy, _) = scheduler(1, cores(16));
        let team = TeamName::from("t0");
        policy.reclaim_balance(&team);
        let job = JobSpec {
            expected_ms: case.expected_ms,
            ..spec(
                "t0",
                "compile",
                Urgency::Normal,
                case.tasks,
                cores(case.cores),
            )
        };
        policy.add_balance(&team, &credit(0), at(0));
        let job = policy.submit(&job, at(0)).unwrap();
        Self {
            policy,
            team,
            job,
            run_ms: case.run_ms,
            running: BTreeMap::new(),
            started: 0,
            stopped: 0,
        }
    }

    fn end_due(&mut self, now: u64) {
        let due = self.running.iter().filter(|(_, end)| **end <= now);
        let due: Vec<u32> = due.map(|(index, _)| *index).collect();
        for index in due {
            self.running.remove(&index);
            self.policy
                .attempt_ended(self.job, index, 1, SUCCEEDED, at(now));
        }
    }

    fn step(&mut self, now: u64) {
        self.end_due(now);
        for action in decide(&mut self.policy, at(now)) {
            match action {
                Action::Place { index, .. } => {
                    self.started += 1;
                    self.running.insert(index, now + self.run_ms);
                }
                Action::Checkpoint { index, .. } | Action::Stop { index, .. } => {
                    self.stopped += 1;
                    self.running.insert(index, now + STOP_MS);
                }
                Action::Throttle { .. } => panic!("throttled"),
            }
        }
    }

    fn spent_core_ms(&self, now: u64) -> u64 {
        let teams = self.policy.spending(at(now));
        let team = teams.iter().find(|team| team.team == self.team);
        team.unwrap().spent_core_ms
    }
}

#[test]
fn tasks_run_while_the_balance_pays_for_them() {
    let mut failures = Vec::new();
    for case in CASES {
        let mut run = TeamRun::new(&case);
        let end = u64::from(case.tasks) * (case.run_ms + 1_000);
        let mut paid = 0;
        for now in (0..end).step_by(STEP_MS as usize) {
            for &(_, core_ms) in case.credits.iter().filter(|credit| credit.0 == now) {
                paid += core_ms;
                run.policy.add_balance(&run.team, &credit(core_ms), at(now));
            }
            run.step(now);
            let spent = run.spent_core_ms(now);
            assert!(spent <= paid, "{}: {spent} of {paid} spent", case.name);
        }
        let observed = (run.started, run.stopped);
        if observed != (case.started, case.stopped) {
            failures.push((case.name, observed));
        }
    }
    assert!(failures.is_empty(), "started and stopped: {failures:?}");
}
