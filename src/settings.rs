//! The settings of one process, from a TOML file, environment variables and arguments.
//!
//! Arguments override environment variables, which override the file, which overrides the defaults.
//! The findings of all sources are reported together.

mod addresses;
mod load;
mod overrides;
mod schema;
mod secret;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::model::{VmName, ZoneName};

pub use load::check_settings;
pub use overrides::{ENV_PREFIX, Override, Overrides};
pub use schema::SETTINGS_SCHEMA;
pub use secret::{MAX_SECRET_BYTES, MIN_SECRET_BYTES, Secret};

/// The settings of an entry VM's process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other VMs.
    pub peers: SocketAddr,
    /// Address to which other VMs connect instead of `peers`, for a VM behind NAT.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// The file with the secret shared by VMs and operators.
    pub secret_file: PathBuf,
    /// Timeout of a planned stop, in milliseconds.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// Interval between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// How long a heartbeat row may stay unchanged before the VM's leases expire, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long tasks continue on a worker without renewal of their lease, in milliseconds.
    #[serde(default = "default_task_lease_ms")]
    pub task_lease_ms: u64,
    /// How long an owner continues to work while the table is unreachable, in milliseconds.
    #[serde(default = "default_detached_ms")]
    pub detached_ms: u64,
    /// Relative capacity of this VM; a VM of capacity 2 owns twice as many shards as one of 1.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// Other VMs that are asked for the configuration while the table is unavailable.
    #[serde(default, with = "addresses")]
    pub first_peers: Vec<SocketAddr>,
    /// Maximum number of VMs that share the backend servers' connections.
    #[serde(default = "default_max_vms")]
    pub max_vms: u32,
    /// Maximum rate of table transactions of all VMs together, per second.
    #[serde(default = "default_writes_per_s")]
    pub table_writes_per_s: u32,
    /// The log filter, in the syntax of `RUST_LOG`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Whether logs are written as JSON lines.
    #[serde(default)]
    pub log_json: bool,
    /// Destination of metrics in the statsd format; `None` disables sending.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Maximum number of concurrent connections of callers.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
}

fn default_stop_ms() -> u64 {
    30_000
}

fn default_heartbeat_ms() -> u64 {
    400
}

fn default_lease_ms() -> u64 {
    1_500
}

fn default_task_lease_ms() -> u64 {
    10_000
}

fn default_detached_ms() -> u64 {
    600_000
}

fn default_capacity() -> u32 {
    1
}

fn default_max_vms() -> u32 {
    28
}

fn default_writes_per_s() -> u32 {
    300
}

fn default_log() -> String {
    "info".to_owned()
}

fn default_max_connections() -> u32 {
    4_096
}
