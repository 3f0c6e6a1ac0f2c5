//! What each case does, and how its rule is checked.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use crate::cell::{Answer, Cell};
use crate::fleet::{Past, Step};
use crate::json::{Json, map, n};

/// A phase as clients send it.
fn phase(count: u64, cpu: u64, est_ms: u64, more: Vec<(&str, Json)>) -> Json {
    let mut members = vec![("Count", n(count)), ("Cpu", n(cpu)), ("MemMb", n(64))];
    members.push(("EstMs", n(est_ms)));
    members.extend(more);
    map(members)
}

fn sleep_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// LOST: submissions that are accepted have nothing running although there is room.
pub fn wide(cell: &Cell, trouble: bool) -> Option<Vec<String>> {
    let step = |count, cpu, ms| Step {
        count,
        cpu,
        takes: Some(Duration::from_millis(ms)),
        gang: false,
    };
    // A large submission of short, small tasks; 7,680 of them would fit at once.
    let count = if trouble { 4_000 } else { 48 };
    let large = "00000000000000aa";
    cell.fleet.expect(large, vec![step(count, 100, 1_000)]);
    let mut accepted = Vec::new();
    let mut large_answer = None;
    // Small submissions all the while; the large one comes after five seconds.
    for number in 0..40_u64 {
        let id = format!("{:016x}", 0x1000 + number);
        cell.fleet.expect(&id, vec![step(2, 1_400, 800)]);
        std::thread::scope(|scope| {
            if number == 10 {
                let phases = Json::List(vec![phase(count, 100, 1_000, Vec::new())]);
                scope.spawn(|| large_answer = Some(cell.submit(large, "large", phases)));
            }
            let phases = Json::List(vec![phase(2, 1_400, 800, Vec::new())]);
            if cell.submit(&id, "small", phases) == Answer::Accepted {
                accepted.push(id.clone());
            }
        });
        sleep_s(0.4);
    }
    cell.record.line(&format!(
        "end of the traffic; accepted {} of 40 small submissions; the large one: {large_answer:?}",
        accepted.len()
    ));
    if large_answer == Some(Answer::Accepted) {
        accepted.push(large.to_owned());
    }
    // `finish_s` of the deployment.
    sleep_s(14.0);
    let broken = stuck(cell, &accepted);
    cell.record.line(&format!(
        "rejected by the store: {:?}",
        cell.store.rejected()
    ));
    Some(broken)
}

/// The pairs of runs of one task that were at work at the same time for longer than a stop takes.
fn overlaps(past: &[Past]) -> Vec<(Past, Past, Duration)> {
    const MIN: Duration = Duration::from_millis(500);
    let now = Instant::now();
    let end = |run: &Past| run.ended.map_or(now, |(at, _)| at);
    let mut found = Vec::new();
    for (index, a) in past.iter().enumerate() {
        for b in past[index + 1..].iter().filter(|b| b.task == a.task) {
            let both = end(a)
                .min(end(b))
                .saturating_duration_since(a.started.max(b.started));
            if both > MIN {
                found.push((a.clone(), b.clone(), both));
            }
        }
    }
    found
}

/// TWICE: two runs of one task that lasts, at the same time.
pub fn lasting(cell: &Cell, trouble: bool) -> Option<Vec<String>> {
    let id = "00000000000000bb";
    let step = Step {
        count: 1,
        cpu: 10_000,
        takes: None,
        gang: false,
    };
    cell.fleet.expect(id, vec![step]);
    let lasts = vec![("LongRunning", Json::Bool(true))];
    let phases = Json::List(vec![phase(1, 10_000, 1_000, lasts)]);
    if cell.submit(id, "service", phases) != Answer::Accepted {
        return None;
    }
    sleep_s(5.0);
    let first = cell
        .fleet
        .past()
        .into_iter()
        .find(|run| run.ended.is_none())?;
    // The worker is cut off for the 5.5 s on the sheet of the deployment; the task ends meanwhile.
    if trouble {
        cell.fleet.cut(&[first.worker], true);
    }
    sleep_s(1.0);
    cell.fleet.finish(first.worker, &first.task);
    sleep_s(4.5);
    if trouble {
        cell.fleet.cut(&[first.worker], false);
    }
    sleep_s(10.0);
    let overlaps = overlaps(&cell.fleet.past());
    let broken = overlaps.iter().map(|(a, b, both)| {
        format!(
            "TWICE: {} runs as number {} on worker {} and as number {} on worker {} at the same time, \
             for {:.1} s until the end of the test",
            a.task, a.run, a.worker, b.run, b.worker, both.as_secs_f64()
        )
    });
    let mut broken: Vec<String> = broken.collect();
    // The service is cancelled; nothing of it may run `cancel_ms` and `StopMs` later.
    if !cell.cancel(id) {
        return None;
    }
    sleep_s(3.0 + 0.4 + 1.0);
    let left = cell.fleet.running(id);
    if left > 0 {
        broken.push(format!(
            "UNASKED: {left} run of {id} is at work 4.4 s after the ack of its cancel"
        ));
    }
    Some(broken)
}

