//! Counts work that met its service-level objective and work that did not, over several windows.

use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::hours::{HOUR_S, HourCounts, MinuteSpan, SeriesHour};
use crate::config::CellConfig;
use crate::model::{KindName, TeamName, Time};

/// The windows over which work is counted, the shortest first; the last is that of the budget.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_secs(5 * 60),
    Duration::from_secs(3_600),
    Duration::from_secs(6 * 3_600),
    Duration::from_secs(3 * 24 * 3_600),
];

/// How long one bucket of each window is. A window is exact to one bucket.
const BUCKETS: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(5 * 60),
    Duration::from_secs(3_600),
];

/// The window whose buckets are hours.
const HOURS: usize = 3;

/// The window whose buckets are the points of a plot.
const HISTORY_WINDOW: usize = 2;

/// The time between two points of a plot.
pub const HISTORY_INTERVAL: Duration = BUCKETS[HISTORY_WINDOW];

/// How many hours before the present one the longest window reaches into.
pub const RETENTION_HOURS: u64 = 71;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// The most pairs of team and kind that are counted.
pub const MAX_SERIES: usize = 10_000;

common! { value
/// How much work met its objective, and how much did not.
#[derive(Default)]
pub struct SloCount {
    /// Work that met it.
    pub good: u64,
    /// Work that did not.
    pub bad: u64,
}}

impl SloCount {
    /// The sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }

    /// The share of work that did not meet its objective; `None` where there was no work.
    pub fn bad_share(self) -> Option<f64> {
        let all = self.good + self.bad;
        (all > 0).then(|| self.bad as f64 / all as f64)
    }
}

common! { record
/// The counts of one team's work of one kind.
pub struct SeriesCounts {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// The longest wait that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// The share of work that must meet it.
    pub target: f64,
    /// The counts over each of [`BURN_WINDOWS`].
    pub windows: Vec<SloCount>,
    /// The counts of the last hours, the latest first, one for each [`HISTORY_INTERVAL`].
    pub history: Vec<SloCount>,
}}

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Goal {
    waiting_ms: u64,
    target: f64,
}

/// Counts work by team and kind. Times count from 1970, so that the counts of several VMs fit
/// together.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::config::CellConfig;
/// use chestnutlug::model::Time;
/// use chestnutlug::report::{SloTracker, BurnReport};
///
/// let text = "[team.a]\nbalance_core_hours = 1\n[kind.swap]\n\
///             [objective.swap]\nkind = \"swap\"\nwaiting_ms = 2700\ntarget = 0.9\n";
/// let mut burn = SloTracker::default();
/// burn.set_objectives(&CellConfig::from_text(text).unwrap());
///
/// let now = Time::from_millis(1_000);
/// for waited_ms in [10, 20, 5_000, 30] {
///     burn.record(&"a".into(), &"swap".into(), Duration::from_millis(waited_ms), now);
/// }
/// let report = BurnReport::from_counts(&[burn.counts(now)]);
/// let last_5_min = &report.rows[0].windows[0];
/// assert_eq!((last_5_min.count.good, last_5_min.count.bad), (3, 1));
/// // A quarter missed the objective, and a tenth may.
/// assert!((last_5_min.burn_rate.unwrap() - 2.5).abs() < 1e-9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SloTracker {
    goals: FxHashMap<(Option<TeamName>, KindName), Goal>,
    series: FxHashMap<(TeamName, KindName), Series>,
    changed: BTreeSet<u64>,
    dropped: u64,
}

impl SloTracker {
    /// Takes the objectives of a configuration. The counts of work whose objective changed or
    /// went away are forgotten, as they answer another question.
    pub fn set_objectives(&mut self, config: &CellConfig) {
        let objectives = config.objective.values();
        self.goals = objectives
            .map(|objective| {
                let goal = Goal {
                    waiting_ms: objective.waiting_ms,
                    target: objective.target,
                };
                ((objective.team.clone(), objective.kind.clone()), goal)
            })
            .collect();
        let goals = &self.goals;
        self.series
            .retain(|(team, kind), series| goal_of(goals, team, kind) == Some(series.goal));
    }

