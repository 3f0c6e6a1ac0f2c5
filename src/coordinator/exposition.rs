//! Metrics kept in memory and served as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// The quantiles of durations that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Significant digits that histograms keep.
const DIGITS: u8 = 2;

#[derive(Debug, Default)]
struct Kept {
    counts: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

/// Keeps what is counted and measured, in the statsd format that it is told in.
///
/// # Examples
///
/// ```
/// use cadence::{Counted, StatsdClient, Timed};
/// use chestnutlug::coordinator::exposition::Exposition;
///
/// let exposition = Exposition::default();
/// let client = StatsdClient::from_sink("", exposition.clone());
/// client.count("requests.count", 2).unwrap();
/// client.time("requests.time", 30).unwrap();
/// let text = exposition.text();
/// assert!(text.contains("chestnutlug_requests_count 2\n"));
/// assert!(text.contains("chestnutlug_requests_time_ms{quantile=\"0.5\"} 30\n"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Exposition(Arc<Mutex<Kept>>);

impl RefUnwindSafe for Exposition {}

impl Exposition {
    /// What is kept, in the text format that metrics are commonly read in.
    pub fn text(&self) -> String {
        let kept = self.lock();
        let mut text = String::new();
        for (name, value) in kept.counts.iter().chain(&kept.gauges) {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &kept.times {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }

    fn take(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let kind = kind.split('|').next()?;
        let value: u64 = value.parse().ok()?;
        let name = format!("chestnutlug_{}", name.replace('.', "_"));
        let mut kept = self.lock();
        match kind {
            "c" => *kept.counts.entry(name).or_default() += value,
            "g" => {
                kept.gauges.insert(name, value);
            }
            "ms" => {
                let histogram = kept.times.entry(name).or_insert_with(|| {
                    let histogram = Histogram::new(DIGITS);
                    histogram.unwrap_or_else(|_| unreachable!("{DIGITS} digits are allowed"))
                });
                histogram.saturating_record(value);
            }
            _ => return None,
        }
        Some(())
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MetricSink for Exposition {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let taken = self.take(metric);
        let unreadable = || io::Error::new(io::ErrorKind::InvalidData, metric.to_owned());
        taken.map(|()| metric.len()).ok_or_else(unreadable)
    }
}
