//! Counts task starts that met their service-level objective (SLO) and those that missed it, over
//! several windows.

use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::hours::{HOUR_S, HourCounts, MinuteSpan, SeriesHour};
use crate::config::CellConfig;
use crate::model::{KindName, TeamName, Time};

/// The windows over which task starts are counted, shortest first; the last one is the window of
/// the error budget.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_secs(5 * 60),
    Duration::from_secs(3_600),
    Duration::from_secs(6 * 3_600),
    Duration::from_secs(3 * 24 * 3_600),
];

/// The bucket length of each window, which is also the resolution of the window.
const BUCKET_LENGTHS: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(5 * 60),
    Duration::from_secs(3_600),
];

/// The index of the window with hourly buckets.
const HOURLY_WINDOW: usize = 3;

/// The index of the window whose buckets are the points of a plot.
const HISTORY_WINDOW: usize = 2;

/// The time between two points of a plot.
pub const HISTORY_INTERVAL: Duration = BUCKET_LENGTHS[HISTORY_WINDOW];

/// How many hours before the current one the longest window covers.
pub const RETENTION_HOURS: u64 = 71;

const US_PER_S: u64 = 1_000_000;

/// The maximum number of series, which are pairs of team and kind, that are counted.
pub const MAX_SERIES: usize = 10_000;

common! { value
/// The number of task starts that met their objective and of those that missed it.
#[derive(Default)]
pub struct SloCount {
    /// Starts that met it.
    pub good: u64,
    /// Starts that missed it.
    pub bad: u64,
}}

impl SloCount {
    /// The sum of both counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }

    /// The fraction of starts that missed their objective; `None` if nothing was counted.
    pub fn bad_fraction(self) -> Option<f64> {
        let all = self.good + self.bad;
        (all > 0).then(|| self.bad as f64 / all as f64)
    }
}

common! { record
/// The counts of one team's tasks of one kind.
pub struct SeriesCounts {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// The maximum waiting time that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// The fraction of task starts that must meet it.
    pub target: f64,
    /// The counts over each of [`BURN_WINDOWS`].
    pub windows: Vec<SloCount>,
    /// The counts of the last hours, latest first, one per [`HISTORY_INTERVAL`].
    pub history: Vec<SloCount>,
}}

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Objective {
    waiting_ms: u64,
    target: f64,
}

/// Counts task starts by team and kind. Times are measured from 1970, so that the counts of several
/// VMs can be summed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::config::CellConfig;
/// use chestnutlug::model::Time;
/// use chestnutlug::report::{BurnReport, SloTracker};
///
/// let text = "[team.a]\nbalance_core_hours = 1\n[kind.swap]\n\
///             [objective.swap]\nkind = \"swap\"\nwaiting_ms = 2700\ntarget = 0.9\n";
/// let mut slo = SloTracker::default();
/// slo.set_objectives(&CellConfig::from_text(text).unwrap());
///
/// let now = Time::from_millis(1_000);
/// for waited_ms in [10, 20, 5_000, 30] {
///     slo.record(&"a".into(), &"swap".into(), Duration::from_millis(waited_ms), now);
/// }
/// let report = BurnReport::from_counts(&[slo.counts(now)]);
/// let last_5_min = &report.rows[0].windows[0];
/// assert_eq!((last_5_min.count.good, last_5_min.count.bad), (3, 1));
/// // A quarter missed the objective; a tenth is allowed to.
/// assert!((last_5_min.burn_rate.unwrap() - 2.5).abs() < 1e-9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SloTracker {
    objectives: FxHashMap<(Option<TeamName>, KindName), Objective>,
    series: FxHashMap<(TeamName, KindName), Series>,
    changed_hours: BTreeSet<u64>,
    dropped: u64,
}

impl SloTracker {
    /// Sets the objectives of a configuration. Counts of series whose objective was changed or
    /// removed are discarded, because they were made against another objective.
    pub fn set_objectives(&mut self, config: &CellConfig) {
        let configured = config.objective.values();
        self.objectives = configured
            .map(|entry| {
                let objective = Objective {
                    waiting_ms: entry.waiting_ms,
                    target: entry.target,
                };
                ((entry.team.clone(), entry.kind.clone()), objective)
            })
            .collect();
        let new = &self.objectives;
        self.series
            .retain(|(team, kind), series| objective_of(new, team, kind) == Some(series.objective));
    }

