//! Benchmark of the time until an edit of the configuration is in force on all VMs.

use std::time::Duration;

use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::adapter::object_store::HttpObjectStore;
use crate::adapter::table::HttpTable;
use crate::config::{ApplyPlan, CellConfig, CommitInfo, ConfigStore, TeamConfig};
use crate::error::{Error, Result};
use crate::local::callers::Callers;
use crate::local::cell::{CellOptions, LocalCell};
use crate::local::sample::SampleWorkload;
use crate::oracle::ReportedOutcome;

/// Target for the time until an edit is in force on all VMs.
pub const MAX_APPLY_TIME: Duration = Duration::from_secs(4);

/// Time after which an edit that is not in force on all VMs fails the benchmark.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between reads of the versions in force on the VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Timeout of a request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between edits, so that they are applied at different times between two heartbeats of the
/// VMs.
const STAGGER: Duration = Duration::from_millis(137);

/// Parameters of the benchmark.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of teams in the configuration.
    pub teams: u32,
    /// Number of edits in each case.
    pub edits: u32,
    /// Latency of each operation of the slow platform, in milliseconds.
    pub slow_latency_ms: u64,
    /// Jobs and requests per second under load.
    pub load_per_s: u32,
}

/// Results of a case.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CaseReport {
    /// Name of the case.
    pub case: &'static str,
    /// Number of applied edits.
    pub edits: usize,
    /// Median time from the start of `config apply` until the edit is in force on all VMs, in
    /// milliseconds.
    pub median_ms: f64,
    /// Maximum of this time, in milliseconds.
    pub max_ms: f64,
    /// Number of edits that took longer than [`MAX_APPLY_TIME`].
    pub late: usize,
    /// Number of jobs and requests that succeeded during the case.
    pub work_finished: u64,
    /// Number of jobs and requests that did not.
    pub work_not_finished: u64,
}

/// Results of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of teams in the configuration.
    pub teams: u32,
    /// Size of the merged configuration, in bytes.
    pub config_bytes: usize,
    /// Results by case.
    pub cases: Vec<CaseReport>,
}

/// Conditions under which edits are applied.
struct Case {
    name: &'static str,
    platform_latency_ms: u64,
    load_per_s: u32,
}

/// Applies edits to a small cell in this process: idle, under load and with a slow platform.
///
/// # Errors
///
/// Returns an error if the cell does not start, or an edit is not in force on all VMs after 30 s.
pub async fn run(params: &Params) -> Result<Report> {
    let options = CellOptions {
        vms: params.vms,
        ..CellOptions::default()
    };
    let mut editor = Editor::new(LocalCell::start(&options).await?).await?;
    editor.add_teams(params.teams);
    editor.apply().await?;
    let cases = [
        Case {
            name: "idle",
            platform_latency_ms: 0,
            load_per_s: 0,
        },
        Case {
            name: "under load",
            platform_latency_ms: 0,
            load_per_s: params.load_per_s,
        },
        Case {
            name: "slow platform",
            platform_latency_ms: params.slow_latency_ms,
            load_per_s: 0,
        },
    ];
    let mut reports = Vec::new();
    for case in cases {
        reports.push(editor.measure(&case, params.edits).await?);
    }
    let config_bytes = editor.config.to_text()?.len();
    editor.cell.stop().await;
    Ok(Report {
        vms: params.vms,
        teams: params.teams,
        config_bytes,
        cases: reports,
    })
}

/// Edits and applies the configuration of a cell.
struct Editor {
    cell: LocalCell,
    config: CellConfig,
    version: u64,
    weight: u32,
}

impl Editor {
    async fn new(cell: LocalCell) -> Result<Self> {
        let table = HttpTable::new(cell.platform_address(), PLATFORM_TIMEOUT);
        let objects = HttpObjectStore::new(cell.platform_address(), PLATFORM_TIMEOUT);
        let store = ConfigStore {
            table: &table,
            objects: &objects,
        };
        let config = store.config(1).await?;
        Ok(Self {
            cell,
            config,
            version: 1,
            weight: 1,
        })
    }

    fn add_teams(&mut self, teams: u32) {
        for team in 0..teams {
            let row = TeamConfig {
                balance_core_hours: 100.0,
                weight: 1,
                quota: None,
                max_queued: 10_000,
            };
            let name = format!("team-{team}");
            self.config.team.insert(name.as_str().into(), row);
        }
    }

