//! A process that owns the shard, as the world sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutlug::message::Reply;
use chestnutlug::model::Time;
use chestnutlug::port::worker::{SyncAnswer, WorkerError};
use chestnutlug::shard::Shard;
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::job::ReplyToken;
use chestnutlug::shard::worker_session::WorkerChannel;

/// What happens to an owner.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Committed(CommitOutcome),
    Answered {
        call: u64,
        result: Result<SyncAnswer, WorkerError>,
    },
    PriorGone,
}

/// What a caller asked for.
#[derive(Clone, Copy, Debug)]
pub enum Asked {
    Submit(u64),
    Cancel(u64),
}

pub struct Owner {
    pub shard: Shard,
    pub incarnation: u64,
    pub dead: bool,
    /// Until when it is frozen.
    pub frozen: Option<Time>,
    /// Freezes for this many milliseconds once it makes its next call with commands, which goes out
    /// when it is thawed.
    pub freeze_at_call: Option<u64>,
    pub inbox: Vec<Input>,
    /// Calls that have not ended: their seats and lanes.
    pub calls: BTreeMap<u64, (usize, WorkerChannel)>,
    pub callers: BTreeMap<usize, Asked>,
    next_token: usize,
}

impl Owner {
    pub fn new(shard: Shard, incarnation: u64) -> Self {
        Self {
            shard,
            incarnation,
            dead: false,
            frozen: None,
            freeze_at_call: None,
            inbox: Vec::new(),
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
            next_token: 0,
        }
    }

    pub fn runs(&self) -> bool {
        !self.dead && self.frozen.is_none()
    }

    pub fn token(&mut self, asked: Asked) -> ReplyToken {
        self.next_token += 1;
        self.callers.insert(self.next_token, asked);
        ReplyToken(self.next_token)
    }

    pub fn take(&mut self, input: Input, now: Time) {
        match input {
            Input::Tick => self.shard.tick(now),
            Input::Committed(commit) => self.shard.handle_commit_outcome(commit, now),
            Input::Answered { call, result } => {
                if let Some((worker_index, channel)) = self.calls.remove(&call) {
                    self.shard
                        .handle_worker_result(worker_index, channel, result, now);
                }
            }
            Input::PriorGone => self.shard.previous_owner_gone(now),
        }
    }
}

/// From when on nothing may start after this reply to a cancellation, in microseconds: at once
/// where the job has ended, and once calls that were under way can take no effect any more
/// otherwise.
pub fn cancelled_from(reply: &Reply, now: Time) -> Option<u64> {
    let Reply::Job(Some(view)) = reply else {
        return None;
    };
    let under_way = match view.outcome {
        Some(_) => Duration::ZERO,
        None => super::times().calls.lease_margin / 2,
    };
    Some((now + under_way).0)
}
