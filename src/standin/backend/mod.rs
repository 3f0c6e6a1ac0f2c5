//! Stand-in for a backend server of a service.

mod http;
mod journal;
mod response;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use http::serve;
pub use journal::{JournalEntry, JournalEvent};
pub use response::{ResponseMismatch, check_response};

use super::clock::JournalClock;
use super::journal::JournalFile;
use crate::model::BackendName;

/// Faults injected into a backend server; all can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Factor by which the processing time that each request asks for is multiplied.
    pub latency_factor: f64,
    /// Responds to all requests with status 500.
    pub fail: bool,
    /// Blocks all requests before their responses while set.
    pub hang: bool,
    /// Whether the backend server is draining; setting it is recorded in the journal.
    pub leaving: bool,
    /// Whether a draining backend server reports this in the headers of its responses.
    pub tells_leaving: bool,
    /// Cuts off all responses halfway.
    pub cut_answers: bool,
    /// Closes all new connections immediately.
    pub refuse_connections: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            latency_factor: 1.0,
            fail: false,
            hang: false,
            leaving: false,
            tells_leaving: true,
            cut_answers: false,
            refuse_connections: false,
        }
    }
}

/// Stand-in backend server, shared by its connections.
pub struct StandinBackend {
    name: BackendName,
    slots: u32,
    max_connections: u64,
    journal_file: Option<JournalFile>,
    clock: JournalClock,
    switches: watch::Sender<Switches>,
    connections: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    concurrency: u32,
    journal: Vec<JournalEntry>,
}

impl StandinBackend {
    /// Creates a backend server whose clients may have `slots` requests in flight over up to
    /// `max_connections` connections. It does not enforce these limits, only records them in the
    /// journal.
    pub fn new(name: BackendName, slots: u32, max_connections: u64) -> Self {
        Self {
            name,
            slots,
            max_connections,
            journal_file: None,
            clock: JournalClock::start(),
            switches: watch::Sender::new(Switches::default()),
            connections: AtomicU64::new(0),
            state: Mutex::default(),
        }
    }

    /// Also appends the journal to `journal_file`.
    #[must_use]
    pub fn with_journal_file(mut self, journal_file: JournalFile) -> Self {
        self.journal_file = Some(journal_file);
        self
    }

    /// Updates the switches with `change`.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        let mut switches = self.switches.borrow().clone();
        change(&mut switches);
        if switches.leaving && !self.switches.borrow().leaving {
            self.record(JournalEvent::Leaving, None, None);
        }
        self.switches.send_replace(switches);
    }

    /// Copy of the journal.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.state().journal.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn begin_request(&self, request: Option<String>, idempotency_key: Option<String>) {
        self.state().concurrency += 1;
        self.record(JournalEvent::Begin, request, idempotency_key);
    }

    fn end_request(&self, event: JournalEvent, request: Option<String>) {
        self.state().concurrency -= 1;
        self.record(event, request, None);
    }

    fn record(
        &self,
        event: JournalEvent,
        request: Option<String>,
        idempotency_key: Option<String>,
    ) {
        let mut state = self.state();
        let entry = JournalEntry {
            time_us: self.clock.now().0,
            backend: self.name.clone(),
            event,
            request,
            idempotency_key,
            concurrency: state.concurrency,
            slots: self.slots,
            connections: self.connections.load(Ordering::Relaxed),
            max_connections: self.max_connections,
        };
        if let Some(journal_file) = &self.journal_file {
            journal_file.append(std::slice::from_ref(&entry));
        }
        state.journal.push(entry);
    }
}