    /// Counts work that started at `now` after it had `waited`; work without an objective is not
    /// counted.
    pub fn record(&mut self, team: &TeamName, kind: &KindName, waited: Duration, now: Time) {
        let Some(goal) = goal_of(&self.goals, team, kind) else {
            return;
        };
        let Some(series) = self.series(team, kind, goal) else {
            return;
        };
        let met = waited <= Duration::from_millis(goal.waiting_ms);
        let count = SloCount {
            good: met.into(),
            bad: (!met).into(),
        };
        for ring in &mut series.rings {
            ring.add(count, now.max(ring.latest_start()));
        }
        let hour = series.rings[HOURS].latest;
        self.changed.insert(hour);
        let oldest = hour.saturating_sub(RETENTION_HOURS);
        self.changed = self.changed.split_off(&oldest);
    }

    /// The series of a team and kind; `None` where there are too many already.
    fn series(&mut self, team: &TeamName, kind: &KindName, goal: Goal) -> Option<&mut Series> {
        let full = self.series.len() >= MAX_SERIES;
        let key = (team.clone(), kind.clone());
        if full && !self.series.contains_key(&key) {
            self.dropped += 1;
            return None;
        }
        Some(self.series.entry(key).or_insert_with(|| Series::new(goal)))
    }

    /// Adds counts that were kept, but for those of objectives that are not in force.
    pub fn add_hour(&mut self, kept: &HourCounts, now: Time) {
        for added in &kept.series {
            let goal = Goal {
                waiting_ms: added.waiting_ms,
                target: added.target,
            };
            if goal_of(&self.goals, &added.team, &added.kind) != Some(goal) {
                continue;
            }
            let Some(series) = self.series(&added.team, &added.kind, goal) else {
                continue;
            };
            for span in &added.spans {
                let start_s = kept.hour * HOUR_S + u64::from(span.minute) * 60;
                // The clock of another VM may be ahead.
                let at = Time(start_s * US_PER_S).min(now);
                for ring in &mut series.rings {
                    ring.add(span.count, at);
                }
            }
        }
    }

    /// Takes the hours whose counts have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.changed)
    }

    /// Puts back hours that could not be kept.
    pub fn restore_changed(&mut self, hours: BTreeSet<u64>) {
        self.changed.extend(hours);
    }

    /// The counts of one hour since 1970, each as fine as they are held.
    pub fn hour_counts(&self, hour: u64) -> HourCounts {
        let mut all: Vec<SeriesHour> = self
            .series
            .iter()
            .map(|((team, kind), series)| SeriesHour {
                team: team.clone(),
                kind: kind.clone(),
                waiting_ms: series.goal.waiting_ms,
                target: series.goal.target,
                spans: series.spans(hour),
            })
            .filter(|series| !series.spans.is_empty())
            .collect();
        all.sort_by(|a, b| (&a.team, &a.kind).cmp(&(&b.team, &b.kind)));
        HourCounts { hour, series: all }
    }

    /// Forgets all counts, but not the objectives.
    pub fn clear_counts(&mut self) {
        self.series.clear();
        self.changed.clear();
    }

    /// The counts at `now`, by team and kind.
    pub fn counts(&self, now: Time) -> Vec<SeriesCounts> {
        let mut counts: Vec<SeriesCounts> = self
            .series
            .iter()
            .map(|((team, kind), series)| series.counts(team, kind, now))
            .collect();
        counts.sort_by(|a, b| (&a.team, &a.kind).cmp(&(&b.team, &b.kind)));
        counts
    }

    /// How much work was not counted because there were too many pairs of team and kind.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// The team's own objective for a kind, or else the one for every team.
fn goal_of(
    goals: &FxHashMap<(Option<TeamName>, KindName), Goal>,
    team: &TeamName,
    kind: &KindName,
) -> Option<Goal> {
    let own = goals.get(&(Some(team.clone()), kind.clone()));
    own.or_else(|| goals.get(&(None, kind.clone()))).copied()
}

#[derive(Clone, Debug)]
struct Series {
    goal: Goal,
    rings: [Ring; BURN_WINDOWS.len()],
}

impl Series {
    fn new(goal: Goal) -> Self {
        Self {
            goal,
            rings: std::array::from_fn(|i| Ring::new(BURN_WINDOWS[i], BUCKETS[i])),
        }
    }

