//! A simulation of one shard in virtual time, and an oracle that checks its invariants.

pub mod mode;
pub mod oracle;
pub mod owner;
pub mod script;
pub mod simulation;
pub mod table;

use std::time::Duration;

use chestnutlug::config::{CellConfig, KindConfig, TeamConfig, WorkerConfig};
use chestnutlug::model::{JobSpec, Lifetime, Resources, ShardName, Urgency};
use chestnutlug::shard::ShardTimings;
use chestnutlug::shard::worker_session::WorkerCallTimings;

/// The cores of each worker.
pub const WORKER_CORES: u32 = 4;

/// The name of the only shard.
pub fn shard_name() -> ShardName {
    ShardName::from("s")
}

/// Short leases and delays, so that a case needs little virtual time.
pub fn times() -> ShardTimings {
    ShardTimings {
        calls: WorkerCallTimings {
            task_lease: Duration::from_millis(2_000),
            long_poll: Duration::from_millis(500),
            backoff: Duration::from_millis(100),
            lease_margin: Duration::from_millis(500),
        },
        max_detached: Duration::from_millis(6_000),
        retention: Duration::from_secs(3_600),
        min_commit_interval: Duration::from_millis(5),
    }
}

pub fn cores(n: u32) -> Resources {
    Resources {
        cpu_milli: n * 1_000,
        memory_mib: n * 1_024,
        accelerators: 0,
    }
}

pub fn config(workers: usize) -> CellConfig {
    let mut cfg = CellConfig::default();
    let team = TeamConfig {
        balance_core_hours: 1e9,
        weight: 1,
        quota: None,
        max_queued: 10_000,
    };
    cfg.team.insert("t".into(), team);
    let kind = KindConfig {
        max_queued: 10_000,
        max_attempts: 20,
        urgency: Urgency::Urgent,
    };
    cfg.kind.insert("k".into(), kind);
    for i in 0..workers {
        let worker = WorkerConfig {
            shard: shard_name(),
            zone: "z".into(),
            rack: "r".into(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
            capacity: cores(WORKER_CORES),
        };
        cfg.worker.insert(worker_name(i).as_str().into(), worker);
    }
    cfg
}

pub fn worker_name(i: usize) -> String {
    format!("w-{i}")
}

/// A job whose tasks each return `result` after `run_ms`.
pub fn job(tasks: u32, need: u32, idempotent: bool, run_ms: u64, result: &str) -> JobSpec {
    JobSpec {
        team: "t".into(),
        kind: "k".into(),
        urgency: Urgency::Normal,
        lifetime: Lifetime::Batch,
        idempotent,
        all_at_once: false,
        tasks,
        resources: cores(need),
        expected_ms: run_ms,
        payload: format!(r#"{{"run_ms":{run_ms},"result":"{result}"}}"#),
    }
}
