//! What it costs to keep the counts behind the service-level burn, in virtual time.

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

/// The seconds of a day.
const DAY_S: f64 = 86_400.0;

/// How long the tasks of one job take to start, in write intervals.
const STARTING_ROUNDS: u64 = 20;

/// When the run begins, in seconds since 1970.
const BEGIN_S: u64 = 1_700_000_000;

/// The kinds of work of each team.
const KINDS: [&str; 3] = ["rebuild", "sourcing-check", "compile"];

/// How much is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// Entry VMs.
    pub vms: usize,
    /// Teams.
    pub teams: u32,
    /// Jobs a day.
    pub jobs_per_day: u32,
    /// VMs that are replaced a day, without a planned stop.
    pub replaced_per_day: u32,
    /// Virtual hours.
    pub hours: u32,
    /// The seed of the work.
    pub seed: u64,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Bytes of rows that each VM writes a second, on average.
    pub written_bytes_per_s_vm: f64,
    /// Transactions a second of the whole cell.
    pub writes_per_s: f64,
    /// Reads and pages a second of the whole cell.
    pub reads_per_s: f64,
    /// The most rows at the end of an interval.
    pub rows_max: u64,
    /// Rows at the end.
    pub rows: usize,
    /// Bytes of these rows, which one report reads.
    pub row_bytes: usize,
    /// The largest of these rows, in bytes.
    pub largest_row_bytes: usize,
}

struct Vm {
    me: OwnerRef,
    observer: Arc<NodeObserver>,
    store: BurnStore,
}

/// A job whose tasks start one each interval.
struct Starting {
    vm: usize,
    task: StartedTask,
    until: u64,
}

struct Run {
    platform: Arc<StandinPlatform>,
    directory: Arc<SnapshotDirectory>,
    cfg: CellConfig,
    vms: Vec<Vm>,
    jobs: Vec<Starting>,
    rng: SmallRng,
}

/// Counts and keeps the work of `params` in virtual time.
///
/// # Errors
///
/// Returns an error where the configuration of the run cannot be read.
pub async fn run(params: &Params) -> Result<Report> {
    let mut run = Run::new(params)?;
    let interval_s = STORE_INTERVAL.as_secs();
    let rounds = u64::from(params.hours) * 3_600 / interval_s;
    let mut rows_max = 0;
    for round in 0..rounds {
        run.round(params, round).await;
        rows_max = rows_max.max(run.platform.counters().rows);
    }
    let counters = run.platform.counters();
    let seconds = (rounds * interval_s) as f64;
    let rows = read_burn_rows(run.platform.as_ref())
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

impl Run {
    fn new(params: &Params) -> Result<Self> {
        let cfg = CellConfig::from_text(&config(params.teams));
        let mut run = Self {
            platform: Arc::new(StandinPlatform::new()),
            directory: Arc::default(),
            cfg: cfg.map_err(|e| crate::error::Error::Other(e.to_string()))?,
            vms: Vec::new(),
            jobs: Vec::new(),
            rng: SmallRng::seed_from_u64(params.seed),
        };
        run.vms = (0..params.vms).map(|i| run.begin(i)).collect();
        Ok(run)
    }

    /// Starts a process on the VM at place `i`.
    fn begin(&mut self, i: usize) -> Vm {
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

    async fn round(&mut self, params: &Params, round: u64) {
        let interval_s = STORE_INTERVAL.as_secs();
        let unix_now = Time::from_millis((BEGIN_S + round * interval_s) * 1_000);
        let per_round = |per_day: u32| f64::from(per_day) * interval_s as f64 / DAY_S;
        for _ in 0..self.draw(per_round(params.jobs_per_day)) {
            let job = self.job(params, round + STARTING_ROUNDS);
            self.jobs.push(job);
        }
        self.jobs.retain(|job| job.until > round);
        for job in &self.jobs {
            self.vms[job.vm].observer.count_start(&job.task, unix_now);
        }
        for vm in &mut self.vms {
            vm.store.store().await;
        }
        for _ in 0..self.draw(per_round(params.replaced_per_day)) {
            let place = self.rng.random_range(0..params.vms);
            self.vms[place] = self.begin(place);
        }
        self.share();
        let now = Time::from_millis(round * interval_s * 1_000);
        self.vms[0].store.fold_stale_ledgers(now, unix_now).await;
    }

    /// A whole number whose mean is `mean`.
    fn draw(&mut self, mean: f64) -> u64 {
        let more = self.rng.random::<f64>() < mean.fract();
        mean as u64 + u64::from(more)
    }

    fn job(&mut self, params: &Params, until: u64) -> Starting {
        let team = self.rng.random_range(0..params.teams);
        let kind = KINDS[self.rng.random_range(0..KINDS.len())];
        Starting {
            vm: self.rng.random_range(0..params.vms),
            task: StartedTask {
                team: format!("team-{team}").as_str().into(),
                kind: kind.into(),
                waited: Duration::ZERO,
            },
            until,
        }
    }

    fn share(&self) {
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

fn config(teams: u32) -> String {
    let teams = (0..teams).map(|team| format!("[team.team-{team}]\nbalance_core_hours = 1\n"));
    let kinds = KINDS.map(|kind| {
        let objective = "waiting_ms = 2700\ntarget = 0.99\n";
        format!("[kind.{kind}]\n[objective.{kind}]\nkind = \"{kind}\"\n{objective}")
    });
    teams.chain(kinds).collect()
}
