//! Tests the baseline policy.

use chestnutlug::decide::{Action, KindLimits, Policy, TeamLimits, WorkerState, fifo::Fifo};
use chestnutlug::model::{JobSpec, Lifetime, Resources, Time, Urgency, WorkerInfo};

fn cores(n: u32) -> Resources {
    Resources {
        cpu_milli: n * 1_000,
        memory_mib: n * 1_024,
        accelerators: 0,
    }
}

fn spec(tasks: u32, all_at_once: bool, need: Resources) -> JobSpec {
    JobSpec {
        team: "t".into(),
        kind: "k".into(),
        urgency: Urgency::Normal,
        lifetime: Lifetime::Batch,
        idempotent: true,
        all_at_once,
        tasks,
        resources: need,
        expected_ms: 10,
        payload: String::new(),
    }
}

struct Case {
    name: &'static str,
    workers: u32,
    jobs: Vec<JobSpec>,
    placed: usize,
}

#[test]
fn places_tasks_that_fit() {
    let cases = [
        Case {
            name: "all fit",
            workers: 2,
            jobs: vec![spec(4, false, cores(4))],
            placed: 4,
        },
        Case {
            name: "some wait",
            workers: 1,
            jobs: vec![spec(6, false, cores(4))],
            placed: 4,
        },
        Case {
            name: "a gang that does not fit gets nothing",
            workers: 1,
            jobs: vec![spec(5, true, cores(4))],
            placed: 0,
        },
        Case {
            name: "a task larger than a worker gets nothing",
            workers: 2,
            jobs: vec![spec(1, false, cores(17))],
            placed: 0,
        },
    ];
    for case in cases {
        let now = Time::from_millis(1);
        let mut policy = Fifo::default();
        let team = TeamLimits {
            weight: 1,
            quota: cores(1_000),
            max_queued: 100,
            balance_core_ms: 1_000_000,
        };
        policy.set_team(&"t".into(), &team, now);
        let kind = KindLimits {
            max_queued: 100,
            max_attempts: 2,
        };
        policy.set_kind(&"k".into(), &kind, now);
        for i in 0..case.workers {
            let info = WorkerInfo {
                name: format!("w{i}").as_str().into(),
                rack: "r".into(),
                zone: "z".into(),
                capacity: cores(16),
                address: "127.0.0.1:1".parse().unwrap(),
            };
            let key = policy.add_worker(&info, now);
            policy.set_worker_state(key, WorkerState::Available, now);
        }
        for job in &case.jobs {
            policy.submit(job, now).unwrap();
        }
        let mut actions = Vec::new();
        policy.decide(now, 100, &mut actions);
        let placed = actions.iter().filter(|s| matches!(s, Action::Place { .. }));
        assert_eq!(placed.count(), case.placed, "{}", case.name);
    }
}
