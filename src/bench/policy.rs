//! Benchmark cases for scheduling policies, in which the scheduler is compared with two baselines.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::counts::SimulationCounts;
use super::simulation::{SimulationParams, simulate};
use super::workload::{Flood, KINDS, SERVICE_KIND, WorkloadParams, generate};
use crate::decide::Policy;
use crate::decide::fifo::Fifo;
use crate::decide::priority::Priority;
use crate::decide::scheduler::Scheduler;

const CORES_PER_WORKER: u64 = 16;
const WARM_UP_MS: u64 = 900_000;
const MEASURED_MS: u64 = 600_000;
const FLOOD_CAPACITY_MULTIPLE: u64 = 10;
const FAILING_WORKER_STRIDE: u32 = 10;
const PREVIEW: &str = "preview";
const SWAP: &str = "swap";

/// A benchmark case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Load of 70 % of the capacity.
    Load70,
    /// Load of 95 % of the capacity.
    Load95,
    /// Flood of compiles, which are patient, from all teams.
    FloodPatient,
    /// Flood of swaps, which are urgent, from all teams.
    FloodUrgent,
    /// Flood of previews, which are urgent, from one team.
    FloodOneTeam,
    /// Work of mixed sizes that exceeds the capacity.
    Packing,
    /// Declared sizes and run times are wrong by a factor of 1/4 to 8.
    WrongSizes,
    /// One in ten workers fails all tasks.
    BadWorkers,
}

impl Case {
    /// All cases.
    pub const ALL: [Self; 8] = [
        Self::Load70,
        Self::Load95,
        Self::FloodPatient,
        Self::FloodUrgent,
        Self::FloodOneTeam,
        Self::Packing,
        Self::WrongSizes,
        Self::BadWorkers,
    ];

    /// Name of the case.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::bench::policy::Case;
    ///
    /// for case in Case::ALL {
    ///     assert_eq!(case.name().parse::<Case>().unwrap(), case);
    /// }
    /// assert!("load-80".parse::<Case>().is_err());
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Load70 => "load-70",
            Self::Load95 => "load-95",
            Self::FloodPatient => "flood-patient",
            Self::FloodUrgent => "flood-urgent",
            Self::FloodOneTeam => "flood-one-team",
            Self::Packing => "packing",
            Self::WrongSizes => "wrong-sizes",
            Self::BadWorkers => "bad-workers",
        }
    }

    fn load_percent(self) -> u64 {
        match self {
            Self::Load95 => 95,
            Self::Packing => 200,
            _ => 70,
        }
    }

    fn flood(self) -> Option<Flood> {
        let (kind, one_team) = match self {
            Self::FloodPatient => ("compile", false),
            Self::FloodUrgent => (SWAP, false),
            Self::FloodOneTeam => (PREVIEW, true),
            _ => return None,
        };
        Some(Flood {
            kind,
            one_team,
            from_ms: WARM_UP_MS,
            to_ms: WARM_UP_MS + MEASURED_MS,
            capacity_multiple: FLOOD_CAPACITY_MULTIPLE,
        })
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Error for a string that is not the name of a case.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a case")]
pub struct ParseCaseError(String);

impl FromStr for Case {
    type Err = ParseCaseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|case| case.name() == text);
        found.ok_or_else(|| ParseCaseError(text.to_owned()))
    }
}

/// Waiting times of the tasks of a kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct WaitingTimes {
    /// Number of tasks.
    pub tasks: u64,
    /// Median, in seconds.
    pub p50_s: f64,
    /// 99th percentile, in seconds.
    pub p99_s: f64,
}

