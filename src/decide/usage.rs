//! Resource usage and run times of tasks, per kind of work.

use hdrhistogram::Histogram;

use crate::model::Resources;

/// Samples in one generation; the current and the previous generation are kept.
const GENERATION_SAMPLES: u64 = 512;
const MIN_SAMPLES: u64 = 16;
const REFRESH_SAMPLES: u64 = 16;
const QUANTILE: f64 = 0.9;
/// Maximum ratio of used to declared resources, in thousandths, at which declarations count as
/// accurate.
const MAX_ACCURATE_PERMILLE: u32 = 1_100;

/// A quantile of the samples of the last two generations.
#[derive(Debug)]
struct RollingQuantile {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    quantile: u64,
    samples: u64,
}

impl Default for RollingQuantile {
    fn default() -> Self {
        let empty = Histogram::new_with_max(u64::from(u32::MAX), 1)
            .expect("the bounds of the histogram are constant and valid");
        Self {
            current: empty.clone(),
            previous: empty,
            quantile: 0,
            samples: 0,
        }
    }
}

impl RollingQuantile {
    fn add(&mut self, value: u64) {
        self.current.saturating_record(value.max(1));
        self.samples += 1;
        if self.current.len() >= GENERATION_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        if self.samples.is_multiple_of(REFRESH_SAMPLES) {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        let mut merged = self.previous.clone();
        let added = merged.add(&self.current);
        debug_assert!(added.is_ok());
        self.quantile = merged.value_at_quantile(QUANTILE).min(merged.max());
    }

    fn value(&self) -> Option<u32> {
        let known = self.samples >= MIN_SAMPLES;
        known.then(|| u32::try_from(self.quantile).unwrap_or(u32::MAX))
    }
}

/// Usage of one resource by the tasks of a kind, absolute and relative to their declarations.
#[derive(Debug, Default)]
struct DimensionUsage {
    used: RollingQuantile,
    /// Usage in thousandths of the declared amount.
    permille: RollingQuantile,
}

impl DimensionUsage {
    fn add(&mut self, used: u32, declared: u32) {
        self.used.add(used.into());
        self.permille
            .add(u64::from(used) * 1_000 / u64::from(declared.max(1)));
    }

    /// Raises `declared` to what most tasks used, but by no more than the factor by which most
    /// tasks exceeded their declaration.
    fn reservation(&self, declared: u32) -> u32 {
        let (Some(used), Some(permille)) = (self.used.value(), self.permille.value()) else {
            return declared;
        };
        let corrected = u64::from(declared) * u64::from(permille) / 1_000;
        let corrected = u32::try_from(corrected).unwrap_or(u32::MAX);
        match permille {
            0..=MAX_ACCURATE_PERMILLE => declared,
            _ => declared.max(used.min(corrected)),
        }
    }
}

/// Estimates the resource usage and the run time of the tasks of a kind from ended attempts.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::usage::UsageEstimator;
/// use chestnutlug::model::Resources;
///
/// let mut usage = UsageEstimator::default();
/// let declared = Resources { cpu_milli: 500, memory_mib: 4_096, accelerators: 0 };
/// assert_eq!(usage.reservation(&declared), declared);
/// let used = Resources { cpu_milli: 2_000, memory_mib: 1_024, accelerators: 0 };
/// for _ in 0..32 {
///     usage.record_usage(&used, &declared);
/// }
/// let need = usage.reservation(&declared);
/// assert!((1_900..2_200).contains(&need.cpu_milli));
/// assert_eq!(need.memory_mib, 4_096);
/// ```
#[derive(Debug, Default)]
pub struct UsageEstimator {
    cpu_milli: DimensionUsage,
    memory_mib: DimensionUsage,
    run_time_ms: RollingQuantile,
}

impl UsageEstimator {
    /// Records the peak usage of a task and the resources that it declared.
    pub fn record_usage(&mut self, usage: &Resources, declared: &Resources) {
        self.cpu_milli.add(usage.cpu_milli, declared.cpu_milli);
        self.memory_mib.add(usage.memory_mib, declared.memory_mib);
    }

    /// Records the run time of a task, in milliseconds.
    pub fn record_run_time(&mut self, run_time_ms: u64) {
        self.run_time_ms.add(run_time_ms);
    }

    /// Returns the resources to reserve: the declared ones, raised to what most tasks of the kind
    /// used if most of them used more than they declared.
    pub fn reservation(&self, declared: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.reservation(declared.cpu_milli),
            memory_mib: self.memory_mib.reservation(declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the run time that most tasks of the kind do not exceed, in milliseconds; `None`
    /// until there are enough samples.
    pub fn run_time_ms(&self) -> Option<u64> {
        self.run_time_ms.value().map(u64::from)
    }
}
