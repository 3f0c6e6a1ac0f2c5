//! Counts of task events in a shard since they were last read.

use crate::model::Outcome;

common! { value
/// Task counts since the last call of [`Shard::take_task_counts`](super::Shard::take_task_counts).
#[derive(Default)]
pub struct TaskCounts {
    /// Tasks whose jobs were refused.
    pub refused: u64,
    /// Tasks that were placed.
    pub placed: u64,
    /// Tasks that were queued again after an attempt that ran or may have run.
    pub retried: u64,
    /// Tasks that ended, whatever their outcome.
    pub ended: u64,
    /// Tasks that ended neither as succeeded nor as cancelled.
    pub failed: u64,
}}

impl TaskCounts {
    /// Counts a task that ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::model::Outcome;
    /// use chestnutlug::shard::TaskCounts;
    ///
    /// let mut counts = TaskCounts::default();
    /// counts.count_end(Outcome::Failed);
    /// counts.count_end(Outcome::Cancelled);
    /// assert_eq!((counts.ended, counts.failed), (2, 1));
    /// ```
    pub fn count_end(&mut self, outcome: Outcome) {
        self.ended += 1;
        let is_expected = matches!(outcome, Outcome::Succeeded | Outcome::Cancelled);
        self.failed += u64::from(!is_expected);
    }
}
