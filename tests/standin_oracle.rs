//! The oracle finds every planted violation, and none in what is right.

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

/// An entry of worker `machine` about attempt `attempt` of task `task` at `at_ms`.
fn on(
    machine: &str,
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
        worker: machine.into(),
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

fn with(resources: Resources, entry: worker::JournalEntry) -> worker::JournalEntry {
    worker::JournalEntry { resources, ..entry }
}

fn booted(machine: &str, at_ms: u64) -> worker::JournalEntry {
    worker::JournalEntry {
        task: None,
        work: None,
        ..on(machine, at_ms, worker::JournalEvent::Booted, "", 0)
    }
}

fn at(
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

fn claim(work: &str, outcome: ReportedOutcome) -> ReportedWork {
    ReportedWork {
        work: work.to_owned(),
        tasks: 1,
        idempotent: true,
        outcome,
    }
}

fn once(work: &str, outcome: ReportedOutcome) -> ReportedWork {
    ReportedWork {
        idempotent: false,
        ..claim(work, outcome)
    }
}

/// Evidence, and the counters that must not be zero.
#[derive(Default)]
struct Case {
    name: &'static str,
    workers: Vec<worker::JournalEntry>,
    backends: Vec<backend::JournalEntry>,
    claims: Vec<ReportedWork>,
    killed: Vec<(&'static str, u64)>,
    faults: bool,
    found: &'static [(&'static str, u64)],
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
        let killed: Vec<_> = case
            .killed
            .iter()
            .map(|(name, at_ms)| ((*name).into(), at_ms * 1_000))
            .collect();
        let evidence = Observations {
            workers: &case.workers,
            backends: &case.backends,
            reported: &case.claims,
            killed_workers: &killed,
        };
        let rules = CheckOptions {
            faults_injected: case.faults,
            ..CheckOptions::default()
        };
        let verdict = check_invariants(evidence, rules);
        assert_eq!(counters(&verdict), case.found, "{}", case.name);
        let broken: u64 = case.found.iter().map(|(_, count)| count).sum();
        assert_eq!(verdict.violations(), broken, "{}", case.name);
        assert_eq!(verdict.findings.len() as u64, broken, "{}", case.name);
    }
}

#[test]
fn what_workers_hold() {
    use worker::JournalEvent::*;
    check(vec![
        Case {
            name: "full, not over",
            workers: vec![on("w", 0, Started, "a/0", 1), on("w", 0, Started, "b/0", 1)],
            ..Case::default()
        },
        Case {
            name: "over in every dimension",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("w", 0, Started, "b/0", 1),
                on("w", 0, Started, "c/0", 1),
            ],
            found: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "over in accelerators alone",
            workers: vec![with(
                Resources {
                    accelerators: 3,
                    ..Resources::default()
                },
                on("w", 0, Started, "a/0", 1),
            )],
            found: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "the end makes room",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("w", 0, Started, "b/0", 1),
                on("w", 5, Ended, "a/0", 1),
                on("w", 5, Started, "c/0", 1),
            ],
            ..Case::default()
        },
        Case {
            name: "an acknowledgement alone makes no room",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("w", 0, Started, "b/0", 1),
                on("w", 5, Acknowledged, "a/0", 1),
                on("w", 5, Started, "c/0", 1),
            ],
            found: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "raised beyond the capacity",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                with(
                    Resources {
                        cpu_milli: 2_001,
                        ..CORE
                    },
                    on("w", 1, Throttled, "a/0", 1),
                ),
            ],
            found: &[("overcommitted", 1)],
            ..Case::default()
        },
        Case {
            name: "other workers count apart, a boot empties",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("w", 0, Started, "b/0", 1),
                on("v", 0, Started, "c/0", 1),
                booted("w", 9),
                on("w", 10, Started, "d/0", 1),
            ],
            ..Case::default()
        },
    ]);
}

