//! The configuration of a cell, which operators keep in a folder of small TOML files.
//!
//! * `folder`, `parse` and `merge` read the files and keep the source location of each value;
//! * `schema` and `value_type` define the known keys and the values that each accepts;
//! * `cross_check` reports contradictions between entries;
//! * `load` combines these steps;
//! * `diff` compares two configurations;
//! * `store` keeps versions in the platform, `apply` writes one;
//! * `sweep` deletes the texts of versions that the history no longer contains;
//! * `current` holds the version in force on one VM; `watch` detects edits of the folder.

mod apply;
mod closest_match;
mod cross_check;
mod current;
mod diff;
mod finding;
mod folder;
mod load;
mod merge;
mod parse;
mod schema;
mod store;
mod sweep;
mod value_type;
mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model::{
    BackendInfo, BackendName, KindName, RackName, Resources, ServiceName, ShardName, TeamName,
    Urgency, WorkerInfo, WorkerName, ZoneName,
};

pub use apply::{ApplyError, ApplyPlan, CommitInfo, MAX_TRIES, VersionConflict};
pub use closest_match::closest_match;
pub use current::{ConfigLearner, ConfigVersion, CurrentConfig, OfferOutcome};
pub use diff::{ConfigDiff, KeyChange};
pub use finding::{Finding, Findings, SourceLocation};
pub use folder::{MAX_FILE_BYTES, MAX_FILES, MAX_FOLDER_BYTES, read_file};
pub use load::{LoadedConfig, load};
pub use merge::{MAX_ENTRIES, MergedValues};
pub use parse::{EntryDeclaration, KeyPath, Leaf, ParsedSource, parse_source};
pub use schema::{CELL_SCHEMA, REMOVED_KEY};
pub use store::{
    ConfigStore, CurrentVersion, HISTORY_PREFIX, HistoryRow, MAX_HISTORY_VERSIONS, VERSION_KEY,
    VersionRow, history_key, object_name, text_digest,
};
pub use sweep::{SWEEP_PREFIX, SweepRow};
pub use value_type::{InvalidValue, KeySchema, MAX_NAME_BYTES, MAX_TEXT_BYTES, ValueType};

pub use watch::{BASE_VERSION_FILE, FolderWatcher, read_base_version, write_base_version};

/// Default retention of an idempotency key, in seconds.
const DEFAULT_IDEMPOTENCY_KEY_S: u64 = 86_400;

/// The merged configuration of a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CellConfig {
    /// Retention of an idempotency key, in seconds.
    pub idempotency_key_s: u64,
    /// Client accounts.
    pub team: BTreeMap<TeamName, TeamConfig>,
    /// Kinds of work.
    pub kind: BTreeMap<KindName, KindConfig>,
    /// Services that backend servers provide.
    pub service: BTreeMap<ServiceName, ServiceConfig>,
    /// Backend servers.
    pub backend: BTreeMap<BackendName, BackendConfig>,
    /// Workers.
    pub worker: BTreeMap<WorkerName, WorkerConfig>,
    /// Service-level objectives.
    pub objective: BTreeMap<String, ObjectiveConfig>,
}

impl Default for CellConfig {
    fn default() -> Self {
        Self {
            idempotency_key_s: DEFAULT_IDEMPOTENCY_KEY_S,
            team: BTreeMap::new(),
            kind: BTreeMap::new(),
            service: BTreeMap::new(),
            backend: BTreeMap::new(),
            worker: BTreeMap::new(),
            objective: BTreeMap::new(),
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    /// Prepaid balance, in core-hours.
    pub balance_core_hours: f64,
    /// Relative share of this team among the teams with waiting tasks.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum resources that the team's tasks may hold at once; `None` means no limit per team.
    #[serde(default)]
    pub quota: Option<Resources>,
    /// Maximum number of queued tasks.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
}

/// The limits on a kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindConfig {
    /// Maximum number of queued tasks of the kind.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// Maximum number of attempts of an idempotent task.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Highest urgency that jobs of the kind may request.
    #[serde(default)]
    pub urgency: Urgency,
}

/// A service that backend servers provide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Timeout of one request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum number of requests that wait for a slot.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
    /// Whether any request may be retried after a failure.
    #[serde(default)]
    pub idempotent: bool,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendConfig {
    /// The service that it provides.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerConfig {
    /// The shard that it belongs to.
    pub shard: ShardName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// Address of its control interface.
    pub address: SocketAddr,
    /// Resources that it offers to tasks.
    pub capacity: Resources,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveConfig {
    /// The team; `None` means every team.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The kind.
    pub kind: KindName,
    /// Maximum waiting time that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// Share of the work that must meet it, above 0 and below 1.
    pub target: f64,
}

fn default_weight() -> u32 {
    1
}

fn default_max_queued() -> u32 {
    10_000
}

fn default_max_attempts() -> u32 {
    3
}

fn default_timeout_ms() -> u64 {
    10_000
}

fn default_max_waiting() -> u32 {
    1_000
}

fn default_max_body_bytes() -> u64 {
    1 << 20
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    64
}

impl CellConfig {
    /// The workers of each shard, ordered by name.
    pub fn workers_by_shard(&self) -> BTreeMap<ShardName, Vec<WorkerInfo>> {
        let mut shards: BTreeMap<ShardName, Vec<WorkerInfo>> = BTreeMap::new();
        for (name, worker) in &self.worker {
            shards
                .entry(worker.shard.clone())
                .or_default()
                .push(WorkerInfo {
                    name: name.clone(),
                    rack: worker.rack.clone(),
                    zone: worker.zone.clone(),
                    capacity: worker.capacity,
                    address: worker.address,
                });
        }
        shards
    }

    /// The backend servers of `service`, ordered by name.
    pub fn backends_of(&self, service: &ServiceName) -> Vec<BackendInfo> {
        let of_service = self.backend.iter().filter(|(_, b)| &b.service == service);
        let infos = of_service.map(|(name, backend)| BackendInfo {
            name: name.clone(),
            zone: backend.zone.clone(),
            address: backend.address,
            slots: backend.slots,
            connections: backend.connections,
        });
        infos.collect()
    }
}

/// Returns the shard that manages the slots of a service's backend servers.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::service_shard;
///
/// let shard = service_shard(&"rota-service".into());
/// assert_eq!(shard.as_str(), "service:rota-service");
/// ```
pub fn service_shard(service: &ServiceName) -> ShardName {
    ShardName::new(format!("service:{service}"))
}
