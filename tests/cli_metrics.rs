//! Tests the metrics that a VM sends to a statsd address.

use std::collections::{BTreeMap, BTreeSet};
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutlug::adapter::http::HttpClient;
use chestnutlug::config::{ApplyPlan, CellConfig, CommitInfo, ConfigStore};
use chestnutlug::metrics::{Counter, Gauge, Timer};
use chestnutlug::model::Resources;
use chestnutlug::node::vm::EntryVm;
use chestnutlug::port::table::{Table, Txn, Write};
use chestnutlug::settings::{Secret, Settings};
use chestnutlug::shard::rows::{OwnerRef, ShardRow, encode, shard_key};
use chestnutlug::standin::platform::{self, StandinPlatform};
use chestnutlug::standin::worker::{self, StandinWorker, StandinWorkerServer};
use hyper::Method;
use tokio::net::TcpListener;

/// The timeout for the arrival of all expected metrics.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The metrics of a VM that is alone in its cell and runs the jobs of this test.
const EXPECTED: [&str; 26] = [
    "requests.count",
    "requests.refused",
    "requests.time",
    "jobs.accepted",
    "jobs.refused",
    "tasks.placed",
    "tasks.waiting_time",
    "decisions.time",
    "tasks.refused",
    "tasks.retried",
    "tasks.ended",
    "tasks.failed",
    "balances.draws",
    "balances.drawn_core_ms",
    "tasks.queued",
    "tasks.running",
    "table.commits",
    "table.reads",
    "table.commit_time",
    "workers.calls",
    "shards.taken",
    "shards.owned",
    "config.applied",
    "config.version",
    "vms.live",
    "workers.set_aside",
];

/// The sums of counters after one job that succeeded, one that failed at each attempt, and one of
/// three tasks that fits on no worker.
const SUMS: [(&str, u64); 7] = [
    ("tasks.placed", 2),
    ("tasks.ended", 2),
    ("tasks.failed", 1),
    ("tasks.retried", 2),
    ("tasks.refused", 3),
    ("jobs.accepted", 2),
    ("shards.taken_over", 1),
];

/// Writes the row of a shard with an owner that no longer exists.
async fn write_lost_owner(platform: &StandinPlatform) {
    let row = ShardRow {
        owner: Some(OwnerRef {
            vm: "lost".into(),
            incarnation: 1,
        }),
        epoch: 1,
        txn: 1,
        unfenced_owners: 0,
    };
    let put = Write::Put {
        key: shard_key(&"s".into()),
        value: encode(&row),
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![put],
    };
    platform.commit(&txn).await.unwrap();
}

async fn start_platform(cell: &str) -> (Arc<StandinPlatform>, String) {
    let platform = Arc::new(StandinPlatform::new());
    let store = ConfigStore {
        table: platform.as_ref(),
        objects: platform.as_ref(),
    };
    let config = CellConfig::from_text(cell).unwrap();
    let plan = ApplyPlan::new(store, config, None).await.unwrap();
    let commit_info = CommitInfo {
        author: "test".to_owned(),
        applied_unix_s: 0,
        txn_id: 1,
    };
    plan.commit(store, &commit_info).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let serving = platform::serve(platform.clone(), listener, std::future::pending());
    tokio::spawn(serving);
    (platform, address)
}

async fn start_worker() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let capacity = Resources {
        cpu_milli: 4_000,
        memory_mib: 4_096,
        accelerators: 0,
    };
    let server = Arc::new(StandinWorkerServer::new(
        StandinWorker::new("w1".into(), capacity),
        None,
    ));
    tokio::spawn(worker::serve(server, listener, std::future::pending()));
    address
}

struct Job {
    team: &'static str,
    tasks: u32,
    cores: u32,
    payload: &'static str,
}

/// A job that is accepted and succeeds.
const SUCCEEDING_JOB: Job = Job {
    team: "t",
    tasks: 1,
    cores: 1,
    payload: "",
};

