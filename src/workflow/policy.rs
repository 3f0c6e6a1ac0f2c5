//! The policies of queues and the engine's configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::account_rate::RateBurst;
use crate::model::{QueueName, ServiceName};

/// The priority of urgent queues, whose results someone waits for.
pub(super) const URGENT_PRIORITY: u8 = 0;

/// The maximum expected response time of a permit request, so that timeouts derived from it cannot overflow.
const MAX_ESTIMATE: Duration = Duration::from_secs(3_600);

/// The expected response time of the permit service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitLatency {
    /// The time of a permit request without workers, in milliseconds.
    pub base_ms: f64,
    /// The additional time for each worker in the request, in milliseconds.
    pub per_worker_ms: f64,
}

impl PermitLatency {
    /// Whether a permit request for this number of workers is short.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::workflow::PermitLatency;
    ///
    /// let latency = PermitLatency { base_ms: 11.0, per_worker_ms: 0.16 };
    /// assert!(latency.is_short(100));
    /// ```
    pub fn is_short(&self, workers: usize) -> bool {
        self.estimate(workers) <= MAX_SHORT_PERMIT_REQUEST
    }

    /// The expected response time of a permit request for this number of workers.
    pub fn estimate(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let ms = self.base_ms + self.per_worker_ms * f64::from(workers);
        duration_of_secs(ms / 1_000.0).min(MAX_ESTIMATE)
    }
}

/// Longer permit requests are not sent through the VMs that are reserved for short ones. It is a fifth of
/// the 250 ms that the most urgent kind of work may take beyond its run time.
pub const MAX_SHORT_PERMIT_REQUEST: Duration = Duration::from_millis(50);

/// The policy of a queue, as configured by the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The queue.
    pub name: QueueName,
    /// The service whose workers run the workflows of the queue.
    pub service: ServiceName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The number of failures of a task after which its workflow fails.
    pub attempts: u32,
    /// The latency objective relative to the critical path, as a factor.
    pub slack_factor: f64,
    /// The time added to the relative latency objective, in milliseconds.
    pub slo_ms: u64,
    /// Set if steps may run only on workers with a permit.
    pub permits: Option<PermitLatency>,
}

impl QueuePolicy {
    /// How long a workflow may take whose critical path is estimated at `critical_path_ms`.
    pub fn latency_objective(&self, critical_path_ms: u64) -> Duration {
        let critical_path = Duration::from_millis(critical_path_ms);
        let relative = duration_of_secs(critical_path.as_secs_f64() * self.slack_factor);
        relative.saturating_add(Duration::from_millis(self.slo_ms))
    }
}

/// A number of seconds as a duration; zero if it is negative or no number, and the longest duration if it
/// is too large.
fn duration_of_secs(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs.max(0.0)).unwrap_or(Duration::MAX)
}

/// The platform limits that the engine observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineConfig {
    /// How long the runs on a worker continue without a lease renewal, in milliseconds.
    pub lease_ms: u64,
    /// The maximum lease that a worker accepts, in milliseconds. It shortens longer ones to this.
    pub max_lease_ms: u64,
    /// How far an account may submit ahead of its guaranteed rate.
    pub account_burst: RateBurst,
    /// Whether waiting steps are ordered, and submissions refused, by what costs callers least under
    /// overload.
    pub overload_control: bool,
}
