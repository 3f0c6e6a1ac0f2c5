//! A worker, as the pages describe it: it starts what it is told to start, lists what runs and what has
//! ended, keeps leases and fences, and registers itself in the store.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{start_server, Request};
use crate::json::{quote, Json};
use crate::store::Store;

pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub labels: [String; 2],
    pub cpu: u32,
    pub mem_mb: u32,
    pub hold_max_ms: u64,
}

/// What all workers have seen: how often a task began, and how often one ended.
#[derive(Default)]
pub struct Seen {
    pub starts: AtomicUsize,
    pub ends: AtomicUsize,
}

struct Running {
    run: u64,
    ends: Instant,
}

#[derive(Default)]
struct Tasks {
    fence: u64,
    lease_ms: u64,
    running: HashMap<String, Running>,
    /// The highest run of each task that was stopped or has ended here.
    last: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

/// A worker.
pub struct Worker {
    id: String,
    born: u128,
    start: Instant,
    hold_max_ms: u64,
    tasks: Mutex<Tasks>,
    ended: Condvar,
    seen: Arc<Seen>,
}

/// Starts the workers of the service `svc`, which are all of one kind.
pub fn start_pool(
    count: usize,
    hold_max_ms: u64,
    store: &Store,
    seen: &Arc<Seen>,
) -> Result<(), String> {
    for number in 0..count {
        let spec = Spec {
            id: format!("i-{number:08x}"),
            service: "svc",
            zone: ["zone-a", "zone-b", "zone-c"][number % 3],
            labels: ["a".to_owned(), format!("r1-{}", number / 8)],
            cpu: 16_000,
            mem_mb: 32_768,
            hold_max_ms,
        };
        Worker::start(&spec, store, seen)?;
    }
    Ok(())
}

impl Worker {
    fn start(spec: &Spec, store: &Store, seen: &Arc<Seen>) -> Result<(), String> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970")
            .as_millis();
        let worker = Arc::new(Worker {
            id: spec.id.clone(),
            born,
            start: Instant::now(),
            hold_max_ms: spec.hold_max_ms,
            tasks: Mutex::default(),
            ended: Condvar::new(),
            seen: seen.clone(),
        });
        let shared = worker.clone();
        let address = crate::platform::free_address()?;
        start_server(address, move |request| shared.handle(request))
            .map_err(|error| format!("worker {}: {error}", spec.id))?;
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            worker.advance();
        });
        // The entry changes when more than `Seq` changes, so that it is written once.
        let entry = format!(
            "{{\"Service\":{},\"Addr\":\"{address}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\
             \"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\"Labels\":[{},{}],\
             \"ClockMs\":0,\"Seq\":1,\"born\":{born}}}",
            quote(spec.service),
            quote(spec.zone),
            spec.cpu,
            spec.mem_mb,
            quote(&spec.labels[0]),
            quote(&spec.labels[1]),
        );
        store.put("servers", &spec.id, &entry);
        Ok(())
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    fn advance(&self) {
        let mut tasks = self.tasks.lock().unwrap();
        let (now, lapsed) = (Instant::now(), self.clock_ms() > tasks.lease_ms);
        let over: Vec<(String, u64, bool)> = tasks
            .running
            .iter()
            .filter(|(_, running)| lapsed || running.ends <= now)
            .map(|(task, running)| (task.clone(), running.run, running.ends <= now))
            .collect();
        for (task, run, done) in over {
            self.end(&mut tasks, &task, run, if done { "done" } else { "lapsed" });
        }
    }

    fn end(&self, tasks: &mut Tasks, task: &str, run: u64, how: &'static str) {
        tasks.running.remove(task);
        let last = tasks.last.entry(task.to_owned()).or_default();
        *last = (*last).max(run);
        tasks.ends += 1;
        let number = tasks.ends;
        tasks.ended.push((number, task.to_owned(), run, how));
        self.seen.ends.fetch_add(1, Ordering::SeqCst);
        self.ended.notify_all();
    }

    fn extend(&self, tasks: &mut Tasks, body: &Json) {
        if let Some(deadline) = body.get("DeadlineMs").number() {
            let most = self.clock_ms() + self.hold_max_ms;
            tasks.lease_ms = tasks.lease_ms.max(deadline.min(most));
        }
    }

    fn short(&self, status: u16, reason: &str) -> (u16, String) {
        let reason = if reason.is_empty() {
            String::new()
        } else {
            format!(",\"Reason\":\"{reason}\"")
        };
        (
            status,
            format!(
                "{{\"ClockMs\":{},\"born\":{}{reason}}}",
                self.clock_ms(),
                self.born
            ),
        )
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        if request.method == "GET" {
            return (200, "{}".to_owned());
        }
        let target = request.header("Chestnutlug-Target-Instance");
        if !target.is_empty() && target != self.id {
            return self.short(421, "");
        }
        let Some(body) = Json::parse(&request.body) else {
            return self.short(400, "");
        };
        let mut tasks = self.tasks.lock().unwrap();
        let fence = body.get("Fence").number().unwrap_or(0);
        if fence < tasks.fence {
            return self.short(409, "fence");
        }
        tasks.fence = fence;
        let (task, run) = (
            body.get("Task").text(),
            body.get("RunId").number().unwrap_or(0),
        );
        match request.path.as_str() {
            "/chestnutlug/run-start" => {
                let deadline = body.get("DeadlineMs").number().unwrap_or(0);
                if tasks
                    .running
                    .get(task)
                    .is_some_and(|running| running.run == run)
                {
                    self.extend(&mut tasks, &body);
                    return self.short(200, "");
                }
                let newest = tasks.running.get(task).map_or(0, |running| running.run);
                if run <= newest.max(tasks.last.get(task).copied().unwrap_or(0)) {
                    self.extend(&mut tasks, &body);
                    return self.short(409, "old");
                }
                if deadline <= self.clock_ms() {
                    return self.short(409, "late");
                }
                self.extend(&mut tasks, &body);
                let mut words = body.get("Spec").text().split(' ');
                let work = words.nth(1).and_then(|ms| ms.parse().ok());
                let ends = Instant::now() + Duration::from_millis(work.unwrap_or(1));
                tasks.running.insert(task.to_owned(), Running { run, ends });
                self.seen.starts.fetch_add(1, Ordering::SeqCst);
                self.short(200, "")
            }
            "/chestnutlug/run-stop" => {
                if tasks
                    .running
                    .get(task)
                    .is_some_and(|running| running.run <= run)
                {
                    self.end(&mut tasks, task, run, "stopped");
                } else {
                    let last = tasks.last.entry(task.to_owned()).or_default();
                    *last = (*last).max(run);
                }
                self.short(200, "")
            }
            "/chestnutlug/hold" => {
                self.extend(&mut tasks, &body);
                let last_seen = body.get("LastSeen").number().unwrap_or(0);
                tasks.ended.retain(|(number, ..)| *number > last_seen);
                let wait = body.get("WaitMs").number().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while tasks.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    tasks = self.ended.wait_timeout(tasks, left).unwrap().0;
                }
                let running: Vec<String> = tasks
                    .running
                    .iter()
                    .map(|(task, running)| format!("[{},{},\"\",1,0]", quote(task), running.run))
                    .collect();
                let ended: Vec<String> = tasks
                    .ended
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| {
                        format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
                    })
                    .collect();
                let answer = format!(
                    "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Ended\":[{}]}}",
                    self.clock_ms(),
                    self.born,
                    running.join(","),
                    ended.join(",")
                );
                (200, answer)
            }
            _ => self.short(400, ""),
        }
    }
}
