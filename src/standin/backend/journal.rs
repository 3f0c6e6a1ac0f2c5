//! Journal of a stand-in backend server.

use crate::model::BackendName;

common! { value
/// An event in the journal.
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// A request arrived.
    Begin,
    /// The complete response to a request was handed over for sending.
    End,
    /// The response to a request was cut off by a fault, or because the client disconnected.
    Cut,
    /// A connection was accepted.
    Connected,
    /// The backend server started draining.
    Leaving,
}}

common! { record
/// A line of the journal.
pub struct JournalEntry {
    /// Time of the event, in microseconds since the Unix epoch.
    pub time_us: u64,
    /// Name of the backend server.
    pub backend: BackendName,
    /// The event.
    pub event: JournalEvent,
    /// The request's `x-request-id`, if it has one.
    pub request: Option<String>,
    /// The request's idempotency key, if it has one; only in [`JournalEvent::Begin`].
    pub idempotency_key: Option<String>,
    /// Requests in flight after the event.
    pub concurrency: u32,
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Open connections.
    pub connections: u64,
    /// Maximum number of open connections.
    pub max_connections: u64,
}}
