//! Baseline policy: strict priority, on the first worker with enough free resources.

use super::first_fit::{FirstFit, QueueOrder};
use crate::model::{JobSpec, Urgency};

/// One queue per urgency; if the head of a queue does not fit, the next queue is served.
#[derive(Debug)]
pub struct UrgencyOrder;

impl QueueOrder for UrgencyOrder {
    const QUEUES: usize = 3;

    fn queue_of(spec: &JobSpec) -> usize {
        match spec.urgency {
            Urgency::Urgent => 0,
            Urgency::Normal => 1,
            Urgency::Patient => 2,
        }
    }
}

/// Baseline policy: strict priority by urgency, first fit.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::{Policy, priority::Priority};
///
/// let policy = Priority::default();
/// assert_eq!(policy.load().placed, 0);
/// ```
pub type Priority = FirstFit<UrgencyOrder>;
