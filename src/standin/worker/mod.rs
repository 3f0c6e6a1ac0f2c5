//! Stand-in for a worker. It starts all tasks that it is told to, whether they fit or not.

mod attempt;
mod http;
mod journal;
mod list_history;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use attempt::ActiveAttempt;
pub use http::{StandinWorkerServer, serve};
pub use journal::{JournalEntry, JournalEvent};
use list_history::ListHistory;

use crate::adapter::running_list::{DeltaSyncResponse, ListVersion};
use crate::model::{Outcome, Resources, TaskId, Time, WorkerName};
use crate::port::worker::{
    EndedAttempt, RunningAttempt, SyncRequest, SyncResponse, WorkerCommand, WorkerError,
};

/// Faults injected into a worker; all can be changed while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Refuses all requests.
    pub refuse: bool,
    /// Makes all tasks that finish fail.
    pub fail_all: bool,
    /// Blocks all requests before they take effect while set.
    pub hang: bool,
    /// Reports that the worker is draining.
    pub leaving: bool,
    /// Lag of the reported resource usage, in milliseconds.
    pub usage_lag_ms: u64,
    /// Latency of each request, in milliseconds; it takes effect after half of it.
    pub latency_ms: u64,
    /// Number of next requests whose responses are lost after the request took effect.
    pub lose_next: u64,
    /// Restarts the worker: running tasks and unacknowledged ends are lost, the boot number
    /// changes, the epoch stays. Resets itself.
    pub restart: bool,
}

/// State of a stand-in worker. Methods that change it take the current time as an argument.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::{Resources, Time};
/// use chestnutlug::port::worker::{SyncRequest, WorkerError};
/// use chestnutlug::standin::worker::StandinWorker;
///
/// let mut worker = StandinWorker::new("w-1".into(), Resources::default());
/// let request = SyncRequest { epoch: 2, lease_ms: 1_000, ..SyncRequest::default() };
/// assert!(worker.sync(&request, Time::from_millis(0)).is_ok());
///
/// let older = SyncRequest { epoch: 1, ..request };
/// let fenced = worker.sync(&older, Time::from_millis(1));
/// assert_eq!(fenced, Err(WorkerError::Fenced { epoch: 2 }));
/// ```
pub struct StandinWorker {
    name: WorkerName,
    capacity: Resources,
    boot: u64,
    sequence: u64,
    epoch: u64,
    last_command: u64,
    lease_expires_at: Time,
    active: Vec<ActiveAttempt>,
    list_history: ListHistory,
    unacknowledged: Vec<(ActiveAttempt, EndedAttempt)>,
    journal: Vec<JournalEntry>,
    switches: Switches,
}

impl StandinWorker {
    /// Creates an idle worker with the resources `capacity`.
    pub fn new(name: WorkerName, capacity: Resources) -> Self {
        Self {
            name,
            capacity,
            boot: new_boot(),
            sequence: 0,
            epoch: 0,
            last_command: 0,
            lease_expires_at: Time::default(),
            active: Vec::new(),
            list_history: ListHistory::default(),
            unacknowledged: Vec::new(),
            journal: Vec::new(),
            switches: Switches::default(),
        }
    }

    /// All journal entries so far.
    pub fn journal(&self) -> &[JournalEntry] {
        &self.journal
    }

    /// Current switches.
    pub fn switches(&self) -> &Switches {
        &self.switches
    }

    /// Sets the switches; a restart happens immediately.
    pub fn set_switches(&mut self, switches: Switches, now: Time) {
        self.tick(now);
        let restart = switches.restart;
        self.switches = switches;
        self.switches.restart = false;
        if restart {
            self.boot(now);
        }
    }

    /// Boots the worker: drops all attempts and unacknowledged ends, and draws a new boot number.
    pub fn boot(&mut self, now: Time) {
        let killed = std::mem::take(&mut self.active);
        for attempt in &killed {
            self.record(now, JournalEvent::Killed, Some(attempt));
        }
        self.unacknowledged.clear();
        self.boot = new_boot();
        self.sequence = 0;
        self.last_command = 0;
        self.record(now, JournalEvent::Booted, None);
    }

