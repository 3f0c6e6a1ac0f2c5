//! Journal of a stand-in worker.

use crate::model::{Outcome, Resources, WorkerName};

common! { value
/// An event in the journal.
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// An attempt started.
    Started,
    /// An attempt finished or was stopped.
    Ended,
    /// The resources that an attempt is allowed have changed.
    Throttled,
    /// An attempt was stopped because the lease had expired.
    Lapsed,
    /// The end of an attempt was acknowledged.
    Acknowledged,
    /// An attempt was lost in a restart of the worker.
    Killed,
    /// The worker booted.
    Booted,
    /// A request with an older epoch was fenced.
    Fenced,
    /// A request was refused.
    Refused,
}}

common! { record
/// A line of the journal.
pub struct JournalEntry {
    /// Time of the event, in microseconds since the Unix epoch.
    pub time_us: u64,
    /// Name of the worker.
    pub worker: WorkerName,
    /// The event.
    pub event: JournalEvent,
    /// The task, if the event concerns one.
    pub task: Option<String>,
    /// The caller's name for the work of the task, if the payload has one.
    pub work: Option<String>,
    /// Number of the attempt; 0 if the event concerns none.
    pub attempt: u32,
    /// Epoch of the worker, or of the request that was fenced or refused.
    pub epoch: u64,
    /// Resources that the attempt is allowed.
    pub resources: Resources,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Outcome of the attempt, if it has ended.
    pub outcome: Option<Outcome>,
}}

impl JournalEvent {
    /// Whether the attempt no longer runs after this event.
    pub fn ends_attempt(self) -> bool {
        matches!(self, Self::Ended | Self::Lapsed | Self::Killed)
    }
}
