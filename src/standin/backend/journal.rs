//! The journal of a stand-in backend server.

use crate::model::BackendName;

common! { value
/// What happened.
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// A request arrived.
    Begin,
    /// Its answer was handed over whole.
    End,
    /// Its answer was cut, by a fault or because the other side went away.
    Cut,
    /// A connection was accepted.
    Connected,
    /// The backend server is leaving from now on.
    Leaving,
}}

common! { record
/// One line of the journal.
pub struct JournalEntry {
    /// When it happened, in microseconds since the Unix epoch.
    pub time_us: u64,
    /// The backend server.
    pub backend: BackendName,
    /// What happened.
    pub event: JournalEvent,
    /// The request's name, where it has one.
    pub request: Option<String>,
    /// The request's idempotency key, where it has one.
    pub idempotency_key: Option<String>,
    /// Requests under way, this one included at its beginning.
    pub concurrency: u32,
    /// Requests that may be under way at once.
    pub slots: u32,
    /// Connections that are open.
    pub connections: u64,
    /// Connections that may be open at once.
    pub max_connections: u64,
}}