/// Jobs that are submitted after the succeeding job was accepted: one that is refused, one that
/// fails, and one that fits on no worker.
const OTHER_JOBS: [Job; 3] = [
    Job {
        team: "nobody",
        ..SUCCEEDING_JOB
    },
    Job {
        payload: r#"{"fail":true}"#,
        ..SUCCEEDING_JOB
    },
    Job {
        tasks: 3,
        cores: 1_000,
        ..SUCCEEDING_JOB
    },
];

async fn submit(client: &HttpClient, job: &Job) -> u16 {
    let Job {
        team,
        tasks,
        cores,
        payload,
    } = job;
    let job = serde_json::json!({
        "team": team,
        "kind": "k",
        "idempotent": true,
        "tasks": tasks,
        "resources": { "cpu_milli": cores * 1_000 },
        "payload": payload,
    });
    let job = job.to_string();
    let timeout = Duration::from_secs(5);
    let response = client.call(Method::POST, "/v1/jobs", Bytes::from(job), timeout);
    response.await.map_or(0, |res| res.status.as_u16())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_sends_the_documented_metrics() {
    let worker = start_worker().await;
    let cell = format!(
        "[team.t]\nbalance_core_hours = 100\n[kind.k]\n[worker.w1]\nshard = \"s\"\nzone = \"z\"\n\
         rack = \"r\"\naddress = \"{worker}\"\n\
         capacity = {{ cpu_milli = 4000, memory_mib = 4096 }}\n"
    );
    let (table, platform) = start_platform(&cell).await;
    write_lost_owner(&table).await;
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    let read_timeout = Some(Duration::from_millis(50));
    statsd.set_read_timeout(read_timeout).unwrap();
    let text = format!(
        "vm = \"vm\"\nzone = \"z\"\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\nplatform = \"{platform}\"\nsecret_file = \"unused\"\n\
         statsd = \"{}\"\n",
        statsd.local_addr().unwrap()
    );
    let settings: Settings = toml::from_str(&text).unwrap();
    let secret = Secret::new("correct horse battery staple").unwrap();
    let vm = EntryVm::start(&settings, &secret, None).await.unwrap();
    let client = HttpClient::new(vm.caller_address(), 1);

    let mut seen = BTreeSet::new();
    let mut accepted = false;
    let started_at = Instant::now();
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    let sums_reached =
        |sums: &BTreeMap<String, u64>| SUMS.iter().all(|(name, sum)| sums.get(*name) >= Some(sum));
    while !EXPECTED.iter().all(|name| seen.contains(*name)) || !sums_reached(&sums) {
        assert!(started_at.elapsed() < TIMEOUT, "seen: {seen:?}, {sums:?}");
        if !accepted && vm.is_ready() {
            accepted = submit(&client, &SUCCEEDING_JOB).await / 100 == 2;
            for job in OTHER_JOBS.iter().filter(|_| accepted) {
                submit(&client, job).await;
            }
        }
        let mut buf = [0; 4_096];
        let Ok(n) = tokio::task::block_in_place(|| statsd.recv(&mut buf)) else {
            continue;
        };
        let packet = String::from_utf8_lossy(&buf[..n]).into_owned();
        for line in packet.lines().filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':').unwrap();
            let name = name.strip_prefix("chestnutlug.vm.").expect(line);
            if let Some(n) = value.strip_suffix("|c") {
                *sums.entry(name.to_owned()).or_default() += n.parse::<u64>().unwrap();
            }
            seen.insert(name.to_owned());
        }
    }
    for (name, sum) in SUMS {
        assert_eq!(sums.get(name), Some(&sum), "{name}");
    }
    let counters = Counter::ALL.iter().map(|counter| counter.name());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.name());
    let timers = Timer::ALL.iter().map(|timer| timer.name());
    let known: BTreeSet<&str> = counters.chain(gauges).chain(timers).collect();
    let unknown = seen.iter().find(|name| !known.contains(name.as_str()));
    assert_eq!(unknown, None);
    vm.stop(Duration::from_secs(5)).await;
}
