//! The limits on callers.

use std::time::Duration;

use crate::config::BackendConfig;
use crate::decide::admission::ConcurrencyLimits;
use crate::settings::Settings;

/// The limits on callers' connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryLimits {
    /// The most connections at once.
    pub max_connections: u32,
    /// The most bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// The most bytes of a job's description.
    pub max_job_bytes: usize,
    /// How long a request's headers may take to arrive, also after an earlier request.
    pub header_timeout: Duration,
    /// How long a job's description may take to arrive.
    pub job_body_timeout: Duration,
    /// The longest wait for a job's end.
    pub max_job_wait: Duration,
    /// How long the headers of requests that are under way at a planned stop are waited for.
    pub stop_grace: Duration,
    /// The bounds of the limit on requests at once.
    pub concurrency: ConcurrencyLimits,
    /// The most VMs that share the backend servers' connections.
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

/// The most idle connections to `backend` that one of `max_vms` VMs keeps. Beside them come up to one
/// connection in use for each slot, and as many that this side has closed and the backend server not
/// yet.
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
    let busy = backend.slots.saturating_mul(2);
    backend.connections.saturating_sub(busy) / max_vms.max(1)
}
