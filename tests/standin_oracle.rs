//! The oracle finds each planted violation, and none in correct runs.

use chestnutlug::model::{Outcome, Resources};
use chestnutlug::oracle::{
    CheckOptions, Observations, ReportedOutcome, ReportedWork, Verdict, check_invariants,
};
use chestnutlug::standin::{backend, worker};

const CORE: Resources = Resources {
    cpu_milli: 1_000,
    memory_mib: 1_000,
    accelerators: 1,
};

/// Journal entry of a worker about attempt `attempt` of task `task`.
fn worker_entry(
    worker_name: &str,
    at_ms: u64,
    event: worker::JournalEvent,
    task: &str,
    attempt: u32,
) -> worker::JournalEntry {
    let outcome = match event {
        worker::JournalEvent::Ended => Some(Outcome::Succeeded),
        worker::JournalEvent::Lapsed => Some(Outcome::Cancelled),
        _ => None,
    };
    worker::JournalEntry {
        time_us: at_ms * 1_000,
        worker: worker_name.into(),
        event,
        task: Some(format!("s.{task}")),
        work: task.split('/').next().map(str::to_owned),
        attempt,
        epoch: 1,
        resources: CORE,
        capacity: Resources {
            cpu_milli: 2_000,
            memory_mib: 2_000,
            accelerators: 2,
        },
        outcome,
    }
}

fn with_resources(resources: Resources, entry: worker::JournalEntry) -> worker::JournalEntry {
    worker::JournalEntry { resources, ..entry }
}

fn boot_entry(worker_name: &str, at_ms: u64) -> worker::JournalEntry {
    worker::JournalEntry {
        task: None,
        work: None,
        ..worker_entry(worker_name, at_ms, worker::JournalEvent::Booted, "", 0)
    }
}

fn backend_entry(
    at_ms: u64,
    event: backend::JournalEvent,
    request: &str,
    concurrency: u32,
) -> backend::JournalEntry {
    backend::JournalEntry {
        time_us: at_ms * 1_000,
        backend: "b".into(),
        event,
        request: Some(request.to_owned()),
        idempotency_key: None,
        concurrency,
        slots: 8,
        connections: 1,
        max_connections: 64,
    }
}

fn reported(work: &str, outcome: ReportedOutcome) -> ReportedWork {
    ReportedWork {
        work: work.to_owned(),
        tasks: 1,
        idempotent: true,
        outcome,
    }
}

fn reported_non_idempotent(work: &str, outcome: ReportedOutcome) -> ReportedWork {
    ReportedWork {
        idempotent: false,
        ..reported(work, outcome)
    }
}

/// Observations, and the counters of violations that they must lead to; all others must be 0.
#[derive(Default)]
struct Case {
    name: &'static str,
    workers: Vec<worker::JournalEntry>,
    backends: Vec<backend::JournalEntry>,
    reported: Vec<ReportedWork>,
    killed_workers: Vec<(&'static str, u64)>,
    faults_injected: bool,
    expected: &'static [(&'static str, u64)],
}

fn counters(verdict: &Verdict) -> Vec<(&'static str, u64)> {
    let all = [
        ("lost", verdict.lost),
        ("doubled", verdict.doubled),
        ("overcommitted", verdict.overcommitted),
        ("overlapping", verdict.overlapping),
        ("not_run_but_ran", verdict.not_run_but_ran),
        ("non_idempotent_repeated", verdict.non_idempotent_repeated),
        ("ran_on", verdict.ran_on),
        ("garbled", verdict.garbled),
        ("slots_exceeded", verdict.slots_exceeded),
        ("connections_exceeded", verdict.connections_exceeded),
        ("given_while_leaving", verdict.given_while_leaving),
    ];
    all.into_iter().filter(|(_, count)| *count > 0).collect()
}

fn check(cases: Vec<Case>) {
    for case in cases {
        let killed_workers: Vec<_> = case
            .killed_workers
            .iter()
            .map(|(name, at_ms)| ((*name).into(), at_ms * 1_000))
            .collect();
        let observations = Observations {
            workers: &case.workers,
            backends: &case.backends,
            reported: &case.reported,
            killed_workers: &killed_workers,
        };
        let options = CheckOptions {
            faults_injected: case.faults_injected,
            ..CheckOptions::default()
        };
        let verdict = check_invariants(observations, options);
        assert_eq!(counters(&verdict), case.expected, "{}", case.name);
        let violations: u64 = case.expected.iter().map(|(_, count)| count).sum();
        assert_eq!(verdict.violations(), violations, "{}", case.name);
        assert_eq!(verdict.findings.len() as u64, violations, "{}", case.name);
    }
}

