//! Burn rates, and what remains of the error budgets.

use std::collections::BTreeMap;
use std::time::Duration;

use super::burn::{BURN_WINDOWS, SeriesCounts, SloCount};
use crate::model::{KindName, TeamName};

/// The window whose burn rate the projection goes by.
const PROJECTION_WINDOW: usize = 1;

common! { record
/// The burn of one window.
pub struct WindowBurn {
    /// The length of the window, in seconds.
    pub window_s: u64,
    /// What was counted.
    pub count: SloCount,
    /// How fast the error budget is used: 1 uses exactly all of it over the budget's window.
    /// `None` where there was no work.
    pub burn_rate: Option<f64>,
}}

common! { record
/// The burn of one team's work of one kind.
pub struct BurnRow {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// The longest wait that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// The share of work that must meet it.
    pub target: f64,
    /// The burn over each window, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// What remains of the budget of the longest window, 1 for all of it; below 0 where it is
    /// overspent. `None` where there was no work.
    pub budget_remaining: Option<f64>,
    /// How long the budget lasts at the burn rate of the last hour, in seconds; `None` where it
    /// lasts for good.
    pub exhausted_in_s: Option<u64>,
    /// The counts of the last hours, the latest first.
    pub history: Vec<SloCount>,
}}

common! { record
/// The service-level burn of a cell.
#[derive(Default)]
pub struct BurnReport {
    /// A row for each team and kind with an objective, in the order of their names.
    pub rows: Vec<BurnRow>,
}}

impl BurnReport {
    /// Sums the counts of several VMs and works the report out.
    pub fn from_counts(vms: &[Vec<SeriesCounts>]) -> Self {
        let mut sums: BTreeMap<(&TeamName, &KindName), SeriesCounts> = BTreeMap::new();
        for counts in vms.iter().flatten() {
            let sum = sums.entry((&counts.team, &counts.kind));
            sum.and_modify(|sum| add(sum, counts))
                .or_insert_with(|| counts.clone());
        }
        Self {
            rows: sums.into_values().map(row).collect(),
        }
    }
}

fn add(sum: &mut SeriesCounts, counts: &SeriesCounts) {
    let same_goal = sum.waiting_ms == counts.waiting_ms && sum.target == counts.target;
    if !same_goal {
        // A VM that has not taken up the configuration yet counts by another objective.
        return;
    }
    for (sum, count) in sum.windows.iter_mut().zip(&counts.windows) {
        *sum = sum.plus(*count);
    }
    for (sum, count) in sum.history.iter_mut().zip(&counts.history) {
        *sum = sum.plus(*count);
    }
}

fn row(counts: SeriesCounts) -> BurnRow {
    let allowed_share = 1.0 - counts.target;
    let windows: Vec<WindowBurn> = BURN_WINDOWS
        .iter()
        .zip(&counts.windows)
        .map(|(window, count)| WindowBurn {
            window_s: window.as_secs(),
            count: *count,
            burn_rate: count.bad_share().map(|share| share / allowed_share),
        })
        .collect();
    let rate_of = |window: usize| windows.get(window).and_then(|burn| burn.burn_rate);
    let budget_remaining = rate_of(BURN_WINDOWS.len() - 1).map(|used| 1.0 - used);
    let exhausted_in = projection(budget_remaining, rate_of(PROJECTION_WINDOW));
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

/// How long what remains lasts at `rate`; a rate of 1 or less never uses up a moving window.
fn projection(remaining: Option<f64>, rate: Option<f64>) -> Option<Duration> {
    let remaining = remaining?;
    if remaining <= 0.0 {
        return Some(Duration::ZERO);
    }
    let rate = rate?;
    let budget_s = BURN_WINDOWS[BURN_WINDOWS.len() - 1].as_secs_f64();
    (rate > 1.0).then(|| Duration::from_secs_f64(remaining * budget_s / rate))
}
