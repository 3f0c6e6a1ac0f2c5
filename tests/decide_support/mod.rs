//! Helpers for the tests of the scheduling decisions.

use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::decide::{Action, KindLimits, Policy, TeamLimits, WorkerKey, WorkerState};
use chestnutlug::model::{JobSpec, Lifetime, Resources, Time, Urgency, WorkerInfo};

pub const KINDS: [&str; 3] = ["swap", "check", "compile"];

pub fn cores(n: u32) -> Resources {
    Resources {
        cpu_milli: n * 1_000,
        memory_mib: n * 1_024,
        accelerators: 0,
    }
}

pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

pub fn team() -> TeamLimits {
    TeamLimits {
        weight: 1,
        quota: cores(100_000),
        max_queued: 100_000,
        balance_core_ms: 1 << 50,
    }
}

pub fn spec(team: &str, kind: &str, urgency: Urgency, tasks: u32, need: Resources) -> JobSpec {
    JobSpec {
        team: team.into(),
        kind: kind.into(),
        urgency,
        lifetime: Lifetime::Batch,
        idempotent: true,
        all_at_once: false,
        tasks,
        resources: need,
        expected_ms: 10_000,
        payload: String::new(),
    }
}

pub fn worker_info(i: u32, capacity: Resources) -> WorkerInfo {
    WorkerInfo {
        name: format!("w{i}").as_str().into(),
        rack: format!("r{}", i / 4).as_str().into(),
        zone: format!("z{}", i % 3).as_str().into(),
        capacity,
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

/// Creates a scheduler with the teams `t0` to `t9`, the kinds of [`KINDS`] and available workers.
pub fn scheduler(workers: u32, capacity: Resources) -> (Scheduler, Vec<WorkerKey>) {
    let mut policy = Scheduler::new(7);
    let now = at(0);
    for i in 0..10 {
        policy.set_team(&format!("t{i}").as_str().into(), &team(), now);
    }
    let kind = KindLimits {
        max_queued: 100_000,
        max_attempts: 3,
    };
    for name in KINDS {
        policy.set_kind(&name.into(), &kind, now);
    }
    let add = |i| {
        let key = policy.add_worker(&worker_info(i, capacity), now);
        policy.set_worker_state(key, WorkerState::Available, now);
        key
    };
    let keys = (0..workers).map(add).collect();
    (policy, keys)
}

pub fn decide(policy: &mut Scheduler, now: Time) -> Vec<Action> {
    let mut actions = Vec::new();
    policy.decide(now, 1_000, &mut actions);
    actions
}
