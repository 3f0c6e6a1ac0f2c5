//! Calls on their way to workers and between owners, and transactions on their way to the table.

use std::time::Duration;

use chestnutlug::message::{PartCall, Reply};
use chestnutlug::model::{JobId, Time};
use chestnutlug::port::table::{TableError, Txn};
use chestnutlug::port::worker::{SyncCall, WorkerError};
use chestnutlug::shard::commit_queue::CommitOutcome;

use super::cell::{Cell, Event, Input, Link, Step};
use crate::support::mode::TableMode;

const TABLE_MS: u64 = 3;
const REFUSED_AFTER_MS: u64 = 20;
const HOP_MS: u64 = 2;
const POLL_MS: u64 = 20;
const CALL_TIMEOUT_MS: u64 = 200;
const ASK_TIMEOUT_MS: u64 = 3_000;
const DOUBLE_AFTER_MS: u64 = 1_500;

impl Cell {
    pub fn commit(&mut self, owner: usize, txn: Txn) {
        if is_gang(&txn) {
            self.reached.insert(Step::AllGranted);
        }
        let (effect, answer) = match self.table {
            TableMode::Up => (TABLE_MS, TABLE_MS),
            TableMode::Down => {
                let end = Input::Committed(CommitOutcome::Unavailable);
                return self.at(REFUSED_AFTER_MS, Event::Input(owner, end));
            }
            TableMode::LosesAnswers(ms) => (TABLE_MS, ms),
            TableMode::DelaysEffects(ms) => (ms, TABLE_MS),
        };
        self.at(effect, Event::Commit(owner, txn, answer));
    }

    pub fn commit_effect(&mut self, owner: usize, txn: &Txn, answer: u64) {
        let end = match self.rows.apply(txn) {
            Ok(()) => CommitOutcome::Applied,
            Err(TableError::Conflict { key }) if key == txn.conditions[0].key => {
                CommitOutcome::Fenced
            }
            Err(TableError::Conflict { key }) => {
                let expected = txn.conditions.iter().find(|c| c.key == key);
                match (self.rows.get(&key), expected.is_some_and(|c| c.version > 0)) {
                    (_, true) => CommitOutcome::Conflict { key },
                    (Some(row), false) => CommitOutcome::Exists {
                        key,
                        value: row.value,
                    },
                    (None, false) => CommitOutcome::Unavailable,
                }
            }
            Err(_) => CommitOutcome::Unavailable,
        };
        if end == CommitOutcome::Applied {
            self.commits += 1;
            if is_gang(txn) {
                self.reached.insert(Step::Applied);
            }
        }
        self.at(answer, Event::Input(owner, Input::Committed(end)));
    }

    pub fn send(&mut self, owner: usize, call: u64, worker: &str, sync: SyncCall) {
        let lost = Err(WorkerError::Unreachable("no answer".to_owned()));
        let timeout = CALL_TIMEOUT_MS + sync.wait_ms;
        self.at(timeout, Event::Input(owner, Input::Answered(call, lost)));
        let at = worker.strip_prefix("w-").and_then(|at| at.parse().ok());
        let worker = at.expect("workers have such names");
        self.at(HOP_MS, Event::Arrive(owner, call, worker, sync));
    }

    pub fn arrive(&mut self, owner: usize, call: u64, worker: usize, sync: &SyncCall) {
        self.check_starts(sync);
        let result = self.workers[worker].sync(sync, self.now);
        match &result {
            Ok(answer) if answer.ended.is_empty() && sync.wait_ms > 0 => {
                let until = self.now + Duration::from_millis(sync.wait_ms);
                let poll = Event::Poll(owner, call, worker, sync.epoch, until);
                self.at(POLL_MS, poll);
            }
            _ => self.at(HOP_MS, Event::Input(owner, Input::Answered(call, result))),
        }
    }

    pub fn poll(&mut self, owner: usize, call: u64, worker: usize, epoch: u64, until: Time) {
        let node = &mut self.workers[worker];
        node.tick(self.now);
        if !node.has_ended() && self.now < until {
            let poll = Event::Poll(owner, call, worker, epoch, until);
            return self.at(POLL_MS, poll);
        }
        if node.has_ended() {
            self.reached.insert(Step::PartEnded);
        }
        let result = node.answer(epoch, self.now);
        self.at(HOP_MS, Event::Input(owner, Input::Answered(call, result)));
    }

    /// An owner asks another; without a reply it learns so after a while.
    pub fn ask(&mut self, from: usize, job: u64, part: JobId, call: PartCall) {
        if matches!(call, PartCall::Follow { .. }) {
            self.reached.insert(Step::Told);
        }
        let link = self.link(&part);
        self.serial += 1;
        let serial = self.serial;
        self.owners[from].asked.insert(part.clone(), serial);
        let lost = Input::PartLost(job, part.clone(), serial);
        self.at(ASK_TIMEOUT_MS, Event::Input(from, lost));
        if link.lose_calls {
            return;
        }
        let ask = |call| Event::Ask(from, job, part.clone(), call);
        if link.double {
            self.at(DOUBLE_AFTER_MS, ask(call.clone()));
        }
        self.at(HOP_MS + link.delay_ms, ask(call));
    }

    pub fn deliver(&mut self, from: usize, job: u64, part: JobId, call: PartCall) {
        if let Some(owner) = self.current(&part.shard) {
            self.input(owner, Input::Part(from, job, part, call));
        }
    }

    pub fn answer_owner(&mut self, of: usize, from: usize, job: u64, part: JobId, reply: Reply) {
        let is_lost = self.link(&part).lose_replies && self.owners[of].name == part.shard;
        if !is_lost && reply != Reply::NotOwner {
            let replied = Input::PartReplied(job, part, Some(reply));
            self.at(HOP_MS, Event::Input(from, replied));
        }
    }

    fn link(&self, part: &JobId) -> Link {
        self.links.get(&part.shard).copied().unwrap_or_default()
    }
}

/// Whether a transaction records a job over several shards.
fn is_gang(txn: &Txn) -> bool {
    txn.conditions.iter().any(|c| c.key.starts_with("epoch/"))
}
