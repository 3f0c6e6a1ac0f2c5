//! Whether a new submission can still end within three times its latency objective.
//!
//! The work that certainly precedes it is compared with what the workers can do until then. What is not
//! certain counts in favor of the submission, so that only those are refused whose caller would wait in
//! vain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::least_cost::{Class, Place, Pool, WaitingStep};
use crate::model::Time;

/// The capacity is taken to be this part of the listed one, in percent, since run times are not known
/// exactly.
const CAPACITY_PERCENT: u64 = 125;

/// The shortest time after which a refused caller may retry.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// The longest time after which a refused caller may retry. The queue is estimated anew then.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// Waiting work of one pool and priority.
#[derive(Clone, Debug, Default)]
struct WaitingWork {
    /// The work of the steps that will be in time.
    in_time: u64,
    /// The steps that are not expired yet: their work, and the sum up to each of them. If they need more
    /// than the pool can do, those that need the most work will expire.
    open: Vec<(u64, u64)>,
}

impl WaitingWork {
    /// The work by which a submission is judged: a large one is refused no sooner than others, since large
    /// ones have to be served too.
    fn judged_work(&self, work: u64) -> u64 {
        let median = self.open.get(self.open.len().saturating_sub(1) / 2);
        median.map_or(work, |(median, _)| work.min(*median))
    }
}

/// Replaces the second component of the works by the sum up to each of them, in ascending order.
fn sum_up(works: &mut [(u64, u64)]) {
    works.sort_unstable();
    let mut sum = 0;
    for (work, total) in works {
        sum += *work;
        *total = sum;
    }
}

/// The sum of the works up to `work`.
fn sum_to(works: &[(u64, u64)], work: u64) -> u64 {
    let end = works.partition_point(|(other, _)| *other <= work);
    end.checked_sub(1).map_or(0, |last| works[last].1)
}

/// A submission, with its lowest likely run times.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The index of the workers that can run it in the list of pools.
    pub pool: usize,
    /// The work of all its steps, in thousandths of a core times milliseconds.
    pub work: u64,
    /// The lowest likely run time of its critical path.
    pub path: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// [`super::least_cost::LATE_FACTOR`] times the objective.
    pub limit: Duration,
    /// How long the submission exceeds the guaranteed rate of its account.
    pub excess_for: Duration,
}

/// The waiting work and the capacity, as of a placement round.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::admission_estimate::{Backlog, Submission};
/// use chestnutlug::decide::least_cost::Pool;
/// use chestnutlug::model::Time;
///
/// let pool = Pool { cpu_milli: 10_000, ..Pool::default() };
/// let mut backlog = Backlog::new(vec![pool], [], Time::from_millis(0));
/// let submission = Submission {
///     priority: 1,
///     pool: 0,
///     work: 10_000_000,
///     path: Duration::from_secs(1),
///     objective: Duration::from_secs(2),
///     limit: Duration::from_secs(6),
///     excess_for: Duration::ZERO,
/// };
/// let now = Time::from_millis(0);
/// for _ in 0..7 {
///     assert_eq!(backlog.retry_after(&submission, now), None);
///     backlog.add(&submission);
/// }
/// assert!(backlog.retry_after(&submission, now).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    taken_at: Time,
    pools: Vec<Pool>,
    /// By pool and priority.
    guaranteed: BTreeMap<(usize, u8), WaitingWork>,
    /// The guaranteed work of all priorities that is not expired, by pool.
    guaranteed_total: Vec<u64>,
    /// Work that was admitted since, by pool and priority.
    added: BTreeMap<(usize, u8), u64>,
}

