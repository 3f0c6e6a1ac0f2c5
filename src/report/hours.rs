//! The counts of one hour in the form in which they are kept beyond the life of a VM.

use std::collections::BTreeMap;

use super::burn::SloCount;
use crate::model::{KindName, TeamName, Time};

/// The seconds of an hour.
pub const HOUR_S: u64 = 3_600;

/// The seconds of a minute.
const MINUTE_S: u64 = 60;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// The minutes of an hour.
const HOUR_MINUTES: u8 = 60;

/// The minutes of a middle span, which is one bucket of the window of six hours.
const MIDDLE_MINUTES: u8 = 5;

/// From this age on, minutes are joined to middle spans: no window needs them apart.
const MINUTES_KEPT_S: u64 = HOUR_S;

/// From this age on, an hour is one span.
const MIDDLE_KEPT_S: u64 = 6 * HOUR_S;

common! { record
/// Work that started within some minutes of an hour.
pub struct MinuteSpan {
    /// The first minute, from 0 to 59.
    pub minute: u8,
    /// How many minutes: 1, 5 or 60.
    pub minutes: u8,
    /// What was counted.
    pub count: SloCount,
}}

common! { record
/// One team's work of one kind in one hour, counted against one objective.
pub struct SeriesHour {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// The longest wait that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// The share of work that must meet it.
    pub target: f64,
    /// The counts, in the order of their minutes.
    pub spans: Vec<MinuteSpan>,
}}

common! { record
/// The work of one hour.
///
/// # Examples
///
/// ```
/// use chestnutlug::report::{SloCount, HourCounts, SeriesHour, MinuteSpan};
///
/// let one = |good| HourCounts {
///     hour: 7,
///     series: vec![SeriesHour {
///         team: "a".into(),
///         kind: "swap".into(),
///         waiting_ms: 1_000,
///         target: 0.9,
///         spans: vec![MinuteSpan { minute: 3, minutes: 1, count: SloCount { good, bad: 0 } }],
///     }],
/// };
/// let mut sum = one(1);
/// sum.merge(&one(2));
/// assert_eq!(sum, one(3));
/// ```
#[derive(Default)]
pub struct HourCounts {
    /// The number of the hour since 1970.
    pub hour: u64,
    /// The counts by team, kind and objective.
    pub series: Vec<SeriesHour>,
}}

/// What tells one series from another; the target stands by its bits, which are ordered.
type SeriesKey<'a> = (&'a TeamName, &'a KindName, u64, u64);

impl SeriesHour {
    fn key(&self) -> SeriesKey<'_> {
        let target = self.target.to_bits();
        (&self.team, &self.kind, self.waiting_ms, target)
    }
}

impl HourCounts {
    /// Adds the counts of the same hour from elsewhere.
    pub fn merge(&mut self, other: &Self) {
        for added in &other.series {
            let own = self.series.iter_mut().find(|own| own.key() == added.key());
            match own {
                Some(own) => own.spans.extend(added.spans.iter().cloned()),
                None => self.series.push(added.clone()),
            }
        }
        for series in &mut self.series {
            series.spans = joined(&series.spans, |span| (span.minute, span.minutes));
        }
        self.series.sort_by(|a, b| a.key().cmp(&b.key()));
    }

    /// Joins the minutes that no window needs apart any more at `now`; doing it again changes
    /// nothing.
    pub fn downsample(&mut self, now: Time) {
        let now_s = now.0 / US_PER_S;
        let hour_age_s = now_s.saturating_sub((self.hour + 1) * HOUR_S);
        let hour_s = self.hour * HOUR_S;
        for series in &mut self.series {
            series.spans = joined(&series.spans, |span| {
                if hour_age_s >= MIDDLE_KEPT_S {
                    return (0, HOUR_MINUTES);
                }
                let middle = span.minute - span.minute % MIDDLE_MINUTES;
                let end_s = hour_s + u64::from(middle + MIDDLE_MINUTES) * MINUTE_S;
                let old = now_s.saturating_sub(end_s) >= MINUTES_KEPT_S;
                match old && span.minutes < MIDDLE_MINUTES {
                    true => (middle, MIDDLE_MINUTES),
                    false => (span.minute, span.minutes),
                }
            });
        }
    }
}

/// The sums of the spans that `place` puts at the same minute with the same length.
fn joined(spans: &[MinuteSpan], place: impl Fn(&MinuteSpan) -> (u8, u8)) -> Vec<MinuteSpan> {
    let mut sums: BTreeMap<(u8, u8), SloCount> = BTreeMap::new();
    for span in spans {
        let sum = sums.entry(place(span)).or_default();
        *sum = sum.plus(span.count);
    }
    let spans = sums
        .into_iter()
        .map(|((minute, minutes), count)| MinuteSpan {
            minute,
            minutes,
            count,
        });
    spans.collect()
}
