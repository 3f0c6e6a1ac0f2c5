//! What an owner knows of one worker: its commands, its tasks and its lease.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::decide::WorkerKey;
use crate::model::{TaskId, Time, WorkerInfo};
use crate::port::worker::{Command, SyncAnswer, SyncCall};

/// The most commands in one call.
const MAX_COMMANDS: usize = 64;

/// How long reported ends may take to be recorded before the worker is asked again.
const RECORDING_PAUSE: Duration = Duration::from_millis(20);

/// The same while the table fails.
const FAILING_PAUSE: Duration = Duration::from_millis(500);

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
struct UnderWay {
    serial: u64,
    renewing: bool,
}

/// How the two calls that may be under way at a worker differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerChannel {
    /// Carries commands and is answered at once.
    Commands,
    /// Carries none and is held back by the worker until something ends.
    LongPoll,
}

/// Whether the worker answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It has not answered this owner yet.
    Unknown,
    /// It answers.
    Reachable,
    /// It did not answer the last call.
    Unreachable,
}

/// One worker of a shard.
#[derive(Debug)]
pub struct WorkerSession {
    /// The worker.
    pub info: WorkerInfo,
    /// The worker in the policy.
    pub key: WorkerKey,
    /// Whether it answers.
    pub reachability: Reachability,
    /// Whether its tasks were given up after their leases lapsed.
    pub lapsed: bool,
    /// Whether the configuration no longer names the worker.
    pub removed: bool,
    /// The worker's boot; 0 until it has answered.
    pub boot: u64,
    /// The attempts that this owner counts as placed there.
    pub tasks: FxHashSet<TaskId>,
    /// When the last call that may have renewed the tasks' leases ended.
    pub renewed: Option<Time>,
    commands: VecDeque<(u64, Command)>,
    next_command: u64,
    sent_command: u64,
    acknowledge: Vec<(TaskId, u32)>,
    acknowledging: usize,
    /// The sequence of the newest answer of this boot.
    pub sequence: u64,
    /// The worker's clock in milliseconds, with when the answer that named it was taken.
    clock: (u64, Time),
    under_way: [Option<UnderWay>; 2],
    calls: u64,
    boot_learned: u64,
    retry_at: [Time; 2],
}

impl WorkerSession {
    /// A worker that has not answered yet.
    pub fn new(info: WorkerInfo, key: WorkerKey) -> Self {
        Self {
            info,
            key,
            reachability: Reachability::Unknown,
            lapsed: false,
            removed: false,
            boot: 0,
            tasks: FxHashSet::default(),
            renewed: None,
            commands: VecDeque::new(),
            next_command: 1,
            sent_command: 0,
            acknowledge: Vec::new(),
            acknowledging: 0,
            sequence: 0,
            clock: (0, Time::default()),
            under_way: [None; 2],
            calls: 0,
            boot_learned: 0,
            retry_at: [Time::default(); 2],
        }
    }

    /// Queues a command and returns its number.
    pub fn command(&mut self, command: Command) -> u64 {
        let number = self.next_command;
        self.next_command += 1;
        self.commands.push_back((number, command));
        number
    }

    /// Lets the worker forget an ended attempt.
    pub fn acknowledge(&mut self, task: TaskId, attempt: u32) {
        self.acknowledge.push((task, attempt));
    }

    /// Whether commands or acknowledgements wait.
    pub fn has_commands(&self) -> bool {
        !self.commands.is_empty() || self.acknowledge.len() > self.acknowledging
    }

    /// The next call on `channel`, or `None` while one is under way, nothing is to be said or the
    /// backoff has not passed.
    pub fn next_call(
        &mut self,
        channel: WorkerChannel,
        epoch: u64,
        times: &WorkerCallTimings,
        now: Time,
    ) -> Option<SyncCall> {
        let at = channel as usize;
        if self.under_way[at].is_some() || now < self.retry_at[at] {
            return None;
        }
        let lease_ms = match self.reachability {
            Reachability::Reachable => millis(times.task_lease),
            Reachability::Unreachable | Reachability::Unknown => 0,
        };
        let call = match channel {
            WorkerChannel::Commands => self.commands_call(epoch)?,
            WorkerChannel::LongPoll => SyncCall {
                epoch,
                wait_ms: self.watch_ms(times),
                ..SyncCall::default()
            },
        };
        let call = match lease_ms {
            0 => call,
            lease_ms => SyncCall {
                lease_ms,
                boot: self.boot,
                deadline_ms: self.deadline_ms(times, now),
                ..call
            },
        };
        self.calls += 1;
        self.under_way[at] = Some(UnderWay {
            serial: self.calls,
            renewing: lease_ms > 0,
        });
        Some(call)
    }

