//! Cases that show what a policy brings about, each beside both baselines.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::count::Count;
use super::simulation::{SimulationParams, simulate};
use super::workload::{Flood, KINDS, SERVICE, WorkloadParams, generate};
use crate::decide::Policy;
use crate::decide::fifo::Fifo;
use crate::decide::priority::Priority;
use crate::decide::scheduler::Scheduler;

const CORES_PER_WORKER: u64 = 16;
const WARM_UP_MS: u64 = 900_000;
const MEASURED_MS: u64 = 600_000;
const FLOOD_TIMES: u64 = 10;
const BAD_EVERY: u32 = 10;
const PREVIEW: &str = "preview";
const SWAP: &str = "swap";

/// A case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Work for 70 % of the capacity.
    Load70,
    /// Work for 95 % of the capacity.
    Load95,
    /// A flood of compiles, which are patient, from all teams.
    FloodPatient,
    /// A flood of swaps, which are urgent, from all teams.
    FloodUrgent,
    /// A flood of previews, which are urgent, from one team.
    FloodOneTeam,
    /// More work of mixed sizes than fits.
    Packing,
    /// Declarations that are wrong by a factor of 1/4 to 8.
    WrongSizes,
    /// One worker in ten fails everything.
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

    /// The case's name.
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
            capacity_multiple: FLOOD_TIMES,
        })
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A text that is not the name of a case.
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

/// Waiting times of a kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Waiting {
    /// Tasks that were counted.
    pub tasks: u64,
    /// The median, in seconds.
    pub p50_s: f64,
    /// The 99th percentile, in seconds.
    pub p99_s: f64,
}

/// What one policy brought about.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Placements that gave a worker more than it holds.
    pub overcommitted: u64,
    /// The 99th percentile of the waiting time of urgent work, in seconds; without the kind that
    /// all teams flood with, or the team that floods alone.
    pub urgent_p99_s: f64,
    /// The least part that a kind, other than the flood's, kept of its unflooded work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept_share_min: Option<f64>,
    /// The part that each kind kept of its unflooded work.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub kept_share: BTreeMap<&'static str, f64>,
    /// The 99th percentile of previews' waiting time without the flood's, beside the unflooded one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub preview_p99_ratio: Option<f64>,
    /// The part of the volume bound that running tasks needed in truth.
    pub packing: f64,
    /// The part of the useful work kept beside a run of the same policy without the fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub useful_share: Option<f64>,
    /// Useful work, in cores on average.
    pub useful_cores: f64,
    /// Tasks that were checkpointed or stopped.
    #[serde(rename = "yielded")]
    pub preempted: u64,
    /// Refused jobs, without the flood's.
    pub refused: u64,
    /// Waiting times by kind, without the flood's.
    pub waiting: BTreeMap<&'static str, Waiting>,
}

/// What a case showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The case.
    pub case: &'static str,
    /// Workers.
    pub workers: u32,
    /// Teams.
    pub teams: u32,
    /// By policy.
    pub policies: BTreeMap<&'static str, PolicyReport>,
}

/// The fleet of a case.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// Workers of 16 cores and 64 GiB.
    pub workers: u32,
    /// Teams.
    pub teams: u32,
    /// The seed of the work.
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

/// Runs a case on a fleet of today's size.
pub fn run_default(case: Case) -> Report {
    run_case(case, &Params::default())
}

/// Runs a case with each policy.
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
    type Make = fn() -> Box<dyn Policy>;
    let makers: [(&str, Make); 3] = [
        ("chestnutlug", || Box::new(Scheduler::new(1))),
        ("fifo", || Box::new(Fifo::default())),
        ("priority", || Box::new(Priority::default())),
    ];
    let work = Work::of(case, params);
    let reports = makers.map(|(name, make)| (name, work.report(make)));
    Report {
        case: case.name(),
        workers: params.workers,
        teams: params.teams,
        policies: reports.into_iter().collect(),
    }
}

/// The work of a case and of the run that it is compared with.
struct Work {
    case: Case,
    setup: SimulationParams,
    demand: WorkloadParams,
    /// The demand and the setup of the run that this one is compared with.
    reference: Option<(WorkloadParams, SimulationParams)>,
}

