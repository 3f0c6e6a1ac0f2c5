//! Benchmark of the table operations that keep the counts behind `report burn`, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::config::CellConfig;
use crate::error::Result;
use crate::metrics::Metrics;
use crate::model::Time;
use crate::node::api::VmInfo;
use crate::node::burn::{BurnStore, STORE_INTERVAL, read_burn_rows};
use crate::node::clock::Clock;
use crate::node::directory::{DirectorySnapshot, SnapshotDirectory};
use crate::node::observer::NodeObserver;
use crate::node::owner::{OwnerObserver, StartedTask};
use crate::shard::rows::OwnerRef;
use crate::standin::platform::StandinPlatform;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Number of write intervals over which the tasks of a job start.
const START_INTERVALS: u64 = 20;

/// Start of the simulation, in seconds since the Unix epoch.
const START_UNIX_S: u64 = 1_700_000_000;

/// Kinds of work.
const KINDS: [&str; 3] = ["rebuild", "sourcing-check", "compile"];

/// Parameters of the benchmark.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of teams.
    pub teams: u32,
    /// Number of jobs per day.
    pub jobs_per_day: u32,
    /// Number of VMs replaced per day, without a planned stop.
    pub replaced_per_day: u32,
    /// Duration, in virtual hours.
    pub hours: u32,
    /// Seed of the workload.
    pub seed: u64,
}

/// Results of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Mean number of bytes of rows written per second and VM.
    pub written_bytes_per_s_vm: f64,
    /// Transactions per second of the whole cell.
    pub writes_per_s: f64,
    /// Reads and scan pages per second of the whole cell.
    pub reads_per_s: f64,
    /// Maximum number of rows at the end of an interval.
    pub rows_max: u64,
    /// Number of rows at the end.
    pub rows: usize,
    /// Total size of these rows, which one report reads, in bytes.
    pub row_bytes: usize,
    /// Size of the largest of these rows, in bytes.
    pub largest_row_bytes: usize,
}

struct Vm {
    me: OwnerRef,
    observer: Arc<NodeObserver>,
    store: BurnStore,
}

/// A job of which one task starts in each interval.
struct StartingJob {
    vm: usize,
    task: StartedTask,
    until_round: u64,
}

struct Simulation {
    platform: Arc<StandinPlatform>,
    directory: Arc<SnapshotDirectory>,
    cfg: CellConfig,
    vms: Vec<Vm>,
    jobs: Vec<StartingJob>,
    rng: SmallRng,
}

/// Simulates the counting of starts and the storing of the counts.
///
/// # Errors
///
/// Returns an error if the generated configuration is invalid.
pub async fn run(params: &Params) -> Result<Report> {
    let mut simulation = Simulation::new(params)?;
    let interval_s = STORE_INTERVAL.as_secs();
    let rounds = u64::from(params.hours) * 3_600 / interval_s;
    let mut rows_max = 0;
    for round in 0..rounds {
        simulation.run_interval(params, round).await;
        rows_max = rows_max.max(simulation.platform.counters().rows);
    }
    let counters = simulation.platform.counters();
    let seconds = (rounds * interval_s) as f64;
    let rows = read_burn_rows(simulation.platform.as_ref())
        .await
        .unwrap_or_default();
    let sizes = rows.iter().map(|row| row.value.len());
    Ok(Report {
        written_bytes_per_s_vm: counters.bytes_written as f64 / seconds / params.vms as f64,
        writes_per_s: counters.transactions as f64 / seconds,
        reads_per_s: counters.reads as f64 / seconds,
        rows_max,
        rows: rows.len(),
        row_bytes: sizes.clone().sum(),
        largest_row_bytes: sizes.max().unwrap_or(0),
    })
}

impl Simulation {
    fn new(params: &Params) -> Result<Self> {
        let cfg = CellConfig::from_text(&config_text(params.teams));
        let mut simulation = Self {
            platform: Arc::new(StandinPlatform::new()),
            directory: Arc::default(),
            cfg: cfg.map_err(|e| crate::error::Error::Other(e.to_string()))?,
            vms: Vec::new(),
            jobs: Vec::new(),
            rng: SmallRng::seed_from_u64(params.seed),
        };
        simulation.vms = (0..params.vms).map(|i| simulation.start_vm(i)).collect();
        Ok(simulation)
    }

    /// Starts a new process on the VM with index `i`.
    fn start_vm(&mut self, i: usize) -> Vm {
        let me = OwnerRef {
            vm: format!("vm-{i}").as_str().into(),
            incarnation: self.rng.random(),
        };
        let observer = Arc::new(NodeObserver::new(Metrics::disabled(), Clock::start()));
        observer.config_applied(&self.cfg);
        let table = self.platform.clone();
        let directory = self.directory.clone();
        let store = BurnStore::new(table, observer.clone(), directory, me.clone());
        Vm {
            me,
            observer,
            store,
        }
    }

    async fn run_interval(&mut self, params: &Params, round: u64) {
        let interval_s = STORE_INTERVAL.as_secs();
        let unix_now = Time::from_millis((START_UNIX_S + round * interval_s) * 1_000);
        let per_interval = |per_day: u32| f64::from(per_day) * interval_s as f64 / SECONDS_PER_DAY;
        for _ in 0..self.draw_count(per_interval(params.jobs_per_day)) {
            let job = self.draw_job(params, round + START_INTERVALS);
            self.jobs.push(job);
        }
        self.jobs.retain(|job| job.until_round > round);
        for job in &self.jobs {
            self.vms[job.vm].observer.count_start(&job.task, unix_now);
        }
        for vm in &mut self.vms {
            vm.store.store().await;
        }
        for _ in 0..self.draw_count(per_interval(params.replaced_per_day)) {
            let index = self.rng.random_range(0..params.vms);
            self.vms[index] = self.start_vm(index);
        }
        self.publish_directory();
        let now = Time::from_millis(round * interval_s * 1_000);
        self.vms[0].store.fold_stale_ledgers(now, unix_now).await;
    }

    /// Rounds `mean` up or down at random, so that the expected value is `mean`.
    fn draw_count(&mut self, mean: f64) -> u64 {
        let round_up = self.rng.random::<f64>() < mean.fract();
        mean as u64 + u64::from(round_up)
    }

    fn draw_job(&mut self, params: &Params, until_round: u64) -> StartingJob {
        let team = self.rng.random_range(0..params.teams);
        let kind = KINDS[self.rng.random_range(0..KINDS.len())];
        StartingJob {
            vm: self.rng.random_range(0..params.vms),
            task: StartedTask {
                team: format!("team-{team}").as_str().into(),
                kind: kind.into(),
                waited: Duration::ZERO,
            },
            until_round,
        }
    }

    fn publish_directory(&self) {
        let vms = self.vms.iter().map(|vm| VmInfo {
            vm: vm.me.vm.clone(),
            incarnation: vm.me.incarnation,
            address: ([127, 0, 0, 1], 1).into(),
        });
        self.directory.replace(DirectorySnapshot {
            vms: vms.collect(),
            ..DirectorySnapshot::default()
        });
    }
}

fn config_text(teams: u32) -> String {
    let teams = (0..teams).map(|team| format!("[team.team-{team}]\nbalance_core_hours = 1\n"));
    let kinds = KINDS.map(|kind| {
        let objective = "waiting_ms = 2700\ntarget = 0.99\n";
        format!("[kind.{kind}]\n[objective.{kind}]\nkind = \"{kind}\"\n{objective}")
    });
    teams.chain(kinds).collect()
}
