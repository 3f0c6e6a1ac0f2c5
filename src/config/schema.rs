//! The schema of a cell's configuration.

use super::value_type::{KeySchema, ValueType};

/// Upper limit of any duration, in milliseconds: 30 days.
const MAX_DURATION_MS: i64 = 30 * 24 * 3_600_000;

/// Upper limit of any queue length, in tasks or requests.
const MAX_QUEUE_LENGTH: i64 = 10_000_000;

/// Upper limit of a resource of one machine: CPU in thousandths of a core, or memory in MiB.
const MAX_RESOURCE: i64 = 1 << 30;

const NON_NEGATIVE_AMOUNT: ValueType = ValueType::Integer {
    min: 0,
    max: MAX_RESOURCE,
};

const POSITIVE_AMOUNT: ValueType = ValueType::Integer {
    min: 1,
    max: MAX_RESOURCE,
};

const QUEUE_LENGTH: ValueType = ValueType::Integer {
    min: 1,
    max: MAX_QUEUE_LENGTH,
};

const DURATION_MS: ValueType = ValueType::Integer {
    min: 1,
    max: MAX_DURATION_MS,
};

const RESOURCES: &[KeySchema] = &[
    KeySchema::required("cpu_milli", POSITIVE_AMOUNT),
    KeySchema::required("memory_mib", POSITIVE_AMOUNT),
    KeySchema::optional("accelerators", NON_NEGATIVE_AMOUNT),
];

const TEAM: &[KeySchema] = &[
    KeySchema::required(
        "balance_core_hours",
        ValueType::Number {
            above: 0.0,
            below: 1e12,
        },
    ),
    KeySchema::optional(
        "weight",
        ValueType::Integer {
            min: 1,
            max: 1_000_000,
        },
    ),
    KeySchema::optional("quota", ValueType::Table(RESOURCES)),
    KeySchema::optional("max_queued", QUEUE_LENGTH),
];

const KIND: &[KeySchema] = &[
    KeySchema::optional("max_queued", QUEUE_LENGTH),
    KeySchema::optional("max_attempts", ValueType::Integer { min: 1, max: 100 }),
    KeySchema::optional(
        "urgency",
        ValueType::Choice(&["urgent", "normal", "patient"]),
    ),
];

const SERVICE: &[KeySchema] = &[
    KeySchema::optional("timeout_ms", DURATION_MS),
    KeySchema::optional("max_waiting", QUEUE_LENGTH),
    KeySchema::optional("idempotent", ValueType::Boolean),
    KeySchema::optional(
        "max_body_bytes",
        ValueType::Integer {
            min: 1,
            max: 1 << 32,
        },
    ),
];

const BACKEND: &[KeySchema] = &[
    KeySchema::required("service", ValueType::Name),
    KeySchema::required("zone", ValueType::Name),
    KeySchema::required("address", ValueType::Address),
    KeySchema::optional(
        "slots",
        ValueType::Integer {
            min: 1,
            max: 65_535,
        },
    ),
    KeySchema::optional(
        "connections",
        ValueType::Integer {
            min: 1,
            max: 65_535,
        },
    ),
];

const WORKER: &[KeySchema] = &[
    KeySchema::required("shard", ValueType::Name),
    KeySchema::required("zone", ValueType::Name),
    KeySchema::required("rack", ValueType::Name),
    KeySchema::required("address", ValueType::Address),
    KeySchema::required("capacity", ValueType::Table(RESOURCES)),
];

const OBJECTIVE: &[KeySchema] = &[
    KeySchema::optional("team", ValueType::Name),
    KeySchema::required("kind", ValueType::Name),
    KeySchema::required("waiting_ms", DURATION_MS),
    KeySchema::required(
        "target",
        ValueType::Number {
            above: 0.0,
            below: 1.0,
        },
    ),
];

/// The top-level keys of a cell's configuration.
pub const CELL_SCHEMA: &[KeySchema] = &[
    KeySchema::optional(
        "idempotency_key_s",
        ValueType::Integer {
            min: 1,
            max: MAX_DURATION_MS / 1_000,
        },
    ),
    KeySchema::optional("team", ValueType::Entries(TEAM)),
    KeySchema::optional("kind", ValueType::Entries(KIND)),
    KeySchema::optional("service", ValueType::Entries(SERVICE)),
    KeySchema::optional("backend", ValueType::Entries(BACKEND)),
    KeySchema::optional("worker", ValueType::Entries(WORKER)),
    KeySchema::optional("objective", ValueType::Entries(OBJECTIVE)),
];

/// The key that removes an entry of an earlier file.
pub const REMOVED_KEY: &str = "removed";
