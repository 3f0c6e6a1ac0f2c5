//! The capacity that other work leaves to urgent tasks.
//!
//! Urgent tasks are short, and their latency objective leaves little time beyond their run time. The
//! reserve therefore lies on the fastest workers, in parts that hold whole tasks, and its size follows
//! the urgent load of the last seconds, so that it suits floods of urgent work as well as calm times.
//!
//! Long-running tasks leave only the resources that urgent tasks have used at once in the last seconds.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use crate::model::{Resources, Time};

/// The percentage of a worker that is reserved if the worker is part of the reserve.
pub const RESERVED_PERCENT: u32 = 50;

/// The size of the reserve, in percent of the urgent load. A task whose workers are all in use by
/// others has to wait, so that the reserve must exceed the load.
const HEADROOM_PERCENT: u64 = 150;

/// The time in which the remembered load halves after it has fallen.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// The time over which the largest urgent use is taken. A long-running task may wait for 7 s beside
/// unused room, so that 3 s are left for permits and the start.
const PEAK_WINDOW: Duration = Duration::from_secs(4);

/// The largest urgent load of the last seconds, as a share of the shard's capacity.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::{Resources, Time};
/// use chestnutlug::workflow::urgent_reserve::UrgentLoad;
///
/// let of = |cpu_milli| Resources { cpu_milli, ..Resources::default() };
/// let mut load = UrgentLoad::default();
/// load.record(&of(400), &of(1_000), Time::from_millis(0));
/// load.record(&of(0), &of(1_000), Time::from_millis(5_000));
/// assert!((load.share() - 0.2).abs() < 0.01);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgentLoad {
    share: f64,
    recorded_at: Time,
}

impl UrgentLoad {
    /// Records the resources that urgent tasks use or lack, out of `total`.
    pub fn record(&mut self, urgent: &Resources, total: &Resources, now: Time) {
        let half_lives = now.since(self.recorded_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let remembered = self.share * 0.5_f64.powf(half_lives);
        self.share = dominant_share(urgent, total).max(remembered).min(1.0);
        self.recorded_at = now;
    }

    /// The load, as a share of the capacity between 0 and 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// How many of `workers` workers are part of the reserve.
    fn reserved_workers(&self, workers: usize) -> usize {
        let reserve = self.share * HEADROOM_PERCENT as f64 / f64::from(RESERVED_PERCENT);
        // The product is at most three times the number of workers.
        ((reserve * workers as f64).ceil() as usize).min(workers)
    }

    /// The workers that are part of the reserve: the fastest ones. `workers` lists them with their
    /// speed.
    pub fn choose_workers<K: Copy + Ord>(&self, mut workers: Vec<(K, f64)>) -> Vec<K> {
        let count = self.reserved_workers(workers.len());
        /// Speeds are compared in hundredths.
        const SPEED_SCALE: f64 = 100.0;
        workers.sort_by_key(|(key, speed)| (Reverse((speed * SPEED_SCALE) as i64), *key));
        workers
            .into_iter()
            .take(count)
            .map(|(key, _)| key)
            .collect()
    }
}

/// The urgent use of the last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentUse {
    samples: VecDeque<(Time, Resources)>,
}

impl RecentUse {
    /// Records the resources that urgent runs use. What waiting tasks lack does not count: some never
    /// fit on any worker.
    pub(super) fn record(&mut self, used: Resources, now: Time) {
        let is_old = |(at, _): &mut (Time, Resources)| now.since(*at) > PEAK_WINDOW;
        while self.samples.pop_front_if(is_old).is_some() {}
        self.samples.push_back((now, used));
    }

    /// The largest use of each resource.
    pub(super) fn peak(&self) -> Resources {
        let uses = self.samples.iter().map(|(_, used)| used);
        uses.fold(Resources::default(), |max, used| Resources::max(&max, used))
    }
}

/// The largest share of any resource.
fn dominant_share(part: &Resources, total: &Resources) -> f64 {
    let share = |part: u32, total: u32| f64::from(part) / f64::from(total.max(1));
    let cpu = share(part.cpu_milli, total.cpu_milli);
    let memory = share(part.memory_mib, total.memory_mib);
    cpu.max(memory)
}