    /// When a call that is sent now is no longer to take effect, on the worker's clock: that clock
    /// is at least as far on as it was when it was last read, and the time that passed since.
    fn deadline_ms(&self, times: &WorkerCallTimings, now: Time) -> u64 {
        let (clock_ms, read) = self.clock;
        clock_ms + millis(now.since(read)) + millis(times.lease_margin / 2)
    }

    /// Notes the worker's clock as an answer that was just taken names it.
    pub fn clock_read(&mut self, clock_ms: u64, now: Time) {
        self.clock = (clock_ms, now);
    }

    fn watch_ms(&self, times: &WorkerCallTimings) -> u64 {
        match self.reachability {
            Reachability::Reachable => millis(times.long_poll),
            _ => 0,
        }
    }

    fn commands_call(&mut self, epoch: u64) -> Option<SyncCall> {
        if self.reachability != Reachability::Reachable || !self.has_commands() {
            return None;
        }
        let first = self.commands.front().map_or(self.next_command, |c| c.0);
        let commands: Vec<Command> = self
            .commands
            .iter()
            .take(MAX_COMMANDS)
            .map(|(_, command)| command.clone())
            .collect();
        self.sent_command = self.sent_command.max(first + commands.len() as u64 - 1);
        self.acknowledging = self.acknowledge.len();
        Some(SyncCall {
            epoch,
            first_command: first,
            commands,
            acknowledged: self.acknowledge.clone(),
            ..SyncCall::default()
        })
    }

    /// Whether a call that may renew leases is under way.
    pub fn may_be_renewing(&self) -> bool {
        self.under_way.iter().flatten().any(|call| call.renewing)
    }

    /// Whether a newer answer than this one to call `serial` was taken before.
    pub fn is_overtaken(&self, answer: &SyncAnswer, serial: u64) -> bool {
        match answer.boot == self.boot {
            true => answer.sequence <= self.sequence,
            false => serial <= self.boot_learned,
        }
    }

    /// Lets a short time pass before the next watching call, while reported ends are recorded.
    pub fn pause_watch(&mut self, table_failing: bool, now: Time) {
        let pause = match table_failing {
            true => FAILING_PAUSE,
            false => RECORDING_PAUSE,
        };
        self.retry_at[WorkerChannel::LongPoll as usize] = now + pause;
    }

    /// Notes that the call on `channel` has ended; a failed one is tried again after `backoff`.
    /// Returns the call's serial number.
    pub fn call_ended(
        &mut self,
        channel: WorkerChannel,
        answered: bool,
        backoff: Duration,
        now: Time,
    ) -> u64 {
        let at = channel as usize;
        let call = self.under_way[at].take();
        let renewing = call.is_some_and(|call| call.renewing);
        if renewing {
            self.renewed = Some(now);
        }
        if answered && channel == WorkerChannel::Commands {
            self.acknowledge.drain(..self.acknowledging);
        }
        if channel == WorkerChannel::Commands {
            self.acknowledging = 0;
        }
        if !answered {
            self.retry_at[at] = now + backoff;
        }
        call.map_or(0, |call| call.serial)
    }

    /// Drops the commands up to `number`, which the worker took.
    pub fn commands_taken(&mut self, number: u64) {
        while self.commands.front().is_some_and(|c| c.0 <= number) {
            self.commands.pop_front();
        }
    }

    /// Whether command `number` was never part of a call.
    pub fn is_unsent(&self, number: u64) -> bool {
        number > self.sent_command
    }

    /// Puts a stop in the place of the start of an attempt that was given up, so that the start is
    /// not sent again and the numbers that follow stay as they are.
    pub fn withdraw(&mut self, number: u64, task: &TaskId) {
        for (n, command) in &mut self.commands {
            if *n == number {
                *command = Command::Stop { task: task.clone() };
            }
        }
    }

    /// Starts over with a worker that was started again: nothing said to the earlier process
    /// holds.
    pub fn restarted(&mut self, boot: u64) {
        self.boot = boot;
        self.boot_learned = self.calls;
        self.sequence = 0;
        self.commands.clear();
        self.next_command = 1;
        self.sent_command = 0;
        self.acknowledge.clear();
        self.acknowledging = 0;
    }
}

/// How long calls to workers and their leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerCallTimings {
    /// How long tasks go on without renewal.
    pub task_lease: Duration,
    /// How long a worker holds a watching call back.
    pub long_poll: Duration,
    /// How long a failed call is not repeated.
    pub backoff: Duration,
    /// How much longer than its lease a task is counted as running. A call takes effect within
    /// half of it after it was sent, or not at all.
    pub lease_margin: Duration,
}

impl Default for WorkerCallTimings {
    fn default() -> Self {
        Self {
            task_lease: Duration::from_secs(10),
            long_poll: Duration::from_secs(3),
            backoff: Duration::from_millis(200),
            lease_margin: Duration::from_secs(2),
        }
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