/// Results of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Number of placements that exceeded the capacity of the worker.
    pub overcommitted: u64,
    /// 99th percentile of the waiting time of urgent work, in seconds; without the kind of a flood
    /// from all teams, and without the flooding team.
    pub urgent_p99_s: f64,
    /// Minimum of `kept_share` over all kinds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept_share_min: Option<f64>,
    /// Useful work of each kind, except that of the flood, as a share of its useful work without
    /// the flood.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub kept_share: BTreeMap<&'static str, f64>,
    /// Ratio of the 99th percentile of the waiting time of previews, except those of the flood, to
    /// that without the flood.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub preview_p99_ratio: Option<f64>,
    /// Mean utilization by running tasks: the larger of the shares of all processors and of all
    /// memory that they actually use.
    pub packing: f64,
    /// Useful work as a share of that of the same policy without the fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub useful_share: Option<f64>,
    /// Mean number of cores that do useful work.
    pub useful_cores: f64,
    /// Number of tasks that were checkpointed or stopped.
    #[serde(rename = "yielded")]
    pub preempted: u64,
    /// Number of refused jobs, without those of the flood.
    pub refused: u64,
    /// Waiting times by kind, without those of the flood.
    pub waiting: BTreeMap<&'static str, WaitingTimes>,
}

/// Results of a case.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the case.
    pub case: &'static str,
    /// Number of workers.
    pub workers: u32,
    /// Number of teams.
    pub teams: u32,
    /// Results by policy.
    pub policies: BTreeMap<&'static str, PolicyReport>,
}

/// Parameters of a case.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// Number of workers, each with 16 cores and 64 GiB.
    pub workers: u32,
    /// Number of teams.
    pub teams: u32,
    /// Seed of the workload.
    pub seed: u64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            workers: 50,
            teams: 40,
            seed: 1,
        }
    }
}

/// Runs a case with the default parameters: a fleet of today's size.
pub fn run_default(case: Case) -> Report {
    run_case(case, &Params::default())
}

/// Runs a case with the scheduler and with each baseline.
///
/// # Examples
///
/// ```
/// use chestnutlug::bench::policy::{Case, Params, run_case};
///
/// let params = Params { workers: 4, teams: 2, seed: 1 };
/// let report = run_case(Case::Load70, &params);
/// assert_eq!(report.policies["chestnutlug"].overcommitted, 0);
/// assert!(report.policies.contains_key("fifo") && report.policies.contains_key("priority"));
/// ```
pub fn run_case(case: Case, params: &Params) -> Report {
    type NewPolicy = fn() -> Box<dyn Policy>;
    let policies: [(&str, NewPolicy); 3] = [
        ("chestnutlug", || Box::new(Scheduler::new(1))),
        ("fifo", || Box::new(Fifo::default())),
        ("priority", || Box::new(Priority::default())),
    ];
    let case_run = CaseRun::new(case, params);
    let reports = policies.map(|(name, new_policy)| (name, case_run.report(new_policy)));
    Report {
        case: case.name(),
        workers: params.workers,
        teams: params.teams,
        policies: reports.into_iter().collect(),
    }
}

/// Workload and simulation of a case, and of its reference run.
struct CaseRun {
    case: Case,
    simulation: SimulationParams,
    workload: WorkloadParams,
    /// Workload and simulation of the run with which the case is compared, if any.
    reference: Option<(WorkloadParams, SimulationParams)>,
}

impl CaseRun {
    fn new(case: Case, params: &Params) -> Self {
        let until_ms = WARM_UP_MS + MEASURED_MS;
        let workload = WorkloadParams {
            teams: params.teams,
            cores: u64::from(params.workers) * CORES_PER_WORKER,
            load_percent: case.load_percent(),
            until_ms,
            misdeclared: case == Case::WrongSizes,
            seed: params.seed,
        };
        let base = SimulationParams {
            workers: params.workers,
            teams: params.teams,
            failing_worker_stride: 0,
            measure_from_ms: WARM_UP_MS,
            end_ms: until_ms,
        };
        let declared_right = WorkloadParams {
            misdeclared: false,
            ..workload
        };
        let failing_worker_stride = if case == Case::BadWorkers {
            FAILING_WORKER_STRIDE
        } else {
            0
        };
        let is_compared = !matches!(case, Case::Load70 | Case::Load95 | Case::Packing);
        Self {
            case,
            simulation: SimulationParams {
                failing_worker_stride,
                ..base
            },
            workload,
            reference: is_compared.then_some((declared_right, base)),
        }
    }