#[test]
fn worker_overcommitment_is_found() {
    use worker::JournalEvent::*;
    check(vec![
        Case {
            name: "full worker",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 0, Started, "b/0", 1),
            ],
            ..Case::default()
        },
        Case {
            name: "overcommitted in each resource",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 0, Started, "b/0", 1),
                worker_entry("w", 0, Started, "c/0", 1),
            ],
            expected: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "overcommitted in accelerators only",
            workers: vec![with_resources(
                Resources {
                    accelerators: 3,
                    ..Resources::default()
                },
                worker_entry("w", 0, Started, "a/0", 1),
            )],
            expected: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "an end frees resources",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 0, Started, "b/0", 1),
                worker_entry("w", 5, Ended, "a/0", 1),
                worker_entry("w", 5, Started, "c/0", 1),
            ],
            ..Case::default()
        },
        Case {
            name: "an acknowledgement frees no resources",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 0, Started, "b/0", 1),
                worker_entry("w", 5, Acknowledged, "a/0", 1),
                worker_entry("w", 5, Started, "c/0", 1),
            ],
            expected: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "throttle limit raised above the capacity",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                with_resources(
                    Resources {
                        cpu_milli: 2_001,
                        ..CORE
                    },
                    worker_entry("w", 1, Throttled, "a/0", 1),
                ),
            ],
            expected: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "workers are counted separately, a boot frees all resources",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 0, Started, "b/0", 1),
                worker_entry("v", 0, Started, "c/0", 1),
                boot_entry("w", 9),
                worker_entry("w", 10, Started, "d/0", 1),
            ],
            ..Case::default()
        },
    ]);
}

#[test]
fn overlapping_runs_are_found() {
    use worker::JournalEvent::*;
    check(vec![
        Case {
            name: "on two workers at once",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("v", 50, Started, "a/0", 2),
            ],
            expected: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "the same attempt twice on one worker",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 50, Started, "a/0", 1),
            ],
            expected: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "overlap within the clock tolerance",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 50, Lapsed, "a/0", 1),
                worker_entry("v", 46, Started, "a/0", 2),
            ],
            ..Case::default()
        },
        Case {
            name: "overlap beyond the clock tolerance",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("w", 50, Lapsed, "a/0", 1),
                worker_entry("v", 44, Started, "a/0", 2),
            ],
            expected: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "two tasks of one job",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("v", 0, Started, "a/1", 1),
            ],
            ..Case::default()
        },
        Case {
            name: "after the first worker was killed",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("v", 50, Started, "a/0", 2),
            ],
            killed_workers: vec![("w", 40)],
            ..Case::default()
        },
        Case {
            name: "before the first worker was killed",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                worker_entry("v", 50, Started, "a/0", 2),
            ],
            killed_workers: vec![("w", 60)],
            expected: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "after the first worker booted",
            workers: vec![
                worker_entry("w", 0, Started, "a/0", 1),
                boot_entry("w", 40),
                worker_entry("v", 50, Started, "a/0", 2),
            ],
            ..Case::default()
        },
    ]);
}