impl Backlog {
    /// The backlog of a placement round with these steps, in the order of
    /// [`super::least_cost::order`].
    pub fn new<'a>(
        pools: Vec<Pool>,
        steps: impl IntoIterator<Item = (&'a WaitingStep, Place)>,
        now: Time,
    ) -> Self {
        let mut backlog = Self {
            taken_at: now,
            guaranteed_total: vec![0; pools.len()],
            pools,
            ..Self::default()
        };
        for (step, place) in steps {
            let Some(total) = backlog.guaranteed_total.get_mut(step.pool) else {
                continue;
            };
            let class = step.timing.map(|timing| timing.class(now));
            if step.is_excess || matches!(class, None | Some(Class::Expired)) {
                continue;
            }
            let waiting = backlog.guaranteed.entry((step.pool, step.priority));
            let waiting = waiting.or_default();
            waiting.open.push((step.least_work, 0));
            if place.class == Class::InTime {
                waiting.in_time += step.least_work;
            }
            if place.class != Class::Expired {
                *total += step.least_work;
            }
        }
        for waiting in backlog.guaranteed.values_mut() {
            sum_up(&mut waiting.open);
        }
        backlog
    }

    /// Adds an admitted submission until the next round knows it.
    pub fn add(&mut self, submission: &Submission) {
        let key = (submission.pool, submission.priority);
        *self.added.entry(key).or_default() += submission.work;
    }

    /// The time after which a refused caller may retry; `None` if the submission is admitted.
    pub fn retry_after(&self, submission: &Submission, now: Time) -> Option<Duration> {
        let pool = self.pools.get(submission.pool)?;
        // A submission that could not end in time on idle workers gains nothing from a retry.
        if pool.cpu_milli == 0 || submission.path > submission.limit {
            return None;
        }
        let pool = Pool {
            cpu_milli: pool.cpu_milli * CAPACITY_PERCENT / 100,
            ..*pool
        };
        let elapsed = now.since(self.taken_at);
        let precedes = self.preceding_work(submission);
        let available = pool.available(elapsed + submission.limit);
        let is_alone = precedes == 0;
        let waiting = self.guaranteed.get(&(submission.pool, submission.priority));
        let own = waiting.map_or(submission.work, |waiting| {
            waiting.judged_work(submission.work)
        });
        if is_alone || precedes.saturating_add(own) <= available {
            return None;
        }
        let drained = pool.time_for(precedes)?.saturating_sub(elapsed);
        let allowed = submission.objective.saturating_sub(submission.path);
        let retry = if submission.excess_for > submission.limit {
            submission.excess_for
        } else {
            drained.saturating_sub(allowed)
        };
        Some(retry.clamp(MIN_RETRY, MAX_RETRY))
    }

    /// The work that certainly precedes the submission. Of its own priority that is only the steps which
    /// need no more work; the others may have to give way to it.
    fn preceding_work(&self, submission: &Submission) -> u64 {
        if submission.excess_for > submission.limit {
            let total = self.guaranteed_total.get(submission.pool);
            return total.copied().unwrap_or(0);
        }
        let first = (submission.pool, 0);
        let last = (submission.pool, submission.priority);
        let of_steps = self.guaranteed.range(first..=last).map(|(key, waiting)| {
            if key.1 < submission.priority {
                return waiting.in_time;
            }
            sum_to(&waiting.open, waiting.judged_work(submission.work))
        });
        let added = self.added.range(first..=last).map(|(_, work)| *work);
        of_steps.chain(added).sum()
    }
}

/// Adds a jitter of up to half of `retry` by a hash of the submission, so that refused callers do not
/// return at the same time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::admission_estimate::with_jitter;
///
/// let second = Duration::from_secs(1);
/// assert_eq!(with_jitter(second, 0), second);
/// assert_eq!(with_jitter(second, 500), Duration::from_millis(1_250));
/// assert!(with_jitter(second, u64::MAX) < Duration::from_millis(1_500));
/// ```
pub fn with_jitter(retry: Duration, hash: u64) -> Duration {
    /// The number of values of the jitter.
    const STEPS: u32 = 1_000;
    let step = (hash % u64::from(STEPS)) as u32;
    retry + retry * step / (2 * STEPS)
}
