//! Workflows: jobs of several steps, run by workers under leases.
//!
//! [`Engine`] schedules workflows, [`record`] defines the stored records, and [`WorkflowSpec`] is
//! what callers submit.

mod access;
mod account;
mod account_keys;
mod account_rate;
mod active;
mod assignment;
pub mod crash;
pub mod ended;
mod engine;
pub mod exchange;
mod fleet;
mod parts;
mod policy;
pub mod record;
pub mod recorded;
mod routes;
pub mod run_end;
pub mod run_time;
mod spec;
mod tenure;
pub mod urgent_reserve;
pub mod wall_clock;

pub use access::Access;
pub use account::{
    AccountConfig, AccountFault, AccountLoad, AccountPolicy, EnginePolicies, LimitShare,
    resolve_account_faults,
};
pub use account_keys::AccountKeys;
pub use account_rate::{AccountRate, RateBurst};
pub use assignment::{Assignment, Assignments, ShardId};
pub use engine::{
    BatchLimits, CancelStatus, CommitBatch, Effect, EndAck, Engine, ReplyToken, SubmitStatus,
};
pub use fleet::WorkerKey;
pub use parts::{PartMap, TASKS_PER_PART};
pub use policy::{EngineConfig, MAX_SHORT_PERMIT_REQUEST, PermitLatency, QueuePolicy};
pub use routes::{CallerLimits, QueueConfig, QueueRoute};
pub use spec::{
    LimitError, MAX_TASKS, ParseIdError, Recurrence, SpecError, StepId, StepSpec, TaskId,
    WorkflowId, WorkflowSpec,
};
pub use tenure::{LongLeases, Predecessor, Tenure, predecessor_ends_at};
