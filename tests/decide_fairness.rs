//! Tests the shares of teams and the order of urgencies, in virtual time.

mod decide_support;

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutlug::decide::scheduler::{Scheduler, SchedulerConfig};
use chestnutlug::decide::{
    Action, AttemptEnd, JobKey, KindLimits, Policy, TeamLimits, WorkerState,
};
use chestnutlug::model::{Outcome, Urgency};
use decide_support::{at, cores, decide, scheduler, spec, team, worker_info};

/// Ends every attempt after `run_ms` and returns the number of starts per team.
fn run_for(
    policy: &mut Scheduler,
    teams: &BTreeMap<JobKey, usize>,
    run_ms: u64,
    until_ms: u64,
) -> [u32; 2] {
    let mut starts = [0; 2];
    let mut running: Vec<(u64, JobKey, u32)> = Vec::new();
    for now in (0..until_ms).step_by(100) {
        let (ended, active): (Vec<_>, Vec<_>) = running.iter().partition(|run| run.0 <= now);
        running = active;
        for (_, job, index) in ended {
            let end = AttemptEnd::Reported(Outcome::Succeeded);
            policy.attempt_ended(job, index, 1, end, at(now));
        }
        for action in decide(policy, at(now)) {
            if let Action::Place { job, index, .. } = action {
                starts[teams[&job]] += 1;
                running.push((now + run_ms, job, index));
            }
        }
    }
    starts
}

struct Shared {
    name: &'static str,
    weights: [u32; 2],
    tasks: [u32; 2],
    urgency: [Urgency; 2],
    /// Expected share of the starts that the second team gets, in percent.
    second_percent: std::ops::RangeInclusive<u32>,
}

#[test]
fn teams_share_by_weight_regardless_of_backlog() {
    let normal = [Urgency::Normal; 2];
    let cases = [
        Shared {
            name: "equal",
            weights: [1, 1],
            tasks: [9_000, 2_000],
            urgency: normal,
            second_percent: 45..=55,
        },
        Shared {
            name: "weighted",
            weights: [1, 3],
            tasks: [9_000, 9_000],
            urgency: normal,
            second_percent: 70..=80,
        },
        Shared {
            name: "an urgent flood",
            weights: [1, 1],
            tasks: [9_000, 9_000],
            urgency: [Urgency::Urgent, Urgency::Patient],
            second_percent: 40..=60,
        },
    ];
    for case in cases {
        let (mut policy, _) = scheduler(4, cores(8));
        let mut teams = BTreeMap::new();
        for i in 0..2 {
            let limits = TeamLimits {
                weight: case.weights[i],
                ..team()
            };
            let name = format!("t{i}");
            policy.set_team(&name.as_str().into(), &limits, at(0));
            let job = spec(&name, "swap", case.urgency[i], case.tasks[i], cores(1));
            teams.insert(policy.submit(&job, at(0)).unwrap(), i);
        }
        let starts = run_for(&mut policy, &teams, 1_000, 60_000);
        let second_percent = starts[1] * 100 / (starts[0] + starts[1]);
        assert!(
            case.second_percent.contains(&second_percent),
            "{}: {second_percent} % of {starts:?}",
            case.name
        );
    }
}

#[test]
fn urgent_work_goes_first_and_patient_work_ages() {
    let config = SchedulerConfig {
        aging: Duration::from_secs(60),
        ..SchedulerConfig::default()
    };
    let mut policy = Scheduler::with_config(1, config);
    for i in 0..10 {
        policy.set_team(&format!("t{i}").as_str().into(), &team(), at(0));
    }
    let kind = KindLimits {
        max_queued: 100,
        max_attempts: 1,
    };
    policy.set_kind(&"swap".into(), &kind, at(0));
    let worker = policy.add_worker(&worker_info(0, cores(1)), at(0));
    policy.set_worker_state(worker, WorkerState::Available, at(0));
    let patient = spec("t0", "swap", Urgency::Patient, 1, cores(1));
    let patient = policy.submit(&patient, at(0)).unwrap();
    let mut started = None;
    for second in 0..70 {
        let now = at(second * 1_000);
        for _ in 0..1 + usize::from(second == 0) {
            let name = format!("t{}", second % 9 + 1);
            let job = spec(&name, "swap", Urgency::Normal, 1, cores(1));
            policy.submit(&job, now).unwrap();
        }
        let actions = decide(&mut policy, now);
        let [Action::Place { job, index, .. }] = actions[..] else {
            panic!("{second} s: {actions:?}");
        };
        if job == patient {
            started = Some(second);
        }
        let end = AttemptEnd::Reported(Outcome::Succeeded);
        policy.attempt_ended(job, index, 1, end, now);
    }
    let started = started.expect("patient work was never started");
    assert!((60..=62).contains(&started), "started after {started} s");
}
