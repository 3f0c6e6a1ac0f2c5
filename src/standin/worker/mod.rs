//! The stand-in worker: runs what it is told, whether it fits or not.

mod changes;
mod http;
mod journal;
mod run;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use changes::Changes;
pub use http::{StandinWorkerServer, serve};
pub use journal::{JournalEntry, JournalEvent};
use run::Run;

use crate::adapter::running_list::{DeltaSyncResponse, ListVersion};
use crate::model::{Outcome, Resources, TaskId, Time, WorkerName};
use crate::port::worker::{
    EndedAttempt, RunningAttempt, SyncRequest, SyncResponse, WorkerCommand, WorkerError,
};

/// The faults of a worker, all set while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Refuses every call.
    pub refuse: bool,
    /// Lets every task that ends fail.
    pub fail_all: bool,
    /// Holds every call before its effect for as long as this is set.
    pub hang: bool,
    /// Reports that the worker is being taken away.
    pub leaving: bool,
    /// How late reports of usage are, in milliseconds.
    pub usage_lag_ms: u64,
    /// How long each call takes, in milliseconds; its effect comes halfway.
    pub latency_ms: u64,
    /// How many of the next calls lose their answers after the effect.
    pub lose_next: u64,
    /// Restarts the worker: its tasks and reports are lost, its boot changes, its epoch stays.
    pub restart: bool,
}

/// A worker's state; the present time is an argument of every change.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::{Resources, Time};
/// use chestnutlug::port::worker::{SyncRequest, WorkerError};
/// use chestnutlug::standin::worker::StandinWorker;
///
/// let mut worker = StandinWorker::new("w-1".into(), Resources::default());
/// let call = SyncRequest { epoch: 2, lease_ms: 1_000, ..SyncRequest::default() };
/// assert!(worker.sync(&call, Time::from_millis(0)).is_ok());
///
/// let older = SyncRequest { epoch: 1, ..call };
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
    lease_until: Time,
    runs: Vec<Run>,
    changes: Changes,
    ended: Vec<(Run, EndedAttempt)>,
    journal: Vec<JournalEntry>,
    switches: Switches,
}

impl StandinWorker {
    /// Makes an idle worker that holds `capacity`.
    pub fn new(name: WorkerName, capacity: Resources) -> Self {
        Self {
            name,
            capacity,
            boot: draw_boot(),
            sequence: 0,
            epoch: 0,
            last_command: 0,
            lease_until: Time::default(),
            runs: Vec::new(),
            changes: Changes::default(),
            ended: Vec::new(),
            journal: Vec::new(),
            switches: Switches::default(),
        }
    }

    /// What happened so far.
    pub fn journal(&self) -> &[JournalEntry] {
        &self.journal
    }

    /// The faults that are set.
    pub fn switches(&self) -> &Switches {
        &self.switches
    }

    /// Sets the faults; a restart happens at once.
    pub fn set_switches(&mut self, switches: Switches, now: Time) {
        self.tick(now);
        let restart = switches.restart;
        self.switches = switches;
        self.switches.restart = false;
        if restart {
            self.boot(now);
        }
    }

    /// Boots the worker: nothing runs, nothing is to be reported, and the boot is a new one.
    pub fn boot(&mut self, now: Time) {
        let runs = std::mem::take(&mut self.runs);
        for run in &runs {
            self.note(now, JournalEvent::Killed, Some(run));
        }
        self.ended.clear();
        self.boot = draw_boot();
        self.sequence = 0;
        self.last_command = 0;
        self.note(now, JournalEvent::Booted, None);
    }

    /// Does what `call` asks for.
    ///
    /// # Errors
    ///
    /// Returns a refusal, or the epoch that fences the call; nothing was done then.
    pub fn sync(&mut self, call: &SyncRequest, now: Time) -> Result<SyncResponse, WorkerError> {
        self.tick(now);
        self.admit(call, now)?;
        if call.epoch > self.epoch {
            self.epoch = call.epoch;
            self.last_command = 0;
        }
        if call.lease_ms > 0 {
            self.lease_until = now + Duration::from_millis(call.lease_ms);
        }
        self.acknowledge(&call.acknowledged, now);
        let taken = self.last_command;
        for (number, command) in (call.first_command..).zip(&call.commands) {
            if number > taken {
                self.last_command = number;
                self.take(command, now);
            }
        }
        self.tick(now);
        self.response(call.epoch, now)
    }

