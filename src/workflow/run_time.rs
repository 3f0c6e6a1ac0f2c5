//! Run times of tasks, learned per queue and combined with the estimates of callers.
//!
//! Estimates are off by up to 0.9 of their value, and the tasks of a queue often take similar
//! times. The logarithm of the run time is therefore predicted by a linear regression on the logarithm of
//! the estimate. A queue whose estimates say nothing gets its mean run time, and one whose estimates
//! are exact gets these.

use std::collections::HashMap;
use std::time::Duration;

use crate::model::QueueName;

/// The number of completed steps after which the runs of a queue are used for predictions.
const MIN_STEPS: f64 = 8.0;

/// The number of steps over which the moments are averaged, so that a queue whose work changes is
/// learned again.
const MEMORY_STEPS: f64 = 200.0;

/// An estimate that is off by 0.9 of the run time is at most 1.9 times as long as the run.
const MIN_PERCENT_OF_ESTIMATE: u64 = 50;

/// The lowest likely run time lies this many standard deviations below the expected one; nine of
/// ten run times are longer.
const LOWEST_DEVIATIONS: f64 = 1.3;

/// A run counts as at most this many times its expected run time. About three of a hundred tasks
/// take seven times as long as the others.
const MAX_SAMPLE_FACTOR: f64 = 3.0;

/// The predicted run time of a task on a worker of speed 1, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTime {
    /// The expected run time.
    pub expected_ms: u64,
    /// A run time below which few tasks stay.
    pub lowest_ms: u64,
}

/// The run times of a queue, as moments of logarithms that decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    /// The number of steps, at most [`MEMORY_STEPS`].
    steps: f64,
    estimate: f64,
    run_time: f64,
    estimate_variance: f64,
    run_time_variance: f64,
    covariance: f64,
}

impl Moments {
    fn is_known(&self) -> bool {
        self.steps >= MIN_STEPS
    }

    /// By how much the run time follows the estimate: 0 if not at all, and 1 if fully.
    fn slope(&self) -> f64 {
        /// Estimates that are all alike have nothing to tell.
        const MIN_VARIANCE: f64 = 1e-6;
        if self.estimate_variance < MIN_VARIANCE {
            return 0.0;
        }
        (self.covariance / self.estimate_variance).clamp(0.0, 1.0)
    }

    /// The expected logarithm of the run time.
    fn predict(&self, estimate: f64) -> f64 {
        self.run_time + self.slope() * (estimate - self.estimate)
    }

    /// The standard deviation of the run time from its prediction.
    fn deviation(&self) -> f64 {
        let slope = self.slope();
        let explained = 2.0 * slope * self.covariance - slope * slope * self.estimate_variance;
        (self.run_time_variance - explained).max(0.0).sqrt()
    }

    /// Adds a run that counts for `weight` of a step.
    fn add(&mut self, estimate: f64, run_time: f64, weight: f64) {
        self.steps = (self.steps + weight).min(MEMORY_STEPS);
        let share = (weight / self.steps).min(1.0);
        let (by_estimate, by_run_time) = (estimate - self.estimate, run_time - self.run_time);
        self.estimate += by_estimate * share;
        self.run_time += by_run_time * share;
        let blend = |variance: f64, product: f64| (1.0 - share) * (variance + share * product);
        self.estimate_variance = blend(self.estimate_variance, by_estimate * by_estimate);
        self.run_time_variance = blend(self.run_time_variance, by_run_time * by_run_time);
        self.covariance = blend(self.covariance, by_estimate * by_run_time);
    }
}

/// The mean logarithm of the size of a queue's steps.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    steps: f64,
    mean: f64,
}

/// The learned run times of all queues, and the usual size of their steps.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::model::QueueName;
/// use chestnutlug::workflow::run_time::RunTimes;
///
/// let queue = QueueName::new("check");
/// let mut run_times = RunTimes::default();
/// assert_eq!(run_times.predict(&queue, 4_000).expected_ms, 4_000);
/// for step in 0..20 {
///     let estimate_ms = 400 + 300 * step;
///     run_times.record(&queue, estimate_ms, Duration::from_secs(2), 1.0, 1);
/// }
/// assert_eq!(run_times.predict(&queue, 4_000).expected_ms, 2_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    queues: HashMap<QueueName, Moments>,
    sizes: HashMap<QueueName, Size>,
}

impl RunTimes {
    /// Records a successful run of a task, one of `tasks` of its step, on a worker of `speed`.
    pub fn record(
        &mut self,
        queue: &QueueName,
        estimate_ms: u32,
        duration: Duration,
        speed: f64,
        tasks: u32,
    ) {
        let run_ms = duration.as_secs_f64() * 1_000.0 * speed;
        if run_ms < 1.0 || estimate_ms == 0 {
            return;
        }
        let moments = self.queues.entry(queue.clone()).or_default();
        let estimate = f64::from(estimate_ms).ln();
        let mut run_time = run_ms.ln();
        if moments.is_known() {
            run_time = run_time.min(moments.predict(estimate) + MAX_SAMPLE_FACTOR.ln());
        }
        // The tasks of a step have the same estimate, and tell no more about it than one.
        moments.add(estimate, run_time, 1.0 / f64::from(tasks.max(1)));
    }

    /// Records a step whose tasks use `size` together, in thousandths of a core.
    pub fn record_size(&mut self, queue: &QueueName, size: u64) {
        let usual = self.sizes.entry(queue.clone()).or_default();
        usual.steps = (usual.steps + 1.0).min(MEMORY_STEPS);
        usual.mean += ((size.max(1) as f64).ln() - usual.mean) / usual.steps;
    }

    /// Whether a step of this size is larger than most of its queue.
    pub fn is_large(&self, queue: &QueueName, size: u64) -> bool {
        /// The geometric mean times this is above most sizes.
        const LARGE_FACTOR: f64 = 1.5;
        let usual = self.sizes.get(queue);
        usual.is_some_and(|usual| size as f64 > usual.mean.exp() * LARGE_FACTOR)
    }

    /// The run time of a task with this estimate; the estimate itself until enough runs are known.
    pub fn predict(&self, queue: &QueueName, estimate_ms: u32) -> RunTime {
        let known = self.queues.get(queue).filter(|moments| moments.is_known());
        let Some(moments) = known else {
            let estimate_ms = u64::from(estimate_ms);
            return RunTime {
                expected_ms: estimate_ms,
                lowest_ms: estimate_ms * MIN_PERCENT_OF_ESTIMATE / 100,
            };
        };
        let expected = if estimate_ms == 0 {
            moments.run_time
        } else {
            moments.predict(f64::from(estimate_ms).ln())
        };
        let lowest = expected - LOWEST_DEVIATIONS * moments.deviation();
        RunTime {
            expected_ms: expected.exp().round() as u64,
            lowest_ms: lowest.exp().round() as u64,
        }
    }
}
