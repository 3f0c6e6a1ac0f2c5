//! One of eight workers crashes three times, each time shortly after its start, and then runs on. A
//! submission that needs it has to be done then.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Client};
use crate::platform::{Machine, Platform};
use crate::record::Log;
use crate::store::Store;
use crate::worker::{Seen, Spec, Worker};

const MACHINES: usize = 7;
const WORKERS: usize = 8;
const MACHINE: Machine = Machine {
    memory_mb: 260,
    cpu_share: 0.25,
    hold_max_ms: 10_000,
    grace_s: 6,
};
const ATTEMPTS: u32 = 3;

/// How often the worker crashes, how long it is down, and how long after its start it crashes again.
const CRASHES: usize = 3;
const DOWN: Duration = Duration::from_millis(4_500);
const UP: Duration = Duration::from_millis(400);

/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(log: &'static Log, trouble: bool) -> Result<Vec<String>, String> {
    let (store, address) = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &client::config("svc", ATTEMPTS));
    let seen = Arc::new(Seen {
        detailed: true,
        ..Seen::default()
    });
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let kind = if number == 0 { "b" } else { "a" };
        let spec = Spec {
            id: format!("i-{number:08x}"),
            service: "svc",
            zone: ["zone-a", "zone-b", "zone-c"][number % 3],
            labels: [kind.to_owned(), format!("r1-{}", number / 4)],
            cpu: 16_000,
            mem_mb: 32_768,
            hold_max_ms: MACHINE.hold_max_ms,
        };
        workers.push(Worker::start(spec, &store, &seen, log)?);
    }
    let platform = Platform::start(MACHINES, MACHINE, address, log)?;
    thread::sleep(Duration::from_secs(10));
    let outcome = play(log, trouble, &seen, &workers, &platform);
    platform.stop();
    outcome
}

fn play(
    log: &'static Log,
    trouble: bool,
    seen: &Seen,
    workers: &[Arc<Worker>],
    platform: &Platform,
) -> Result<Vec<String>, String> {
    let fronts: Vec<_> = platform.nodes.iter().map(|node| node.front).collect();
    let mut client = Client::new(&fronts, 0);
    let body = |kind: &str| {
        format!(
            "{{\"Spec\":\"work-ms 2200\",\"Phases\":[{{\"Count\":4,\"Cpu\":1000,\"MemMb\":512,\"EstMs\":2200,\
             \"Requires\":\"{kind}\"}}]}}"
        )
    };
    // The worker crashes while nothing needs it, and then again after each start.
    if trouble {
        log.line(&format!("worker {} crashes", workers[0].spec.id));
        workers[0].crash();
        thread::sleep(Duration::from_millis(500));
    }
    let ids: Vec<String> = (1..=6).map(|number| format!("{number:016x}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let kind = if number < 3 { "b" } else { "a" };
        let answer = client.submit(id, &body(kind));
        log.line(&format!("client: POST {id}, requires {kind}: {answer:?}"));
        if answer != Ok(200) {
            return Err("a submission was not accepted before the disruption".to_owned());
        }
    }
    if trouble {
        for _ in 0..CRASHES {
            thread::sleep(DOWN);
            workers[0].begin_life()?;
            log.line(&format!("worker {} starts", workers[0].spec.id));
            thread::sleep(UP);
            log.line(&format!("worker {} crashes", workers[0].spec.id));
            workers[0].crash();
        }
        thread::sleep(DOWN);
        workers[0].begin_life()?;
        log.line(&format!(
            "worker {} starts, and runs on",
            workers[0].spec.id
        ));
    }
    let until = Instant::now() + FINISH + Duration::from_secs(12);
    let mut states = Vec::new();
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(1));
        let asked: Vec<_> = ids.iter().map(|id| client.state(id)).collect();
        if asked != states {
            log.line(&format!("states: {asked:?}"));
            states = asked;
        }
    }
    let mut broken = Vec::new();
    for (id, state) in ids.iter().zip(&states) {
        let events = seen.events.lock().unwrap();
        let of_it: Vec<_> = events
            .iter()
            .filter(|event| event.task.starts_with(id.as_str()))
            .collect();
        let count = |how: &str| of_it.iter().filter(|event| event.how == how).count();
        let (failed, lost) = (count("failed"), count("lost with its worker"));
        log.line(&format!(
            "{id}: {state:?}; {} starts, {} done, {failed} failed, {lost} lost with their worker",
            count("started"),
            count("done")
        ));
        if state.as_deref() != Ok("complete") {
            broken.push(format!(
                "LOST: {id} is shown as {state:?}, with {failed} ends `failed` of {ATTEMPTS} attempts a task; \
                 nobody cancelled it"
            ));
        }
    }
    Ok(broken)
}