    fn admit(&mut self, call: &SyncRequest, now: Time) -> Result<(), WorkerError> {
        if self.switches.refuse {
            self.note_call(now, JournalEvent::Refused, call);
            return Err(WorkerError::Refused("switched to refuse".to_owned()));
        }
        if call.epoch < self.epoch {
            self.note_call(now, JournalEvent::Fenced, call);
            return Err(WorkerError::Fenced { epoch: self.epoch });
        }
        if call.boot != self.boot && (call.boot != 0 || !call.commands.is_empty()) {
            self.note_call(now, JournalEvent::Refused, call);
            return Err(WorkerError::OtherBoot { boot: self.boot });
        }
        if call.deadline_ms != 0 && clock_ms(now) > call.deadline_ms {
            self.note_call(now, JournalEvent::Refused, call);
            return Err(WorkerError::Refused("the call came too late".to_owned()));
        }
        if call.commands.is_empty() {
            return Ok(());
        }
        let taken = if call.epoch > self.epoch {
            0
        } else {
            self.last_command
        };
        if call.first_command == 0 || call.first_command > taken + 1 {
            self.note_call(now, JournalEvent::Refused, call);
            let expected = taken + 1;
            return Err(WorkerError::Refused(format!("command {expected} expected")));
        }
        Ok(())
    }

    fn acknowledge(&mut self, acknowledged: &[(TaskId, u32)], now: Time) {
        let ended = std::mem::take(&mut self.ended);
        let (forgotten, kept): (Vec<_>, Vec<_>) = ended.into_iter().partition(|(_, ended)| {
            acknowledged
                .iter()
                .any(|(task, attempt)| *task == ended.task && *attempt == ended.attempt)
        });
        self.ended = kept;
        for (run, ended) in forgotten {
            let mut entry = self.entry(now, JournalEvent::Acknowledged, Some(&run));
            entry.outcome = Some(ended.outcome);
            self.journal.push(entry);
        }
    }

    fn take(&mut self, command: &WorkerCommand, now: Time) {
        match command {
            WorkerCommand::Start {
                task,
                attempt,
                resources,
                payload,
            } => {
                let run = Run::start(task.clone(), *attempt, *resources, payload, now);
                self.note(now, JournalEvent::Started, Some(&run));
                self.runs.push(run);
            }
            WorkerCommand::Stop { task } => self.stop(task, "stopped", now),
            WorkerCommand::Checkpoint { task } => self.stop(task, "checkpointed", now),
            WorkerCommand::Throttle { task, resources } => self.throttle(task, *resources, now),
        }
    }

    fn stop(&mut self, task: &TaskId, why: &str, now: Time) {
        let stopped = self.take_runs(|run| run.task == *task);
        for run in stopped {
            self.end(
                run,
                Outcome::Cancelled,
                why.to_owned(),
                JournalEvent::Ended,
                now,
            );
        }
    }

    fn throttle(&mut self, task: &TaskId, resources: Resources, now: Time) {
        let mut throttled = Vec::new();
        for run in self.runs.iter_mut().filter(|run| run.task == *task) {
            run.throttle(resources, now);
            throttled.push(run.clone());
        }
        for run in throttled {
            self.note(now, JournalEvent::Throttled, Some(&run));
        }
    }