    /// Counts a task that started at `now` after it had `waited`. A task without an objective is
    /// not counted.
    pub fn record(&mut self, team: &TeamName, kind: &KindName, waited: Duration, now: Time) {
        let Some(objective) = objective_of(&self.objectives, team, kind) else {
            return;
        };
        let Some(series) = self.series_or_insert(team, kind, objective) else {
            return;
        };
        let met = waited <= Duration::from_millis(objective.waiting_ms);
        let count = SloCount {
            good: met.into(),
            bad: (!met).into(),
        };
        for ring in &mut series.rings {
            ring.add(count, now.max(ring.latest_start()));
        }
        let hour = series.rings[HOURLY_WINDOW].latest_bucket;
        self.changed_hours.insert(hour);
        let oldest = hour.saturating_sub(RETENTION_HOURS);
        self.changed_hours = self.changed_hours.split_off(&oldest);
    }

    /// The series of a team and kind; `None` if it is new and [`MAX_SERIES`] is reached.
    fn series_or_insert(
        &mut self,
        team: &TeamName,
        kind: &KindName,
        objective: Objective,
    ) -> Option<&mut Series> {
        let full = self.series.len() >= MAX_SERIES;
        let key = (team.clone(), kind.clone());
        if full && !self.series.contains_key(&key) {
            self.dropped += 1;
            return None;
        }
        Some(
            self.series
                .entry(key)
                .or_insert_with(|| Series::new(objective)),
        )
    }

    /// Adds stored counts, except those against an objective that is not in force.
    pub fn add_hour(&mut self, stored: &HourCounts, now: Time) {
        for added in &stored.series {
            let objective = Objective {
                waiting_ms: added.waiting_ms,
                target: added.target,
            };
            if objective_of(&self.objectives, &added.team, &added.kind) != Some(objective) {
                continue;
            }
            let Some(series) = self.series_or_insert(&added.team, &added.kind, objective) else {
                continue;
            };
            for span in &added.spans {
                let start_s = stored.hour * HOUR_S + u64::from(span.minute) * 60;
                // The clock of the VM that counted may be ahead of this one.
                let at = Time(start_s * US_PER_S).min(now);
                for ring in &mut series.rings {
                    ring.add(span.count, at);
                }
            }
        }
    }

    /// Takes the hours, numbered from 1970, whose counts have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.changed_hours)
    }

    /// Marks hours as changed again after their counts could not be stored.
    pub fn restore_changed(&mut self, hours: BTreeSet<u64>) {
        self.changed_hours.extend(hours);
    }

    /// The counts of one hour, numbered from 1970, at the finest resolution still held.
    pub fn hour_counts(&self, hour: u64) -> HourCounts {
        let mut all: Vec<SeriesHour> = self
            .series
            .iter()
            .map(|((team, kind), series)| SeriesHour {
                team: team.clone(),
                kind: kind.clone(),
                waiting_ms: series.objective.waiting_ms,
                target: series.objective.target,
                spans: series.spans(hour),
            })
            .filter(|series| !series.spans.is_empty())
            .collect();
        all.sort_by(|a, b| (&a.team, &a.kind).cmp(&(&b.team, &b.kind)));
        HourCounts { hour, series: all }
    }

    /// Discards all counts and keeps the objectives.
    pub fn clear_counts(&mut self) {
        self.series.clear();
        self.changed_hours.clear();
    }

    /// The counts of all series at `now`, ordered by team and kind.
    pub fn counts(&self, now: Time) -> Vec<SeriesCounts> {
        let mut counts: Vec<SeriesCounts> = self
            .series
            .iter()
            .map(|((team, kind), series)| series.counts(team, kind, now))
            .collect();
        counts.sort_by(|a, b| (&a.team, &a.kind).cmp(&(&b.team, &b.kind)));
        counts
    }

    /// The number of task starts that were not counted because of [`MAX_SERIES`].
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// The team's own objective for a kind, or else the one for all teams.
fn objective_of(
    objectives: &FxHashMap<(Option<TeamName>, KindName), Objective>,
    team: &TeamName,
    kind: &KindName,
) -> Option<Objective> {
    let own = objectives.get(&(Some(team.clone()), kind.clone()));
    own.or_else(|| objectives.get(&(None, kind.clone())))
        .copied()
}

#[derive(Clone, Debug)]
struct Series {
    objective: Objective,
    rings: [BucketRing; BURN_WINDOWS.len()],
}

impl Series {
    fn new(objective: Objective) -> Self {
        Self {
            objective,
            rings: std::array::from_fn(|i| BucketRing::new(BURN_WINDOWS[i], BUCKET_LENGTHS[i])),
        }
    }

