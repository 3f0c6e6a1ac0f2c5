//! The cases of the review.

use std::time::{Duration, Instant};

use crate::cell::{Cell, HOST, URGENT_PREFIX, config};
use crate::http;
use crate::random::Random;
use crate::fleet::{Watch, Work};
use crate::json::{Json, n, obj, s};

pub enum Outcome {
    Held(String),
    Broken(String),
    CannotRun(String),
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn until(deadline: Instant, mut condition: impl FnMut() -> bool) -> bool {
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        sleep_ms(10);
    }
    true
}

fn submission(phase: Vec<(&str, Json)>) -> Json {
    obj(vec![("Spec", s("work")), ("Phases", Json::Arr(vec![obj(phase)]))])
}

/// LOST: a submission is shown as `failed` although no run of it has ever begun.
pub fn dark_workers(trouble: bool, record: &str) -> Outcome {
    const ID: &str = "5c0e7a21d94b36f8";
    let name = format!("{ID}.0.0.0");
    /// How long a machine has no power.
    const DOWN_MS: u64 = 4_500;
    /// How long before a start of the task its worker loses power, about.
    const BEFORE_MS: u64 = 600;
    /// How long the system waits after a start without an answer: the longest lease, and some more.
    const LEASE_MS: u64 = 7_400;
    let cell = Cell::start(7, &["a"; 8], &config(None), record);
    if !cell.wait_until_ready() {
        return Outcome::CannotRun("the VMs are not ready".to_owned());
    }
    // Work that is not urgent goes to the slowest workers first, once their speeds are known. Estimates are rough.
    for (index, speed) in [0.7, 0.95, 1.2, 1.7, 1.7, 1.7, 1.7, 1.7].into_iter().enumerate() {
        cell.fleet.lock().machines[index].speed = speed;
    }
    for round in 0..6u64 {
        let id = format!("{:016x}", 0x1000 + round);
        let work = Work { count: 8, work_ms: Some(1_000), cpu: 16_000, ..Work::default() };
        cell.fleet.lock().work.insert(format!("{id}.0"), work);
        let phase = vec![("Count", n(8)), ("Cpu", n(16_000)), ("MemMb", n(512)), ("EstMs", n(600))];
        let done = || cell.state(&id).as_deref() == Some("complete");
        if !cell.submit(&id, &submission(phase)) {
            return Outcome::CannotRun("a submission is not accepted".to_owned());
        }
        let complete = until(Instant::now() + Duration::from_secs(10), || {
            sleep_ms(150);
            done()
        });
        if !complete {
            return Outcome::CannotRun("the first submissions do not complete".to_owned());
        }
    }
    let work = Work { count: 1, work_ms: Some(3_000), cpu: 1_000, ..Work::default() };
    cell.fleet.lock().work.insert(format!("{ID}.0"), work);
    let phase = vec![("Count", n(1)), ("Cpu", n(1_000)), ("MemMb", n(512)), ("EstMs", n(3_000))];
    let swallowed = || cell.fleet.lock().swallowed.iter().filter(|(task, _)| *task == name).count();
    let mut outages = 0;
    for machine in 0..if trouble { 3 } else { 0 } {
        let id = cell.fleet.lock().machines[machine].id.clone();
        cell.fleet.power_off(machine);
        outages += 1;
        let off_at = Instant::now();
        if machine == 0 {
            sleep_ms(BEFORE_MS);
            if !cell.submit(ID, &submission(phase.clone())) {
                return Outcome::CannotRun("the submission is not accepted".to_owned());
            }
        }
        let before = if machine == 0 { 0 } else { swallowed() };
        let came = until(off_at + Duration::from_millis(DOWN_MS - 500), || swallowed() > before);
        let started_at = Instant::now();
        until(off_at + Duration::from_millis(DOWN_MS), || false);
        cell.fleet.expire_entry(&id);
        cell.fleet.restart(machine, false, "a", Duration::ZERO);
        if !came {
            break;
        }
        until(started_at + Duration::from_millis(LEASE_MS - BEFORE_MS), || false);
    }
    if !trouble && !cell.submit(ID, &submission(phase)) {
        return Outcome::CannotRun("the submission is not accepted".to_owned());
    }
    let is_final = |state: &Option<String>| matches!(state.as_deref(), Some("failed" | "complete" | "canceled"));
    until(Instant::now() + Duration::from_secs(25), || {
        sleep_ms(300);
        is_final(&cell.state(ID))
    });
    let state = cell.state(ID);
    let fleet = cell.fleet.lock();
    let begun = fleet.starts.iter().filter(|start| start.task == name).count();
    let fair = fleet.swallowed.iter().filter(|(task, _)| *task == name).filter(|(_, before)| *before).count();
    let text = format!("state {state:?}; {begun} runs have begun; {outages} machines were without power, {fair} got starts");
    match state.as_deref() {
        Some("failed" | "canceled") if begun == 0 => Outcome::Broken(text),
        Some("complete" | "running" | "queued") => Outcome::Held(text),
        _ => Outcome::CannotRun(text),
    }
}

