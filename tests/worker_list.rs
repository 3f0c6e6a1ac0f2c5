//! Tests of a worker's list of running attempts as deltas: with lost responses, restarts of the
//! worker and responses that arrive out of order.

use std::sync::Arc;
use std::time::Duration;

use chestnutlug::adapter::running_list::{
    CachedRunningList, DeltaSyncResponse, ListVersion, RunningList,
};
use chestnutlug::adapter::traffic::TrafficCounter;
use chestnutlug::adapter::worker::HttpWorkerClient;
use chestnutlug::model::{JobId, Resources, TaskId, Time, WorkerInfo};
use chestnutlug::port::worker::{
    RunningAttempt, SyncRequest, SyncResponse, WorkerClient, WorkerCommand,
};
use chestnutlug::standin::worker::{StandinWorker, StandinWorkerServer, Switches, serve};
use quickcheck::{Arbitrary, Gen};
use tokio::net::TcpListener;

fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mib: 64,
        accelerators: 0,
    }
}

fn task(index: u32) -> TaskId {
    let job = JobId::new(&"s".into(), 1);
    TaskId { job, index }
}

fn start(index: u32) -> WorkerCommand {
    WorkerCommand::Start {
        task: task(index),
        attempt: 1,
        resources: cpu(1_000),
        payload: r#"{"run_ms":3600000}"#.to_owned(),
    }
}

fn throttle(index: u32, cpu_milli: u32) -> WorkerCommand {
    WorkerCommand::Throttle {
        task: task(index),
        resources: cpu(cpu_milli),
    }
}

fn stop(index: u32) -> WorkerCommand {
    WorkerCommand::Stop { task: task(index) }
}

/// A worker and the list that its client has cached.
struct Fixture {
    worker: StandinWorker,
    cached: CachedRunningList,
    next_command: u64,
    now_ms: u64,
}

impl Fixture {
    fn new() -> Self {
        let mut worker = StandinWorker::new("w".into(), cpu(16_000));
        worker.boot(Time::default());
        Self {
            worker,
            cached: CachedRunningList::default(),
            next_command: 1,
            now_ms: 1,
        }
    }

    /// Sends commands to the worker and returns its response.
    fn command(&mut self, commands: Vec<WorkerCommand>) -> SyncResponse {
        self.now_ms += 1;
        let now = Time::from_millis(self.now_ms);
        let boot = self.worker.response(u64::MAX, now).unwrap().boot;
        let request = SyncRequest {
            epoch: 1,
            boot,
            first_command: self.next_command,
            lease_ms: 3_600_000,
            commands,
            ..SyncRequest::default()
        };
        self.next_command += request.commands.len() as u64;
        self.worker.sync(&request, now).unwrap()
    }

    fn restart(&mut self) {
        let switches = Switches {
            restart: true,
            ..Switches::default()
        };
        let now = Time::from_millis(self.now_ms);
        self.worker.set_switches(switches, now);
        self.next_command = 1;
    }

    /// Encodes `response` as a delta to the cached list, completes it, and caches the completed
    /// list.
    fn receive(&mut self, response: SyncResponse) -> DeltaSyncResponse {
        let delta = self
            .worker
            .with_list_delta(self.cached.version(), response.clone());
        let completed = self.cached.complete(delta.clone()).unwrap();
        assert_eq!(sorted(&completed), sorted(&response));
        self.cached = CachedRunningList::from_response(&completed);
        delta
    }
}

fn sorted(response: &SyncResponse) -> Vec<RunningAttempt> {
    let mut running = response.running.clone();
    running.sort_by_key(|r| (r.task.index, r.attempt));
    running
}

/// The numbers of changed and removed attempts in a delta; `None` for a snapshot.
fn delta_size(delta: &DeltaSyncResponse) -> Option<[usize; 2]> {
    match &delta.list {
        RunningList::Snapshot(_) => None,
        RunningList::Delta(changes) => Some([changes.changed.len(), changes.removed.len()]),
    }
}

/// Two responses that arrive, and the size of the second one's delta.
struct Case {
    name: &'static str,
    /// The steps in between, whose responses are lost.
    between: fn(&mut Fixture),
    last: Vec<WorkerCommand>,
    delta_size: Option<[usize; 2]>,
}

