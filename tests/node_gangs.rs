//! Cross-shard gangs in a whole cell that runs in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutlug::adapter::http::HttpClient;
use chestnutlug::local::cell::{CellOptions, LocalCell};
use chestnutlug::standin::worker::{JournalEntry, JournalEvent};
use hyper::Method;
use serde_json::Value;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The processors of each worker of the cell.
const WORKER_CPU_MILLI: u64 = 16_000;

struct Case {
    name: &'static str,
    shards: usize,
    workers: usize,
    /// The number of the gang's tasks, of one core each.
    gang: u32,
    /// The number of small jobs that are submitted at the same time.
    small: u32,
    outcome: &'static str,
}

async fn call(address: SocketAddr, method: Method, path: &str, body: &Value) -> Value {
    let client = HttpClient::new(address, 1);
    let body = match method {
        Method::POST => Bytes::from(body.to_string()),
        _ => Bytes::new(),
    };
    let answer = client.call(method, path, body, CALL_TIMEOUT).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

/// Submits a job and waits for its end; returns the outcome or the code of the refusal.
async fn run(address: SocketAddr, work: &str, tasks: u32, at_once: bool, run_ms: u64) -> String {
    let body = serde_json::json!({
        "team": "kowhai", "kind": "compile", "idempotent": true, "tasks": tasks,
        "all_at_once": at_once, "resources": {"cpu_milli": 1_000, "memory_mib": 64},
        "expected_ms": run_ms,
        "payload": format!(r#"{{"run_ms":{run_ms},"work":"{work}"}}"#),
    });
    let answer = call(address, Method::POST, "/v1/jobs", &body).await;
    let Some(id) = answer["id"].as_str() else {
        return answer["code"].as_str().unwrap().to_owned();
    };
    let path = format!("/v1/jobs/{id}?wait_ms=5000");
    for _ in 0..12 {
        let view = call(address, Method::GET, &path, &Value::Null).await;
        if let Some(outcome) = view["outcome"].as_str() {
            return outcome.to_owned();
        }
    }
    "waits".to_owned()
}

/// The start and end times of the tasks of `work` on all workers, in microseconds.
fn intervals(journals: &[Vec<JournalEntry>], work: &str) -> Vec<(u64, u64)> {
    let mut open: BTreeMap<String, u64> = BTreeMap::new();
    let mut intervals = Vec::new();
    for entry in journals.iter().flatten() {
        let (Some(task), Some(entry_work)) = (&entry.task, &entry.work) else {
            continue;
        };
        if entry_work != work {
            continue;
        }
        match entry.event {
            JournalEvent::Started => {
                let running = open.insert(task.clone(), entry.time_us);
                assert_eq!(running, None, "{task} runs twice");
            }
            event if event.ends_attempt() => {
                let from = open.remove(task).expect("an end follows a start");
                intervals.push((from, entry.time_us));
            }
            _ => {}
        }
    }
    intervals
}

fn max_held_cpu_milli(journal: &[JournalEntry]) -> u64 {
    let (mut held, mut max) = (0, 0);
    for entry in journal {
        let cpu = u64::from(entry.resources.cpu_milli);
        match entry.event {
            JournalEvent::Started => held += cpu,
            event if event.ends_attempt() => held -= cpu,
            _ => {}
        }
        max = max.max(held);
    }
    max
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cross_shard_gang_runs_at_once_beside_small_jobs() {
    let cases = [
        Case {
            name: "two shards",
            shards: 2,
            workers: 4,
            gang: 40,
            small: 60,
            outcome: "succeeded",
        },
        Case {
            name: "all of four shards",
            shards: 4,
            workers: 4,
            gang: 64,
            small: 0,
            outcome: "succeeded",
        },
        Case {
            name: "more than the cell holds",
            shards: 2,
            workers: 4,
            gang: 65,
            small: 0,
            outcome: "never_fits",
        },
    ];
    for case in cases {
        let shape = CellOptions {
            workers: case.workers,
            shards: case.shards,
            ..CellOptions::default()
        };
        let cell = LocalCell::start(&shape).await.unwrap();
        let addresses = cell.caller_addresses();
        let mut small = tokio::task::JoinSet::new();
        for index in 0..case.small {
            let address = addresses[index as usize % addresses.len()];
            small.spawn(async move {
                tokio::time::sleep(Duration::from_millis(40 * u64::from(index))).await;
                run(address, &format!("small-{index}"), 1, false, 400).await
            });
        }
        let outcome = run(addresses[0], "gang", case.gang, true, 1_500).await;
        let small = small.join_all().await;
        let workers = cell.workers.iter();
        let journals: Vec<Vec<JournalEntry>> = workers
            .map(|worker| worker.with(|worker| worker.journal().to_vec()))
            .collect();
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert!(
            small.iter().all(|outcome| outcome == "succeeded"),
            "{}: {small:?}",
            case.name
        );
        let ran = intervals(&journals, "gang");
        if case.outcome == "succeeded" {
            assert_eq!(ran.len(), case.gang as usize, "{}", case.name);
            let last_start = ran.iter().map(|run| run.0).max();
            let first_end = ran.iter().map(|run| run.1).min();
            assert!(last_start < first_end, "{}: not all at once", case.name);
        } else {
            assert!(ran.is_empty(), "{}: {ran:?}", case.name);
        }
        for journal in &journals {
            assert!(
                max_held_cpu_milli(journal) <= WORKER_CPU_MILLI,
                "{}",
                case.name
            );
        }
        cell.stop().await;
    }
}