#[test]
fn job_outcomes_are_checked_against_runs() {
    use worker::JournalEvent::*;
    let completed_run = || {
        vec![
            worker_entry("w", 0, Started, "a/0", 1),
            worker_entry("w", 9, Ended, "a/0", 1),
        ]
    };
    let second_run = |at_ms| {
        vec![
            worker_entry("v", at_ms, Started, "a/0", 2),
            worker_entry("v", at_ms + 9, Ended, "a/0", 2),
        ]
    };
    let acknowledgement = || vec![worker_entry("w", 20, Acknowledged, "a/0", 1)];
    let expired_run = || {
        vec![
            worker_entry("w", 0, Started, "a/0", 1),
            worker_entry("w", 9, Lapsed, "a/0", 1),
        ]
    };
    let with_other_task = |mut entries: Vec<worker::JournalEntry>| {
        for entry in &mut entries {
            entry.task = Some("s.other/0".to_owned());
        }
        entries
    };
    check(vec![
        Case {
            name: "finished",
            workers: completed_run(),
            reported: vec![reported_non_idempotent("a", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "reported finished, never ran",
            reported: vec![reported("a", ReportedOutcome::Finished)],
            expected: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "reported finished, one of two tasks did not finish",
            workers: completed_run(),
            reported: vec![ReportedWork {
                tasks: 2,
                ..reported("a", ReportedOutcome::Finished)
            }],
            expected: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "accepted, never ended",
            reported: vec![reported("a", ReportedOutcome::Accepted)],
            expected: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "reported not run, ran",
            workers: vec![worker_entry("w", 0, Started, "a/0", 1)],
            reported: vec![reported("a", ReportedOutcome::NotRun)],
            expected: &[("not_run_but_ran", 1)],
            ..Case::default()
        },
        Case {
            name: "reported not run",
            workers: completed_run(),
            reported: vec![
                reported("b", ReportedOutcome::NotRun),
                reported("c", ReportedOutcome::Unknown),
            ],
            ..Case::default()
        },
        Case {
            name: "finished twice",
            workers: [completed_run(), second_run(30)].concat(),
            reported: vec![reported("a", ReportedOutcome::Finished)],
            expected: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "finished twice because a fault lost the first end",
            workers: [completed_run(), second_run(30)].concat(),
            reported: vec![reported("a", ReportedOutcome::Finished)],
            faults_injected: true,
            ..Case::default()
        },
        Case {
            name: "finished twice although the first end was acknowledged",
            workers: [completed_run(), acknowledgement(), second_run(30)].concat(),
            reported: vec![reported("a", ReportedOutcome::Finished)],
            faults_injected: true,
            expected: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "run as two jobs",
            workers: [completed_run(), with_other_task(second_run(30))].concat(),
            reported: vec![reported("a", ReportedOutcome::Finished)],
            faults_injected: true,
            expected: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "run again after its lease expired, idempotent",
            workers: [expired_run(), second_run(30)].concat(),
            reported: vec![reported("a", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "run again after its lease expired, not idempotent",
            workers: [expired_run(), second_run(30)].concat(),
            reported: vec![reported_non_idempotent("a", ReportedOutcome::Finished)],
            expected: &[("non_idempotent_repeated", 1)],
            ..Case::default()
        },
        Case {
            name: "reported cancelled, still runs",
            workers: vec![worker_entry("w", 0, Started, "a/0", 1)],
            reported: vec![reported("a", ReportedOutcome::Cancelled)],
            expected: &[("ran_on", 1)],
            ..Case::default()
        },
        Case {
            name: "reported cancelled, stopped",
            workers: expired_run(),
            reported: vec![reported("a", ReportedOutcome::Cancelled)],
            ..Case::default()
        },
    ]);
}

#[test]
fn request_outcomes_are_checked_against_requests() {
    use backend::JournalEvent::*;
    let complete_request = || {
        vec![
            backend_entry(0, Begin, "r", 1),
            backend_entry(9, End, "r", 0),
        ]
    };
    let cut_request = || {
        vec![
            backend_entry(0, Begin, "r", 1),
            backend_entry(9, Cut, "r", 0),
        ]
    };
    check(vec![
        Case {
            name: "complete response",
            backends: complete_request(),
            reported: vec![reported_non_idempotent("r", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "reported finished, cut at the backend server",
            backends: cut_request(),
            reported: vec![reported("r", ReportedOutcome::Finished)],
            expected: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "cut and retried, idempotent",
            backends: [cut_request(), complete_request()].concat(),
            reported: vec![reported("r", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "cut and retried, not idempotent",
            backends: [cut_request(), complete_request()].concat(),
            reported: vec![reported_non_idempotent("r", ReportedOutcome::Finished)],
            expected: &[("non_idempotent_repeated", 1)],
            ..Case::default()
        },
        Case {
            name: "completed twice",
            backends: [complete_request(), complete_request()].concat(),
            reported: vec![reported("r", ReportedOutcome::Finished)],
            expected: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "reported not run, began",
            backends: cut_request(),
            reported: vec![reported_non_idempotent("r", ReportedOutcome::NotRun)],
            expected: &[("not_run_but_ran", 1)],
            ..Case::default()
        },
        Case {
            name: "response of another caller's request",
            backends: complete_request(),
            reported: vec![reported("r", ReportedOutcome::Garbled)],
            expected: &[("garbled", 1)],
            ..Case::default()
        },
        Case {
            name: "no response reached the caller",
            backends: complete_request(),
            reported: vec![reported_non_idempotent("r", ReportedOutcome::NoResponse)],
            ..Case::default()
        },
    ]);
}

#[test]
fn backend_limit_violations_are_found() {
    use backend::JournalEvent::*;
    let connection_entry = |connections| backend::JournalEntry {
        connections,
        request: None,
        ..backend_entry(0, Connected, "", 0)
    };
    let draining_entry = || backend::JournalEntry {
        request: None,
        ..backend_entry(1_000, Leaving, "", 0)
    };
    check(vec![
        Case {
            name: "all slots and connections in use",
            backends: vec![connection_entry(64), backend_entry(0, Begin, "r", 8)],
            ..Case::default()
        },
        Case {
            name: "one slot too many",
            backends: vec![backend_entry(0, Begin, "r", 9)],
            expected: &[("slots_exceeded", 1)],
            ..Case::default()
        },
        Case {
            name: "one connection too many",
            backends: vec![connection_entry(65)],
            expected: &[("connections_exceeded", 1)],
            ..Case::default()
        },
        Case {
            name: "request within the grace period of draining",
            backends: vec![draining_entry(), backend_entry(6_000, Begin, "r", 1)],
            ..Case::default()
        },
        Case {
            name: "request after the grace period of draining",
            backends: vec![draining_entry(), backend_entry(6_001, Begin, "r", 1)],
            expected: &[("given_while_leaving", 1)],
            ..Case::default()
        },
    ]);
}