    /// Handles a request: adopts its epoch, renews the lease, and executes its commands and
    /// acknowledgements.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is fenced, refused or meant for another boot; it has no
    /// effect then.
    pub fn sync(&mut self, request: &SyncRequest, now: Time) -> Result<SyncResponse, WorkerError> {
        self.tick(now);
        self.check_request(request, now)?;
        if request.epoch > self.epoch {
            self.epoch = request.epoch;
            self.last_command = 0;
        }
        if request.lease_ms > 0 {
            self.lease_expires_at = now + Duration::from_millis(request.lease_ms);
        }
        self.acknowledge(&request.acknowledged, now);
        let last_executed = self.last_command;
        for (number, command) in (request.first_command..).zip(&request.commands) {
            if number > last_executed {
                self.last_command = number;
                self.execute(command, now);
            }
        }
        self.tick(now);
        self.response(request.epoch, now)
    }

    fn check_request(&mut self, request: &SyncRequest, now: Time) -> Result<(), WorkerError> {
        if self.switches.refuse {
            self.record_request(now, JournalEvent::Refused, request);
            return Err(WorkerError::Refused("switched to refuse".to_owned()));
        }
        if request.epoch < self.epoch {
            self.record_request(now, JournalEvent::Fenced, request);
            return Err(WorkerError::Fenced { epoch: self.epoch });
        }
        if request.boot != self.boot && (request.boot != 0 || !request.commands.is_empty()) {
            self.record_request(now, JournalEvent::Refused, request);
            return Err(WorkerError::OtherBoot { boot: self.boot });
        }
        if request.deadline_ms != 0 && clock_ms(now) > request.deadline_ms {
            self.record_request(now, JournalEvent::Refused, request);
            return Err(WorkerError::Refused("the call came too late".to_owned()));
        }
        if request.commands.is_empty() {
            return Ok(());
        }
        let last_executed = if request.epoch > self.epoch {
            0
        } else {
            self.last_command
        };
        if request.first_command == 0 || request.first_command > last_executed + 1 {
            self.record_request(now, JournalEvent::Refused, request);
            let expected = last_executed + 1;
            return Err(WorkerError::Refused(format!("command {expected} expected")));
        }
        Ok(())
    }

    fn acknowledge(&mut self, acknowledged: &[(TaskId, u32)], now: Time) {
        let ended = std::mem::take(&mut self.unacknowledged);
        let (acked, kept): (Vec<_>, Vec<_>) = ended.into_iter().partition(|(_, ended)| {
            acknowledged
                .iter()
                .any(|(task, attempt)| *task == ended.task && *attempt == ended.attempt)
        });
        self.unacknowledged = kept;
        for (attempt, ended) in acked {
            let mut entry = self.journal_entry(now, JournalEvent::Acknowledged, Some(&attempt));
            entry.outcome = Some(ended.outcome);
            self.journal.push(entry);
        }
    }

    fn execute(&mut self, command: &WorkerCommand, now: Time) {
        match command {
            WorkerCommand::Start {
                task,
                attempt,
                resources,
                payload,
            } => {
                let started =
                    ActiveAttempt::start(task.clone(), *attempt, *resources, payload, now);
                self.record(now, JournalEvent::Started, Some(&started));
                self.active.push(started);
            }
            WorkerCommand::Stop { task } => self.stop(task, "stopped", now),
            WorkerCommand::Checkpoint { task } => self.stop(task, "checkpointed", now),
            WorkerCommand::Throttle { task, resources } => self.throttle(task, *resources, now),
        }
    }

    fn stop(&mut self, task: &TaskId, result: &str, now: Time) {
        let stopped = self.remove_active(|attempt| attempt.task == *task);
        for attempt in stopped {
            self.end_attempt(
                attempt,
                Outcome::Cancelled,
                result.to_owned(),
                JournalEvent::Ended,
                now,
            );
        }
    }

    fn throttle(&mut self, task: &TaskId, resources: Resources, now: Time) {
        let mut throttled = Vec::new();
        for attempt in self
            .active
            .iter_mut()
            .filter(|attempt| attempt.task == *task)
        {
            attempt.throttle(resources, now);
            throttled.push(attempt.clone());
        }
        for attempt in throttled {
            self.record(now, JournalEvent::Throttled, Some(&attempt));
        }
    }

