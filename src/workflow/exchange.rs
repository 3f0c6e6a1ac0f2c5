//! Messages by which the owners of shards exchange workers.
//!
//! An owner with steps that wait asks the others for workers. Who can spare some assigns them, records
//! that, and announces it until the receiver has recorded it too. Each message may be lost, late or
//! repeated.

use serde::{Deserialize, Serialize};

use super::assignment::Assignment;
use super::spec::StepId;
use crate::model::{Resources, ServiceName, WorkerName};

/// Workers that a shard could use at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWorkers {
    /// The service of the workers.
    pub service: ServiceName,
    /// The label that each must have.
    pub label: Option<String>,
    /// The least capacity of each.
    pub capacity: Resources,
    /// How many.
    pub workers: u32,
    /// Which, by name; any if this is empty.
    pub names: Vec<WorkerName>,
    /// The priority of the step that wants them; 0 is the most urgent.
    pub priority: u8,
    /// How long it has waited, in milliseconds; the maximum for the gang of the fleet that starts next,
    /// which precedes all others of its priority.
    pub waited_ms: u64,
}

impl WantedWorkers {
    /// Whether they are for the gang of the fleet that starts next.
    pub(in crate::workflow) fn is_for_next_gang(&self) -> bool {
        self.waited_ms == u64::MAX
    }
}

/// A gang that waits although its latency objective has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateGang {
    /// Which.
    pub step: StepId,
    /// For how long the objective has passed, in milliseconds.
    pub late_ms: u64,
}

/// A message from the owner of one shard to that of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeMessage {
    /// The sender has steps that wait for these workers, the most urgent first, then the longest wait.
    Wanted(Vec<WantedWorkers>),
    /// The sender has recorded that the receiver holds these workers.
    Assigned(Vec<(WorkerName, Assignment)>),
    /// The sender has recorded these assignments or later ones, by generation.
    Recorded(Vec<(WorkerName, u64)>),
    /// The late gang of the sender's shard that starts next, if one waits.
    FirstGang(Option<LateGang>),
}
