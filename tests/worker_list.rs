//! A worker's list of running attempts by its changes: lost answers, restarts, answers that overtake.

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

/// A worker and what the caller holds of it.
struct Rig {
    worker: StandinWorker,
    held: CachedRunningList,
    next: u64,
    now_ms: u64,
}

impl Rig {
    fn new() -> Self {
        let mut worker = StandinWorker::new("w".into(), cpu(16_000));
        worker.boot(Time::default());
        Self {
            worker,
            held: CachedRunningList::default(),
            next: 1,
            now_ms: 1,
        }
    }

    fn command(&mut self, commands: Vec<WorkerCommand>) -> SyncResponse {
        self.now_ms += 1;
        let now = Time::from_millis(self.now_ms);
        let boot = self.worker.response(u64::MAX, now).unwrap().boot;
        let call = SyncRequest {
            epoch: 1,
            boot,
            first_command: self.next,
            lease_ms: 3_600_000,
            commands,
            ..SyncRequest::default()
        };
        self.next += call.commands.len() as u64;
        self.worker.sync(&call, now).unwrap()
    }

    fn restart(&mut self) {
        let switches = Switches {
            restart: true,
            ..Switches::default()
        };
        let now = Time::from_millis(self.now_ms);
        self.worker.set_switches(switches, now);
        self.next = 1;
    }

    /// Lists `answer` as changes since what is held, and holds the completed one.
    fn take(&mut self, answer: SyncResponse) -> DeltaSyncResponse {
        let listed = self
            .worker
            .with_list_delta(self.held.version(), answer.clone());
        let completed = self.held.complete(listed.clone()).unwrap();
        assert_eq!(sorted(&completed), sorted(&answer));
        self.held = CachedRunningList::from_response(&completed);
        listed
    }
}

fn sorted(answer: &SyncResponse) -> Vec<RunningAttempt> {
    let mut running = answer.running.clone();
    running.sort_by_key(|r| (r.task.index, r.attempt));
    running
}

/// What the wire carried: attempts that changed and that are gone; `None` for a whole list.
fn carried(listed: &DeltaSyncResponse) -> Option<[usize; 2]> {
    match &listed.list {
        RunningList::Snapshot(_) => None,
        RunningList::Delta(changes) => Some([changes.changed.len(), changes.removed.len()]),
    }
}

/// Steps between an answer that is held and the next one that arrives.
struct Case {
    name: &'static str,
    between: fn(&mut Rig),
    last: Vec<WorkerCommand>,
    carried: Option<[usize; 2]>,
}

#[test]
fn lists_lead_to_the_workers_state() {
    let cases = [
        Case {
            name: "nothing changed",
            between: |_| {},
            last: vec![],
            carried: Some([0, 0]),
        },
        Case {
            name: "one began",
            between: |_| {},
            last: vec![start(7)],
            carried: Some([1, 0]),
        },
        Case {
            name: "answers were lost",
            between: |rig| {
                rig.command(vec![start(7), stop(0)]);
                rig.command(vec![stop(1)]);
            },
            last: vec![start(8)],
            carried: Some([2, 2]),
        },
        Case {
            name: "one changed twice",
            between: |rig| {
                rig.command(vec![throttle(0, 700)]);
                rig.command(vec![throttle(0, 500)]);
            },
            last: vec![],
            carried: Some([1, 0]),
        },
        Case {
            name: "one began and ended",
            between: |rig| {
                rig.command(vec![start(7)]);
            },
            last: vec![stop(7)],
            carried: Some([0, 1]),
        },
        Case {
            name: "one ended and began again",
            between: |rig| {
                rig.command(vec![stop(0)]);
            },
            last: vec![start(0)],
            carried: Some([1, 1]),
        },
        Case {
            name: "the worker was started again",
            between: Rig::restart,
            last: vec![start(0)],
            carried: None,
        },
        Case {
            name: "more ended than the worker remembers",
            between: |rig| {
                for index in 100..400 {
                    rig.command(vec![start(index)]);
                    rig.command(vec![stop(index)]);
                }
            },
            last: vec![],
            carried: None,
        },
        Case {
            name: "an attempt runs twice",
            between: |rig| {
                rig.command(vec![start(0)]);
            },
            last: vec![],
            carried: None,
        },
    ];
    for case in cases {
        let mut rig = Rig::new();
        let first = rig.command(vec![start(0), start(1), start(2)]);
        assert_eq!(carried(&rig.take(first)), None, "{}", case.name);
        (case.between)(&mut rig);
        let last = rig.command(case.last);
        assert_eq!(carried(&rig.take(last)), case.carried, "{}", case.name);
    }
}