#[test]
fn where_tasks_ran() {
    use worker::JournalEvent::*;
    check(vec![
        Case {
            name: "in two places at once",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("v", 50, Started, "a/0", 2),
            ],
            found: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "the same attempt twice on one worker",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("w", 50, Started, "a/0", 1),
            ],
            found: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "one after the other, within the tolerance of the clocks",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("w", 50, Lapsed, "a/0", 1),
                on("v", 46, Started, "a/0", 2),
            ],
            ..Case::default()
        },
        Case {
            name: "beyond the tolerance",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("w", 50, Lapsed, "a/0", 1),
                on("v", 44, Started, "a/0", 2),
            ],
            found: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "two tasks of one job",
            workers: vec![on("w", 0, Started, "a/0", 1), on("v", 0, Started, "a/1", 1)],
            ..Case::default()
        },
        Case {
            name: "after the first worker was killed",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("v", 50, Started, "a/0", 2),
            ],
            killed: vec![("w", 40)],
            ..Case::default()
        },
        Case {
            name: "before the first worker was killed",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                on("v", 50, Started, "a/0", 2),
            ],
            killed: vec![("w", 60)],
            found: &[("overlapping", 1)],
            ..Case::default()
        },
        Case {
            name: "after the first worker booted",
            workers: vec![
                on("w", 0, Started, "a/0", 1),
                booted("w", 40),
                on("v", 50, Started, "a/0", 2),
            ],
            ..Case::default()
        },
    ]);
}

