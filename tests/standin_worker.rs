//! The stand-in worker as a state machine, and over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnutlug::adapter::worker::HttpWorkerClient;
use chestnutlug::model::{JobId, Outcome, Resources, TaskId, Time, WorkerInfo};
use chestnutlug::port::worker::{SyncRequest, WorkerClient, WorkerCommand, WorkerError};
use chestnutlug::standin::worker::{
    JournalEvent, StandinWorker, StandinWorkerServer, Switches, serve,
};
use tokio::net::TcpListener;

const CORE: Resources = Resources {
    cpu_milli: 1_000,
    memory_mib: 64,
    accelerators: 0,
};

fn task(index: u32) -> TaskId {
    let job = JobId::new(&"s".into(), 1);
    TaskId { job, index }
}

fn start(index: u32, run_ms: u64) -> WorkerCommand {
    WorkerCommand::Start {
        task: task(index),
        attempt: 1,
        resources: CORE,
        payload: format!(r#"{{"run_ms":{run_ms},"result":"r{index}","work":"w{index}"}}"#),
    }
}

fn worker() -> StandinWorker {
    let mut worker = StandinWorker::new("w".into(), CORE);
    worker.boot(Time::default());
    worker
}

/// A call under `epoch` with commands for the present boot of `worker`.
fn call(
    worker: &mut StandinWorker,
    epoch: u64,
    first_command: u64,
    commands: Vec<WorkerCommand>,
) -> SyncRequest {
    let boot = worker.response(u64::MAX, Time::default()).unwrap().boot;
    SyncRequest {
        epoch,
        boot,
        first_command,
        commands,
        lease_ms: 1_000,
        ..SyncRequest::default()
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// One call after another, each with what it must lead to.
struct Step {
    at_ms: u64,
    epoch: u64,
    first: u64,
    commands: Vec<WorkerCommand>,
    result: &'static str,
    running: usize,
    ended: usize,
    last_command: u64,
}

fn step(at_ms: u64, epoch: u64, first: u64, commands: Vec<WorkerCommand>) -> Step {
    Step {
        at_ms,
        epoch,
        first,
        commands,
        result: "ok",
        running: 0,
        ended: 0,
        last_command: 0,
    }
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
}

fn word<T>(done: &Result<T, WorkerError>) -> &'static str {
    match done {
        Ok(_) => "ok",
        Err(WorkerError::Fenced { .. }) => "fenced",
        Err(WorkerError::Unreachable(_)) => "unreachable",
        Err(WorkerError::OtherBoot { .. }) => "other boot",
        Err(WorkerError::Refused(_)) => "refused",
    }
}

#[test]
fn commands_are_taken_once_in_order_and_under_the_highest_epoch() {
    let cases = [
        Case {
            name: "a repeated call takes nothing twice",
            steps: vec![
                Step {
                    running: 2,
                    last_command: 2,
                    ..step(0, 1, 1, vec![start(0, 500), start(1, 500)])
                },
                Step {
                    running: 2,
                    last_command: 2,
                    ..step(1, 1, 1, vec![start(0, 500), start(1, 500)])
                },
                Step {
                    running: 3,
                    last_command: 3,
                    ..step(2, 1, 2, vec![start(1, 500), start(2, 500)])
                },
            ],
        },
        Case {
            name: "a gap is refused",
            steps: vec![
                Step {
                    result: "refused",
                    ..step(0, 1, 2, vec![start(0, 500)])
                },
                Step {
                    result: "refused",
                    ..step(0, 1, 0, vec![start(0, 500)])
                },
                step(1, 1, 0, vec![]),
            ],
        },
        Case {
            name: "an older epoch is fenced and does nothing",
            steps: vec![
                step(0, 2, 0, vec![]),
                Step {
                    result: "fenced",
                    ..step(1, 1, 1, vec![start(0, 500)])
                },
                step(2, 2, 0, vec![]),
            ],
        },
        Case {
            name: "a newer epoch sees what runs and numbers anew",
            steps: vec![
                Step {
                    running: 1,
                    last_command: 1,
                    ..step(0, 1, 1, vec![start(0, 500)])
                },
                Step {
                    running: 1,
                    ..step(1, 2, 0, vec![])
                },
                Step {
                    running: 2,
                    last_command: 1,
                    ..step(2, 2, 1, vec![start(1, 500)])
                },
            ],
        },
        Case {
            name: "it starts what does not fit, even the same attempt again",
            steps: vec![Step {
                running: 3,
                last_command: 3,
                ..step(0, 1, 1, vec![start(0, 500), start(0, 500), start(1, 500)])
            }],
        },
        Case {
            name: "ends are kept",
            steps: vec![
                Step {
                    running: 1,
                    last_command: 1,
                    ..step(0, 1, 1, vec![start(0, 10)])
                },
                Step {
                    ended: 1,
                    last_command: 1,
                    ..step(11, 1, 0, vec![])
                },
                Step {
                    ended: 1,
                    ..step(12, 2, 0, vec![])
                },
            ],
        },
        Case {
            name: "a lapsed lease ends everything, a renewed one does not",
            steps: vec![
                Step {
                    running: 1,
                    last_command: 1,
                    ..step(0, 1, 1, vec![start(0, 5_000)])
                },
                Step {
                    running: 1,
                    last_command: 1,
                    ..step(1_000, 1, 0, vec![])
                },
                Step {
                    ended: 1,
                    last_command: 1,
                    ..step(2_001, 1, 0, vec![])
                },
            ],
        },
        Case {
            name: "stop and checkpoint end their task alone",
            steps: vec![
                Step {
                    running: 3,
                    last_command: 3,
                    ..step(0, 1, 1, vec![start(0, 500), start(1, 500), start(2, 500)])
                },
                Step {
                    running: 1,
                    ended: 2,
                    last_command: 5,
                    ..step(
                        1,
                        1,
                        4,
                        vec![
                            WorkerCommand::Stop { task: task(0) },
                            WorkerCommand::Checkpoint { task: task(2) },
                        ],
                    )
                },
            ],
        },
    ];
    for case in cases {
        let mut worker = worker();
        for (number, step) in case.steps.into_iter().enumerate() {
            let place = format!("{}, step {number}", case.name);
            let call = call(&mut worker, step.epoch, step.first, step.commands);
            let done = worker.sync(&call, at(step.at_ms));
            assert_eq!(word(&done), step.result, "{place}");
            let Ok(answer) = done else { continue };
            assert_eq!(answer.running.len(), step.running, "{place}");
            assert_eq!(answer.ended.len(), step.ended, "{place}");
            assert_eq!(answer.last_command, step.last_command, "{place}");
        }
    }
}

/// A payload or fault and how the attempt ends.
struct EndCase {
    name: &'static str,
    payload: &'static str,
    set: fn(&mut Switches),
    at_ms: u64,
    outcome: Outcome,
    result: &'static str,
}

#[test]
fn attempts_end_as_their_payload_and_the_switches_say() {
    let cases = [
        EndCase {
            name: "succeeds",
            payload: r#"{"run_ms":50,"result":"text"}"#,
            set: |_| {},
            at_ms: 50,
            outcome: Outcome::Succeeded,
            result: "text",
        },
        EndCase {
            name: "an unreadable payload runs briefly",
            payload: "rebuild",
            set: |_| {},
            at_ms: 10,
            outcome: Outcome::Succeeded,
            result: "",
        },
        EndCase {
            name: "fails",
            payload: r#"{"run_ms":5,"fail":true,"result":"no milk"}"#,
            set: |_| {},
            at_ms: 5,
            outcome: Outcome::Failed,
            result: "no milk",
        },
        EndCase {
            name: "the worker fails everything",
            payload: r#"{"run_ms":5}"#,
            set: |s| s.fail_all = true,
            at_ms: 5,
            outcome: Outcome::Failed,
            result: "",
        },
        EndCase {
            name: "outlives its lease",
            payload: r#"{"run_ms":5000}"#,
            set: |_| {},
            at_ms: 1_000,
            outcome: Outcome::Cancelled,
            result: "lease lapsed",
        },
    ];
    for case in cases {
        let mut worker = worker();
        let mut switches = Switches::default();
        (case.set)(&mut switches);
        worker.set_switches(switches, at(0));
        let command = WorkerCommand::Start {
            task: task(0),
            attempt: 3,
            resources: CORE,
            payload: case.payload.to_owned(),
        };
        let started = call(&mut worker, 1, 1, vec![command]);
        worker.sync(&started, at(0)).unwrap();
        worker.tick(at(6_000));
        let answer = worker.response(1, at(6_000)).unwrap();
        let ended = &answer.ended[0];
        assert_eq!(ended.attempt, 3, "{}", case.name);
        assert_eq!(ended.outcome, case.outcome, "{}", case.name);
        assert_eq!(ended.result, case.result, "{}", case.name);
        let entry = worker.journal().last().unwrap();
        assert_eq!(entry.time_us, case.at_ms * 1_000, "{}", case.name);
        let acknowledged = SyncRequest {
            acknowledged: vec![(task(0), 3)],
            ..call(&mut worker, 1, 0, vec![])
        };
        let after = worker.sync(&acknowledged, at(6_001)).unwrap();
        assert!(after.ended.is_empty(), "{}", case.name);
        let event = worker.journal().last().unwrap().event;
        assert_eq!(event, JournalEvent::Acknowledged, "{}", case.name);
    }
}

#[test]
fn a_restart_loses_tasks_and_turns_old_commands_away() {
    let mut worker = worker();
    let first = call(&mut worker, 4, 1, vec![start(0, 500)]);
    let before = worker.sync(&first, at(0)).unwrap();
    let restart = Switches {
        restart: true,
        ..Switches::default()
    };
    worker.set_switches(restart, at(5));
    let done = worker.sync(&first, at(6));
    assert_eq!(word(&done), "other boot");
    let poll = call(&mut worker, 4, 0, vec![]);
    let after = worker.sync(&poll, at(7)).unwrap();
    assert_ne!(after.boot, before.boot);
    assert!(after.running.is_empty() && after.ended.is_empty());
    assert_eq!(after.last_command, 0);
    let older = call(&mut worker, 3, 0, vec![]);
    assert_eq!(word(&worker.sync(&older, at(8))), "fenced");
    let events: Vec<_> = worker.journal().iter().map(|entry| entry.event).collect();
    let wanted = [
        JournalEvent::Booted,
        JournalEvent::Started,
        JournalEvent::Killed,
        JournalEvent::Booted,
        JournalEvent::Refused,
        JournalEvent::Fenced,
    ];
    assert_eq!(events, wanted);
}

#[test]
fn usage_is_reported_late_and_throttled() {
    let mut worker = worker();
    let lagging = Switches {
        usage_lag_ms: 100,
        ..Switches::default()
    };
    worker.set_switches(lagging, at(0));
    let uses = r#"{"run_ms":900,"uses":{"cpu_milli":4000,"memory_mib":8}}"#;
    let command = WorkerCommand::Start {
        task: task(0),
        attempt: 1,
        resources: CORE,
        payload: uses.to_owned(),
    };
    let started = call(&mut worker, 1, 1, vec![command]);
    worker.sync(&started, at(1_000)).unwrap();
    let throttle = WorkerCommand::Throttle {
        task: task(0),
        resources: CORE,
    };
    let throttled = call(&mut worker, 1, 2, vec![throttle]);
    worker.sync(&throttled, at(1_200)).unwrap();
    for (ms, cpu_milli) in [(1_099, 0), (1_100, 4_000), (1_299, 4_000), (1_300, 1_000)] {
        let answer = worker.response(1, at(ms)).unwrap();
        assert_eq!(answer.running[0].usage.cpu_milli, cpu_milli, "at {ms} ms");
    }
}

struct Rig {
    server: Arc<StandinWorkerServer>,
    workers: HttpWorkerClient,
    info: WorkerInfo,
}

async fn rig() -> Rig {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(StandinWorkerServer::new(
        StandinWorker::new("w".into(), CORE),
        None,
    ));
    tokio::spawn(serve(server.clone(), listener, std::future::pending()));
    Rig {
        server,
        workers: HttpWorkerClient::new(Duration::from_millis(200)),
        info: info(address),
    }
}

fn info(address: SocketAddr) -> WorkerInfo {
    WorkerInfo {
        name: "w".into(),
        rack: "r".into(),
        zone: "z".into(),
        capacity: CORE,
        address,
    }
}

impl Rig {
    fn call(&self, first: u64, commands: Vec<WorkerCommand>) -> SyncRequest {
        self.server.with(|worker| call(worker, 1, first, commands))
    }
}

#[tokio::test]
async fn a_poll_is_answered_as_soon_as_something_ends() {
    let rig = rig().await;
    let started = rig.call(1, vec![start(0, 100)]);
    rig.workers.sync(&rig.info, &started).await.unwrap();
    let begin = Instant::now();
    let poll = SyncRequest {
        wait_ms: 5_000,
        ..rig.call(0, vec![])
    };
    let answer = rig.workers.sync(&rig.info, &poll).await.unwrap();
    let waited = begin.elapsed();
    assert_eq!(answer.ended.len(), 1);
    assert!(waited > Duration::from_millis(50), "{waited:?}");
    assert!(waited < Duration::from_secs(2), "{waited:?}");
    let again = rig.workers.sync(&rig.info, &poll).await.unwrap();
    assert_eq!(again.ended.len(), 1, "unacknowledged ends answer at once");
    assert!(again.sequence > answer.sequence);
}

#[tokio::test]
async fn commands_go_past_a_poll_that_is_held_back() {
    let rig = rig().await;
    let poll = SyncRequest {
        wait_ms: 1_000,
        ..rig.call(0, vec![])
    };
    let started = rig.call(1, vec![start(0, 20)]);
    let begin = Instant::now();
    let (polled, commanded) = tokio::join!(rig.workers.sync(&rig.info, &poll), async {
        let done = rig.workers.sync(&rig.info, &started).await;
        (done, begin.elapsed())
    });
    assert_eq!(polled.unwrap().ended.len(), 1);
    assert_eq!(commanded.0.unwrap().running.len(), 1);
    assert!(
        commanded.1 < Duration::from_millis(500),
        "{:?}",
        commanded.1
    );
}

/// A fault, what a start meets under it, and whether the start takes effect in the end.
struct FaultCase {
    name: &'static str,
    set: fn(&mut Switches),
    result: &'static str,
    effect: bool,
}

#[tokio::test]
async fn faults_do_what_they_say() {
    let cases = [
        FaultCase {
            name: "refuse",
            set: |s| s.refuse = true,
            result: "refused",
            effect: false,
        },
        FaultCase {
            name: "hang",
            set: |s| s.hang = true,
            result: "unreachable",
            effect: true,
        },
        FaultCase {
            name: "slow beyond the timeout",
            set: |s| s.latency_ms = 500,
            result: "unreachable",
            effect: true,
        },
        FaultCase {
            name: "next answer lost",
            set: |s| s.lose_next = 1,
            result: "unreachable",
            effect: true,
        },
        FaultCase {
            name: "leaving",
            set: |s| s.leaving = true,
            result: "ok",
            effect: true,
        },
    ];
    for case in cases {
        let rig = rig().await;
        rig.server.update_switches(case.set);
        let started = rig.call(1, vec![start(0, 5_000)]);
        let done = rig.workers.sync(&rig.info, &started).await;
        assert_eq!(word(&done), case.result, "{}", case.name);
        let leaving = done.is_ok_and(|answer| answer.leaving);
        assert_eq!(leaving, case.name == "leaving", "{}", case.name);
        rig.server.update_switches(|s| *s = Switches::default());
        tokio::time::sleep(Duration::from_millis(100)).await;
        let poll = rig.call(0, vec![]);
        let answer = rig.workers.sync(&rig.info, &poll).await.unwrap();
        assert_eq!(answer.running.len() == 1, case.effect, "{}", case.name);
    }
}

#[tokio::test]
async fn a_worker_that_is_not_there_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gone = info(listener.local_addr().unwrap());
    drop(listener);
    let workers = HttpWorkerClient::new(Duration::from_millis(200));
    let done = workers.sync(&gone, &SyncRequest::default()).await;
    assert_eq!(word(&done), "unreachable");
}
