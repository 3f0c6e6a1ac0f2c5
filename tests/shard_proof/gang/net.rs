//! The simulated network: calls to workers and between owners, and transactions of the table.

use std::time::Duration;

use chestnutlug::message::{PartCall, Reply};
use chestnutlug::model::{JobId, Time};
use chestnutlug::port::table::{TableError, Txn};
use chestnutlug::port::worker::{SyncRequest, WorkerError};
use chestnutlug::shard::commit_queue::CommitOutcome;

use super::simulation::{CellSimulation, Event, Input, LinkFaults, Progress};
use crate::support::mode::TableMode;

const TABLE_LATENCY_MS: u64 = 3;
const REFUSAL_LATENCY_MS: u64 = 20;
const NETWORK_LATENCY_MS: u64 = 2;
const POLL_INTERVAL_MS: u64 = 20;
const CALL_TIMEOUT_MS: u64 = 200;
const PART_CALL_TIMEOUT_MS: u64 = 3_000;
const DUPLICATE_DELAY_MS: u64 = 1_500;

impl CellSimulation {
    pub fn commit(&mut self, owner: usize, txn: Txn) {
        if records_gang(&txn) {
            self.reached.insert(Progress::AllGranted);
        }
        let (effect_ms, response_ms) = match self.table {
            TableMode::Up => (TABLE_LATENCY_MS, TABLE_LATENCY_MS),
            TableMode::Down => {
                let outcome = Input::Committed(CommitOutcome::Unavailable);
                return self.schedule(REFUSAL_LATENCY_MS, Event::Input(owner, outcome));
            }
            TableMode::LosesResponses(ms) => (TABLE_LATENCY_MS, ms),
            TableMode::DelaysCommits(ms) => (ms, TABLE_LATENCY_MS),
        };
        self.schedule(effect_ms, Event::Commit(owner, txn, response_ms));
    }

    pub fn commit_effect(&mut self, owner: usize, txn: &Txn, response_ms: u64) {
        let outcome = match self.rows.apply(txn) {
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
        if outcome == CommitOutcome::Applied {
            self.commits += 1;
            if records_gang(txn) {
                self.reached.insert(Progress::Applied);
            }
        }
        self.schedule(response_ms, Event::Input(owner, Input::Committed(outcome)));
    }

    pub fn send(&mut self, owner: usize, call: u64, worker: &str, sync: SyncRequest) {
        let lost = Err(WorkerError::Unreachable("no answer".to_owned()));
        let timeout_ms = CALL_TIMEOUT_MS + sync.wait_ms;
        self.schedule(timeout_ms, Event::Input(owner, Input::Answered(call, lost)));
        let index = worker.strip_prefix("w-").and_then(|i| i.parse().ok());
        let worker = index.expect("worker names are w-INDEX");
        self.schedule(NETWORK_LATENCY_MS, Event::Arrive(owner, call, worker, sync));
    }

    pub fn deliver_worker_call(
        &mut self,
        owner: usize,
        call: u64,
        worker: usize,
        sync: &SyncRequest,
    ) {
        self.check_start_commands(sync);
        let result = self.workers[worker].sync(sync, self.now);
        match &result {
            Ok(answer) if answer.ended.is_empty() && sync.wait_ms > 0 => {
                let until = self.now + Duration::from_millis(sync.wait_ms);
                let poll = Event::Poll(owner, call, worker, sync.epoch, until);
                self.schedule(POLL_INTERVAL_MS, poll);
            }
            _ => self.schedule(
                NETWORK_LATENCY_MS,
                Event::Input(owner, Input::Answered(call, result)),
            ),
        }
    }

    pub fn poll(&mut self, owner: usize, call: u64, worker: usize, epoch: u64, until: Time) {
        let target = &mut self.workers[worker];
        target.tick(self.now);
        if !target.has_unacknowledged() && self.now < until {
            let poll = Event::Poll(owner, call, worker, epoch, until);
            return self.schedule(POLL_INTERVAL_MS, poll);
        }
        if target.has_unacknowledged() {
            self.reached.insert(Progress::PartEnded);
        }
        let result = target.response(epoch, self.now);
        self.schedule(
            NETWORK_LATENCY_MS,
            Event::Input(owner, Input::Answered(call, result)),
        );
    }

    /// Calls the owner of a part's shard. Without a reply the call fails after
    /// `PART_CALL_TIMEOUT_MS`.
    pub fn call_part_owner(&mut self, from: usize, job: u64, part: JobId, call: PartCall) {
        if matches!(call, PartCall::Follow { .. }) {
            self.reached.insert(Progress::PartsPolled);
        }
        let link = self.link(&part);
        self.serial += 1;
        let serial = self.serial;
        self.owners[from]
            .part_calls_in_flight
            .insert(part.clone(), serial);
        let lost = Input::PartLost(job, part.clone(), serial);
        self.schedule(PART_CALL_TIMEOUT_MS, Event::Input(from, lost));
        if link.drop_calls {
            return;
        }
        let event = |call| Event::CallPartOwner(from, job, part.clone(), call);
        if link.duplicate {
            self.schedule(DUPLICATE_DELAY_MS, event(call.clone()));
        }
        self.schedule(NETWORK_LATENCY_MS + link.delay_ms, event(call));
    }

    pub fn deliver_part_call(&mut self, from: usize, job: u64, part: JobId, call: PartCall) {
        if let Some(owner) = self.current_owner(&part.shard) {
            self.input(owner, Input::Part(from, job, part, call));
        }
    }

    pub fn reply_to_owner(&mut self, of: usize, from: usize, job: u64, part: JobId, reply: Reply) {
        let is_lost = self.link(&part).drop_replies && self.owners[of].name == part.shard;
        if !is_lost && reply != Reply::NotOwner {
            let input = Input::PartReplied(job, part, Some(reply));
            self.schedule(NETWORK_LATENCY_MS, Event::Input(from, input));
        }
    }

    fn link(&self, part: &JobId) -> LinkFaults {
        self.links.get(&part.shard).copied().unwrap_or_default()
    }
}

/// Whether a transaction records a cross-shard gang.
fn records_gang(txn: &Txn) -> bool {
    txn.conditions.iter().any(|c| c.key.starts_with("epoch/"))
}
