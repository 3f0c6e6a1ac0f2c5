//! The counts of one hour in the form in which they are stored, so that they outlast a VM.

use std::collections::BTreeMap;

use super::slo_tracker::SloCount;
use crate::model::{KindName, TeamName, Time};

/// Seconds in an hour.
pub const HOUR_S: u64 = 3_600;

const MINUTE_S: u64 = 60;

const US_PER_S: u64 = 1_000_000;

const HOUR_MINUTES: u8 = 60;

/// The length of a coarse span, which is one bucket of the window of six hours.
const COARSE_MINUTES: u8 = 5;

/// The age from which one-minute spans are merged into coarse spans: only the windows of up to one
/// hour need single minutes.
const MINUTE_RETENTION_S: u64 = HOUR_S;

/// The age from which all spans of an hour are merged into one.
const COARSE_RETENTION_S: u64 = 6 * HOUR_S;

common! { record
/// The task starts in consecutive minutes of an hour.
pub struct MinuteSpan {
    /// The first minute, from 0 to 59.
    pub minute: u8,
    /// The number of minutes: 1, 5 or 60.
    pub minutes: u8,
    /// The counted starts.
    pub count: SloCount,
}}

common! { record
/// The task starts of one team and kind in one hour, counted against one objective.
pub struct SeriesHour {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// The maximum waiting time that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// The fraction of task starts that must meet it.
    pub target: f64,
    /// The counts, ordered by minute.
    pub spans: Vec<MinuteSpan>,
}}

common! { record
/// The task starts of one hour.
///
/// # Examples
///
/// ```
/// use chestnutlug::report::{HourCounts, MinuteSpan, SeriesHour, SloCount};
///
/// let counts = |good| HourCounts {
///     hour: 7,
///     series: vec![SeriesHour {
///         team: "a".into(),
///         kind: "swap".into(),
///         waiting_ms: 1_000,
///         target: 0.9,
///         spans: vec![MinuteSpan { minute: 3, minutes: 1, count: SloCount { good, bad: 0 } }],
///     }],
/// };
/// let mut sum = counts(1);
/// sum.merge(&counts(2));
/// assert_eq!(sum, counts(3));
/// ```
#[derive(Default)]
pub struct HourCounts {
    /// The hour, numbered from 1970.
    pub hour: u64,
    /// The counts by team, kind and objective.
    pub series: Vec<SeriesHour>,
}}

/// The identity of a series. The target is compared by its bits, because `f64` is not `Ord`.
type SeriesKey<'a> = (&'a TeamName, &'a KindName, u64, u64);

impl SeriesHour {
    fn key(&self) -> SeriesKey<'_> {
        let target = self.target.to_bits();
        (&self.team, &self.kind, self.waiting_ms, target)
    }
}

impl HourCounts {
    /// Adds counts of the same hour from another ledger.
    pub fn merge(&mut self, other: &Self) {
        for added in &other.series {
            let own = self.series.iter_mut().find(|own| own.key() == added.key());
            match own {
                Some(own) => own.spans.extend(added.spans.iter().cloned()),
                None => self.series.push(added.clone()),
            }
        }
        for series in &mut self.series {
            series.spans = merge_spans(&series.spans, |span| (span.minute, span.minutes));
        }
        self.series.sort_by(|a, b| a.key().cmp(&b.key()));
    }

    /// Merges the spans that no window needs apart at `now` any more. The operation is idempotent.
    pub fn downsample(&mut self, now: Time) {
        let now_s = now.0 / US_PER_S;
        let hour_age_s = now_s.saturating_sub((self.hour + 1) * HOUR_S);
        let hour_s = self.hour * HOUR_S;
        for series in &mut self.series {
            series.spans = merge_spans(&series.spans, |span| {
                if hour_age_s >= COARSE_RETENTION_S {
                    return (0, HOUR_MINUTES);
                }
                let coarse_start = span.minute - span.minute % COARSE_MINUTES;
                let end_s = hour_s + u64::from(coarse_start + COARSE_MINUTES) * MINUTE_S;
                let is_old = now_s.saturating_sub(end_s) >= MINUTE_RETENTION_S;
                match is_old && span.minutes < COARSE_MINUTES {
                    true => (coarse_start, COARSE_MINUTES),
                    false => (span.minute, span.minutes),
                }
            });
        }
    }
}

/// Sums the spans for which `interval` returns the same first minute and length.
fn merge_spans(
    spans: &[MinuteSpan],
    interval: impl Fn(&MinuteSpan) -> (u8, u8),
) -> Vec<MinuteSpan> {
    let mut sums: BTreeMap<(u8, u8), SloCount> = BTreeMap::new();
    for span in spans {
        let sum = sums.entry(interval(span)).or_default();
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
