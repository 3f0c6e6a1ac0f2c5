//! The settings of one process: a TOML file, the environment and arguments.
//!
//! An argument goes before the environment, the environment before the file, the file before the
//! default. All findings of all sources are reported together.

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
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other VMs connect.
    pub peers: SocketAddr,
    /// Where other VMs connect instead of `peers`, for a VM behind an address translation.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// The file that holds the secret shared by VMs and operators.
    pub secret_file: PathBuf,
    /// How long a planned stop may take, in milliseconds.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// How long between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// How long a heartbeat row may stand unchanged before its leases lapse, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long tasks go on at a worker without renewal, in milliseconds.
    #[serde(default = "default_task_lease_ms")]
    pub task_lease_ms: u64,
    /// How long an owner goes on without the table, in milliseconds.
    #[serde(default = "default_detached_ms")]
    pub detached_ms: u64,
    /// What this VM can carry beside others; a VM of 2 takes twice as many shards as one of 1.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// Other VMs that are asked for the configuration while the table is down.
    #[serde(default, with = "addresses")]
    pub first_peers: Vec<SocketAddr>,
    /// The most VMs that share the backend servers' connections.
    #[serde(default = "default_max_vms")]
    pub max_vms: u32,
    /// Transactions a second that all VMs together may write.
    #[serde(default = "default_writes_per_s")]
    pub table_writes_per_s: u32,
    /// The level of logs, in the syntax of `RUST_LOG`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Whether logs are JSON lines.
    #[serde(default)]
    pub log_json: bool,
    /// Where metrics are sent, in the statsd format.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// The most connections of callers at once.
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
