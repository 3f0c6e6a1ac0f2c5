//! The journal of a stand-in worker.

use crate::model::{Outcome, Resources, WorkerName};

common! { value
/// What happened.
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// An attempt began.
    Started,
    /// An attempt ended by itself or was stopped.
    Ended,
    /// An attempt is held to other resources from now on.
    Throttled,
    /// An attempt was stopped because the lease lapsed.
    Lapsed,
    /// The end of an attempt was acknowledged.
    Acknowledged,
    /// An attempt was lost in a restart.
    Killed,
    /// The worker started, or started again.
    Booted,
    /// A call with an older epoch was turned away.
    Fenced,
    /// A call was refused.
    Refused,
}}

common! { record
/// One line of the journal.
pub struct JournalEntry {
    /// When it happened, in microseconds since the Unix epoch.
    pub time_us: u64,
    /// The worker.
    pub worker: WorkerName,
    /// What happened.
    pub event: JournalEvent,
    /// The task, where the event is about one.
    pub task: Option<String>,
    /// The name that the task's caller gave to the work, where it gave one.
    pub work: Option<String>,
    /// The attempt; 0 where the event is about none.
    pub attempt: u32,
    /// The epoch of the worker, or of the call that was turned away.
    pub epoch: u64,
    /// What the attempt is allowed.
    pub resources: Resources,
    /// What the worker holds.
    pub capacity: Resources,
    /// How the attempt ended.
    pub outcome: Option<Outcome>,
}}

impl JournalEvent {
    /// Whether an attempt no longer runs after this.
    pub fn ends_attempt(self) -> bool {
        matches!(self, Self::Ended | Self::Lapsed | Self::Killed)
    }
}
