//! Counts of a simulation.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

const MAX_WAIT_MS: u64 = 36_000_000;

/// Counts of one kind of work, without the flood.
#[derive(Clone, Debug)]
pub struct KindCounts {
    /// Waiting times, in milliseconds; without urgent jobs of the flooding team.
    pub waiting_ms: Histogram<u64>,
    /// Number of tasks that succeeded in the measured period.
    pub succeeded: u64,
    /// Work of these tasks, in core-milliseconds.
    pub useful_core_ms: u64,
    /// Number of refused jobs.
    pub refused: u64,
}

impl Default for KindCounts {
    fn default() -> Self {
        Self {
            waiting_ms: Histogram::new_with_max(MAX_WAIT_MS, 3)
                .expect("the bounds of the histogram are valid"),
            succeeded: 0,
            useful_core_ms: 0,
            refused: 0,
        }
    }
}

/// Counts of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationCounts {
    /// Counts by kind, without the flood.
    pub kinds: BTreeMap<&'static str, KindCounts>,
    /// Number of placements that exceeded the capacity of the worker.
    pub overcommitted: u64,
    /// Utilization of the cell, summed over the measured rounds: the larger of the shares of all
    /// processors and of all memory that the running tasks use.
    pub used_share_sum: f64,
    /// Number of measured rounds.
    pub measured_rounds: u64,
    /// Work of the tasks of the flood that succeeded in the measured period, in core-milliseconds.
    pub flood_core_ms: u64,
    /// Number of refused jobs of the flood.
    pub flood_refused: u64,
    /// Number of tasks that were checkpointed or stopped.
    pub preempted: u64,
}