#[test]
fn what_callers_of_jobs_were_told() {
    use worker::JournalEvent::*;
    let ran = || vec![on("w", 0, Started, "a/0", 1), on("w", 9, Ended, "a/0", 1)];
    let again = |at_ms| {
        vec![
            on("v", at_ms, Started, "a/0", 2),
            on("v", at_ms + 9, Ended, "a/0", 2),
        ]
    };
    let acknowledged = || vec![on("w", 20, Acknowledged, "a/0", 1)];
    let lapsed = || vec![on("w", 0, Started, "a/0", 1), on("w", 9, Lapsed, "a/0", 1)];
    let other_name = |mut entries: Vec<worker::JournalEntry>| {
        for entry in &mut entries {
            entry.task = Some("s.other/0".to_owned());
        }
        entries
    };
    check(vec![
        Case {
            name: "done",
            workers: ran(),
            claims: vec![once("a", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "told to be done and never ran",
            claims: vec![claim("a", ReportedOutcome::Finished)],
            found: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "told to be done, one of two tasks is not",
            workers: ran(),
            claims: vec![ReportedWork {
                tasks: 2,
                ..claim("a", ReportedOutcome::Finished)
            }],
            found: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "accepted and without an end",
            claims: vec![claim("a", ReportedOutcome::Accepted)],
            found: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "told not to have run, and ran",
            workers: vec![on("w", 0, Started, "a/0", 1)],
            claims: vec![claim("a", ReportedOutcome::NotRun)],
            found: &[("not_run_but_ran", 1)],
            ..Case::default()
        },
        Case {
            name: "told not to have run",
            workers: ran(),
            claims: vec![
                claim("b", ReportedOutcome::NotRun),
                claim("c", ReportedOutcome::Unknown),
            ],
            ..Case::default()
        },
        Case {
            name: "done twice",
            workers: [ran(), again(30)].concat(),
            claims: vec![claim("a", ReportedOutcome::Finished)],
            found: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "done twice, the first end lost to a fault",
            workers: [ran(), again(30)].concat(),
            claims: vec![claim("a", ReportedOutcome::Finished)],
            faults: true,
            ..Case::default()
        },
        Case {
            name: "done again under faults although the first end was acknowledged",
            workers: [ran(), acknowledged(), again(30)].concat(),
            claims: vec![claim("a", ReportedOutcome::Finished)],
            faults: true,
            found: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "taken for two jobs",
            workers: [ran(), other_name(again(30))].concat(),
            claims: vec![claim("a", ReportedOutcome::Finished)],
            faults: true,
            found: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "run again after a lapse, idempotent",
            workers: [lapsed(), again(30)].concat(),
            claims: vec![claim("a", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "run again after a lapse, not idempotent",
            workers: [lapsed(), again(30)].concat(),
            claims: vec![once("a", ReportedOutcome::Finished)],
            found: &[("non_idempotent_repeated", 1)],
            ..Case::default()
        },
        Case {
            name: "told to be cancelled, and runs",
            workers: vec![on("w", 0, Started, "a/0", 1)],
            claims: vec![claim("a", ReportedOutcome::Cancelled)],
            found: &[("ran_on", 1)],
            ..Case::default()
        },
        Case {
            name: "told to be cancelled, and stopped",
            workers: lapsed(),
            claims: vec![claim("a", ReportedOutcome::Cancelled)],
            ..Case::default()
        },
    ]);
}

#[test]
fn what_callers_of_requests_were_told() {
    use backend::JournalEvent::*;
    let answered = || vec![at(0, Begin, "r", 1), at(9, End, "r", 0)];
    let cut = || vec![at(0, Begin, "r", 1), at(9, Cut, "r", 0)];
    check(vec![
        Case {
            name: "answered",
            backends: answered(),
            claims: vec![once("r", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "told to be answered, cut at the backend server",
            backends: cut(),
            claims: vec![claim("r", ReportedOutcome::Finished)],
            found: &[("lost", 1)],
            ..Case::default()
        },
        Case {
            name: "cut and tried again, idempotent",
            backends: [cut(), answered()].concat(),
            claims: vec![claim("r", ReportedOutcome::Finished)],
            ..Case::default()
        },
        Case {
            name: "cut and tried again, not idempotent",
            backends: [cut(), answered()].concat(),
            claims: vec![once("r", ReportedOutcome::Finished)],
            found: &[("non_idempotent_repeated", 1)],
            ..Case::default()
        },
        Case {
            name: "answered twice",
            backends: [answered(), answered()].concat(),
            claims: vec![claim("r", ReportedOutcome::Finished)],
            found: &[("doubled", 1)],
            ..Case::default()
        },
        Case {
            name: "told not to have run, and began",
            backends: cut(),
            claims: vec![once("r", ReportedOutcome::NotRun)],
            found: &[("not_run_but_ran", 1)],
            ..Case::default()
        },
        Case {
            name: "another caller's answer",
            backends: answered(),
            claims: vec![claim("r", ReportedOutcome::Garbled)],
            found: &[("garbled", 1)],
            ..Case::default()
        },
        Case {
            name: "no answer reached the caller",
            backends: answered(),
            claims: vec![once("r", ReportedOutcome::NoResponse)],
            ..Case::default()
        },
    ]);
}

#[test]
fn what_backend_servers_were_given() {
    use backend::JournalEvent::*;
    let connected = |connections| backend::JournalEntry {
        connections,
        request: None,
        ..at(0, Connected, "", 0)
    };
    let leaving = || backend::JournalEntry {
        request: None,
        ..at(1_000, Leaving, "", 0)
    };
    check(vec![
        Case {
            name: "all slots and all connections",
            backends: vec![connected(64), at(0, Begin, "r", 8)],
            ..Case::default()
        },
        Case {
            name: "one slot too many",
            backends: vec![at(0, Begin, "r", 9)],
            found: &[("slots_exceeded", 1)],
            ..Case::default()
        },
        Case {
            name: "one connection too many",
            backends: vec![connected(65)],
            found: &[("connections_exceeded", 1)],
            ..Case::default()
        },
        Case {
            name: "given work within the grace",
            backends: vec![leaving(), at(6_000, Begin, "r", 1)],
            ..Case::default()
        },
        Case {
            name: "given work after the grace",
            backends: vec![leaving(), at(6_001, Begin, "r", 1)],
            found: &[("given_while_leaving", 1)],
            ..Case::default()
        },
    ]);
}
