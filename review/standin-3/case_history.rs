//! The machine that acts for the queues is killed once, while the store holds the records of some hours of
//! traffic. Every submission that was accepted has to be complete in time.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, traffic, unfinished, PER_SECOND};
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

/// The hours of this traffic that the store holds when the machine is killed.
const HOURS: f64 = 4.0;

/// Traffic before the records of the earlier hours are there, after that, and after the kill.
const PHASES: [Duration; 3] = [
    Duration::from_secs(8),
    Duration::from_secs(4),
    Duration::from_secs(10),
];

/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// For so long nothing of a submission may run while there is room.
const IDLE: Duration = Duration::from_secs(3);

pub fn run(log: &'static Log, trouble: bool) -> Result<Vec<String>, String> {
    let (store, address) = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &client::config("svc", 3));
    let seen = Arc::new(Seen::default());
    let _workers = worker::start_pool(WORKERS, MACHINE.hold_max_ms, &store, &seen, log)?;
    let platform = Platform::start(MACHINES, MACHINE, address, log)?;
    thread::sleep(Duration::from_secs(10));
    let outcome = play(log, trouble, &store, &seen, &platform);
    platform.stop();
    outcome
}

fn play(
    log: &'static Log,
    trouble: bool,
    store: &Store,
    seen: &Seen,
    platform: &Platform,
) -> Result<Vec<String>, String> {
    let fronts: Vec<_> = platform.nodes.iter().map(|node| node.front).collect();
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let next = Arc::new(AtomicU64::new(1));

    traffic(log, &fronts, PHASES[0], &accepted, &next);
    // All of these have to end before their records are repeated.
    thread::sleep(Duration::from_secs(3));
    let before = accepted.lock().unwrap().len();
    let open = unfinished(&fronts, &accepted.lock().unwrap())?;
    if before == 0 || !open.is_empty() {
        return Err(format!(
            "of {before} submissions before the disruption {} are not complete",
            open.len()
        ));
    }
    let rows = (PER_SECOND * 3_600.0 * HOURS) as usize;
    store.repeat_rows("workflows", rows);
    log.line(&format!(
        "{before} submissions are complete; the store holds {rows} records, as after {HOURS} hours"
    ));

    traffic(log, &fronts, PHASES[1], &accepted, &next);
    if trouble {
        let writer = store
            .last_writer()
            .and_then(|port| platform.node_of_port(port));
        let node = writer.ok_or("the machine that wrote last is not known")?;
        log.line(&format!(
            "SIGKILL to {}, which wrote last under a condition",
            node.name
        ));
        node.kill();
    }
    traffic(log, &fronts, PHASES[2], &accepted, &next);
    let total = accepted.lock().unwrap().len();
    log.line(&format!(
        "end of the traffic: {total} submissions accepted, {} after the history",
        total - before
    ));

    thread::sleep(FINISH);
    let started = |from: usize| {
        let events = seen.events.lock().unwrap();
        events[from..]
            .iter()
            .filter(|event| event.how == "started")
            .count()
    };
    let events = seen.events.lock().unwrap().len();
    let open = unfinished(&fronts, &accepted.lock().unwrap())?;
    log.line(&format!(
        "finish_s later: {} of {total} accepted submissions are not complete",
        open.len()
    ));
    thread::sleep(IDLE);
    let still = unfinished(&fronts, &open)?;
    let starts = started(events);
    log.line(&format!(
        "{} s later: {} are not complete; {starts} tasks were started meanwhile",
        IDLE.as_secs(),
        still.len()
    ));
    let mut broken = Vec::new();
    if !still.is_empty() && starts == 0 {
        broken.push(format!(
            "LOST: {} accepted submissions have nothing running for {} s while all {WORKERS} workers are idle, \
             {} s after the end of the traffic, for example {}",
            still.len(),
            IDLE.as_secs(),
            (FINISH + IDLE).as_secs(),
            still[0]
        ));
    }
    // Whether it recovers later.
    let until = Instant::now() + Duration::from_secs(if still.is_empty() { 0 } else { 35 });
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(5));
        let used: Vec<u64> = platform.nodes.iter().map(|node| node.memory_mb()).collect();
        log.line(&format!("memory of the machines: {used:?} MB"));
    }
    if !still.is_empty() {
        let later = unfinished(&fronts, &still)?.len();
        log.line(&format!(
            "at the end {later} of them are still not complete"
        ));
    }
    let mut peaks = Vec::new();
    let mut ended = 0;
    for node in &platform.nodes {
        let ends = node.own_ends.lock().unwrap();
        ended += usize::from(!ends.is_empty());
        peaks.push(*node.peak_mb.lock().unwrap());
        if !ends.is_empty() {
            log.line(&format!(
                "{} ended by itself {} times: {}",
                node.name,
                ends.len(),
                ends.join("; ")
            ));
        }
    }
    log.line(&format!("peak memory of the machines: {peaks:?} MB; processes of {ended} machines ended by themselves"));
    Ok(broken)
}
