//! The schema of a process's settings.

use crate::config::{KeySchema, ValueType};

/// Upper limit of any duration, in milliseconds: one day.
const MAX_DURATION_MS: i64 = 24 * 3_600_000;

const DURATION_MS: ValueType = ValueType::Integer {
    min: 1,
    max: MAX_DURATION_MS,
};

/// The known keys of a process's settings.
pub const SETTINGS_SCHEMA: &[KeySchema] = &[
    KeySchema::required("vm", ValueType::Name).help("The VM's name"),
    KeySchema::required("zone", ValueType::Name).help("The VM's availability zone"),
    KeySchema::required("callers", ValueType::Listener).help("Where callers connect"),
    KeySchema::required("peers", ValueType::Listener).help("Where other VMs connect"),
    KeySchema::optional("peers_advertised", ValueType::Address)
        .help("Where other VMs connect instead of `peers`"),
    KeySchema::required("operators", ValueType::Listener).help("Where operators connect"),
    KeySchema::required("platform", ValueType::Address).help("Where the platform answers"),
    KeySchema::required("secret_file", ValueType::FilePath)
        .help("The file that holds the secret shared by VMs and operators"),
    KeySchema::optional("stop_ms", DURATION_MS).help("How long a planned stop may take, in ms"),
    KeySchema::optional("heartbeat_ms", DURATION_MS).help("How long between heartbeats, in ms"),
    KeySchema::optional("lease_ms", DURATION_MS)
        .help("How long a heartbeat row may stand unchanged, in ms"),
    KeySchema::optional("task_lease_ms", DURATION_MS)
        .help("How long tasks go on at a worker without renewal, in ms"),
    KeySchema::optional("detached_ms", DURATION_MS)
        .help("How long an owner goes on without the table, in ms"),
    KeySchema::optional("capacity", ValueType::Integer { min: 1, max: 1_000 })
        .help("What this VM can carry beside others"),
    KeySchema::optional("first_peers", ValueType::Addresses)
        .help("Other VMs that are asked for the configuration while the table is down"),
    KeySchema::optional("max_vms", ValueType::Integer { min: 1, max: 1_000 })
        .help("The most VMs that share the backend servers' connections"),
    KeySchema::optional(
        "table_writes_per_s",
        ValueType::Integer {
            min: 1,
            max: 1_000_000,
        },
    )
    .help("Transactions a second that all VMs together may write"),
    KeySchema::optional("log", ValueType::Text)
        .help("The level of logs, in the syntax of RUST_LOG"),
    KeySchema::optional("log_json", ValueType::Boolean).help("Whether logs are JSON lines"),
    KeySchema::optional("statsd", ValueType::Address).help("Where metrics are sent"),
    KeySchema::optional(
        "max_connections",
        ValueType::Integer {
            min: 1,
            max: 1_000_000,
        },
    )
    .help("The most connections of callers at once"),
];
