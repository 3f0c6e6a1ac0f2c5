//! Random submissions of all kinds with random faults, checked against the rules.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cell::{Cell, config};
use crate::fleet::{Work, unix_ms};
use crate::json::{Json, n, obj, s};
use crate::random::Random;
use crate::scenarios::Outcome;
use crate::store::Mode;

#[derive(Clone, Debug, Default)]
struct Job {
    accepted: bool,
    cancelled: bool,
    lasting: bool,
    hopeless: bool,
    occurrences: u64,
    steps: Vec<(Work, Json)>,
    all_rejected: bool,
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn draw_job(r: &mut Random) -> (Job, Json) {
    let mut job = Job { occurrences: 1, ..Job::default() };
    let steps = r.between(1, 3) as usize;
    let kind = r.between(0, 9);
    let hopeless = r.chance(0.03);
    job.hopeless = hopeless;
    let mut due = None;
    let mut body = vec![("Spec", s("work"))];
    if kind == 0 {
        let (times, first, interval) = (r.between(2, 5), unix_ms() + r.between(0, 1_500), r.between(300, 2_000));
        job.occurrences = times;
        due = Some((first, interval));
        body.extend([("RepeatCount", n(times)), ("FirstRunMs", n(first)), ("IntervalMs", n(interval))]);
    }
    job.lasting = kind == 1;
    let mut phases = Vec::new();
    for step in 0..if job.lasting { 1 } else { steps } {
        let gang = kind == 2 || kind == 3;
        let count = r.between(1, 5) as usize;
        let cpu = r.between(2, 14) * 250;
        let work = Work {
            count,
            work_ms: (!job.lasting).then(|| r.between(50, 1_800)),
            cpu,
            gang: gang && count > 1,
            saves: r.chance(0.5),
            after: if step > 0 && r.chance(0.8) { vec![step - 1] } else { Vec::new() },
            requires: if r.chance(0.2) { Some(if r.chance(0.5) { "a" } else { "b" }) } else { None },
            apart: if kind == 4 { Some(1) } else { None },
            fails: if hopeless { 1.0 } else if job.lasting { 0.0 } else { 0.04 },
            attempts: 4,
            due,
        };
        let mut phase = vec![
            ("Count", n(count as u64)),
            ("Cpu", n(cpu)),
            ("MemMb", n(256)),
            ("EstMs", n(r.between(100, 4_000))),
        ];
        if !work.after.is_empty() {
            phase.push(("After", Json::Arr(work.after.iter().map(|i| n(*i as u64)).collect())));
        }
        if work.gang {
            phase.push(("Gang", Json::Bool(true)));
        }
        if work.saves {
            phase.push(("Checkpointing", Json::Bool(true)));
        }
        if let Some(kind) = work.requires {
            phase.push(("Requires", s(kind)));
        }
        if let Some(apart) = work.apart {
            phase.push(("AntiAffinity", n(apart as u64)));
        }
        if job.lasting {
            phase.push(("LongRunning", Json::Bool(true)));
        }
        let phase = obj(phase);
        phases.push(phase.clone());
        job.steps.push((work, phase));
    }
    body.push(("Phases", Json::Arr(phases)));
    (job, obj(body))
}

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

pub fn run(trouble: bool, record: &str) -> Outcome {
    let seed = env("SEED", 1);
    let seconds = env("SECONDS", 60);
    let vms = env("VMS", 5) as usize;
    let kinds = ["a", "b", "a", "b", "a", "b", "a", "b"];
    let tenants = env("TENANTS", 0) > 0;
    let tenant = |i: u64, cpu: u64| {
        let max = obj(vec![("Cpu", n(cpu)), ("MemMb", n(0)), ("Gpu", n(0))]);
        let keys = Json::Arr(vec![s(format!("k{i}"))]);
        obj(vec![("Name", s(format!("t{i}"))), ("Keys", keys), ("Weight", n(2)), ("MaxCount", max)])
    };
    let list = tenants.then(|| Json::Arr(vec![tenant(0, 60_000), tenant(1, 90_000), tenant(2, 0)]));
    let cell = Cell::start(vms, &kinds, &config(list), record);
    if !cell.wait_until_ready() {
        return Outcome::CannotRun("the VMs are not ready".to_owned());
    }
    let jobs: Arc<Mutex<HashMap<String, Job>>> = Arc::default();
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let cell = Arc::new(Mutex::new(cell));
    // Calls do not need the lock; only starts and stops of VMs do.
    let (addresses, fleet, rec, store) = {
        let cell = cell.lock().unwrap();
        let addresses: Vec<_> = cell.vms.iter().map(|vm| vm.callers).collect();
        (addresses, cell.fleet.clone(), cell.record.clone(), cell.store.clone())
    };
    let call = {
        let rec = rec.clone();
        move |vm: usize, method: &str, id: &str, body: &str| {
            let path = format!("{}{id}", crate::cell::PREFIX);
            let client = u64::from_str_radix(&id[id.len() - 2..], 16).unwrap_or(0);
            let key = format!("Bearer k{}", client % 3);
            let response = crate::http::call(addresses[vm % addresses.len()], method, crate::cell::HOST, &path, &[("Authorization", &key)], body);
            let answer = response.as_ref().map_or("-".to_owned(), |(status, body)| format!("{status} {body}"));
            rec.line(&format!("client: {method} {id} at {vm} {body} -> {answer}"));
            response
        }
    };
    let mut clients = Vec::new();
    for client in 0..6u64 {
        let (jobs, fleet, call) = (jobs.clone(), fleet.clone(), call.clone());
        clients.push(std::thread::spawn(move || {
            let mut r = Random::new(seed * 1_000 + client);
            while Instant::now() < deadline {
                sleep_ms(r.between(600, 2_200));
                let (mut job, body) = draw_job(&mut r);
                let id = format!("{:016x}", r.next() << 8 | client);
                {
                    let mut state = fleet.lock();
                    for (step, (work, _)) in job.steps.iter().enumerate() {
                        state.work.insert(format!("{id}.{step}"), work.clone());
                    }
                }
                let body = body.to_string();
                job.all_rejected = true;
                for attempt in 0..5 {
                    let vm = r.between(0, 99) as usize % vms;
                    match call(vm, "POST", &id, &body) {
                        Some((200, _)) => {
                            job.accepted = true;
                            job.all_rejected = false;
                            break;
                        }
                        Some((429 | 503 | 404 | 400, _)) => {}
                        _ => job.all_rejected = false,
                    }
                    sleep_ms(300 + 200 * attempt);
                }
                let (accepted, lasting) = (job.accepted, job.lasting);
                jobs.lock().unwrap().insert(id.clone(), job);
                let (jobs, fleet, call) = (jobs.clone(), fleet.clone(), call.clone());
                let (again, cancel, wait) = (r.chance(0.15), lasting || r.chance(0.1), r.between(0, 4_000));
                let wait = if lasting { wait + r.between(0, 30_000) } else { wait };
                let vm = r.between(0, 99) as usize;
                if !accepted {
                    continue;
                }
                std::thread::spawn(move || {
                    sleep_ms(wait);
                    if again {
                        call(vm % vms, "POST", &id, &body);
                    }
                    if cancel {
                        for attempt in 0..8 {
                            let response = call((vm + attempt) % vms, "DELETE", &id, "");
                            if response.is_some_and(|(status, _)| status == 200 || status == 410) {
                                fleet.lock().cancelled.insert(id.clone(), Instant::now());
                                if let Some(job) = jobs.lock().unwrap().get_mut(&id) {
                                    job.cancelled = true;
                                }
                                break;
                            }
                            if let Some(job) = jobs.lock().unwrap().get_mut(&id) {
                                job.cancelled = true;
                            }
                            sleep_ms(400);
                        }
                    }
                });
            }
        }));
    }
    let mut r = Random::new(seed);
    while trouble && Instant::now() + Duration::from_secs(8) < deadline {
        sleep_ms(r.between(300, 3_000));
        let for_ms = r.between(500, 5_500);
        let owner = cell.lock().unwrap().owner().unwrap_or(0);
        let vm = if r.chance(0.6) { owner } else { r.between(0, 99) as usize % vms };
        let machine = r.between(0, 7) as usize;
        let cell = cell.clone();
        let (fleet, store, rec) = (fleet.clone(), store.clone(), rec.clone());
        let kind = r.between(0, 11);
        let mut local = Random::new(r.next());
        rec.line(&format!("FAULT {kind} vm {vm} machine {machine} for {for_ms} ms"));
        std::thread::spawn(move || match kind {
            0 | 1 => {
                cell.lock().unwrap().kill_vm(vm);
                sleep_ms(for_ms.min(3_000));
                cell.lock().unwrap().start_vm(vm);
            }
            2 => {
                cell.lock().unwrap().signal_vm(vm, "-STOP");
                sleep_ms(for_ms);
                cell.lock().unwrap().signal_vm(vm, "-CONT");
            }
            3 => {
                cell.lock().unwrap().signal_vm(vm, "-TERM");
                sleep_ms(6_000);
                cell.lock().unwrap().kill_vm(vm);
                cell.lock().unwrap().start_vm(vm);
            }
            4 | 5 => {
                let id = fleet.lock().machines[machine].id.clone();
                let kind = fleet.lock().machines[machine].kind;
                if !fleet.lock().machines[machine].alive {
                    return;
                }
                fleet.crash(machine);
                sleep_ms(for_ms.min(3_000));
                let same = local.chance(0.6);
                if !same {
                    fleet.expire_entry(&id);
                }
                fleet.restart(machine, same, kind, Duration::from_millis(local.between(0, 800)));
            }
            6 => {
                fleet.lock().late_share = 0.055;
                sleep_ms(for_ms);
                fleet.lock().late_share = 0.0;
            }
            7 => {
                fleet.lock().lost_share = 0.15;
                sleep_ms(for_ms);
                fleet.lock().lost_share = 0.0;
            }
            8 => {
                let fence = local.between(1, 12);
                fleet.lock().machines[machine].unreachable_from = fence;
                sleep_ms(for_ms);
                fleet.lock().machines[machine].unreachable_from = u64::MAX;
            }
            _ => {
                let modes = [Mode::Busy, Mode::Silent, Mode::Slow, Mode::Lost, Mode::LostLate];
                let mode = modes[local.between(0, 4) as usize];
                let all = local.chance(0.4);
                rec.line(&format!("store {mode:?} for {}", if all { "all".to_owned() } else { vm.to_string() }));
                let which: Vec<usize> = if all { (0..vms).collect() } else { vec![vm] };
                which.iter().for_each(|vm| store.set_mode(*vm, mode));
                sleep_ms(for_ms);
                which.iter().for_each(|vm| store.set_mode(*vm, Mode::Up));
            }
        });
    }
    for client in clients {
        let _ = client.join();
    }
    // The end of the traffic, and the time in which all has to be done.
    sleep_ms(14_000 + 8_000);
    let mut findings = fleet.lock().findings.clone();
    let jobs = jobs.lock().unwrap().clone();
    let (mut accepted, mut complete) = (0, 0);
    for (id, job) in &jobs {
        if job.all_rejected && fleet.lock().starts.iter().any(|start| start.task.starts_with(id.as_str())) {
            findings.push(format!("REFUSED {id}: all attempts were rejected, and it has started"));
        }
        if !job.accepted {
            continue;
        }
        accepted += 1;
        let state = (0..vms).find_map(|vm| {
            let (status, body) = call(vm, "GET", id, "")?;
            (status == 200 || status == 410).then(|| match status {
                200 => Json::parse(&body).unwrap_or(Json::Null).get("State").str().to_owned(),
                _ => "410".to_owned(),
            })
        });
        let state = state.unwrap_or_else(|| "no answer".to_owned());
        let all_done = {
            let state = fleet.lock();
            (0..job.occurrences).all(|k| {
                job.steps.iter().enumerate().all(|(step, (work, _))| {
                    (0..work.count).all(|i| state.done.contains(&format!("{id}.{k}.{step}.{i}")))
                })
            })
        };
        complete += usize::from(state == "complete");
        let failed = fleet.lock().ends.iter().any(|(task, _, how)| *how == "failed" && task.starts_with(id.as_str()));
        let finding = match state.as_str() {
            "complete" if !all_done => "MIXED: complete, and a task is not done",
            "complete" => continue,
            "canceled" if job.cancelled => continue,
            "failed" if job.hopeless || failed => continue,
            "failed" | "canceled" => "LOST: ended without cause",
            "410" if !job.cancelled => "LOST: unknown",
            "no answer" => "LOST: no answer",
            _ if job.cancelled || job.lasting => continue,
            _ => "LOST: not complete",
        };
        findings.push(format!("{finding}: {id} is {state}; {:?}", job.steps.len()));
    }
    let text = format!("seed {seed}: {} submissions, {accepted} accepted, {complete} complete, {findings:?}", jobs.len());
    cell.lock().unwrap().stop();
    if findings.is_empty() { Outcome::Held(text) } else { Outcome::Broken(text) }
}
