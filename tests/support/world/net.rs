//! Calls on their way to workers, and transactions on their way to the table.

use std::time::Duration;

use chestnutlug::model::Time;
use chestnutlug::port::table::{TableError, Txn};
use chestnutlug::port::worker::{Command, SyncAnswer, SyncCall, WorkerError};
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::rows::{JobRow, TaskRow, decode, job_key, shard_key, task_key};

use super::super::mode::TableMode;
use super::super::owner::Input;
use super::super::shard_name;
use super::{CALL_TIMEOUT_MS, Event, HOP_MS, POLL_MS, REFUSED_AFTER_MS, TABLE_MS, World};

impl World {
    pub(super) fn commit(&mut self, owner: usize, txn: Txn) {
        let refused = self.without_table.contains(&owner);
        let mode = if refused { TableMode::Down } else { self.table };
        let (effect, answer) = match mode {
            TableMode::Up => (TABLE_MS, TABLE_MS),
            TableMode::Down => {
                let end = Input::Committed(CommitOutcome::Unavailable);
                return self.at(REFUSED_AFTER_MS, Event::Input(owner, end));
            }
            TableMode::LosesAnswers(ms) => (TABLE_MS, ms),
            TableMode::DelaysEffects(ms) => (ms, TABLE_MS),
        };
        self.at(effect, Event::Commit { owner, txn, answer });
    }

    pub(super) fn commit_effect(&mut self, owner: usize, txn: &Txn, answer: u64) {
        let end = match self.rows.apply(txn) {
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
        self.at(answer, Event::Input(owner, Input::Committed(end)));
    }

    pub(super) fn send(&mut self, owner: usize, call: u64, worker: Option<usize>, sync: SyncCall) {
        let mut wait = 0;
        if !sync.commands.is_empty()
            && let Some(ms) = self.owners[owner].freeze_at_call.take()
        {
            wait = ms;
            self.freeze(owner, ms);
        }
        let timeout = wait + CALL_TIMEOUT_MS + sync.wait_ms;
        let lost = Err(WorkerError::Unreachable("no answer".to_owned()));
        self.at(
            timeout,
            Event::Input(owner, Input::Answered { call, result: lost }),
        );
        let Some(worker) = worker else {
            return;
        };
        let node = &self.nodes[worker];
        if node.cut_to || self.cuts.contains(&(owner, worker)) {
            return;
        }
        let (delay, twice) = (wait + HOP_MS + node.delay_ms, node.duplicate);
        if twice {
            let sync = sync.clone();
            self.at(
                delay + 50,
                Event::Arrive {
                    owner,
                    call,
                    worker,
                    sync,
                },
            );
        }
        self.at(
            delay,
            Event::Arrive {
                owner,
                call,
                worker,
                sync,
            },
        );
    }

    pub(super) fn arrive(&mut self, owner: usize, call: u64, worker: usize, sync: SyncCall) {
        let node = &mut self.nodes[worker];
        if node.dead_until.is_some_and(|until| until > self.now) {
            return;
        }
        if node.dead_until.take().is_some() {
            node.worker.boot(self.now);
        }
        if node.hung {
            return node.waiting.push(Event::Arrive {
                owner,
                call,
                worker,
                sync,
            });
        }
        self.check_recorded(&sync);
        let node = &mut self.nodes[worker];
        let result = node.worker.sync(&sync, self.now);
        match &result {
            Ok(answer) if answer.ended.is_empty() && sync.wait_ms > 0 => {
                let until = self.now + Duration::from_millis(sync.wait_ms);
                let epoch = sync.epoch;
                self.at(
                    POLL_MS,
                    Event::Poll {
                        owner,
                        call,
                        worker,
                        epoch,
                        until,
                    },
                );
            }
            _ => self.answer(owner, call, worker, result),
        }
    }

    pub(super) fn poll(&mut self, owner: usize, call: u64, worker: usize, epoch: u64, until: Time) {
        let node = &mut self.nodes[worker];
        if node.dead_until.is_some_and(|until| until > self.now) {
            return;
        }
        node.worker.tick(self.now);
        if !node.worker.has_ended() && self.now < until {
            return self.at(
                POLL_MS,
                Event::Poll {
                    owner,
                    call,
                    worker,
                    epoch,
                    until,
                },
            );
        }
        let result = node.worker.answer(epoch, self.now);
        self.answer(owner, call, worker, result);
    }

    pub(super) fn answer(
        &mut self,
        owner: usize,
        call: u64,
        worker: usize,
        result: Result<SyncAnswer, WorkerError>,
    ) {
        let node = &self.nodes[worker];
        if !node.cut_back {
            let after = HOP_MS + node.delay_ms;
            self.at(after, Event::Input(owner, Input::Answered { call, result }));
        }
    }

    /// While the table has always been well, no start may come before its row.
    fn check_recorded(&mut self, sync: &SyncCall) {
        for command in &sync.commands {
            let Command::Start { task, attempt, .. } = command else {
                continue;
            };
            let job = self.rows.get(&job_key(&task.job));
            let job = job.and_then(|row| decode::<JobRow>(&row.value).ok());
            let ended = job.is_none_or(|row| row.outcome.is_some());
            let row = self.rows.get(&task_key(task));
            let row = row.and_then(|row| decode::<TaskRow>(&row.value).ok());
            let recorded = row.is_some_and(|row| row.attempt >= *attempt);
            if self.table_was_well && !ended && !recorded {
                let what = format!("{task}: attempt {attempt} came before its row");
                self.early_starts.push(what);
            }
        }
    }
}