    fn remove_active(&mut self, predicate: impl Fn(&ActiveAttempt) -> bool) -> Vec<ActiveAttempt> {
        let (removed, kept) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|attempt| predicate(attempt));
        self.active = kept;
        removed
    }

    fn end_attempt(
        &mut self,
        attempt: ActiveAttempt,
        outcome: Outcome,
        result: String,
        event: JournalEvent,
        at: Time,
    ) {
        let mut entry = self.journal_entry(at, event, Some(&attempt));
        entry.outcome = Some(outcome);
        self.journal.push(entry);
        let ended = EndedAttempt {
            task: attempt.task.clone(),
            attempt: attempt.number,
            outcome,
            result,
        };
        self.unacknowledged.push((attempt, ended));
    }

    /// Ends attempts that have finished by `now`, and stops all others if the lease has expired.
    pub fn tick(&mut self, now: Time) {
        let expires_at = self.lease_expires_at;
        let last = now.min(expires_at);
        let mut finished = self.remove_active(|attempt| attempt.ends_at <= last);
        finished.sort_by_key(|attempt| attempt.ends_at);
        for attempt in finished {
            self.finish(attempt);
        }
        if now > expires_at {
            for attempt in self.remove_active(|_| true) {
                let result = "lease lapsed".to_owned();
                let at = expires_at.max(attempt.started_at);
                self.end_attempt(
                    attempt,
                    Outcome::Cancelled,
                    result,
                    JournalEvent::Lapsed,
                    at,
                );
            }
        }
    }

    fn finish(&mut self, attempt: ActiveAttempt) {
        let fails = attempt.payload.fail || self.switches.fail_all;
        let outcome = if fails {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        let result = attempt.payload.result.clone();
        let at = attempt.ends_at;
        self.end_attempt(attempt, outcome, result, JournalEvent::Ended, at);
    }

    /// Time at which the next attempt finishes or the lease expires; `None` while nothing runs.
    pub fn next_deadline(&self) -> Option<Time> {
        let expiry = self.lease_expires_at + Duration::from_micros(1);
        let ends = self
            .active
            .iter()
            .map(|attempt| attempt.ends_at.min(expiry));
        ends.min()
    }

    /// Whether there are ended attempts that were not acknowledged.
    pub fn has_unacknowledged(&self) -> bool {
        !self.unacknowledged.is_empty()
    }

    /// Builds the response with the current state for a request under `epoch`.
    ///
    /// # Errors
    ///
    /// Returns the epoch that fences the request.
    pub fn response(&mut self, epoch: u64, now: Time) -> Result<SyncResponse, WorkerError> {
        if epoch < self.epoch {
            return Err(WorkerError::Fenced { epoch: self.epoch });
        }
        self.sequence += 1;
        let lag_ms = self.switches.usage_lag_ms;
        let as_of = Time(now.0.saturating_sub(lag_ms * 1_000));
        let running = self.active.iter().map(|attempt| RunningAttempt {
            task: attempt.task.clone(),
            attempt: attempt.number,
            usage: attempt.usage(as_of),
        });
        let response = SyncResponse {
            boot: self.boot,
            sequence: self.sequence,
            last_command: self.last_command,
            running: running.collect(),
            ended: self
                .unacknowledged
                .iter()
                .map(|(_, ended)| ended.clone())
                .collect(),
            leaving: self.switches.leaving,
            clock_ms: clock_ms(now),
        };
        self.list_history.record(&response);
        Ok(response)
    }

    /// Replaces the list of running attempts in `response` by its changes since `base`, if these
    /// are remembered.
    pub fn with_list_delta(&self, base: ListVersion, response: SyncResponse) -> DeltaSyncResponse {
        self.list_history.delta_response(base, response)
    }

    fn record(&mut self, at: Time, event: JournalEvent, attempt: Option<&ActiveAttempt>) {
        let entry = self.journal_entry(at, event, attempt);
        self.journal.push(entry);
    }

    fn record_request(&mut self, at: Time, event: JournalEvent, request: &SyncRequest) {
        let mut entry = self.journal_entry(at, event, None);
        entry.epoch = request.epoch;
        self.journal.push(entry);
    }

    fn journal_entry(
        &self,
        at: Time,
        event: JournalEvent,
        attempt: Option<&ActiveAttempt>,
    ) -> JournalEntry {
        JournalEntry {
            time_us: at.0,
            worker: self.name.clone(),
            event,
            task: attempt.map(|attempt| attempt.task.to_string()),
            work: attempt.and_then(|attempt| attempt.payload.work.clone()),
            attempt: attempt.map_or(0, |attempt| attempt.number),
            epoch: self.epoch,
            resources: attempt.map(|attempt| attempt.allowed).unwrap_or_default(),
            capacity: self.capacity,
            outcome: None,
        }
    }
}

/// Reading of the worker's clock as given in requests and responses.
fn clock_ms(now: Time) -> u64 {
    now.0 / 1_000
}

fn new_boot() -> u64 {
    rand::random::<u64>().max(1)
}
