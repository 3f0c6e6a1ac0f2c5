//! Large submissions come at once and are accepted. Small submissions that are accepted later have to be
//! complete in time.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, traffic, unfinished, Client};
use crate::platform::{Machine, Platform};
use crate::record::Log;
use crate::store::Store;
use crate::worker::{self, Seen};

const MACHINES: usize = 7;
const WORKERS: usize = 48;
const MACHINE: Machine = Machine {
    memory_mb: 260,
    cpu_share: 0.25,
    hold_max_ms: 10_000,
    grace_s: 6,
};

/// The large submissions, and the clients that send them.
const LARGE: u64 = 30;
const LARGE_CLIENTS: u64 = 10;

/// One step of 100,000 tasks, each 2.2 s on 0.98 cores.
const LARGE_BODY: &str =
    "{\"Spec\":\"work-ms 2200\",\"Phases\":[{\"Count\":100000,\"Cpu\":980,\"MemMb\":1400,\"EstMs\":2200}]}";

/// Traffic of small submissions before and after the large ones.
const PHASES: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(15)];

/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// For so long nothing of a submission may run while there is room.
const IDLE: Duration = Duration::from_secs(3);

pub fn run(log: &'static Log, trouble: bool) -> Result<Vec<String>, String> {
    let (store, address) = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &client::config("svc", 3));
    let seen = Arc::new(Seen::default());
    worker::start_pool(WORKERS, MACHINE.hold_max_ms, &store, &seen)?;
    let platform = Platform::start(MACHINES, MACHINE, address, log)?;
    thread::sleep(Duration::from_secs(10));
    let outcome = play(log, trouble, &seen, &platform);
    platform.stop();
    outcome
}

fn play(
    log: &'static Log,
    trouble: bool,
    seen: &Seen,
    platform: &Platform,
) -> Result<Vec<String>, String> {
    let fronts: Vec<_> = platform.nodes.iter().map(|node| node.front).collect();
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let next = Arc::new(AtomicU64::new(1));
    traffic(log, &fronts, PHASES[0], &accepted, &next);
    thread::sleep(Duration::from_secs(3));
    let before = accepted.lock().unwrap().len();
    let open = unfinished(&fronts, &accepted.lock().unwrap())?;
    if before == 0 || !open.is_empty() {
        return Err(format!(
            "of {before} submissions before the disruption {} are not complete",
            open.len()
        ));
    }
    if trouble {
        let clients: Vec<_> = (0..LARGE_CLIENTS)
            .map(|number| {
                let mut client = Client::new(&fronts, number as usize);
                thread::spawn(move || {
                    let mut answers = Vec::new();
                    for round in 0..LARGE / LARGE_CLIENTS {
                        let id = format!("{:016x}", 0xaaaa_0000 + round * LARGE_CLIENTS + number);
                        let answer = client.submit(&id, LARGE_BODY);
                        log.detail(&format!("client: POST {id}, 100,000 tasks: {answer:?}"));
                        answers.push(answer);
                    }
                    answers
                })
            })
            .collect();
        let answers: Vec<_> = clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .flatten()
            .collect();
        let accepted = answers.iter().filter(|answer| **answer == Ok(200)).count();
        log.line(&format!(
            "{accepted} of {} large submissions are accepted",
            answers.len()
        ));
    }
    traffic(log, &fronts, PHASES[1], &accepted, &next);
    let total = accepted.lock().unwrap().len();
    log.line(&format!(
        "end of the traffic: {total} small submissions accepted, {} after the large ones",
        total - before
    ));

    thread::sleep(FINISH);
    let open = unfinished(&fronts, &accepted.lock().unwrap())?;
    log.line(&format!(
        "finish_s later: {} of {total} small submissions are not complete",
        open.len()
    ));
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let starts_before = count(&seen.starts);
    thread::sleep(IDLE);
    let still = unfinished(&fronts, &open)?;
    let ends = count(&seen.ends);
    let starts = count(&seen.starts) - starts_before;
    let running = count(&seen.starts).saturating_sub(ends);
    log.line(&format!(
        "{} s later: {} are not complete; {starts} tasks were started meanwhile, {running} tasks run on the workers",
        IDLE.as_secs(),
        still.len()
    ));
    let mut broken = Vec::new();
    if !still.is_empty() && starts == 0 && running < WORKERS {
        broken.push(format!(
            "LOST: {} accepted submissions of two tasks have nothing running for {} s while {running} tasks run on \
             {WORKERS} workers of 16 cores, {} s after the end of the traffic, for example {}",
            still.len(),
            IDLE.as_secs(),
            (FINISH + IDLE).as_secs(),
            still[0]
        ));
    }
    for node in &platform.nodes {
        let ends = node.own_ends.lock().unwrap();
        if !ends.is_empty() {
            log.line(&format!(
                "{} ended by itself {} times, the first: {}",
                node.name,
                ends.len(),
                ends[0]
            ));
        }
    }
    Ok(broken)
}
