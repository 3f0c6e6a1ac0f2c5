//! The session of a shard's owner with one worker: queued commands, placed tasks, calls in flight
//! and the lease of the worker's tasks.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashSet;

use crate::decide::WorkerKey;
use crate::model::{TaskId, Time, WorkerInfo};
use crate::port::worker::{SyncRequest, SyncResponse, WorkerCommand};

/// The maximum number of commands in one call.
const MAX_COMMANDS: usize = 64;

/// The delay of the next long poll after a worker reported ended attempts. The worker reports them
/// again, at once, until they are recorded and acknowledged.
const LONG_POLL_DELAY: Duration = Duration::from_millis(20);

/// The same delay while the table fails, since nothing can be recorded.
const LONG_POLL_DELAY_TABLE_FAILING: Duration = Duration::from_millis(500);

/// A call to the worker that has not ended.
#[derive(Clone, Copy, Debug)]
struct InFlightCall {
    serial: u64,
    renews_lease: bool,
}

/// The channel of a call to a worker. At most one call is in flight on each channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerChannel {
    /// Calls with commands or acknowledgements, to which the worker responds at once.
    Commands,
    /// Calls without commands, to which the worker responds once an attempt ends or the wait is
    /// over.
    LongPoll,
}

/// Whether a worker responds to this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The worker has not responded to this owner yet.
    Unknown,
    /// The worker responds.
    Reachable,
    /// The worker did not respond to the last call.
    Unreachable,
}

/// The session with one worker of the shard.
#[derive(Debug)]
pub struct WorkerSession {
    /// The worker.
    pub info: WorkerInfo,
    /// The worker's key in the policy.
    pub policy_key: WorkerKey,
    /// Whether the worker responds.
    pub reachability: Reachability,
    /// Whether the worker's leases have expired, so that its attempts count as lost, and it has not
    /// responded since.
    pub leases_expired: bool,
    /// Whether the configuration no longer names the worker.
    pub unlisted: bool,
    /// The boot of the worker's process; 0 until it has responded.
    pub boot: u64,
    /// The tasks with an attempt that this owner counts as placed on the worker.
    pub tasks: FxHashSet<TaskId>,
    /// When the last call that may have renewed the worker's lease ended.
    pub last_renewal: Option<Time>,
    /// The commands that the worker has not accepted yet, with their numbers.
    commands: VecDeque<(u64, WorkerCommand)>,
    next_command: u64,
    last_sent_command: u64,
    pending_acks: Vec<(TaskId, u32)>,
    acks_in_flight: usize,
    /// The sequence number of the newest response of this boot.
    pub last_sequence: u64,
    /// The last reading of the worker's clock, in milliseconds, and when it was received.
    clock_reading: (u64, Time),
    /// The calls in flight, by channel.
    in_flight: [Option<InFlightCall>; 2],
    /// The serial number of the last call.
    last_serial: u64,
    /// The serial number of the last call when the current boot became known.
    serial_at_boot: u64,
    /// When the next call may be sent, by channel.
    next_call_at: [Time; 2],
}

impl WorkerSession {
    /// Creates the session with a worker that has not responded yet.
    pub fn new(info: WorkerInfo, policy_key: WorkerKey) -> Self {
        Self {
            info,
            policy_key,
            reachability: Reachability::Unknown,
            leases_expired: false,
            unlisted: false,
            boot: 0,
            tasks: FxHashSet::default(),
            last_renewal: None,
            commands: VecDeque::new(),
            next_command: 1,
            last_sent_command: 0,
            pending_acks: Vec::new(),
            acks_in_flight: 0,
            last_sequence: 0,
            clock_reading: (0, Time::default()),
            in_flight: [None; 2],
            last_serial: 0,
            serial_at_boot: 0,
            next_call_at: [Time::default(); 2],
        }
    }

    /// Queues a command and returns its number.
    pub fn queue_command(&mut self, command: WorkerCommand) -> u64 {
        let number = self.next_command;
        self.next_command += 1;
        self.commands.push_back((number, command));
        number
    }

    /// Queues the acknowledgement of an ended attempt, after which the worker no longer reports it.
    pub fn queue_ack(&mut self, task: TaskId, attempt: u32) {
        self.pending_acks.push((task, attempt));
    }

    /// Whether commands or acknowledgements wait to be sent.
    pub fn has_pending_commands(&self) -> bool {
        !self.commands.is_empty() || self.pending_acks.len() > self.acks_in_flight
    }

    /// Returns the next call on `channel`; `None` while one is in flight, before the delay or
    /// backoff has passed, or where there is nothing to send.
    pub fn next_call(
        &mut self,
        channel: WorkerChannel,
        epoch: u64,
        timings: &WorkerCallTimings,
        now: Time,
    ) -> Option<SyncRequest> {
        let at = channel as usize;
        if self.in_flight[at].is_some() || now < self.next_call_at[at] {
            return None;
        }
        let lease_ms = match self.reachability {
            Reachability::Reachable => millis(timings.task_lease),
            Reachability::Unreachable | Reachability::Unknown => 0,
        };
        let call = match channel {
            WorkerChannel::Commands => self.next_command_call(epoch)?,
            WorkerChannel::LongPoll => SyncRequest {
                epoch,
                wait_ms: self.long_poll_ms(timings),
                ..SyncRequest::default()
            },
        };
        let call = match lease_ms {
            0 => call,
            lease_ms => SyncRequest {
                lease_ms,
                boot: self.boot,
                deadline_ms: self.deadline_ms(timings, now),
                ..call
            },
        };
        self.last_serial += 1;
        self.in_flight[at] = Some(InFlightCall {
            serial: self.last_serial,
            renews_lease: lease_ms > 0,
        });
        Some(call)
    }

