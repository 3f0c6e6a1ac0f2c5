//! Ordered index of the free resources of workers.

use std::collections::BTreeSet;

use slotmap::SecondaryMap;

use super::WorkerKey;
use crate::model::Resources;

/// Maximum number of workers that [`FreeCapacityIndex::best_fit`] compares.
const MAX_BEST_FIT_CANDIDATES: usize = 16;

/// Free processors that a task of common size needs on a worker, in millicores.
const COMMON_TASK_CPU_MILLI: u32 = 1_000;
/// Free memory that a task of common size needs on a worker, in MiB.
const COMMON_TASK_MEMORY_MIB: u32 = 1_024;

/// Index of the free resources of workers, ordered by free processors.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::{WorkerKey, index::FreeCapacityIndex};
/// use chestnutlug::model::Resources;
/// use slotmap::SlotMap;
///
/// let mut keys = SlotMap::<WorkerKey, ()>::with_key();
/// let (small, large) = (keys.insert(()), keys.insert(()));
/// let cores = |n: u32| Resources { cpu_milli: n * 1_000, memory_mib: 1_024, accelerators: 0 };
/// let mut index = FreeCapacityIndex::default();
/// index.set(large, cores(16));
/// index.set(small, cores(2));
/// assert_eq!(index.best_fit(&cores(1)), Some(small));
/// assert_eq!(index.best_fit(&cores(17)), None);
/// assert_eq!(index.total().cpu_milli, 18_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FreeCapacityIndex {
    without_accelerators: BTreeSet<(u32, u32, WorkerKey)>,
    with_accelerators: BTreeSet<(u32, u32, WorkerKey)>,
    free: SecondaryMap<WorkerKey, Resources>,
    cpu_milli: u64,
    memory_mib: u64,
    accelerators: u64,
    usable_cpu_milli: u64,
}

impl FreeCapacityIndex {
    /// Sets the free resources of a worker.
    pub fn set(&mut self, worker: WorkerKey, free: Resources) {
        self.remove(worker);
        self.free.insert(worker, free);
        self.set_for(&free)
            .insert((free.cpu_milli, free.memory_mib, worker));
        self.cpu_milli += u64::from(free.cpu_milli);
        self.memory_mib += u64::from(free.memory_mib);
        self.accelerators += u64::from(free.accelerators);
        self.usable_cpu_milli += usable_cpu_milli(&free);
    }

    /// Removes a worker from the index.
    pub fn remove(&mut self, worker: WorkerKey) {
        let Some(free) = self.free.remove(worker) else {
            return;
        };
        self.set_for(&free)
            .remove(&(free.cpu_milli, free.memory_mib, worker));
        self.cpu_milli -= u64::from(free.cpu_milli);
        self.memory_mib -= u64::from(free.memory_mib);
        self.accelerators -= u64::from(free.accelerators);
        self.usable_cpu_milli -= usable_cpu_milli(&free);
    }

    fn set_for(&mut self, free: &Resources) -> &mut BTreeSet<(u32, u32, WorkerKey)> {
        match free.accelerators {
            0 => &mut self.without_accelerators,
            _ => &mut self.with_accelerators,
        }
    }

    /// Returns the number of workers in the index.
    pub fn len(&self) -> usize {
        self.free.len()
    }

    /// Returns whether the index contains no workers.
    pub fn is_empty(&self) -> bool {
        self.free.is_empty()
    }

    /// Returns the workers in descending order of free processors; workers with free accelerators
    /// come last.
    pub fn most_free_first(&self) -> impl Iterator<Item = WorkerKey> {
        let without_accelerators = self.without_accelerators.iter().rev();
        without_accelerators
            .chain(self.with_accelerators.iter().rev())
            .map(|entry| entry.2)
    }

    /// Returns the free resources of a worker, if the index contains it.
    pub fn free(&self, worker: WorkerKey) -> Option<&Resources> {
        self.free.get(worker)
    }

    /// Returns the sum of all free resources, saturating.
    pub fn total(&self) -> Resources {
        let clamp = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        Resources {
            cpu_milli: clamp(self.cpu_milli),
            memory_mib: clamp(self.memory_mib),
            accelerators: clamp(self.accelerators),
        }
    }

    /// Returns the free processors, in millicores, of the workers that can hold a task of common
    /// size.
    pub fn usable_cpu_milli(&self) -> u64 {
        self.usable_cpu_milli
    }

    /// Returns the maximum of the workers' free processors, in millicores.
    pub fn max_cpu_milli(&self) -> u32 {
        let last = |set: &BTreeSet<(u32, u32, WorkerKey)>| set.last().map_or(0, |entry| entry.0);
        last(&self.without_accelerators).max(last(&self.with_accelerators))
    }

    /// Returns the workers that can hold `need`, in ascending order of free processors; workers
    /// with free accelerators come last.
    pub fn fitting(&self, need: &Resources) -> impl Iterator<Item = (WorkerKey, &Resources)> {
        let from = (need.cpu_milli, 0, WorkerKey::default());
        let without_accelerators = match need.accelerators {
            0 => Some(self.without_accelerators.range(from..)),
            _ => None,
        };
        let entries = without_accelerators
            .into_iter()
            .flatten()
            .chain(self.with_accelerators.range(from..));
        entries
            .map(|&(_, _, worker)| (worker, &self.free[worker]))
            .filter(move |(_, free)| need.fits_in(free))
    }

    /// Returns a worker with few free resources left after placing `need`; `None` if no worker can
    /// hold it.
    pub fn best_fit(&self, need: &Resources) -> Option<WorkerKey> {
        let candidates = self.fitting(need).take(MAX_BEST_FIT_CANDIDATES);
        let best = candidates.min_by_key(|(_, free)| leftover(need, free));
        best.map(|(worker, _)| worker)
    }
}

fn usable_cpu_milli(free: &Resources) -> u64 {
    let is_usable =
        free.cpu_milli >= COMMON_TASK_CPU_MILLI && free.memory_mib >= COMMON_TASK_MEMORY_MIB;
    u64::from(if is_usable { free.cpu_milli } else { 0 })
}

/// Returns what is left of `free` after placing `need`: free accelerators, then a volume in which
/// one core counts as much as 4 GiB.
fn leftover(need: &Resources, free: &Resources) -> (u32, u64) {
    let left = free.minus(need);
    let volume = u64::from(left.cpu_milli) * 4 + u64::from(left.memory_mib);
    (left.accelerators, volume)
}

/// Returns how many tasks of size `need` fit into `free` at once.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::index::fitting_tasks;
/// use chestnutlug::model::Resources;
///
/// let need = Resources { cpu_milli: 500, memory_mib: 1_024, accelerators: 0 };
/// let free = Resources { cpu_milli: 2_000, memory_mib: 3_000, accelerators: 1 };
/// assert_eq!(fitting_tasks(&need, &free), 2);
/// ```
pub fn fitting_tasks(need: &Resources, free: &Resources) -> u32 {
    let fitting = |need: u32, free: u32| free.checked_div(need).unwrap_or(u32::MAX);
    fitting(need.cpu_milli, free.cpu_milli)
        .min(fitting(need.memory_mib, free.memory_mib))
        .min(fitting(need.accelerators, free.accelerators))
}