impl Work {
    fn of(case: Case, params: &Params) -> Self {
        let until_ms = WARM_UP_MS + MEASURED_MS;
        let demand = WorkloadParams {
            teams: params.teams,
            cores: u64::from(params.workers) * CORES_PER_WORKER,
            load_percent: case.load_percent(),
            until_ms,
            misdeclared: case == Case::WrongSizes,
            seed: params.seed,
        };
        let plain = SimulationParams {
            workers: params.workers,
            teams: params.teams,
            failing_worker_stride: 0,
            measure_from_ms: WARM_UP_MS,
            end_ms: until_ms,
        };
        let right = WorkloadParams {
            misdeclared: false,
            ..demand
        };
        let failing_worker_stride = if case == Case::BadWorkers {
            BAD_EVERY
        } else {
            0
        };
        let is_compared = !matches!(case, Case::Load70 | Case::Load95 | Case::Packing);
        Self {
            case,
            setup: SimulationParams {
                failing_worker_stride,
                ..plain
            },
            demand,
            reference: is_compared.then_some((right, plain)),
        }
    }

    fn report(&self, make: fn() -> Box<dyn Policy>) -> PolicyReport {
        let flood = self.case.flood();
        let arrivals = &mut generate(&self.demand, flood.as_ref());
        let count = simulate(make().as_mut(), arrivals, &self.setup);
        let mut report = plain_report(&count, &self.setup, flood.as_ref());
        let Some((demand, setup)) = &self.reference else {
            return report;
        };
        let reference = simulate(make().as_mut(), &mut generate(demand, None), setup);
        if let Some(flood) = flood {
            report.kept_share = kept_shares(&count, &reference, flood.kind);
            report.kept_share_min = report.kept_share.values().copied().reduce(f64::min);
            let ratio = p99_s(&count, PREVIEW) / p99_s(&reference, PREVIEW);
            report.preview_p99_ratio = Some(ratio);
        } else {
            let kept = useful_core_ms(&count) as f64 / useful_core_ms(&reference) as f64;
            report.useful_share = Some(kept);
        }
        report
    }
}

fn useful_core_ms(count: &Count) -> u64 {
    count.kinds.values().map(|kind| kind.useful_core_ms).sum()
}

fn p99_s(count: &Count, kind: &str) -> f64 {
    let waiting_ms = &count.kinds[kind].waiting_ms;
    waiting_ms.value_at_quantile(0.99) as f64 / 1_000.0
}

fn plain_report(count: &Count, setup: &SimulationParams, flood: Option<&Flood>) -> PolicyReport {
    let mut urgent_ms = count.kinds[PREVIEW].waiting_ms.clone();
    if flood.is_none_or(|flood| flood.kind != SWAP) {
        let added = urgent_ms.add(&count.kinds[SWAP].waiting_ms);
        debug_assert!(added.is_ok());
    }
    let measured_ms = (setup.end_ms - setup.measure_from_ms) as f64;
    let waiting = KINDS.iter().map(|shape| {
        let waiting_ms = &count.kinds[shape.name].waiting_ms;
        let waiting = Waiting {
            tasks: waiting_ms.len(),
            p50_s: waiting_ms.value_at_quantile(0.5) as f64 / 1_000.0,
            p99_s: p99_s(count, shape.name),
        };
        (shape.name, waiting)
    });
    PolicyReport {
        overcommitted: count.overcommitted,
        urgent_p99_s: urgent_ms.value_at_quantile(0.99) as f64 / 1_000.0,
        kept_share_min: None,
        kept_share: BTreeMap::new(),
        preview_p99_ratio: None,
        packing: count.used / count.rounds.max(1) as f64,
        useful_share: None,
        useful_cores: useful_core_ms(count) as f64 / measured_ms,
        preempted: count.preempted,
        refused: count.kinds.values().map(|kind| kind.refused).sum(),
        waiting: waiting.collect(),
    }
}

/// What each kind but the flood's kept of its unflooded work.
fn kept_shares(
    count: &Count,
    reference: &Count,
    flood: &'static str,
) -> BTreeMap<&'static str, f64> {
    let others = KINDS.iter().map(|shape| shape.name);
    let others = others.filter(|&name| name != flood && name != SERVICE);
    let share = |name: &'static str| {
        let useful = |count: &Count| count.kinds[name].useful_core_ms as f64;
        (name, useful(count) / useful(reference).max(1.0))
    };
    others.map(share).collect()
}
