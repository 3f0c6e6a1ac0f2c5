//! The configuration of a cell: what operators describe in a folder of small files.
//!
//! * `folder`, `parse` and `merge` read the files, value by value with its place;
//! * `schema` and `value_type` say which keys exist and what each may hold;
//! * `cross_check` looks for contradictions between entries;
//! * `load` puts these together;
//! * `diff` compares two configurations, `store` keeps versions in the platform, `apply` adds one;
//! * `sweep` deletes the texts of versions that left the history;
//! * `current` is the version in force on one VM; `watch` notices edits of the folder.

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

/// How long an idempotency key is kept where nothing is set, in seconds.
const DEFAULT_IDEMPOTENCY_KEY_S: u64 = 86_400;

/// The merged configuration of a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CellConfig {
    /// How long an idempotency key is kept, in seconds.
    pub idempotency_key_s: u64,
    /// Client accounts.
    pub team: BTreeMap<TeamName, TeamConfig>,
    /// Kinds of work.
    pub kind: BTreeMap<KindName, KindConfig>,
    /// Services that backend servers answer.
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
    /// What the team prepaid, in core-hours.
    pub balance_core_hours: f64,
    /// The team's share beside other teams that wait.
    #[serde(default = "one")]
    pub weight: u32,
    /// The most that the team's tasks may hold at once; absent means no limit of its own.
    #[serde(default)]
    pub quota: Option<Resources>,
    /// The most tasks that may wait.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
}

/// The limits on a kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindConfig {
    /// The most tasks of the kind that may wait.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// The most attempts of an idempotent task.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// The most urgent level that jobs of the kind may ask for.
    #[serde(default)]
    pub urgency: Urgency,
}

/// A service that backend servers answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The most time that one request may take, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// The most requests that may wait for a slot.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
    /// Whether every request may be sent again after a failure.
    #[serde(default)]
    pub idempotent: bool,
    /// The most bytes of a request's body.
    #[serde(default = "default_max_body")]
    pub max_body_bytes: u64,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendConfig {
    /// The service that it answers.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it may work on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that it accepts.
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
    /// Its control interface.
    pub address: SocketAddr,
    /// What it holds.
    pub capacity: Resources,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveConfig {
    /// The team; absent means every team.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// The kind.
    pub kind: KindName,
    /// The longest wait that meets the objective, in milliseconds.
    pub waiting_ms: u64,
    /// The share of work that must meet it, above 0 and below 1.
    pub target: f64,
}

fn one() -> u32 {
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

fn default_max_body() -> u64 {
    1 << 20
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    64
}

impl CellConfig {
    /// The shards of workers, each with its workers in the order of their names.
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

    /// The backend servers of `service`, in the order of their names.
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

/// The shard that keeps the slots of a service's backend servers.
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