/// UNASKED: a gang runs on after its submission was cancelled.
pub fn gang(cell: &Cell, trouble: bool) -> Option<Vec<String>> {
    let id = "00000000000000cc";
    let takes = Duration::from_secs(12);
    let step = |count, gang| Step {
        count,
        cpu: 4_500,
        takes: Some(takes),
        gang,
    };
    cell.fleet.expect(id, vec![step(2, true), step(1, false)]);
    let gang = vec![("Gang", Json::Bool(true))];
    let after = vec![("After", Json::List(vec![n(0)]))];
    let phases = vec![
        phase(2, 4_500, 12_000, gang),
        phase(1, 4_500, 12_000, after),
    ];
    if cell.submit(id, "gang", Json::List(phases)) != Answer::Accepted {
        return None;
    }
    sleep_s(1.0);
    let past = cell.fleet.past();
    let mut workers: Vec<usize> = past.iter().map(|run| run.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    let started = past.first()?.started;
    // The workers of the gang are cut off for 5.5 s, shortly before the gang is done.
    sleep_s(10.5 - started.elapsed().as_secs_f64());
    if trouble {
        cell.fleet.cut(&workers, true);
    }
    sleep_s(5.5);
    if trouble {
        cell.fleet.cut(&workers, false);
    }
    // Calm for longer than `ContactMs`, then the client cancels.
    sleep_s(4.0);
    let before = cell.fleet.running(id);
    if !cell.cancel(id) {
        return None;
    }
    sleep_s(3.0 + 0.4 + 0.2);
    let left = cell.fleet.running(id);
    cell.record.line(&format!(
        "at work before the cancel: {before}, 3.6 s after its ack: {left}"
    ));
    let text =
        format!("UNASKED: {left} runs of {id} are at work 3.6 s after the ack of its cancel");
    Some(if left > 0 { vec![text] } else { Vec::new() })
}

/// LOST: submissions wait although there is room, because a wide gang that does not fit reserves it.
pub fn waiting(cell: &Cell, trouble: bool) -> Option<Vec<String>> {
    let submit = |id: &str, step: Step, kind: &str| {
        let takes = step.takes.map_or(12_000, |takes| takes.as_millis() as u64);
        let more = vec![(kind, Json::Bool(kind != "None"))];
        let more = if kind == "None" { Vec::new() } else { more };
        let phases = Json::List(vec![phase(step.count, step.cpu, takes, more)]);
        cell.fleet.expect(id, vec![step]);
        let accepted = cell.submit(id, "work", phases) == Answer::Accepted;
        sleep_s(1.0);
        accepted.then(|| id.to_owned())
    };
    let step = |count, cpu, gang| Step {
        count,
        cpu,
        takes: Some(Duration::from_secs(12)),
        gang,
    };
    // A service with 25 tasks of 14 cores takes 46 % of the capacity and leaves 23 workers idle.
    let service = Step {
        takes: None,
        ..step(25, 14_000, false)
    };
    submit("00000000000000e0", service, "LongRunning")?;
    sleep_s(2.0);
    // 46 tasks of this gang would fit.
    if trouble {
        submit("00000000000000e1", step(48, 7_600, true), "Gang")?;
    }
    let mut accepted = Vec::new();
    accepted.push(submit("00000000000000e2", step(10, 4_500, true), "Gang")?);
    accepted.push(submit("00000000000000e3", step(10, 4_500, false), "None")?);
    cell.record.line("end of the traffic");
    // `finish_s` of the deployment.
    sleep_s(14.0);
    Some(stuck(cell, &accepted))
}

/// The workers of the case `label`, and the two of another kind.
pub const LABEL_WORKERS: usize = 200;
pub const LABEL_RARE: [usize; 2] = [0, 1];

/// LOST: submissions that need a kind of worker never run, although such a worker is idle.
pub fn label(cell: &Cell, trouble: bool) -> Option<Vec<String>> {
    let takes = Some(Duration::from_millis(800));
    let submit = |number: u64| {
        let id = format!("{:016x}", 0x2000 + number);
        let step = Step {
            count: 1,
            cpu: 1_000,
            takes,
            gang: false,
        };
        cell.fleet.expect(&id, vec![step]);
        let needs = vec![("Requires", crate::json::s("b"))];
        let phases = Json::List(vec![phase(1, 1_000, 800, needs)]);
        let accepted = cell.submit(&id, "rare", phases) == Answer::Accepted;
        sleep_s(0.3);
        accepted.then_some(id)
    };
    let mut accepted: Vec<String> = (0..10).filter_map(submit).collect();
    sleep_s(2.0);
    if trouble {
        cell.fleet.scale_in(LABEL_RARE[0], &cell.store);
    }
    sleep_s(5.0);
    accepted.extend((10..30).filter_map(submit));
    cell.record.line("end of the traffic");
    sleep_s(14.0);
    Some(stuck(cell, &accepted))
}

/// The accepted submissions that have nothing running for 3 s, or no state.
fn stuck(cell: &Cell, accepted: &[String]) -> Vec<String> {
    let states = || accepted.iter().map(|id| cell.state(id)).collect::<Vec<_>>();
    let first = states();
    let mut idle = vec![true; accepted.len()];
    let mut used = 0;
    for _ in 0..35 {
        for (idle, id) in idle.iter_mut().zip(accepted) {
            *idle &= cell.fleet.running(id) == 0;
        }
        used = used.max(cell.fleet.used_percent());
        sleep_s(0.1);
    }
    let last = states();
    let mut broken = Vec::new();
    for index in 0..accepted.len() {
        let waits = |state: &Option<String>| {
            state
                .as_deref()
                .is_some_and(|state| ["queued", "running", "gone"].contains(&state))
        };
        let unanswered = first[index].is_none() && last[index].is_none();
        let stuck = waits(&first[index]) && waits(&last[index]) && idle[index] && used < 50;
        if unanswered || stuck {
            broken.push(format!(
                "LOST: {} was accepted; {:?} then {:?} from 14 s after the traffic on, nothing of it \
                 running for 3 s while {used} % of the service's capacity is in use",
                accepted[index], first[index], last[index]
            ));
        }
    }
    broken
}

/// LOST and Fault: after some hours of normal traffic, no machine survives the takeover.
pub fn aged(cell: &Cell, trouble: bool) -> Option<Vec<String>> {
    /// `MemoryMb` of the deployment.
    const MEMORY_MB: u64 = 260;
    /// Completed submissions: 44.4 a second on the sheet, for 9.4 hours.
    const AGE: u64 = 1_500_000;
    let stop = AtomicBool::new(false);
    let killed = AtomicU64::new(0);
    let mut accepted = Vec::new();
    let submit = |number: u64| {
        let id = format!("{:016x}", 0x4000 + number);
        let step = Step {
            count: 2,
            cpu: 1_400,
            takes: Some(Duration::from_millis(800)),
            gang: false,
        };
        cell.fleet.expect(&id, vec![step]);
        let phases = Json::List(vec![phase(2, 1_400, 800, Vec::new())]);
        (cell.submit(&id, "swap", phases) == Answer::Accepted).then_some(id)
    };
    let first = submit(0)?;
    sleep_s(3.0);
    if cell.state(&first).as_deref() != Some("complete") {
        return None;
    }
    let copied = cell.store.copy_row(&first, AGE)?;
    cell.record.line(&format!(
        "{AGE} more rows like that of the completed submission: {copied:?}"
    ));
    std::thread::scope(|scope| {
        // The platform kills a process that exceeds its memory, and starts it again.
        scope.spawn(|| {
            let mut peak = 0;
            while !stop.load(Relaxed) {
                for (machine, mb) in cell.memory_mb().into_iter().enumerate() {
                    peak = peak.max(mb);
                    if mb > MEMORY_MB {
                        killed.fetch_add(1, Relaxed);
                        cell.kill(
                            machine,
                            &format!("it has {mb} MB, over its limit of {MEMORY_MB}"),
                        );
                    }
                }
                sleep_s(0.05);
            }
            cell.record
                .line(&format!("the largest process had {peak} MB"));
        });
        for number in 1..60_u64 {
            if number == 10 && trouble {
                match cell.leader() {
                    Some(leader) => cell.kill(leader, "node_kill, leader"),
                    None => cell.record.line("no leader is found"),
                }
            }
            accepted.extend(submit(number));
            sleep_s(0.4);
        }
        cell.record.line("end of the traffic");
        sleep_s(14.0);
        stop.store(true, Relaxed);
    });
    let mut broken = stuck(cell, &accepted);
    let killed = killed.load(Relaxed);
    if killed > 0 {
        broken.push(format!(
            "Fault: processes exceeded their memory {killed} times"
        ));
    }
    Some(broken)
}

/// LOST: submissions never start once the fleet has grown from 48 to 1,100 workers.
pub fn grow(cell: &Cell, trouble: bool) -> Option<Vec<String>> {
    let submit = |number: u64| {
        let id = format!("{:016x}", 0x5000 + number);
        let step = Step {
            count: 2,
            cpu: 1_400,
            takes: Some(Duration::from_millis(800)),
            gang: false,
        };
        cell.fleet.expect(&id, vec![step]);
        let phases = Json::List(vec![phase(2, 1_400, 800, Vec::new())]);
        let accepted = cell.submit(&id, "swap", phases) == Answer::Accepted;
        sleep_s(0.3);
        accepted.then_some(id)
    };
    let mut accepted: Vec<String> = (0..5).filter_map(submit).collect();
    if trouble {
        for index in 48..1_100 {
            cell.fleet.add(index, &[], &cell.store);
            sleep_s(0.02);
        }
        cell.record.line("there are 1,100 workers");
    }
    accepted.extend((5..25).filter_map(submit));
    sleep_s(14.0);
    let broken = stuck(cell, &accepted);
    cell.record.line(&format!(
        "rejected by the store: {:?}",
        cell.store.rejected()
    ));
    Some(broken)
}
