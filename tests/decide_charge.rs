//! What running tasks are charged, in virtual time.

mod decide_support;

use std::collections::BTreeMap;

use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::decide::{Action, AttemptEnd, BalanceCredit, JobKey, Policy};
use chestnutlug::model::{JobSpec, Outcome, TeamName, Urgency};
use decide_support::{at, cores, decide, scheduler, spec};

const SUCCEEDED: AttemptEnd = AttemptEnd::Reported(Outcome::Succeeded);

/// How long a task takes to stop.
const STOP_MS: u64 = 500;
const STEP_MS: u64 = 50;

struct Case {
    name: &'static str,
    /// Parts of the balance, each with when it comes.
    parts: &'static [(u64, u64)],
    tasks: u32,
    cores: u32,
    expected_ms: u64,
    /// How long each task is seen to run unless it is stopped.
    run_ms: u64,
    started: usize,
    stopped: usize,
}

const CASES: [Case; 9] = [
    Case {
        name: "enough",
        parts: &[(0, 50_000)],
        tasks: 4,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 10_000,
        started: 4,
        stopped: 0,
    },
    Case {
        name: "for two",
        parts: &[(0, 25_000)],
        tasks: 4,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 9_000,
        started: 2,
        stopped: 0,
    },
    Case {
        name: "longer than expected",
        parts: &[(0, 15_000)],
        tasks: 1,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 90_000,
        started: 1,
        stopped: 1,
    },
    Case {
        name: "renewed",
        parts: &[(0, 200_000)],
        tasks: 1,
        cores: 1,
        expected_ms: 10_000,
        run_ms: 90_000,
        started: 1,
        stopped: 0,
    },
    Case {
        name: "as long as declared, and seen late, beside waiting work",
        parts: &[(0, 64_000)],
        tasks: 12,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 1_400,
        started: 4,
        stopped: 0,
    },
    Case {
        name: "a running task is paid before one that waits; nothing is left to pay that longer",
        parts: &[(0, 20_000), (1_300, 20_000)],
        tasks: 2,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 2_500,
        started: 2,
        stopped: 1,
    },
    Case {
        name: "a smaller slice where less is left",
        parts: &[(0, 33_500)],
        tasks: 1,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 3_000,
        started: 1,
        stopped: 0,
    },
    Case {
        name: "a part that comes after it was asked for, before the paid time ends",
        parts: &[(0, 20_000), (1_300, 20_000)],
        tasks: 1,
        cores: 8,
        expected_ms: 1_000,
        run_ms: 2_500,
        started: 1,
        stopped: 0,
    },
    Case {
        name: "not started where it is not paid to its declared end",
        parts: &[(0, 100_000)],
        tasks: 1,
        cores: 1,
        expected_ms: 200_000,
        run_ms: 200_000,
        started: 0,
        stopped: 0,
    },
];

fn part(core_ms: u64) -> BalanceCredit {
    BalanceCredit {
        core_ms,
        more_available: true,
        max_cpu_milli: None,
    }
}

/// What is seen of a team's tasks.
struct Trial {
    policy: Scheduler,
    team: TeamName,
    job: JobKey,
    run_ms: u64,
    /// The running tasks, each with when its end is seen.
    running: BTreeMap<u32, u64>,
    started: usize,
    stopped: usize,
}

impl Trial {
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
        policy.add_balance(&team, &part(0), at(0));
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
        for step in decide(&mut self.policy, at(now)) {
            match step {
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
fn work_runs_while_the_balance_remains() {
    let mut wrong = Vec::new();
    for case in CASES {
        let mut trial = Trial::new(&case);
        let end = u64::from(case.tasks) * (case.run_ms + 1_000);
        let mut paid = 0;
        for now in (0..end).step_by(STEP_MS as usize) {
            for &(_, core_ms) in case.parts.iter().filter(|part| part.0 == now) {
                paid += core_ms;
                trial
                    .policy
                    .add_balance(&trial.team, &part(core_ms), at(now));
            }
            trial.step(now);
            let spent = trial.spent_core_ms(now);
            assert!(spent <= paid, "{}: {spent} of {paid} spent", case.name);
        }
        let seen = (trial.started, trial.stopped);
        if seen != (case.started, case.stopped) {
            wrong.push((case.name, seen));
        }
    }
    assert!(wrong.is_empty(), "started and stopped: {wrong:?}");
}
