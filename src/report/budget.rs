//! Burn rates and remaining error budgets.

use std::collections::BTreeMap;
use std::time::Duration;

use super::slo_tracker::{BURN_WINDOWS, SeriesCounts, SloCount};
use crate::model::{KindName, TeamName};

/// The index of the one-hour window, whose burn rate is used to project when the budget is
/// exhausted.
const PROJECTION_WINDOW: usize = 1;

common! { record
/// The burn rate over one window.
pub struct WindowBurn {
    /// The length of the window, in seconds.
    pub window_s: u64,
    /// The task starts in the window.
    pub count: SloCount,
    /// How fast the error budget is used: a rate of 1 uses exactly the whole budget over the
    /// budget's window. `None` if nothing was counted.
    pub burn_rate: Option<f64>,
}}

common! { record
/// The error-budget burn of one team's tasks of one kind.
pub struct BurnRow {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// The maximum waiting time that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// The fraction of task starts that must meet it.
    pub target: f64,
    /// The burn rates over all windows, shortest first.
    pub windows: Vec<WindowBurn>,
    /// The remaining fraction of the budget of the longest window: 1 if none of it is used, below 0
    /// if it is overspent. `None` if nothing was counted.
    pub budget_remaining: Option<f64>,
    /// The time until the budget is exhausted at the burn rate of the last hour, in seconds; `None`
    /// if that rate never exhausts it.
    pub exhausted_in_s: Option<u64>,
    /// The counts of the last hours, latest first, one per [`HISTORY_INTERVAL`](super::HISTORY_INTERVAL).
    pub history: Vec<SloCount>,
}}

common! { record
/// The error-budget burn of a cell's service-level objectives.
#[derive(Default)]
pub struct BurnReport {
    /// One row per team and kind that was counted against an objective, ordered by name.
    pub rows: Vec<BurnRow>,
}}

impl BurnReport {
    /// Computes the report from the sums of the counts of several VMs.
    pub fn from_counts(vms: &[Vec<SeriesCounts>]) -> Self {
        let mut sums: BTreeMap<(&TeamName, &KindName), SeriesCounts> = BTreeMap::new();
        for counts in vms.iter().flatten() {
            let sum = sums.entry((&counts.team, &counts.kind));
            sum.and_modify(|sum| add(sum, counts))
                .or_insert_with(|| counts.clone());
        }
        Self {
            rows: sums.into_values().map(burn_row).collect(),
        }
    }
}

fn add(sum: &mut SeriesCounts, counts: &SeriesCounts) {
    let same_objective = sum.waiting_ms == counts.waiting_ms && sum.target == counts.target;
    if !same_objective {
        // VMs that have not adopted the same configuration yet count against different objectives,
        // which cannot be summed.
        return;
    }
    for (sum, count) in sum.windows.iter_mut().zip(&counts.windows) {
        *sum = sum.plus(*count);
    }
    for (sum, count) in sum.history.iter_mut().zip(&counts.history) {
        *sum = sum.plus(*count);
    }
}

fn burn_row(counts: SeriesCounts) -> BurnRow {
    let allowed_fraction = 1.0 - counts.target;
    let windows: Vec<WindowBurn> = BURN_WINDOWS
        .iter()
        .zip(&counts.windows)
        .map(|(window, count)| WindowBurn {
            window_s: window.as_secs(),
            count: *count,
            burn_rate: count.bad_fraction().map(|bad| bad / allowed_fraction),
        })
        .collect();
    let rate_over = |window: usize| windows.get(window).and_then(|burn| burn.burn_rate);
    let budget_remaining = rate_over(BURN_WINDOWS.len() - 1).map(|used| 1.0 - used);
    let exhausted_in = time_to_exhaustion(budget_remaining, rate_over(PROJECTION_WINDOW));
    BurnRow {
        team: counts.team,
        kind: counts.kind,
        waiting_ms: counts.waiting_ms,
        target: counts.target,
        budget_remaining,
        exhausted_in_s: exhausted_in.map(|left| left.as_secs()),
        windows,
        history: counts.history,
    }
}

/// How long the remaining budget lasts at `rate`. A rate of 1 or less never exhausts the budget,
/// because its window slides.
fn time_to_exhaustion(remaining: Option<f64>, rate: Option<f64>) -> Option<Duration> {
    let remaining = remaining?;
    if remaining <= 0.0 {
        return Some(Duration::ZERO);
    }
    let rate = rate?;
    let budget_s = BURN_WINDOWS[BURN_WINDOWS.len() - 1].as_secs_f64();
    (rate > 1.0).then(|| Duration::from_secs_f64(remaining * budget_s / rate))
}
