//! The stand-in backend server of a service.

mod answer;
mod http;
mod journal;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use answer::{AnswerError, check_response};
pub use http::serve;
pub use journal::{JournalEntry, JournalEvent};

use super::clock::Clock;
use super::journal::JournalFile;
use crate::model::BackendName;

/// The faults of a backend server, all set while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Multiplies the time that each request asks for.
    pub latency_factor: f64,
    /// Answers every request with status 500.
    pub fail: bool,
    /// Holds every request before its answer for as long as this is set.
    pub hang: bool,
    /// Notes in the journal that the backend server is leaving.
    pub leaving: bool,
    /// Tells in each answer that the backend server is leaving, while it is.
    pub tells_leaving: bool,
    /// Cuts every answer halfway.
    pub cut_answers: bool,
    /// Closes every new connection at once.
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

/// A backend server that several connections share.
pub struct StandinBackend {
    name: BackendName,
    slots: u32,
    max_connections: u64,
    file: Option<JournalFile>,
    clock: Clock,
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
    /// Makes a backend server that may work on `slots` requests at once over up to
    /// `max_connections` connections; it takes more of both all the same.
    pub fn new(name: BackendName, slots: u32, max_connections: u64) -> Self {
        Self {
            name,
            slots,
            max_connections,
            file: None,
            clock: Clock::start(),
            switches: watch::Sender::new(Switches::default()),
            connections: AtomicU64::new(0),
            state: Mutex::default(),
        }
    }

    /// Writes the journal to `file` too.
    #[must_use]
    pub fn with_journal_file(mut self, file: JournalFile) -> Self {
        self.file = Some(file);
        self
    }

    /// Changes the switches.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        let mut switches = self.switches.borrow().clone();
        change(&mut switches);
        if switches.leaving && !self.switches.borrow().leaving {
            self.note(JournalEvent::Leaving, None, None);
        }
        self.switches.send_replace(switches);
    }

    /// A copy of the journal.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.state().journal.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn begin(&self, request: Option<String>, key: Option<String>) {
        self.state().concurrency += 1;
        self.note(JournalEvent::Begin, request, key);
    }

    fn end(&self, event: JournalEvent, request: Option<String>) {
        self.state().concurrency -= 1;
        self.note(event, request, None);
    }

    fn note(&self, event: JournalEvent, request: Option<String>, idempotency_key: Option<String>) {
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
        if let Some(file) = &self.file {
            file.append(std::slice::from_ref(&entry));
        }
        state.journal.push(entry);
    }
}
