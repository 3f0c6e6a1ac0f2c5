//! How the queues of workflows are served.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::{QueueName, ServiceName};

/// What asking for permits costs, where a queue needs them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitLatency {
    /// How long one question takes, in milliseconds.
    pub base_ms: f64,
    /// How much longer for each worker named, in milliseconds.
    pub per_worker_ms: f64,
}

impl PermitLatency {
    /// How long a question about so many workers takes.
    pub fn estimate(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let ms = self.base_ms + self.per_worker_ms * f64::from(workers);
        Duration::from_secs_f64((ms / 1_000.0).max(0.0))
    }
}

/// A queue as the operators configured it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The queue.
    pub name: QueueName,
    /// The service whose workers run its workflows.
    pub service: ServiceName,
    /// 0 is the most urgent.
    pub priority: u8,
    /// How often a task may fail.
    pub attempts: u32,
    /// How many times its longest chain of work a workflow may take.
    pub slack_factor: f64,
    /// How much longer it may take, in milliseconds.
    pub slo_ms: u64,
    /// Set where its steps run only on permitted workers.
    pub permits: Option<PermitLatency>,
}

impl QueuePolicy {
    /// How long a workflow may take whose longest chain of steps is estimated at `critical_path_ms`.
    pub fn latency_objective(&self, critical_path_ms: u64) -> Duration {
        let chain = Duration::from_millis(critical_path_ms).mul_f64(self.slack_factor.max(0.0));
        chain + Duration::from_millis(self.slo_ms)
    }
}

/// The bounds of the platform that the engine keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineConfig {
    /// How long tasks go on at a worker without renewal, in milliseconds.
    pub lease_ms: u64,
}