    fn take_runs(&mut self, which: impl Fn(&Run) -> bool) -> Vec<Run> {
        let (taken, kept) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| which(run));
        self.runs = kept;
        taken
    }

    fn end(&mut self, run: Run, outcome: Outcome, result: String, event: JournalEvent, at: Time) {
        let mut entry = self.entry(at, event, Some(&run));
        entry.outcome = Some(outcome);
        self.journal.push(entry);
        let ended = EndedAttempt {
            task: run.task.clone(),
            attempt: run.attempt,
            outcome,
            result,
        };
        self.ended.push((run, ended));
    }

    /// Ends what has ended by `now`, and stops everything where the lease lapsed before that.
    pub fn tick(&mut self, now: Time) {
        let until = self.lease_until;
        let last = now.min(until);
        let mut done = self.take_runs(|run| run.ends_at <= last);
        done.sort_by_key(|run| run.ends_at);
        for run in done {
            self.finish(run);
        }
        if now > until {
            for run in self.take_runs(|_| true) {
                let why = "lease lapsed".to_owned();
                let at = until.max(run.started_at);
                self.end(run, Outcome::Cancelled, why, JournalEvent::Lapsed, at);
            }
        }
    }

    fn finish(&mut self, run: Run) {
        let fails = run.payload.fail || self.switches.fail_all;
        let outcome = if fails {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        let result = run.payload.result.clone();
        let at = run.ends_at;
        self.end(run, outcome, result, JournalEvent::Ended, at);
    }

    /// When something next happens by itself; `None` while nothing runs.
    pub fn next_event(&self) -> Option<Time> {
        let lapse = self.lease_until + Duration::from_micros(1);
        let ends = self.runs.iter().map(|run| run.ends_at.min(lapse));
        ends.min()
    }

    /// Whether there are ends that were not acknowledged.
    pub fn has_unacknowledged(&self) -> bool {
        !self.ended.is_empty()
    }

    /// The state as a call under `epoch` sees it.
    ///
    /// # Errors
    ///
    /// Returns the epoch that fences the call.
    pub fn response(&mut self, epoch: u64, now: Time) -> Result<SyncResponse, WorkerError> {
        if epoch < self.epoch {
            return Err(WorkerError::Fenced { epoch: self.epoch });
        }
        self.sequence += 1;
        let lag_ms = self.switches.usage_lag_ms;
        let as_of = Time(now.0.saturating_sub(lag_ms * 1_000));
        let running = self.runs.iter().map(|run| RunningAttempt {
            task: run.task.clone(),
            attempt: run.attempt,
            usage: run.usage(as_of),
        });
        let answer = SyncResponse {
            boot: self.boot,
            sequence: self.sequence,
            last_command: self.last_command,
            running: running.collect(),
            ended: self.ended.iter().map(|(_, ended)| ended.clone()).collect(),
            leaving: self.switches.leaving,
            clock_ms: clock_ms(now),
        };
        self.changes.note(&answer);
        Ok(answer)
    }

    /// An answer with its list of running attempts as changes since what the caller holds.
    pub fn with_list_delta(&self, known: ListVersion, answer: SyncResponse) -> DeltaSyncResponse {
        self.changes.list(known, answer)
    }

    fn note(&mut self, at: Time, event: JournalEvent, run: Option<&Run>) {
        let entry = self.entry(at, event, run);
        self.journal.push(entry);
    }

    fn note_call(&mut self, at: Time, event: JournalEvent, call: &SyncRequest) {
        let mut entry = self.entry(at, event, None);
        entry.epoch = call.epoch;
        self.journal.push(entry);
    }

    fn entry(&self, at: Time, event: JournalEvent, run: Option<&Run>) -> JournalEntry {
        JournalEntry {
            time_us: at.0,
            worker: self.name.clone(),
            event,
            task: run.map(|run| run.task.to_string()),
            work: run.and_then(|run| run.payload.work.clone()),
            attempt: run.map_or(0, |run| run.attempt),
            epoch: self.epoch,
            resources: run.map(|run| run.allowed).unwrap_or_default(),
            capacity: self.capacity,
            outcome: None,
        }
    }
}

/// The worker's clock as calls and answers name it.
fn clock_ms(now: Time) -> u64 {
    now.0 / 1_000
}

fn draw_boot() -> u64 {
    rand::random::<u64>().max(1)
}