/// ROUTE: a task starts on a worker without the label that it requires.
pub fn other_kind(trouble: bool, record: &str) -> Outcome {
    /// How long the crashed worker is down.
    const DOWN_MS: u64 = 1_000;
    /// How long after its start the worker writes its first entry: half of the report interval.
    const FIRST_BEAT_MS: u64 = 750;
    let cell = Cell::start(7, &["a", "b", "a", "b", "b", "b", "b", "b"], &config(None), record);
    if !cell.wait_until_ready() {
        return Outcome::CannotRun("the VMs are not ready".to_owned());
    }
    let hand_in = |number: u64| {
        let id = format!("{:016x}", 0x1000 + number);
        let work = Work { count: 8, work_ms: Some(1_500), cpu: 2_000, ..Work::default() };
        cell.fleet.lock().work.insert(format!("{id}.0"), work);
        let phase = vec![
            ("Count", n(8)),
            ("Cpu", n(2_000)),
            ("MemMb", n(1_024)),
            ("EstMs", n(1_500)),
            ("Requires", s("a")),
        ];
        cell.submit(&id, &submission(phase))
    };
    // Both workers of kind `a` are in use, and further work for that kind waits.
    for number in 0..12 {
        if !hand_in(number) {
            return Outcome::CannotRun("a submission is not accepted".to_owned());
        }
    }
    sleep_ms(1_000);
    if trouble {
        cell.fleet.crash(0);
        sleep_ms(DOWN_MS);
        cell.fleet.restart(0, true, "b", Duration::from_millis(FIRST_BEAT_MS));
    } else {
        sleep_ms(DOWN_MS);
    }
    sleep_ms(8_000);
    let state = cell.fleet.lock();
    let wrong: Vec<String> = state.starts.iter().filter(|start| start.kind != "a").map(|start| {
        format!("{} run {} on {} of kind {}", start.task, start.run, start.worker, start.kind)
    }).collect();
    let text = format!("{} starts, without the label: {wrong:?}", state.starts.len());
    if state.starts.is_empty() {
        Outcome::CannotRun(text)
    } else if wrong.is_empty() {
        Outcome::Held(text)
    } else {
        Outcome::Broken(text)
    }
}

/// LOST: tasks that last do not run although there is room for them twice over.
pub fn kept_room(trouble: bool, record: &str) -> Outcome {
    const ID: &str = "5c0e7a21d94b36f8";
    /// The tasks that last, of three cores each; the workers have 128 cores.
    const TASKS: u64 = 26;
    /// The usual submissions of the urgent queue a second: two tasks of 1.4 cores and 0.8 s, a ninth of the cores.
    const URGENT_PER_S: f64 = 6.4;
    /// The traffic of a burst, as a multiple of the usual one.
    const BURST: f64 = 2.6;
    const SECONDS: u64 = 45;
    let cell = Cell::start(7, &["a", "b", "a", "b", "a", "b", "a", "b"], &config(None), record);
    if !cell.wait_until_ready() {
        return Outcome::CannotRun("the VMs are not ready".to_owned());
    }
    let end = Instant::now() + Duration::from_secs(SECONDS);
    let addresses: Vec<_> = cell.vms.iter().map(|vm| vm.callers).collect();
    let per_s = if trouble { BURST * URGENT_PER_S } else { URGENT_PER_S };
    let mut clients = Vec::new();
    for client in 0..4u64 {
        let (addresses, fleet, record) = (addresses.clone(), cell.fleet.clone(), cell.record.clone());
        clients.push(std::thread::spawn(move || {
            let mut random = Random::new(client + 1);
            let mut number = 0;
            while Instant::now() < end {
                let interval = 4_000.0 / per_s;
                // A submission takes about 30 ms.
                sleep_ms(random.between((interval * 0.7) as u64, (interval * 1.3) as u64) - 30);
                number += 1;
                let id = format!("{:016x}", client << 32 | number);
                let work = Work { count: 2, work_ms: Some(800), cpu: 1_400, ..Work::default() };
                fleet.lock().work.insert(format!("{id}.0"), work);
                let phase = vec![("Count", n(2)), ("Cpu", n(1_400)), ("MemMb", n(512)), ("EstMs", n(800))];
                let (address, path) = (addresses[number as usize % addresses.len()], format!("{URGENT_PREFIX}{id}"));
                let response = http::call(address, "POST", HOST, &path, &[], &submission(phase).to_string());
                record.line(&format!("client: POST {path} -> {:?}", response.map(|(status, _)| status)));
            }
        }));
    }
    sleep_ms(5_000);
    let work = Work { count: TASKS as usize, work_ms: None, cpu: 3_000, ..Work::default() };
    cell.fleet.lock().work.insert(format!("{ID}.0"), work);
    let phase = vec![
        ("Count", n(TASKS)),
        ("Cpu", n(3_000)),
        ("MemMb", n(512)),
        ("EstMs", n(1_000)),
        ("LongRunning", Json::Bool(true)),
    ];
    if !cell.submit(ID, &submission(phase)) {
        return Outcome::CannotRun("the submission is not accepted".to_owned());
    }
    cell.fleet.lock().watch = Some(Watch {
        step: format!("{ID}.0.0"),
        from: Instant::now() + Duration::from_secs(6),
        waits_since: None,
        longest: Duration::ZERO,
        seen: (0, 0),
    });
    for client in clients {
        let _ = client.join();
    }
    let state = cell.fleet.lock();
    let Some(watch) = state.watch.clone() else {
        return Outcome::CannotRun("nothing was watched".to_owned());
    };
    let runs = state.machines.iter().flat_map(|machine| machine.runs.keys());
    let running = runs.filter(|task| task.starts_with(ID)).count();
    let text = format!(
        "{running} of {TASKS} tasks run at the end; the longest time with a task that did not run beside room for two \
         or more: {:.1} s, then {} ran and {} more would have fit",
        watch.longest.as_secs_f64(),
        watch.seen.0,
        watch.seen.1
    );
    // Three seconds, and the four before them.
    if watch.longest >= Duration::from_secs(7) { Outcome::Broken(text) } else { Outcome::Held(text) }
}
