//! The simulated network: calls to workers and transactions of the table.

use std::time::Duration;

use chestnutlug::model::Time;
use chestnutlug::port::table::{TableError, Txn};
use chestnutlug::port::worker::{SyncRequest, SyncResponse, WorkerCommand, WorkerError};
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::rows::{JobRow, TaskRow, decode, job_key, shard_key, task_key};

use super::super::mode::TableMode;
use super::super::owner::Input;
use super::super::shard_name;
use super::{
    CALL_TIMEOUT_MS, Event, NETWORK_LATENCY_MS, POLL_INTERVAL_MS, REFUSAL_LATENCY_MS,
    ShardSimulation, TABLE_LATENCY_MS,
};

impl ShardSimulation {
    pub(super) fn commit(&mut self, owner: usize, txn: Txn) {
        let is_isolated = self.isolated_owners.contains(&owner);
        let mode = if is_isolated {
            TableMode::Down
        } else {
            self.table
        };
        let (effect_ms, response_ms) = match mode {
            TableMode::Up => (TABLE_LATENCY_MS, TABLE_LATENCY_MS),
            TableMode::Down => {
                let outcome = Input::Committed(CommitOutcome::Unavailable);
                return self.schedule(REFUSAL_LATENCY_MS, Event::Input(owner, outcome));
            }
            TableMode::LosesResponses(ms) => (TABLE_LATENCY_MS, ms),
            TableMode::DelaysCommits(ms) => (ms, TABLE_LATENCY_MS),
        };
        self.schedule(
            effect_ms,
            Event::Commit {
                owner,
                txn,
                response_ms,
            },
        );
    }

    pub(super) fn commit_effect(&mut self, owner: usize, txn: &Txn, response_ms: u64) {
        let outcome = match self.rows.apply(txn) {
            Ok(()) => CommitOutcome::Applied,
            Err(TableError::Conflict { key }) if key == shard_key(&shard_name()) => {
                CommitOutcome::Fenced
            }
            Err(TableError::Conflict { key }) => match self.rows.get(&key) {
                Some(row) => CommitOutcome::Exists {
                    key,
                    value: row.value,
                },
                None => CommitOutcome::Unavailable,
            },
            Err(_) => CommitOutcome::Unavailable,
        };
        self.schedule(response_ms, Event::Input(owner, Input::Committed(outcome)));
    }

    pub(super) fn send(
        &mut self,
        owner: usize,
        call: u64,
        worker: Option<usize>,
        sync: SyncRequest,
    ) {
        let mut pause_ms = 0;
        if !sync.commands.is_empty()
            && let Some(ms) = self.owners[owner].pause_at_command_call.take()
        {
            pause_ms = ms;
            self.pause(owner, ms);
        }
        let timeout_ms = pause_ms + CALL_TIMEOUT_MS + sync.wait_ms;
        let lost = Err(WorkerError::Unreachable("no answer".to_owned()));
        self.schedule(
            timeout_ms,
            Event::Input(owner, Input::Answered { call, result: lost }),
        );
        let Some(worker) = worker else {
            return;
        };
        let target = &self.workers[worker];
        if target.drops_calls || self.dropped_links.contains(&(owner, worker)) {
            return;
        }
        let (delay_ms, duplicates) = (
            pause_ms + NETWORK_LATENCY_MS + target.delay_ms,
            target.duplicates_calls,
        );
        if duplicates {
            let sync = sync.clone();
            self.schedule(
                delay_ms + 50,
                Event::Arrive {
                    owner,
                    call,
                    worker,
                    sync,
                },
            );
        }
        self.schedule(
            delay_ms,
            Event::Arrive {
                owner,
                call,
                worker,
                sync,
            },
        );
    }

    pub(super) fn deliver_call(
        &mut self,
        owner: usize,
        call: u64,
        worker: usize,
        sync: SyncRequest,
    ) {
        let target = &mut self.workers[worker];
        if target.dead_until.is_some_and(|until| until > self.now) {
            return;
        }
        if target.dead_until.take().is_some() {
            target.worker.boot(self.now);
        }
        if target.is_hanging {
            return target.held_calls.push(Event::Arrive {
                owner,
                call,
                worker,
                sync,
            });
        }
        self.check_start_commands(&sync);
        let target = &mut self.workers[worker];
        let result = target.worker.sync(&sync, self.now);
        match &result {
            Ok(answer) if answer.ended.is_empty() && sync.wait_ms > 0 => {
                let until = self.now + Duration::from_millis(sync.wait_ms);
                let epoch = sync.epoch;
                self.schedule(
                    POLL_INTERVAL_MS,
                    Event::Poll {
                        owner,
                        call,
                        worker,
                        epoch,
                        until,
                    },
                );
            }
            _ => self.respond(owner, call, worker, result),
        }
    }

    pub(super) fn poll(&mut self, owner: usize, call: u64, worker: usize, epoch: u64, until: Time) {
        let target = &mut self.workers[worker];
        if target.dead_until.is_some_and(|until| until > self.now) {
            return;
        }
        target.worker.tick(self.now);
        if !target.worker.has_unacknowledged() && self.now < until {
            return self.schedule(
                POLL_INTERVAL_MS,
                Event::Poll {
                    owner,
                    call,
                    worker,
                    epoch,
                    until,
                },
            );
        }
        let result = target.worker.response(epoch, self.now);
        self.respond(owner, call, worker, result);
    }

    pub(super) fn respond(
        &mut self,
        owner: usize,
        call: u64,
        worker: usize,
        result: Result<SyncResponse, WorkerError>,
    ) {
        let target = &self.workers[worker];
        if !target.drops_responses {
            let delay_ms = NETWORK_LATENCY_MS + target.delay_ms;
            self.schedule(
                delay_ms,
                Event::Input(owner, Input::Answered { call, result }),
            );
        }
    }

    /// Reports start commands without a row, as long as the table has never failed.
    fn check_start_commands(&mut self, sync: &SyncRequest) {
        for command in &sync.commands {
            let WorkerCommand::Start { task, attempt, .. } = command else {
                continue;
            };
            let job = self.rows.get(&job_key(&task.job));
            let job = job.and_then(|row| decode::<JobRow>(&row.value).ok());
            let has_ended = job.is_none_or(|row| row.outcome.is_some());
            let row = self.rows.get(&task_key(task));
            let row = row.and_then(|row| decode::<TaskRow>(&row.value).ok());
            let recorded = row.is_some_and(|row| row.attempt >= *attempt);
            if self.table_always_up && !has_ended && !recorded {
                let violation = format!("{task}: attempt {attempt} came before its row");
                self.early_starts.push(violation);
            }
        }
    }
}