    fn report(&self, new_policy: fn() -> Box<dyn Policy>) -> PolicyReport {
        let flood = self.case.flood();
        let arrivals = &mut generate(&self.workload, flood.as_ref());
        let counts = simulate(new_policy().as_mut(), arrivals, &self.simulation);
        let mut report = base_report(&counts, &self.simulation, flood.as_ref());
        let Some((workload, simulation)) = &self.reference else {
            return report;
        };
        let reference = simulate(
            new_policy().as_mut(),
            &mut generate(workload, None),
            simulation,
        );
        if let Some(flood) = flood {
            report.kept_share = kept_shares(&counts, &reference, flood.kind);
            report.kept_share_min = report.kept_share.values().copied().reduce(f64::min);
            let ratio = p99_s(&counts, PREVIEW) / p99_s(&reference, PREVIEW);
            report.preview_p99_ratio = Some(ratio);
        } else {
            let kept = useful_core_ms(&counts) as f64 / useful_core_ms(&reference) as f64;
            report.useful_share = Some(kept);
        }
        report
    }
}

fn useful_core_ms(counts: &SimulationCounts) -> u64 {
    counts.kinds.values().map(|kind| kind.useful_core_ms).sum()
}

fn p99_s(counts: &SimulationCounts, kind: &str) -> f64 {
    let waiting_ms = &counts.kinds[kind].waiting_ms;
    waiting_ms.value_at_quantile(0.99) as f64 / 1_000.0
}

fn base_report(
    counts: &SimulationCounts,
    simulation: &SimulationParams,
    flood: Option<&Flood>,
) -> PolicyReport {
    let mut urgent_ms = counts.kinds[PREVIEW].waiting_ms.clone();
    if flood.is_none_or(|flood| flood.kind != SWAP) {
        let added = urgent_ms.add(&counts.kinds[SWAP].waiting_ms);
        debug_assert!(added.is_ok());
    }
    let measured_ms = (simulation.end_ms - simulation.measure_from_ms) as f64;
    let waiting = KINDS.iter().map(|profile| {
        let waiting_ms = &counts.kinds[profile.name].waiting_ms;
        let waiting = WaitingTimes {
            tasks: waiting_ms.len(),
            p50_s: waiting_ms.value_at_quantile(0.5) as f64 / 1_000.0,
            p99_s: p99_s(counts, profile.name),
        };
        (profile.name, waiting)
    });
    PolicyReport {
        overcommitted: counts.overcommitted,
        urgent_p99_s: urgent_ms.value_at_quantile(0.99) as f64 / 1_000.0,
        kept_share_min: None,
        kept_share: BTreeMap::new(),
        preview_p99_ratio: None,
        packing: counts.used_share_sum / counts.measured_rounds.max(1) as f64,
        useful_share: None,
        useful_cores: useful_core_ms(counts) as f64 / measured_ms,
        preempted: counts.preempted,
        refused: counts.kinds.values().map(|kind| kind.refused).sum(),
        waiting: waiting.collect(),
    }
}

/// Useful work of each kind except that of the flood, as a share of its work in the reference run.
fn kept_shares(
    counts: &SimulationCounts,
    reference: &SimulationCounts,
    flood: &'static str,
) -> BTreeMap<&'static str, f64> {
    let other_kinds = KINDS.iter().map(|profile| profile.name);
    let other_kinds = other_kinds.filter(|&name| name != flood && name != SERVICE_KIND);
    let share = |name: &'static str| {
        let useful = |counts: &SimulationCounts| counts.kinds[name].useful_core_ms as f64;
        (name, useful(counts) / useful(reference).max(1.0))
    };
    other_kinds.map(share).collect()
}