#[test]
fn deltas_reproduce_the_workers_list() {
    let cases = [
        Case {
            name: "nothing changed",
            between: |_| {},
            last: vec![],
            delta_size: Some([0, 0]),
        },
        Case {
            name: "one started",
            between: |_| {},
            last: vec![start(7)],
            delta_size: Some([1, 0]),
        },
        Case {
            name: "responses were lost",
            between: |fixture| {
                fixture.command(vec![start(7), stop(0)]);
                fixture.command(vec![stop(1)]);
            },
            last: vec![start(8)],
            delta_size: Some([2, 2]),
        },
        Case {
            name: "one changed twice",
            between: |fixture| {
                fixture.command(vec![throttle(0, 700)]);
                fixture.command(vec![throttle(0, 500)]);
            },
            last: vec![],
            delta_size: Some([1, 0]),
        },
        Case {
            name: "one started and ended",
            between: |fixture| {
                fixture.command(vec![start(7)]);
            },
            last: vec![stop(7)],
            delta_size: Some([0, 1]),
        },
        Case {
            name: "one ended and started again",
            between: |fixture| {
                fixture.command(vec![stop(0)]);
            },
            last: vec![start(0)],
            delta_size: Some([1, 1]),
        },
        Case {
            name: "the worker was restarted",
            between: Fixture::restart,
            last: vec![start(0)],
            delta_size: None,
        },
        Case {
            name: "more ended than the worker remembers",
            between: |fixture| {
                for index in 100..400 {
                    fixture.command(vec![start(index)]);
                    fixture.command(vec![stop(index)]);
                }
            },
            last: vec![],
            delta_size: None,
        },
        Case {
            name: "an attempt runs twice",
            between: |fixture| {
                fixture.command(vec![start(0)]);
            },
            last: vec![],
            delta_size: None,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        let first = fixture.command(vec![start(0), start(1), start(2)]);
        assert_eq!(delta_size(&fixture.receive(first)), None, "{}", case.name);
        (case.between)(&mut fixture);
        let last = fixture.command(case.last);
        assert_eq!(
            delta_size(&fixture.receive(last)),
            case.delta_size,
            "{}",
            case.name
        );
    }
}

#[test]
fn responses_with_the_same_base_may_arrive_out_of_order() {
    let mut fixture = Fixture::new();
    let first = fixture.command(vec![start(0), start(1)]);
    fixture.receive(first);
    let earlier = fixture.command(vec![start(2)]);
    let later = fixture.command(vec![stop(2), stop(0)]);
    let base = fixture.cached.clone();
    for response in [later, earlier] {
        let delta = fixture
            .worker
            .with_list_delta(base.version(), response.clone());
        let completed = base.complete(delta).unwrap();
        assert_eq!(sorted(&completed), sorted(&response));
    }
}

#[test]
fn deltas_that_do_not_match_the_cached_list_are_rejected() {
    let mut fixture = Fixture::new();
    let first = fixture.command(vec![start(0), start(1)]);
    fixture.receive(first);
    let later = fixture.command(vec![]);
    let delta = fixture
        .worker
        .with_list_delta(fixture.cached.version(), later);
    let mismatch = CachedRunningList::default().complete(delta).unwrap_err();
    assert_eq!((mismatch.patched, mismatch.running), (0, 2));
}

/// A random step of a worker.
#[derive(Clone, Debug)]
enum Step {
    Start(u32),
    Stop(u32),
    Throttle(u32, u32),
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = u32::arbitrary(g) % 6;
        match u8::arbitrary(g) % 16 {
            0..6 => Self::Start(index),
            6..11 => Self::Stop(index),
            11..15 => Self::Throttle(index, 100 * (1 + u32::arbitrary(g) % 4)),
            _ => Self::Restart,
        }
    }
}

#[test]
fn random_steps_with_lost_responses_reproduce_the_workers_list() {
    for seed in 0..200 {
        let mut g = Gen::from_size_and_seed(60, seed);
        let steps = Vec::<(Step, bool)>::arbitrary(&mut g);
        let mut fixture = Fixture::new();
        for (step, arrives) in steps {
            let commands = match step {
                Step::Start(index) => vec![start(index)],
                Step::Stop(index) => vec![stop(index)],
                Step::Throttle(index, cpu_milli) => vec![throttle(index, cpu_milli)],
                Step::Restart => {
                    fixture.restart();
                    vec![]
                }
            };
            let response = fixture.command(commands);
            if arrives {
                fixture.receive(response);
            }
        }
    }
}

#[tokio::test]
async fn a_lost_response_and_a_restart_over_http() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let info = WorkerInfo {
        name: "w".into(),
        rack: "r".into(),
        zone: "z".into(),
        capacity: cpu(16_000),
        address: listener.local_addr().unwrap(),
    };
    let worker = StandinWorker::new("w".into(), cpu(16_000));
    let server = Arc::new(StandinWorkerServer::new(worker, None));
    tokio::spawn(serve(server.clone(), listener, std::future::pending()));
    let traffic = Arc::new(TrafficCounter::default());
    let workers = HttpWorkerClient::new(Duration::from_secs(5)).with_traffic(traffic.clone());
    let poll = SyncRequest {
        epoch: 1,
        ..SyncRequest::default()
    };
    let boot = workers.sync(&info, &poll).await.unwrap().boot;
    let with_commands = |first_command, commands| SyncRequest {
        boot,
        first_command,
        commands,
        lease_ms: 60_000,
        ..poll.clone()
    };
    let tasks = (0..100).map(start).collect();
    let started = workers.sync(&info, &with_commands(1, tasks)).await.unwrap();
    assert_eq!(started.running.len(), 100);

    let before = traffic.totals().bytes;
    let unchanged = workers.sync(&info, &poll).await.unwrap();
    assert_eq!(sorted(&unchanged), sorted(&started));
    let bytes = traffic.totals().bytes - before;
    assert!(
        bytes < 400,
        "the response with an unchanged list and its request have {bytes} bytes"
    );

    server.update_switches(|s| s.lose_next = 1);
    let stops = with_commands(101, vec![stop(3), throttle(4, 300)]);
    workers.sync(&info, &stops).await.unwrap_err();
    let after = workers.sync(&info, &poll).await.unwrap();
    let expected = server.with(|worker| worker.response(1, Time(u64::MAX)).unwrap());
    assert_eq!(sorted(&after), sorted(&expected));
    assert_eq!(after.running.len(), 99);

    server.update_switches(|s| s.restart = true);
    let restarted = workers.sync(&info, &poll).await.unwrap();
    assert_ne!(restarted.boot, boot);
    assert_eq!(restarted.running, vec![]);
    assert_eq!(
        CachedRunningList::from_response(&restarted).version(),
        ListVersion {
            boot: restarted.boot,
            sequence: restarted.sequence
        }
    );
}
