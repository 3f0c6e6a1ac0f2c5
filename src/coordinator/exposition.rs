//! A metric sink that keeps values in memory and renders them as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// The quantiles that are rendered for each timer.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Significant decimal digits of histogram values.
const SIGNIFICANT_DIGITS: u8 = 2;

#[derive(Debug, Default)]
struct MetricValues {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    histograms: BTreeMap<String, Histogram<u64>>,
}

/// Parses metrics in the statsd format and keeps counters, gauges and histograms in memory.
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
pub struct Exposition(Arc<Mutex<MetricValues>>);

impl RefUnwindSafe for Exposition {}

impl Exposition {
    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let values = self.lock();
        let mut text = String::new();
        for (name, value) in values.counters.iter().chain(&values.gauges) {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &values.histograms {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }

    /// Records one line of statsd; `None` if it cannot be parsed.
    fn record(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let kind = kind.split('|').next()?;
        let value: u64 = value.parse().ok()?;
        let name = format!("chestnutlug_{}", name.replace('.', "_"));
        let mut values = self.lock();
        match kind {
            "c" => *values.counters.entry(name).or_default() += value,
            "g" => {
                values.gauges.insert(name, value);
            }
            "ms" => {
                let histogram = values.histograms.entry(name).or_insert_with(|| {
                    let histogram = Histogram::new(SIGNIFICANT_DIGITS);
                    histogram
                        .unwrap_or_else(|_| unreachable!("{SIGNIFICANT_DIGITS} digits are allowed"))
                });
                histogram.saturating_record(value);
            }
            _ => return None,
        }
        Some(())
    }

    fn lock(&self) -> MutexGuard<'_, MetricValues> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MetricSink for Exposition {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let recorded = self.record(metric);
        let invalid = || io::Error::new(io::ErrorKind::InvalidData, metric.to_owned());
        recorded.map(|()| metric.len()).ok_or_else(invalid)
    }
}
