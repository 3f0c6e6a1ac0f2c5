//! Limits for callers.

use std::time::Duration;

use crate::config::BackendConfig;
use crate::decide::admission::ConcurrencyLimits;
use crate::settings::Settings;

/// Limits for the connections and requests of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryLimits {
    /// Maximum number of concurrent connections.
    pub max_connections: u32,
    /// Maximum size of a request's line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a job's description, in bytes.
    pub max_job_bytes: usize,
    /// Timeout for receiving a request's headers. After a response it also bounds the wait for the
    /// next request on the connection.
    pub header_timeout: Duration,
    /// Timeout for receiving a job's description.
    pub job_body_timeout: Duration,
    /// Maximum time that a request waits for a job to end.
    pub max_job_wait: Duration,
    /// How long a planned stop keeps connections open for requests whose headers are still on their
    /// way.
    pub stop_grace: Duration,
    /// Settings of the limit on concurrent requests.
    pub concurrency: ConcurrencyLimits,
    /// Maximum number of VMs that share the connections of each backend server.
    pub max_vms: u32,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_header_bytes: 16 << 10,
            max_job_bytes: 1 << 20,
            header_timeout: Duration::from_secs(30),
            job_body_timeout: Duration::from_secs(10),
            max_job_wait: Duration::from_secs(30),
            stop_grace: Duration::from_millis(200),
            concurrency: ConcurrencyLimits::default(),
            max_vms: 28,
        }
    }
}

impl From<&Settings> for EntryLimits {
    fn from(settings: &Settings) -> Self {
        Self {
            max_connections: settings.max_connections,
            max_vms: settings.max_vms,
            ..Self::default()
        }
    }
}

/// Returns the maximum number of idle connections to `backend` that each of `max_vms` VMs keeps.
///
/// Twice the backend server's slots are left free: each slot may have a connection in use and one
/// that this side has closed but the backend server has not closed yet.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::BackendConfig;
/// use chestnutlug::entry::max_idle_connections;
///
/// let backend = BackendConfig {
///     service: "swaps".into(), zone: "a".into(), address: "127.0.0.1:1".parse().unwrap(),
///     slots: 8, connections: 64,
/// };
/// assert_eq!(max_idle_connections(&backend, 7), 6);
/// assert_eq!(max_idle_connections(&backend, 28), 1);
/// assert_eq!(max_idle_connections(&backend, 49), 0);
/// ```
pub fn max_idle_connections(backend: &BackendConfig, max_vms: u32) -> u32 {
    let reserved = backend.slots.saturating_mul(2);
    backend.connections.saturating_sub(reserved) / max_vms.max(1)
}
