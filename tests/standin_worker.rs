//! Tests the stand-in worker as a state machine and over HTTP.

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

/// Request under `epoch` with commands for the current boot of `worker`.
fn request(
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

/// A request and its expected result, and the expected state in the response.
struct Step {
    at_ms: u64,
    epoch: u64,
    first_command: u64,
    commands: Vec<WorkerCommand>,
    result: &'static str,
    running: usize,
    ended: usize,
    last_command: u64,
}

fn step(at_ms: u64, epoch: u64, first_command: u64, commands: Vec<WorkerCommand>) -> Step {
    Step {
        at_ms,
        epoch,
        first_command,
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

fn result_name<T>(result: &Result<T, WorkerError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(WorkerError::Fenced { .. }) => "fenced",
        Err(WorkerError::Unreachable(_)) => "unreachable",
        Err(WorkerError::OtherBoot { .. }) => "other boot",
        Err(WorkerError::Refused(_)) => "refused",
    }
}

#[test]
fn commands_are_executed_once_in_order_and_under_the_highest_epoch() {
    let cases = [
        Case {
            name: "repeated commands are executed once",
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
            name: "gap in the command numbers is refused",
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
            name: "older epoch is fenced without effect",
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
            name: "newer epoch sees running attempts and restarts command numbers",
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
            name: "attempts that do not fit or already run are started",
            steps: vec![Step {
                running: 3,
                last_command: 3,
                ..step(0, 1, 1, vec![start(0, 500), start(0, 500), start(1, 500)])
            }],
        },
        Case {
            name: "unacknowledged ends are kept",
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
            name: "expired lease ends all attempts, renewed lease none",
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
            name: "stop and checkpoint end only their task",
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
        for (step_index, step) in case.steps.into_iter().enumerate() {
            let context = format!("{}, step {step_index}", case.name);
            let request = request(&mut worker, step.epoch, step.first_command, step.commands);
            let result = worker.sync(&request, at(step.at_ms));
            assert_eq!(result_name(&result), step.result, "{context}");
            let Ok(response) = result else { continue };
            assert_eq!(response.running.len(), step.running, "{context}");
            assert_eq!(response.ended.len(), step.ended, "{context}");
            assert_eq!(response.last_command, step.last_command, "{context}");
        }
    }
}

/// A payload or fault, and the expected end of the attempt.
struct EndCase {
    name: &'static str,
    payload: &'static str,
    set_fault: fn(&mut Switches),
    at_ms: u64,
    outcome: Outcome,
    result: &'static str,
}

#[test]
fn attempts_end_as_payload_and_switches_specify() {
    let cases = [
        EndCase {
            name: "succeeds",
            payload: r#"{"run_ms":50,"result":"text"}"#,
            set_fault: |_| {},
            at_ms: 50,
            outcome: Outcome::Succeeded,
            result: "text",
        },
        EndCase {
            name: "unparsable payload runs for the default time",
            payload: "rebuild",
            set_fault: |_| {},
            at_ms: 10,
            outcome: Outcome::Succeeded,
            result: "",
        },
        EndCase {
            name: "fails",
            payload: r#"{"run_ms":5,"fail":true,"result":"no milk"}"#,
            set_fault: |_| {},
            at_ms: 5,
            outcome: Outcome::Failed,
            result: "no milk",
        },
        EndCase {
            name: "worker fails all tasks",
            payload: r#"{"run_ms":5}"#,
            set_fault: |s| s.fail_all = true,
            at_ms: 5,
            outcome: Outcome::Failed,
            result: "",
        },
        EndCase {
            name: "lease expires first",
            payload: r#"{"run_ms":5000}"#,
            set_fault: |_| {},
            at_ms: 1_000,
            outcome: Outcome::Cancelled,
            result: "lease lapsed",
        },
    ];
    for case in cases {
        let mut worker = worker();
        let mut switches = Switches::default();
        (case.set_fault)(&mut switches);
        worker.set_switches(switches, at(0));
        let command = WorkerCommand::Start {
            task: task(0),
            attempt: 3,
            resources: CORE,
            payload: case.payload.to_owned(),
        };
        let start_request = request(&mut worker, 1, 1, vec![command]);
        worker.sync(&start_request, at(0)).unwrap();
        worker.tick(at(6_000));
        let response = worker.response(1, at(6_000)).unwrap();
        let ended = &response.ended[0];
        assert_eq!(ended.attempt, 3, "{}", case.name);
        assert_eq!(ended.outcome, case.outcome, "{}", case.name);
        assert_eq!(ended.result, case.result, "{}", case.name);
        let entry = worker.journal().last().unwrap();
        assert_eq!(entry.time_us, case.at_ms * 1_000, "{}", case.name);
        let acknowledgement = SyncRequest {
            acknowledged: vec![(task(0), 3)],
            ..request(&mut worker, 1, 0, vec![])
        };
        let after = worker.sync(&acknowledgement, at(6_001)).unwrap();
        assert!(after.ended.is_empty(), "{}", case.name);
        let event = worker.journal().last().unwrap().event;
        assert_eq!(event, JournalEvent::Acknowledged, "{}", case.name);
    }
}

#[test]
fn restart_drops_tasks_and_rejects_earlier_commands() {
    let mut worker = worker();
    let first_request = request(&mut worker, 4, 1, vec![start(0, 500)]);
    let before = worker.sync(&first_request, at(0)).unwrap();
    let restart = Switches {
        restart: true,
        ..Switches::default()
    };
    worker.set_switches(restart, at(5));
    let result = worker.sync(&first_request, at(6));
    assert_eq!(result_name(&result), "other boot");
    let poll = request(&mut worker, 4, 0, vec![]);
    let after = worker.sync(&poll, at(7)).unwrap();
    assert_ne!(after.boot, before.boot);
    assert!(after.running.is_empty() && after.ended.is_empty());
    assert_eq!(after.last_command, 0);
    let older_request = request(&mut worker, 3, 0, vec![]);
    assert_eq!(result_name(&worker.sync(&older_request, at(8))), "fenced");
    let events: Vec<_> = worker.journal().iter().map(|entry| entry.event).collect();
    let expected_events = [
        JournalEvent::Booted,
        JournalEvent::Started,
        JournalEvent::Killed,
        JournalEvent::Booted,
        JournalEvent::Refused,
        JournalEvent::Fenced,
    ];
    assert_eq!(events, expected_events);
}

#[test]
fn reported_usage_lags_and_is_throttled() {
    let mut worker = worker();
    let switches = Switches {
        usage_lag_ms: 100,
        ..Switches::default()
    };
    worker.set_switches(switches, at(0));
    let payload = r#"{"run_ms":900,"uses":{"cpu_milli":4000,"memory_mib":8}}"#;
    let command = WorkerCommand::Start {
        task: task(0),
        attempt: 1,
        resources: CORE,
        payload: payload.to_owned(),
    };
    let start_request = request(&mut worker, 1, 1, vec![command]);
    worker.sync(&start_request, at(1_000)).unwrap();
    let throttle = WorkerCommand::Throttle {
        task: task(0),
        resources: CORE,
    };
    let throttle_request = request(&mut worker, 1, 2, vec![throttle]);
    worker.sync(&throttle_request, at(1_200)).unwrap();
    for (ms, cpu_milli) in [(1_099, 0), (1_100, 4_000), (1_299, 4_000), (1_300, 1_000)] {
        let response = worker.response(1, at(ms)).unwrap();
        assert_eq!(response.running[0].usage.cpu_milli, cpu_milli, "at {ms} ms");
    }
}

struct Fixture {
    server: Arc<StandinWorkerServer>,
    workers: HttpWorkerClient,
    info: WorkerInfo,
}

async fn fixture() -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(StandinWorkerServer::new(
        StandinWorker::new("w".into(), CORE),
        None,
    ));
    tokio::spawn(serve(server.clone(), listener, std::future::pending()));
    Fixture {
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

impl Fixture {
    fn request(&self, first_command: u64, commands: Vec<WorkerCommand>) -> SyncRequest {
        self.server
            .with(|worker| request(worker, 1, first_command, commands))
    }
}

#[tokio::test]
async fn poll_returns_when_an_attempt_ends() {
    let fixture = fixture().await;
    let start_request = fixture.request(1, vec![start(0, 100)]);
    fixture
        .workers
        .sync(&fixture.info, &start_request)
        .await
        .unwrap();
    let started_at = Instant::now();
    let poll = SyncRequest {
        wait_ms: 5_000,
        ..fixture.request(0, vec![])
    };
    let response = fixture.workers.sync(&fixture.info, &poll).await.unwrap();
    let elapsed = started_at.elapsed();
    assert_eq!(response.ended.len(), 1);
    assert!(elapsed > Duration::from_millis(50), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    let repeated = fixture.workers.sync(&fixture.info, &poll).await.unwrap();
    assert_eq!(
        repeated.ended.len(),
        1,
        "unacknowledged ends are returned immediately"
    );
    assert!(repeated.sequence > response.sequence);
}

#[tokio::test]
async fn commands_are_handled_during_a_poll() {
    let fixture = fixture().await;
    let poll = SyncRequest {
        wait_ms: 1_000,
        ..fixture.request(0, vec![])
    };
    let start_request = fixture.request(1, vec![start(0, 20)]);
    let started_at = Instant::now();
    let (poll_result, command_result) =
        tokio::join!(fixture.workers.sync(&fixture.info, &poll), async {
            let result = fixture.workers.sync(&fixture.info, &start_request).await;
            (result, started_at.elapsed())
        });
    assert_eq!(poll_result.unwrap().ended.len(), 1);
    assert_eq!(command_result.0.unwrap().running.len(), 1);
    assert!(
        command_result.1 < Duration::from_millis(500),
        "{:?}",
        command_result.1
    );
}

/// A fault, the result of a start under it, and whether the start takes effect in the end.
struct FaultCase {
    name: &'static str,
    set_fault: fn(&mut Switches),
    result: &'static str,
    takes_effect: bool,
}

#[tokio::test]
async fn faults_have_their_effects() {
    let cases = [
        FaultCase {
            name: "refuse",
            set_fault: |s| s.refuse = true,
            result: "refused",
            takes_effect: false,
        },
        FaultCase {
            name: "hang",
            set_fault: |s| s.hang = true,
            result: "unreachable",
            takes_effect: true,
        },
        FaultCase {
            name: "latency exceeds the timeout",
            set_fault: |s| s.latency_ms = 500,
            result: "unreachable",
            takes_effect: true,
        },
        FaultCase {
            name: "next response lost",
            set_fault: |s| s.lose_next = 1,
            result: "unreachable",
            takes_effect: true,
        },
        FaultCase {
            name: "leaving",
            set_fault: |s| s.leaving = true,
            result: "ok",
            takes_effect: true,
        },
    ];
    for case in cases {
        let fixture = fixture().await;
        fixture.server.update_switches(case.set_fault);
        let start_request = fixture.request(1, vec![start(0, 5_000)]);
        let result = fixture.workers.sync(&fixture.info, &start_request).await;
        assert_eq!(result_name(&result), case.result, "{}", case.name);
        let leaving = result.is_ok_and(|response| response.leaving);
        assert_eq!(leaving, case.name == "leaving", "{}", case.name);
        fixture.server.update_switches(|s| *s = Switches::default());
        tokio::time::sleep(Duration::from_millis(100)).await;
        let poll = fixture.request(0, vec![]);
        let response = fixture.workers.sync(&fixture.info, &poll).await.unwrap();
        assert_eq!(
            response.running.len() == 1,
            case.takes_effect,
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn stopped_worker_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable = info(listener.local_addr().unwrap());
    drop(listener);
    let workers = HttpWorkerClient::new(Duration::from_millis(200));
    let result = workers.sync(&unreachable, &SyncRequest::default()).await;
    assert_eq!(result_name(&result), "unreachable");
}
