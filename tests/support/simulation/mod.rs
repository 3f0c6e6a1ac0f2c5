//! A simulation of one shard: its owners, its workers and the table, in virtual time. It is
//! deterministic: the same script always gives the same run.

mod faults;
mod net;
pub mod probe;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chestnutlug::config::CellConfig;
use chestnutlug::decide::{BalanceCredit, Policy};
use chestnutlug::error::Certainty;
use chestnutlug::message::Reply;
use chestnutlug::model::{JobId, JobSpec, Time};
use chestnutlug::port::table::{Condition, Txn, Write};
use chestnutlug::port::worker::SyncRequest;
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::rows::{
    IdempotencyKey, JobRow, OwnerRef, ShardRow, decode, encode, job_key, jobs_prefix,
    parse_task_key, shard_key, tasks_prefix,
};
use chestnutlug::shard::{Effect, Shard, StoredRows};
use chestnutlug::standin::worker::StandinWorker;

use super::mode::TableMode;
use super::oracle::{self, ObservedJob};
use super::owner::{CallerRequest, Input, OwnerProcess, cancelled_from};
use super::table::MemoryTable;
use super::{WORKER_CORES, config, cores, shard_name, times, worker_name};

/// More than any test spends; these tests do not cover balances.
const LARGE_BALANCE: BalanceCredit = BalanceCredit {
    core_ms: 1 << 40,
    more_available: false,
    max_cpu_milli: None,
};
const TICK_INTERVAL_MS: u64 = 25;
const HEARTBEAT_MS: u64 = 300;
const TAKEOVER_AFTER_PAUSE_MS: u64 = 500;
const TABLE_LATENCY_MS: u64 = 3;
const REFUSAL_LATENCY_MS: u64 = 20;
const NETWORK_LATENCY_MS: u64 = 2;
const POLL_INTERVAL_MS: u64 = 20;
const CALL_TIMEOUT_MS: u64 = 200;
const PREVIOUS_OWNER_GONE_AFTER_MS: u64 = 1_000;

/// A fault to inject. Durations are in milliseconds; flags switch a lasting fault on or off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillOwner,
    /// Pauses the owner for this long.
    PauseOwner(u64),
    /// Pauses the owner for this long between creating its next call with commands and sending it.
    PauseOwnerAtCall(u64),
    /// Another process claims the shard while its owner is running.
    ForceTakeover,
    /// A planned stop of the owner.
    StopOwner,
    Table(TableMode),
    RestartWorker(usize),
    /// Kills the worker, which restarts after this long.
    KillWorker(usize, u64),
    /// Calls wait at the worker unhandled, while its tasks run on.
    HangWorker(usize, bool),
    /// Calls of all owners to the worker are lost.
    DropCalls(usize, bool),
    /// Calls of the current owner to the worker are lost.
    DropCallsOfOwner(usize),
    /// Calls of the next owner to the worker are lost.
    DropCallsOfNextOwner(usize),
    /// The table refuses the transactions of the current owner, but not those of others.
    IsolateOwner,
    /// The worker's responses are lost.
    DropResponses(usize, bool),
    /// Calls and responses are delayed by this much.
    DelayCalls(usize, u64),
    /// Calls arrive twice.
    DuplicateCalls(usize, bool),
    RefuseCalls(usize, bool),
    FailAllTasks(usize, bool),
    WorkerLeaving(usize, bool),
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Heartbeat,
    Resume(usize),
    Input(usize, Input),
    Commit {
        owner: usize,
        txn: Txn,
        response_ms: u64,
    },
    Arrive {
        owner: usize,
        call: u64,
        worker: usize,
        sync: SyncRequest,
    },
    Poll {
        owner: usize,
        call: u64,
        worker: usize,
        epoch: u64,
        until: Time,
    },
}

struct SimulatedWorker {
    worker: StandinWorker,
    dead_until: Option<Time>,
    is_hanging: bool,
    drops_calls: bool,
    drops_responses: bool,
    duplicates_calls: bool,
    delay_ms: u64,
    held_calls: Vec<Event>,
}