    fn counts(&self, team: &TeamName, kind: &KindName, now: Time) -> SeriesCounts {
        SeriesCounts {
            team: team.clone(),
            kind: kind.clone(),
            waiting_ms: self.goal.waiting_ms,
            target: self.goal.target,
            windows: self.rings.iter().map(|ring| ring.sum(now)).collect(),
            history: self.rings[HISTORY_WINDOW].latest_first(now).collect(),
        }
    }

    /// The counts of one hour, by minutes where they are held so finely.
    fn spans(&self, hour: u64) -> Vec<MinuteSpan> {
        let [_, minutes, middles, hours] = &self.rings;
        if !middles.covers(hour * 12) {
            return span(0, 60, hours.held(hour)).into_iter().collect();
        }
        let mut spans = Vec::new();
        for part in 0..12_u8 {
            let middle = hour * 12 + u64::from(part);
            if !minutes.covers(middle * 5) {
                spans.extend(span(part * 5, 5, middles.held(middle)));
                continue;
            }
            for minute in part * 5..part * 5 + 5 {
                let number = hour * 60 + u64::from(minute);
                spans.extend(span(minute, 1, minutes.held(number)));
            }
        }
        spans
    }
}

/// A span of work; `None` where there was none.
fn span(minute: u8, minutes: u8, count: SloCount) -> Option<MinuteSpan> {
    (count != SloCount::default()).then_some(MinuteSpan {
        minute,
        minutes,
        count,
    })
}

/// Counts in buckets of equal length, the oldest of which are overwritten.
#[derive(Clone, Debug)]
struct Ring {
    bucket_us: u64,
    /// The number of the bucket that holds the latest count, since the clock's start.
    latest: u64,
    counts: Box<[SmallCount]>,
}

/// A bucket; the counts stop at the largest number.
#[derive(Clone, Copy, Debug, Default)]
struct SmallCount {
    good: u32,
    bad: u32,
}

impl SmallCount {
    fn add(&mut self, count: SloCount) {
        let small = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        self.good = self.good.saturating_add(small(count.good));
        self.bad = self.bad.saturating_add(small(count.bad));
    }
}

impl Ring {
    fn new(window: Duration, bucket: Duration) -> Self {
        let buckets = window.as_secs().div_ceil(bucket.as_secs());
        let buckets = usize::try_from(buckets).unwrap_or(1);
        Self {
            bucket_us: bucket.as_secs() * 1_000_000,
            latest: 0,
            counts: vec![SmallCount::default(); buckets].into(),
        }
    }

    fn len(&self) -> u64 {
        self.counts.len() as u64
    }

    /// The index of bucket `number`; the remainder is below the length.
    fn index(&self, number: u64) -> usize {
        usize::try_from(number % self.len()).unwrap_or(0)
    }

    /// Adds to the bucket at `at`; a time before the window is left out.
    fn add(&mut self, added: SloCount, at: Time) {
        let number = at.0 / self.bucket_us;
        let passed = number.saturating_sub(self.latest).min(self.len());
        for age in 0..passed {
            let index = self.index(number - age);
            self.counts[index] = SmallCount::default();
        }
        self.latest = self.latest.max(number);
        if !self.covers(number) {
            return;
        }
        let index = self.index(number);
        self.counts[index].add(added);
    }

    /// When the bucket with the latest count begins.
    fn latest_start(&self) -> Time {
        Time(self.latest * self.bucket_us)
    }

    /// Whether bucket `number` is not yet overwritten.
    fn covers(&self, number: u64) -> bool {
        number + self.len() > self.latest
    }

    /// What is held of bucket `number`.
    fn held(&self, number: u64) -> SloCount {
        if number > self.latest || !self.covers(number) {
            return SloCount::default();
        }
        let small = self.counts[self.index(number)];
        SloCount {
            good: small.good.into(),
            bad: small.bad.into(),
        }
    }

    /// The buckets of the window that ends at `now`, the latest first.
    fn latest_first(&self, now: Time) -> impl Iterator<Item = SloCount> {
        let number = (now.0 / self.bucket_us).max(self.latest);
        (0..self.len()).map(move |age| {
            let bucket = number.checked_sub(age);
            bucket.map_or(SloCount::default(), |bucket| self.held(bucket))
        })
    }

    fn sum(&self, now: Time) -> SloCount {
        self.latest_first(now)
            .fold(SloCount::default(), SloCount::plus)
    }
}