    /// Changes one team; every second call changes all teams, whose changes exceed the size limit
    /// of a history row.
    fn edit(&mut self) {
        self.weight += 1;
        let all = self.weight.is_multiple_of(2);
        let count = if all { usize::MAX } else { 1 };
        for team in self.config.team.values_mut().take(count) {
            team.weight = self.weight;
        }
    }

    /// Applies the configuration. Returns the time until it was in force on all VMs.
    async fn apply(&mut self) -> Result<Duration> {
        let table = HttpTable::new(self.cell.platform_address(), PLATFORM_TIMEOUT);
        let objects = HttpObjectStore::new(self.cell.platform_address(), PLATFORM_TIMEOUT);
        let store = ConfigStore {
            table: &table,
            objects: &objects,
        };
        let commit_info = CommitInfo {
            author: "bench".to_owned(),
            applied_unix_s: 0,
            txn_id: rand::random(),
        };
        let to_error = |e: crate::config::ApplyError| Error::Other(e.to_string());
        let start = Instant::now();
        let plan = ApplyPlan::new(store, self.config.clone(), Some(self.version)).await;
        let committed = plan.map_err(to_error)?.commit(store, &commit_info).await;
        self.version = committed.map_err(to_error)?;
        let not_in_force = |_| {
            Error::Other(format!(
                "configuration version {} is not in force on all VMs in time",
                self.version
            ))
        };
        let in_force_everywhere = tokio::time::timeout(APPLY_TIMEOUT, self.wait_until_in_force());
        in_force_everywhere.await.map_err(not_in_force)?;
        Ok(start.elapsed())
    }

    async fn wait_until_in_force(&self) {
        let versions = || self.cell.config_versions();
        while versions().iter().any(|version| *version < self.version) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn measure(&mut self, case: &Case, edits: u32) -> Result<CaseReport> {
        self.cell
            .platform
            .update_switches(|switches| switches.latency_ms = case.platform_latency_ms);
        let load_generator = LoadGenerator::start(&self.cell, case.load_per_s);
        let mut times = Vec::new();
        for _ in 0..edits {
            self.edit();
            times.push(self.apply().await?);
            tokio::time::sleep(STAGGER).await;
        }
        let (work_finished, work_not_finished) = load_generator.end().await;
        times.sort();
        let ms = |time: Option<&Duration>| time.map_or(0.0, |time| time.as_secs_f64() * 1_000.0);
        Ok(CaseReport {
            case: case.name,
            edits: times.len(),
            median_ms: ms(times.get(times.len() / 2)),
            max_ms: ms(times.last()),
            late: times.iter().filter(|time| **time > MAX_APPLY_TIME).count(),
            work_finished,
            work_not_finished,
        })
    }
}

/// Submits a sample workload at a constant rate.
struct LoadGenerator {
    submitter: JoinHandle<()>,
    outcomes: UnboundedReceiver<ReportedOutcome>,
}

impl LoadGenerator {
    fn start(cell: &LocalCell, items_per_s: u32) -> Self {
        let (tx, outcomes) = unbounded_channel();
        let callers = Callers::new(&cell.caller_addresses());
        let submitter = tokio::spawn(async move {
            if items_per_s == 0 {
                return;
            }
            let mut interval = tokio::time::interval(Duration::from_secs(1) / items_per_s);
            for (index, work) in SampleWorkload::new(1).enumerate() {
                interval.tick().await;
                let callers = callers.clone();
                let tx = tx.clone();
                tokio::spawn(async move {
                    let outcome = callers.submit(index, work).await.reported.outcome;
                    let _ = tx.send(outcome);
                });
            }
        });
        Self {
            submitter,
            outcomes,
        }
    }

    /// Stops submitting and waits for the work in flight. Returns the numbers of jobs and requests
    /// that succeeded and that did not.
    async fn end(mut self) -> (u64, u64) {
        self.submitter.abort();
        let _ = self.submitter.await;
        let (mut finished, mut unfinished) = (0, 0);
        while let Some(outcome) = self.outcomes.recv().await {
            match outcome {
                ReportedOutcome::Finished => finished += 1,
                _ => unfinished += 1,
            }
        }
        (finished, unfinished)
    }
}