    /// The reading of the worker's clock after which the worker refuses a call that is sent now. By
    /// now the clock has advanced by at least the time since its last reading was received.
    fn deadline_ms(&self, timings: &WorkerCallTimings, now: Time) -> u64 {
        let (clock_ms, received_at) = self.clock_reading;
        clock_ms + millis(now.since(received_at)) + millis(timings.lease_margin / 2)
    }

    /// Stores the reading of the worker's clock from a response that was received at `now`.
    pub fn set_worker_clock(&mut self, clock_ms: u64, now: Time) {
        self.clock_reading = (clock_ms, now);
    }

    fn long_poll_ms(&self, timings: &WorkerCallTimings) -> u64 {
        match self.reachability {
            Reachability::Reachable => millis(timings.long_poll),
            _ => 0,
        }
    }

    fn next_command_call(&mut self, epoch: u64) -> Option<SyncRequest> {
        if self.reachability != Reachability::Reachable || !self.has_pending_commands() {
            return None;
        }
        let first = self.commands.front().map_or(self.next_command, |c| c.0);
        let commands: Vec<WorkerCommand> = self
            .commands
            .iter()
            .take(MAX_COMMANDS)
            .map(|(_, command)| command.clone())
            .collect();
        self.last_sent_command = self
            .last_sent_command
            .max(first + commands.len() as u64 - 1);
        self.acks_in_flight = self.pending_acks.len();
        Some(SyncRequest {
            epoch,
            first_command: first,
            commands,
            acknowledged: self.pending_acks.clone(),
            ..SyncRequest::default()
        })
    }

    /// Whether a call that may renew the worker's lease is in flight.
    pub fn has_renewal_in_flight(&self) -> bool {
        self.in_flight
            .iter()
            .flatten()
            .any(|call| call.renews_lease)
    }

    /// Whether a newer response was handled before `answer`, the response to call `serial`. Within
    /// a boot the sequence number tells; a response of another boot is stale where its call was
    /// sent before the current boot became known.
    pub fn is_stale(&self, answer: &SyncResponse, serial: u64) -> bool {
        match answer.boot == self.boot {
            true => answer.sequence <= self.last_sequence,
            false => serial <= self.serial_at_boot,
        }
    }

    /// Delays the next long poll while reported ends are being recorded.
    pub fn delay_long_poll(&mut self, table_failing: bool, now: Time) {
        let delay = match table_failing {
            true => LONG_POLL_DELAY_TABLE_FAILING,
            false => LONG_POLL_DELAY,
        };
        self.next_call_at[WorkerChannel::LongPoll as usize] = now + delay;
    }

    /// Notes that the call on `channel` has ended and returns its serial number. After a failed
    /// call the next one is sent once `backoff` has passed.
    pub fn call_ended(
        &mut self,
        channel: WorkerChannel,
        answered: bool,
        backoff: Duration,
        now: Time,
    ) -> u64 {
        let at = channel as usize;
        let call = self.in_flight[at].take();
        let renews_lease = call.is_some_and(|call| call.renews_lease);
        if renews_lease {
            self.last_renewal = Some(now);
        }
        if answered && channel == WorkerChannel::Commands {
            self.pending_acks.drain(..self.acks_in_flight);
        }
        if channel == WorkerChannel::Commands {
            self.acks_in_flight = 0;
        }
        if !answered {
            self.next_call_at[at] = now + backoff;
        }
        call.map_or(0, |call| call.serial)
    }

    /// Removes the commands up to `number`, which the worker has accepted.
    pub fn remove_accepted_commands(&mut self, number: u64) {
        while self.commands.front().is_some_and(|c| c.0 <= number) {
            self.commands.pop_front();
        }
    }

    /// Whether command `number` has not been part of any call.
    pub fn is_unsent(&self, number: u64) -> bool {
        number > self.last_sent_command
    }

    /// Replaces the queued start command `number` of a cancelled or lost attempt by a stop command,
    /// so that the start is not sent again. The numbers of the following commands must not change.
    pub fn replace_start_with_stop(&mut self, number: u64, task: &TaskId) {
        for (n, command) in &mut self.commands {
            if *n == number {
                *command = WorkerCommand::Stop { task: task.clone() };
            }
        }
    }

    /// Resets the session for a new process of the worker, which has received none of the commands
    /// and acknowledgements sent to the previous one.
    pub fn reset_for_boot(&mut self, boot: u64) {
        self.boot = boot;
        self.serial_at_boot = self.last_serial;
        self.last_sequence = 0;
        self.commands.clear();
        self.next_command = 1;
        self.last_sent_command = 0;
        self.pending_acks.clear();
        self.acks_in_flight = 0;
    }
}

/// The timings of calls to workers and of the leases that they renew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerCallTimings {
    /// How long a worker's tasks run on without a renewal.
    pub task_lease: Duration,
    /// How long a worker may delay its response to a long poll.
    pub long_poll: Duration,
    /// The delay between a failed call and the next one on the same channel.
    pub backoff: Duration,
    /// How much longer than the lease an attempt is counted as running. A call takes effect within
    /// half of this time after it was sent, or never.
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
