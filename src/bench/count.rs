//! What the driver counts.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

const MAX_WAIT_MS: u64 = 36_000_000;

/// What was counted of one kind.
#[derive(Clone, Debug)]
pub struct KindCount {
    /// Waiting times, in milliseconds; those of the flood are not counted.
    pub waiting_ms: Histogram<u64>,
    /// Tasks that ended well while it was measured, without the flood.
    pub ended: u64,
    /// Their work, in core-milliseconds.
    pub useful_core_ms: u64,
    /// Jobs that were refused, without the flood.
    pub refused: u64,
}

impl Default for KindCount {
    fn default() -> Self {
        Self {
            waiting_ms: Histogram::new_with_max(MAX_WAIT_MS, 3).expect("the bounds are valid"),
            ended: 0,
            useful_core_ms: 0,
            refused: 0,
        }
    }
}

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct Count {
    /// By kind, without the flood.
    pub kinds: BTreeMap<&'static str, KindCount>,
    /// Placements that gave a worker more than it holds.
    pub overcommitted: u64,
    /// The larger part needed by running tasks of processors and memory, summed over the measured rounds.
    pub used: f64,
    /// Measured rounds.
    pub rounds: u64,
    /// Work of the flood that ended well, in core-milliseconds.
    pub flood_core_ms: u64,
    /// Jobs of the flood that were refused.
    pub flood_refused: u64,
    /// Tasks that were checkpointed or stopped.
    pub preempted: u64,
}