pub type PolicyFactory = fn() -> Box<dyn Policy>;

pub struct ShardSimulation {
    pub now: Time,
    pub rows: MemoryTable,
    pub table: TableMode,
    pub owners: Vec<OwnerProcess>,
    pub jobs: BTreeMap<u64, ObservedJob>,
    workers: Vec<SimulatedWorker>,
    dropped_links: BTreeSet<(usize, usize)>,
    isolated_owners: BTreeSet<usize>,
    specs: BTreeMap<u64, (Option<u64>, JobSpec)>,
    table_always_up: bool,
    early_starts: Vec<String>,
    queue: BTreeMap<(Time, u64), Event>,
    serial: u64,
    cfg: CellConfig,
    policy: PolicyFactory,
}

impl ShardSimulation {
    pub fn new(workers: usize, policy: PolicyFactory) -> Self {
        let worker = |i: usize| SimulatedWorker {
            worker: StandinWorker::new(worker_name(i).as_str().into(), cores(WORKER_CORES)),
            dead_until: None,
            is_hanging: false,
            drops_calls: false,
            drops_responses: false,
            duplicates_calls: false,
            delay_ms: 0,
            held_calls: Vec::new(),
        };
        let mut simulation = Self {
            now: Time::from_millis(1_000),
            rows: MemoryTable::default(),
            table: TableMode::Up,
            owners: Vec::new(),
            jobs: BTreeMap::new(),
            workers: (0..workers).map(worker).collect(),
            dropped_links: BTreeSet::new(),
            isolated_owners: BTreeSet::new(),
            specs: BTreeMap::new(),
            table_always_up: true,
            early_starts: Vec::new(),
            queue: BTreeMap::new(),
            serial: 0,
            cfg: config(workers),
            policy,
        };
        simulation.check_ownership();
        simulation.run_ms(100);
        simulation
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.serial += 1;
        let time = self.now + Duration::from_millis(after_ms);
        self.queue.insert((time, self.serial), event);
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(owner) if !self.owners[owner].stopped => {
                self.schedule(TICK_INTERVAL_MS, Event::Tick(owner));
                if self.owners[owner].is_running() {
                    self.input(owner, Input::Tick);
                }
            }
            Event::Tick(_) => {}
            Event::Heartbeat => self.check_ownership(),
            Event::Resume(owner) => self.resume(owner),
            Event::Input(owner, input) => self.input(owner, input),
            Event::Commit {
                owner,
                txn,
                response_ms,
            } => self.commit_effect(owner, &txn, response_ms),
            Event::Arrive {
                owner,
                call,
                worker,
                sync,
            } => self.deliver_call(owner, call, worker, sync),
            Event::Poll {
                owner,
                call,
                worker,
                epoch,
                until,
            } => {
                self.poll(owner, call, worker, epoch, until);
            }
        }
    }

    fn input(&mut self, owner: usize, input: Input) {
        let is_commit_outcome = matches!(input, Input::Committed(_));
        if is_commit_outcome
            && self.table == TableMode::Down
            && !matches!(input, Input::Committed(CommitOutcome::Unavailable))
        {
            return self.schedule(100, Event::Input(owner, input));
        }
        let process = &mut self.owners[owner];
        if process.stopped {
            return;
        }
        if process.paused_until.is_some() {
            return process.queued_inputs.push(input);
        }
        process.handle_input(input, self.now);
        self.carry_out(owner);
    }

    fn resume(&mut self, owner: usize) {
        if self.owners[owner]
            .paused_until
            .is_none_or(|until| until > self.now)
        {
            return;
        }
        self.owners[owner].paused_until = None;
        for input in std::mem::take(&mut self.owners[owner].queued_inputs) {
            self.input(owner, input);
        }
    }

    /// Stands in for the node's membership: claims the shard if its owner has stopped or is paused
    /// for too long.
    fn check_ownership(&mut self) {
        self.schedule(HEARTBEAT_MS, Event::Heartbeat);
        let row = self.shard_row();
        let owner = row.and_then(|row| row.owner).map(|owner| owner.incarnation);
        let owner = owner.and_then(|i| self.owners.iter().find(|o| o.incarnation == i));
        let is_lost = owner.is_none_or(|owner| {
            let is_too_long = |until: Time| {
                until.since(self.now).as_millis() > u128::from(TAKEOVER_AFTER_PAUSE_MS)
            };
            owner.stopped || owner.paused_until.is_some_and(is_too_long)
        });
        if is_lost && self.table != TableMode::Down {
            self.claim();
        }
    }

    fn shard_row(&self) -> Option<ShardRow> {
        let row = self.rows.get(&shard_key(&shard_name()))?;
        decode(&row.value).ok()
    }

    pub fn claim(&mut self) {
        let key = shard_key(&shard_name());
        let version = self.rows.version(&key);
        let old = self.shard_row();
        let previous = old.as_ref().and_then(|row| row.owner.clone());
        let incarnation = self.owners.len() as u64 + 1;
        let row = ShardRow {
            owner: Some(OwnerRef {
                vm: format!("vm-{incarnation}").as_str().into(),
                incarnation,
            }),
            epoch: old.as_ref().map_or(0, |row| row.epoch) + 1,
            txn: 0,
            unfenced_owners: old.as_ref().map_or(0, |row| row.unfenced_owners + 1),
        };
        let txn = Txn {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write::Put {
                key,
                value: encode(&row),
            }],
        };
        self.rows.apply(&txn).expect("the version was just read");
        let stored = StoredRows {
            jobs: self.rows.scan(&jobs_prefix(&shard_name())),
            tasks: self.rows.scan(&tasks_prefix(&shard_name())),
            gangs: Vec::new(),
        };
        let policy = (self.policy)();
        let result = Shard::open(
            &shard_name(),
            row,
            version + 1,
            &stored,
            &self.cfg,
            policy,
            times(),
            self.now,
        );
        let mut shard = result.expect("readable rows");
        for team in self.cfg.team.keys() {
            shard.add_balance(team, &LARGE_BALANCE, self.now);
        }
        let index = self.owners.len();
        self.owners.push(OwnerProcess::new(shard, incarnation));
        let previous_stopped = previous.map(|p| self.owners[p.incarnation as usize - 1].stopped);
        match previous_stopped {
            None => self.input(index, Input::PreviousOwnerGone),
            Some(true) => self.schedule(
                PREVIOUS_OWNER_GONE_AFTER_MS,
                Event::Input(index, Input::PreviousOwnerGone),
            ),
            Some(false) => {}
        }
        self.schedule(0, Event::Tick(index));
    }

    fn carry_out(&mut self, owner: usize) {
        for effect in self.owners[owner].shard.take_effects() {
            match effect {
                Effect::Commit(txn) => self.commit(owner, txn),
                Effect::CallWorker {
                    worker_index,
                    info,
                    channel,
                    call,
                } => {
                    self.serial += 1;
                    let id = self.serial;
                    self.owners[owner].calls.insert(id, (worker_index, channel));
                    let worker =
                        (0..self.workers.len()).find(|&i| worker_name(i) == info.name.as_str());
                    self.send(owner, id, worker, call);
                }
                Effect::Reply { token, reply } => self.handle_reply(owner, token.0, &reply),
                // The simulation has no other shard that could run a part.
                Effect::CallPartOwner { .. } | Effect::TaskStarted { .. } => {}
                Effect::Fenced | Effect::Released => self.owners[owner].stopped = true,
            }
        }
    }

    /// The running owner that the table names.
    pub fn current_owner(&self) -> Option<usize> {
        let owner = self.shard_row()?.owner?;
        self.owners
            .iter()
            .position(|o| o.incarnation == owner.incarnation && !o.stopped)
    }

    pub fn submit(&mut self, number: u64, spec: &JobSpec) {
        self.submit_with_key(number, None, spec);
    }

    /// Repeats a submission, as a caller does that received no reply.
    pub fn resubmit(&mut self, number: u64) {
        if let Some((key, spec)) = self.specs.get(&number).cloned() {
            self.submit_with_key(number, key, &spec);
        }
    }

    /// Submits a job with an idempotency key.
    pub fn submit_with_key(&mut self, number: u64, key: Option<u64>, spec: &JobSpec) {
        self.specs.insert(number, (key, spec.clone()));
        let result = spec.payload.split('"').rev().nth(1).unwrap_or_default();
        let job = self.jobs.entry(number).or_insert_with(|| ObservedJob {
            idempotent: spec.idempotent,
            tasks: spec.tasks,
            result: result.to_owned(),
            key,
            ..ObservedJob::default()
        });
        job.not_run = false;
        let Some(owner) = self
            .current_owner()
            .filter(|&o| self.owners[o].is_running())
        else {
            return;
        };
        let token = self.owners[owner].token(CallerRequest::Submit(number));
        let id = JobId::new(&shard_name(), number);
        let now = self.now;
        let key = key.map(|key| IdempotencyKey {
            row: format!("key/t/{key}"),
            digest: key,
        });
        self.owners[owner].shard.submit(token, &id, spec, key, now);
        self.carry_out(owner);
    }

    pub fn cancel(&mut self, number: u64) {
        if !self.jobs.contains_key(&number) {
            return;
        }
        let Some(owner) = self
            .current_owner()
            .filter(|&o| self.owners[o].is_running())
        else {
            return;
        };
        let token = self.owners[owner].token(CallerRequest::Cancel(number));
        let id = JobId::new(&shard_name(), number);
        let now = self.now;
        self.owners[owner].shard.cancel(token, &id, now);
        self.carry_out(owner);
    }

    fn handle_reply(&mut self, owner: usize, token: usize, reply: &Reply) {
        let Some(request) = self.owners[owner].callers.remove(&token) else {
            return;
        };
        match (request, reply) {
            (CallerRequest::Submit(_), Reply::Submitted { job }) => {
                self.job_mut(job.number).accepted = true
            }
            (CallerRequest::Submit(number), Reply::Refused(refusal)) => {
                self.job_mut(number).not_run = refusal.certainty == Certainty::NotRun;
            }
            (CallerRequest::Cancel(number), reply) => {
                let from = cancelled_from(reply, self.now);
                let job = self.job_mut(number);
                job.cancelled_us = job.cancelled_us.or(from);
            }
            _ => {}
        }
    }

    fn job_mut(&mut self, number: u64) -> &mut ObservedJob {
        self.jobs.entry(number).or_default()
    }

    /// Reports task rows of jobs that have ended.
    fn leftover_rows(&self) -> Option<String> {
        let has_ended = |number: &u64| {
            self.jobs
                .get(number)
                .is_some_and(|job| job.stored.is_some())
        };
        let rows = self.rows.scan(&tasks_prefix(&shard_name()));
        let numbers = rows.iter().filter_map(|row| parse_task_key(&row.key).ok());
        let left = numbers.filter(|(number, _)| has_ended(number)).count();
        (left > 0).then(|| format!("{left} rows of tasks are left of jobs that ended"))
    }

    /// Returns all violations of invariants that the oracle finds.
    pub fn find_violations(&mut self) -> Vec<String> {
        for simulated in &mut self.workers {
            simulated.worker.tick(self.now);
        }
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let id = JobId::new(&shard_name(), number);
            let row = self.rows.get(&job_key(&id));
            let row = row.and_then(|row| decode::<JobRow>(&row.value).ok());
            let stored = row.and_then(|row| Some((format!("{:?}", row.outcome?), row.results)));
            self.job_mut(number).stored = stored;
        }
        let journals: Vec<_> = self.workers.iter().map(|w| w.worker.journal()).collect();
        let mut violations = oracle::find_violations(&journals, &self.jobs, self.now.0);
        violations.extend(self.leftover_rows());
        violations.append(&mut self.early_starts);
        violations
    }
}
