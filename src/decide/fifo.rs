//! Baseline policy: first in, first out, on the first worker with enough free resources.

use super::first_fit::{FirstFit, QueueOrder};
use crate::model::JobSpec;

/// A single queue in the order of arrival.
#[derive(Debug)]
pub struct FifoOrder;

impl QueueOrder for FifoOrder {
    const QUEUES: usize = 1;

    fn queue_of(_spec: &JobSpec) -> usize {
        0
    }
}

/// Baseline policy: first in, first out, first fit.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::{Policy, fifo::Fifo};
///
/// let policy = Fifo::default();
/// assert_eq!(policy.load().queued, 0);
/// ```
pub type Fifo = FirstFit<FifoOrder>;
