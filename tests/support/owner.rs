//! A simulated process that owns the shard.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutlug::message::Reply;
use chestnutlug::model::Time;
use chestnutlug::port::worker::{SyncResponse, WorkerError};
use chestnutlug::shard::Shard;
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::job::ReplyToken;
use chestnutlug::shard::worker_session::WorkerChannel;

/// An event for an owner.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Committed(CommitOutcome),
    Answered {
        call: u64,
        result: Result<SyncResponse, WorkerError>,
    },
    PreviousOwnerGone,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub enum CallerRequest {
    Submit(u64),
    Cancel(u64),
}

pub struct OwnerProcess {
    pub shard: Shard,
    pub incarnation: u64,
    pub stopped: bool,
    /// While the process is paused: when the pause ends.
    pub paused_until: Option<Time>,
    /// Pauses the process for this many milliseconds when it creates its next call with commands,
    /// which is sent after the pause.
    pub pause_at_command_call: Option<u64>,
    pub queued_inputs: Vec<Input>,
    /// The calls in flight, with the index of the worker and the channel.
    pub calls: BTreeMap<u64, (usize, WorkerChannel)>,
    pub callers: BTreeMap<usize, CallerRequest>,
    next_token: usize,
}

impl OwnerProcess {
    pub fn new(shard: Shard, incarnation: u64) -> Self {
        Self {
            shard,
            incarnation,
            stopped: false,
            paused_until: None,
            pause_at_command_call: None,
            queued_inputs: Vec::new(),
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
            next_token: 0,
        }
    }

    pub fn is_running(&self) -> bool {
        !self.stopped && self.paused_until.is_none()
    }

    pub fn token(&mut self, request: CallerRequest) -> ReplyToken {
        self.next_token += 1;
        self.callers.insert(self.next_token, request);
        ReplyToken(self.next_token)
    }

    pub fn handle_input(&mut self, input: Input, now: Time) {
        match input {
            Input::Tick => self.shard.tick(now),
            Input::Committed(commit) => self.shard.handle_commit_outcome(commit, now),
            Input::Answered { call, result } => {
                if let Some((worker_index, channel)) = self.calls.remove(&call) {
                    self.shard
                        .handle_worker_result(worker_index, channel, result, now);
                }
            }
            Input::PreviousOwnerGone => self.shard.previous_owner_gone(now),
        }
    }
}

/// The time after which no attempt may start, given this reply to a cancellation, in microseconds:
/// now if the job has ended, otherwise the time when calls in flight can no longer take effect.
pub fn cancelled_from(reply: &Reply, now: Time) -> Option<u64> {
    let Reply::Job(Some(view)) = reply else {
        return None;
    };
    let max_call_delay = match view.outcome {
        Some(_) => Duration::ZERO,
        None => super::times().calls.lease_margin / 2,
    };
    Some((now + max_call_delay).0)
}
