//! Divides the progress of a workflow into parts, each of which fits in a record.
//!
//! The tasks of all occurrences are numbered, occurrence by occurrence and step by step. Each part
//! holds the progress of [`TASKS_PER_PART`] tasks, so that the size of a record does not depend on
//! the number of tasks.

use std::ops::Range;

use super::spec::{StepSpec, TaskId};

/// The number of tasks in a part. The progress of one task takes up to 0.7 KB, if its worker and two
/// that crashed under it have names of 200 bytes.
pub const TASKS_PER_PART: u64 = 64;

/// The tasks in each part of a workflow's progress.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::{PartMap, StepSpec};
///
/// let step = |tasks| StepSpec { tasks, ..StepSpec::default() };
/// let parts = PartMap::new(&[step(60), step(10)]);
/// assert_eq!(parts.part_of((0, 1), 3), 0);
/// assert_eq!(parts.part_of((0, 1), 4), 1);
/// let ranges: Vec<_> = parts.ranges(1).take(2).collect();
/// assert_eq!(ranges, [((0, 1), 4..10), ((1, 0), 0..58)]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartMap {
    /// The number of tasks before each step of an occurrence, and of all its tasks.
    offsets: Vec<u64>,
}

impl PartMap {
    /// The parts of a workflow with these steps.
    pub fn new(steps: &[StepSpec]) -> Self {
        let mut offsets = vec![0];
        let mut total = 0;
        for step in steps {
            total += u64::from(step.tasks);
            offsets.push(total);
        }
        Self { offsets }
    }

    fn tasks_per_occurrence(&self) -> u64 {
        self.offsets.last().copied().unwrap_or(0).max(1)
    }

    /// The part of task `index` in the step with this occurrence and index.
    pub fn part_of(&self, (occurrence, step): (u32, u32), index: u32) -> u64 {
        let offset = self.offsets.get(step as usize).copied().unwrap_or(0);
        let before = u64::from(occurrence) * self.tasks_per_occurrence();
        (before + offset + u64::from(index)) / TASKS_PER_PART
    }

    /// The part of the task.
    pub fn part_of_task(&self, task: TaskId) -> u64 {
        self.part_of((task.step.occurrence, task.step.step), task.index)
    }

    /// The tasks in `part`: for each occurrence and step, the range of the indexes. Occurrences that
    /// the workflow does not have are included.
    pub fn ranges(&self, part: u64) -> impl Iterator<Item = ((u32, u32), Range<u32>)> + '_ {
        let end = (part + 1) * TASKS_PER_PART;
        let mut next = part * TASKS_PER_PART;
        std::iter::from_fn(move || {
            if next >= end {
                return None;
            }
            let tasks = self.tasks_per_occurrence();
            let (occurrence, offset) = (next / tasks, next % tasks);
            // The last step that starts at the offset or before it; steps have at least one task.
            let step = self.offsets.partition_point(|start| *start <= offset) - 1;
            let step_end = self.offsets.get(step + 1).copied().unwrap_or(tasks);
            let first = offset - self.offsets[step];
            let count = (step_end - offset).min(end - next);
            next += count;
            let narrow = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
            let key = (narrow(occurrence), narrow(step as u64));
            Some((key, narrow(first)..narrow(first + count)))
        })
    }
}