#[test]
fn answers_to_the_same_list_may_overtake_each_other() {
    let mut rig = Rig::new();
    let first = rig.command(vec![start(0), start(1)]);
    rig.take(first);
    let earlier = rig.command(vec![start(2)]);
    let later = rig.command(vec![stop(2), stop(0)]);
    let base = rig.held.clone();
    for answer in [later, earlier] {
        let listed = rig.worker.with_list_delta(base.version(), answer.clone());
        let completed = base.complete(listed).unwrap();
        assert_eq!(sorted(&completed), sorted(&answer));
    }
}

#[test]
fn changes_that_do_not_add_up_are_refused() {
    let mut rig = Rig::new();
    let first = rig.command(vec![start(0), start(1)]);
    rig.take(first);
    let later = rig.command(vec![]);
    let listed = rig.worker.with_list_delta(rig.held.version(), later);
    let mismatch = CachedRunningList::default().complete(listed).unwrap_err();
    assert_eq!((mismatch.held, mismatch.running), (0, 2));
}

/// What happens next to a worker or to its answer.
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
fn any_steps_with_lost_answers_lead_to_the_workers_state() {
    for seed in 0..200 {
        let mut g = Gen::from_size_and_seed(60, seed);
        let steps = Vec::<(Step, bool)>::arbitrary(&mut g);
        let mut rig = Rig::new();
        for (step, arrives) in steps {
            let commands = match step {
                Step::Start(index) => vec![start(index)],
                Step::Stop(index) => vec![stop(index)],
                Step::Throttle(index, cpu_milli) => vec![throttle(index, cpu_milli)],
                Step::Restart => {
                    rig.restart();
                    vec![]
                }
            };
            let answer = rig.command(commands);
            if arrives {
                rig.take(answer);
            }
        }
    }
}

#[tokio::test]
async fn a_lost_answer_and_a_restart_over_http() {
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
    let look = SyncRequest {
        epoch: 1,
        ..SyncRequest::default()
    };
    let boot = workers.sync(&info, &look).await.unwrap().boot;
    let command = |first_command, commands| SyncRequest {
        boot,
        first_command,
        commands,
        lease_ms: 60_000,
        ..look.clone()
    };
    let tasks = (0..100).map(start).collect();
    let began = workers.sync(&info, &command(1, tasks)).await.unwrap();
    assert_eq!(began.running.len(), 100);

    let before = traffic.totals().bytes;
    let same = workers.sync(&info, &look).await.unwrap();
    assert_eq!(sorted(&same), sorted(&began));
    let used = traffic.totals().bytes - before;
    assert!(used < 400, "an unchanged list took {used} bytes");

    server.update_switches(|s| s.lose_next = 1);
    let stopped = command(101, vec![stop(3), throttle(4, 300)]);
    workers.sync(&info, &stopped).await.unwrap_err();
    let after = workers.sync(&info, &look).await.unwrap();
    let truth = server.with(|worker| worker.response(1, Time(u64::MAX)).unwrap());
    assert_eq!(sorted(&after), sorted(&truth));
    assert_eq!(after.running.len(), 99);

    server.update_switches(|s| s.restart = true);
    let restarted = workers.sync(&info, &look).await.unwrap();
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
