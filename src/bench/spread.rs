//! How long an edit of the configuration takes to be in force on all VMs.

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

/// How long an edit may take until it is in force everywhere.
pub const LIMIT: Duration = Duration::from_secs(4);

/// How long an edit is waited for at most.
const WAIT: Duration = Duration::from_secs(30);

/// How often the VMs' versions are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// How long one call of the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Different times of an edit between two beats of the VMs.
const STAGGER: Duration = Duration::from_millis(137);

/// How much is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// Entry VMs.
    pub vms: usize,
    /// Teams of the configuration.
    pub teams: u32,
    /// Edits in each case.
    pub edits: u32,
    /// How long each use of the platform takes where it is slow, in milliseconds.
    pub slow_latency_ms: u64,
    /// Pieces of work a second under load.
    pub load_per_s: u32,
}

/// What was measured in one case.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CaseReport {
    /// The case.
    pub case: &'static str,
    /// Edits that were applied.
    pub edits: usize,
    /// From the begin of `config apply` to in force on the last VM, the median, in milliseconds.
    pub median_ms: f64,
    /// The same, the slowest.
    pub max_ms: f64,
    /// Edits that took longer than [`LIMIT`].
    pub late: usize,
    /// Pieces of work that ended well meanwhile.
    pub work_finished: u64,
    /// Pieces of work that did not.
    pub work_not_finished: u64,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Entry VMs.
    pub vms: usize,
    /// Teams of the configuration.
    pub teams: u32,
    /// Bytes of the merged configuration.
    pub config_bytes: usize,
    /// The cases.
    pub cases: Vec<CaseReport>,
}

/// One case: what the cell bears while edits are applied.
struct Case {
    name: &'static str,
    platform_ms: u64,
    load_per_s: u32,
}

/// Applies edits to a small cell in this process, idle, under load and with a slow platform.
///
/// # Errors
///
/// Returns an error where the cell does not start, or an edit is not in force after 30 s.
pub async fn run(params: &Params) -> Result<Report> {
    let shape = CellOptions {
        vms: params.vms,
        ..CellOptions::default()
    };
    let mut editor = Editor::new(LocalCell::start(&shape).await?).await?;
    editor.add_teams(params.teams);
    editor.apply().await?;
    let cases = [
        Case {
            name: "idle",
            platform_ms: 0,
            load_per_s: 0,
        },
        Case {
            name: "under load",
            platform_ms: 0,
            load_per_s: params.load_per_s,
        },
        Case {
            name: "slow platform",
            platform_ms: params.slow_latency_ms,
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

/// An operator of a cell.
struct Editor {
    cell: LocalCell,
    config: CellConfig,
    version: u64,
    weight: u32,
}

impl Editor {
    async fn new(cell: LocalCell) -> Result<Self> {
        let table = HttpTable::new(cell.platform_address(), CALL_TIMEOUT);
        let objects = HttpObjectStore::new(cell.platform_address(), CALL_TIMEOUT);
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

    /// Changes one team, or every second time all of them, which no row of changes holds.
    fn edit(&mut self) {
        self.weight += 1;
        let all = self.weight.is_multiple_of(2);
        let count = if all { usize::MAX } else { 1 };
        for team in self.config.team.values_mut().take(count) {
            team.weight = self.weight;
        }
    }

    /// Applies the configuration; how long that took until it was in force on the last VM.
    async fn apply(&mut self) -> Result<Duration> {
        let table = HttpTable::new(self.cell.platform_address(), CALL_TIMEOUT);
        let objects = HttpObjectStore::new(self.cell.platform_address(), CALL_TIMEOUT);
        let store = ConfigStore {
            table: &table,
            objects: &objects,
        };
        let commit_info = CommitInfo {
            author: "bench".to_owned(),
            applied_unix_s: 0,
            txn_id: rand::random(),
        };
        let failed = |e: crate::config::ApplyError| Error::Other(e.to_string());
        let began = Instant::now();
        let plan = ApplyPlan::new(store, self.config.clone(), Some(self.version)).await;
        let committed = plan.map_err(failed)?.commit(store, &commit_info).await;
        self.version = committed.map_err(failed)?;
        let late = |_| Error::Other(format!("version {} is not in force", self.version));
        let everywhere = tokio::time::timeout(WAIT, self.in_force());
        everywhere.await.map_err(late)?;
        Ok(began.elapsed())
    }

    async fn in_force(&self) {
        let versions = || self.cell.config_versions();
        while versions().iter().any(|version| *version < self.version) {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    async fn measure(&mut self, case: &Case, edits: u32) -> Result<CaseReport> {
        self.cell
            .platform
            .update_switches(|switches| switches.latency_ms = case.platform_ms);
        let load = Load::start(&self.cell, case.load_per_s);
        let mut times = Vec::new();
        for _ in 0..edits {
            self.edit();
            times.push(self.apply().await?);
            tokio::time::sleep(STAGGER).await;
        }
        let (work_finished, work_not_finished) = load.end().await;
        times.sort();
        let ms = |time: Option<&Duration>| time.map_or(0.0, |time| time.as_secs_f64() * 1_000.0);
        Ok(CaseReport {
            case: case.name,
            edits: times.len(),
            median_ms: ms(times.get(times.len() / 2)),
            max_ms: ms(times.last()),
            late: times.iter().filter(|time| **time > LIMIT).count(),
            work_finished,
            work_not_finished,
        })
    }
}

/// A sample of work that is submitted at a steady rate until the end.
struct Load {
    submitting: JoinHandle<()>,
    told: UnboundedReceiver<ReportedOutcome>,
}

impl Load {
    fn start(cell: &LocalCell, per_s: u32) -> Self {
        let (tx, told) = unbounded_channel();
        let callers = Callers::new(&cell.caller_addresses());
        let submitting = tokio::spawn(async move {
            if per_s == 0 {
                return;
            }
            let mut interval = tokio::time::interval(Duration::from_secs(1) / per_s);
            for (turn, work) in SampleWorkload::new(1).enumerate() {
                interval.tick().await;
                let callers = callers.clone();
                let tx = tx.clone();
                tokio::spawn(async move {
                    let told = callers.submit(turn, work).await.reported.outcome;
                    let _ = tx.send(told);
                });
            }
        });
        Self { submitting, told }
    }

    /// Ends the submitting, and waits for what is under way; returns how much ended well, and how
    /// much did not.
    async fn end(mut self) -> (u64, u64) {
        self.submitting.abort();
        let _ = self.submitting.await;
        let (mut finished, mut others) = (0, 0);
        while let Some(told) = self.told.recv().await {
            match told {
                ReportedOutcome::Finished => finished += 1,
                _ => others += 1,
            }
        }
        (finished, others)
    }
}