    fn counts(&self, team: &TeamName, kind: &KindName, now: Time) -> SeriesCounts {
        SeriesCounts {
            team: team.clone(),
            kind: kind.clone(),
            waiting_ms: self.objective.waiting_ms,
            target: self.objective.target,
            windows: self.rings.iter().map(|ring| ring.sum(now)).collect(),
            history: self.rings[HISTORY_WINDOW].latest_first(now).collect(),
        }
    }

    /// The counts of one hour in the shortest spans whose buckets are still held: 1, 5 or 60
    /// minutes.
    fn spans(&self, hour: u64) -> Vec<MinuteSpan> {
        let [_, one_minute, five_minutes, one_hour] = &self.rings;
        if !five_minutes.covers(hour * 12) {
            return non_empty_span(0, 60, one_hour.bucket_count(hour))
                .into_iter()
                .collect();
        }
        let mut spans = Vec::new();
        for i in 0..12_u8 {
            let number = hour * 12 + u64::from(i);
            if !one_minute.covers(number * 5) {
                spans.extend(non_empty_span(i * 5, 5, five_minutes.bucket_count(number)));
                continue;
            }
            for minute in i * 5..i * 5 + 5 {
                let number = hour * 60 + u64::from(minute);
                spans.extend(non_empty_span(minute, 1, one_minute.bucket_count(number)));
            }
        }
        spans
    }
}

/// A span with its count; `None` if nothing was counted.
fn non_empty_span(minute: u8, minutes: u8, count: SloCount) -> Option<MinuteSpan> {
    (count != SloCount::default()).then_some(MinuteSpan {
        minute,
        minutes,
        count,
    })
}

/// A ring buffer of buckets of equal length, in which the newest bucket overwrites the oldest.
/// Buckets are numbered from 1970.
#[derive(Clone, Debug)]
struct BucketRing {
    bucket_us: u64,
    /// The number of the newest bucket.
    latest_bucket: u64,
    buckets: Box<[Bucket]>,
}

/// The counts of a bucket, which saturate.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    good: u32,
    bad: u32,
}

impl Bucket {
    fn add(&mut self, count: SloCount) {
        let saturated = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        self.good = self.good.saturating_add(saturated(count.good));
        self.bad = self.bad.saturating_add(saturated(count.bad));
    }
}

impl BucketRing {
    fn new(window: Duration, bucket_length: Duration) -> Self {
        let len = window.as_secs().div_ceil(bucket_length.as_secs());
        let len = usize::try_from(len).unwrap_or(1);
        Self {
            bucket_us: bucket_length.as_secs() * 1_000_000,
            latest_bucket: 0,
            buckets: vec![Bucket::default(); len].into(),
        }
    }

    fn len(&self) -> u64 {
        self.buckets.len() as u64
    }

    /// The index of bucket `number`; the remainder is below the length.
    fn index(&self, number: u64) -> usize {
        usize::try_from(number % self.len()).unwrap_or(0)
    }

    /// Adds to the bucket that contains `at`. A time before the window is ignored.
    fn add(&mut self, added: SloCount, at: Time) {
        let number = at.0 / self.bucket_us;
        let expired = number.saturating_sub(self.latest_bucket).min(self.len());
        for age in 0..expired {
            let index = self.index(number - age);
            self.buckets[index] = Bucket::default();
        }
        self.latest_bucket = self.latest_bucket.max(number);
        if !self.covers(number) {
            return;
        }
        let index = self.index(number);
        self.buckets[index].add(added);
    }

    /// The start of the newest bucket.
    fn latest_start(&self) -> Time {
        Time(self.latest_bucket * self.bucket_us)
    }

    /// Whether bucket `number` has not been overwritten.
    fn covers(&self, number: u64) -> bool {
        number + self.len() > self.latest_bucket
    }

    /// The count of bucket `number`; zero if the bucket is not held.
    fn bucket_count(&self, number: u64) -> SloCount {
        if number > self.latest_bucket || !self.covers(number) {
            return SloCount::default();
        }
        let bucket = self.buckets[self.index(number)];
        SloCount {
            good: bucket.good.into(),
            bad: bucket.bad.into(),
        }
    }

    /// The bucket counts of the window that ends at `now`, latest first.
    fn latest_first(&self, now: Time) -> impl Iterator<Item = SloCount> {
        let latest = (now.0 / self.bucket_us).max(self.latest_bucket);
        (0..self.len()).map(move |age| {
            let number = latest.checked_sub(age);
            number.map_or(SloCount::default(), |number| self.bucket_count(number))
        })
    }

    fn sum(&self, now: Time) -> SloCount {
        self.latest_first(now)
            .fold(SloCount::default(), SloCount::plus)
    }
}
