//! The shard's owners, its workers and the table in virtual time; every run of one script is the
//! same.

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
use chestnutlug::port::worker::SyncCall;
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::rows::{
    IdempotencyKey, JobRow, OwnerRef, ShardRow, decode, encode, job_key, jobs_prefix,
    parse_task_key, shard_key, tasks_prefix,
};
use chestnutlug::shard::{Effect, Shard, StoredRows};
use chestnutlug::standin::worker::Worker;

use super::mode::TableMode;
use super::oracle::{self, ObservedJob};
use super::owner::{Asked, Input, Owner, cancelled_from};
use super::table::MemoryTable;
use super::{WORKER_CORES, config, cores, shard_name, times, worker_name};

/// What every team may spend; no proof here is about balances.
const AMPLE: BalanceCredit = BalanceCredit {
    core_ms: 1 << 40,
    more_available: false,
    max_cpu_milli: None,
};
const TICK_MS: u64 = 25;
const BEAT_MS: u64 = 300;
const FROZEN_FOR_MS: u64 = 500;
const TABLE_MS: u64 = 3;
const REFUSED_AFTER_MS: u64 = 20;
const HOP_MS: u64 = 2;
const POLL_MS: u64 = 20;
const CALL_TIMEOUT_MS: u64 = 200;
const GONE_AFTER_MS: u64 = 1_000;

/// What goes wrong, at the moment when it is done to the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillOwner,
    /// Freezes the owner for this long.
    FreezeOwner(u64),
    /// The same, between the decision to make its next call with commands and the sending of it.
    FreezeAtCall(u64),
    /// Another process claims the shard, while its owner is well.
    Overtake,
    /// A planned stop of the owner.
    StopOwner,
    Table(TableMode),
    RestartWorker(usize),
    /// The worker is dead for this long.
    KillWorker(usize, u64),
    /// Calls wait at the worker, which otherwise goes on.
    Hang(usize, bool),
    /// Calls of every owner are lost.
    CutTo(usize, bool),
    /// Calls of the present owner are lost, but not those of others.
    CutFromOwner(usize),
    /// Calls of the next owner are lost, but not those of others.
    CutFromNextOwner(usize),
    /// The table refuses the present owner, but not others.
    CutOwnerFromTable,
    /// Answers are lost.
    CutBack(usize, bool),
    /// Calls arrive this much later.
    Delay(usize, u64),
    /// Calls arrive twice.
    Duplicate(usize, bool),
    Refuse(usize, bool),
    FailAll(usize, bool),
    Leaving(usize, bool),
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Beat,
    Thaw(usize),
    Input(usize, Input),
    Commit {
        owner: usize,
        txn: Txn,
        answer: u64,
    },
    Arrive {
        owner: usize,
        call: u64,
        worker: usize,
        sync: SyncCall,
    },
    Poll {
        owner: usize,
        call: u64,
        worker: usize,
        epoch: u64,
        until: Time,
    },
}

struct Node {
    worker: Worker,
    dead_until: Option<Time>,
    hung: bool,
    cut_to: bool,
    cut_back: bool,
    duplicate: bool,
    delay_ms: u64,
    waiting: Vec<Event>,
}

pub type PolicyMaker = fn() -> Box<dyn Policy>;

pub struct World {
    pub now: Time,
    pub rows: MemoryTable,
    pub table: TableMode,
    pub owners: Vec<Owner>,
    pub jobs: BTreeMap<u64, ObservedJob>,
    nodes: Vec<Node>,
    cuts: BTreeSet<(usize, usize)>,
    without_table: BTreeSet<usize>,
    specs: BTreeMap<u64, (Option<u64>, JobSpec)>,
    table_was_well: bool,
    early_starts: Vec<String>,
    queue: BTreeMap<(Time, u64), Event>,
    serial: u64,
    cfg: CellConfig,
    policy: PolicyMaker,
}

impl World {
    pub fn new(workers: usize, policy: PolicyMaker) -> Self {
        let node = |i: usize| Node {
            worker: Worker::new(worker_name(i).as_str().into(), cores(WORKER_CORES)),
            dead_until: None,
            hung: false,
            cut_to: false,
            cut_back: false,
            duplicate: false,
            delay_ms: 0,
            waiting: Vec::new(),
        };
        let mut world = Self {
            now: Time::from_millis(1_000),
            rows: MemoryTable::default(),
            table: TableMode::Up,
            owners: Vec::new(),
            jobs: BTreeMap::new(),
            nodes: (0..workers).map(node).collect(),
            cuts: BTreeSet::new(),
            without_table: BTreeSet::new(),
            specs: BTreeMap::new(),
            table_was_well: true,
            early_starts: Vec::new(),
            queue: BTreeMap::new(),
            serial: 0,
            cfg: config(workers),
            policy,
        };
        world.beat();
        world.run_ms(100);
        world
    }

    fn at(&mut self, after_ms: u64, event: Event) {
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
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(owner) if !self.owners[owner].dead => {
                self.at(TICK_MS, Event::Tick(owner));
                if self.owners[owner].runs() {
                    self.input(owner, Input::Tick);
                }
            }
            Event::Tick(_) => {}
            Event::Beat => self.beat(),
            Event::Thaw(owner) => self.thaw(owner),
            Event::Input(owner, input) => self.input(owner, input),
            Event::Commit { owner, txn, answer } => self.commit_effect(owner, &txn, answer),
            Event::Arrive {
                owner,
                call,
                worker,
                sync,
            } => self.arrive(owner, call, worker, sync),
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
        let is_answer = matches!(input, Input::Committed(_));
        if is_answer
            && self.table == TableMode::Down
            && !matches!(input, Input::Committed(CommitOutcome::Unavailable))
        {
            return self.at(100, Event::Input(owner, input));
        }
        let slot = &mut self.owners[owner];
        if slot.dead {
            return;
        }
        if slot.frozen.is_some() {
            return slot.inbox.push(input);
        }
        slot.take(input, self.now);
        self.carry_out(owner);
    }

    fn thaw(&mut self, owner: usize) {
        if self.owners[owner]
            .frozen
            .is_none_or(|until| until > self.now)
        {
            return;
        }
        self.owners[owner].frozen = None;
        for input in std::mem::take(&mut self.owners[owner].inbox) {
            self.input(owner, input);
        }
    }

    /// What membership does: claims the shard where its owner is gone or frozen.
    fn beat(&mut self) {
        self.at(BEAT_MS, Event::Beat);
        let row = self.shard_row();
        let owner = row.and_then(|row| row.owner).map(|owner| owner.incarnation);
        let owner = owner.and_then(|i| self.owners.iter().find(|o| o.incarnation == i));
        let gone = owner.is_none_or(|owner| {
            let long = |until: Time| until.since(self.now).as_millis() > u128::from(FROZEN_FOR_MS);
            owner.dead || owner.frozen.is_some_and(long)
        });
        if gone && self.table != TableMode::Down {
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
        let prior = old.as_ref().and_then(|row| row.owner.clone());
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
        let known = StoredRows {
            jobs: self.rows.scan(&jobs_prefix(&shard_name())),
            tasks: self.rows.scan(&tasks_prefix(&shard_name())),
            gangs: Vec::new(),
        };
        let policy = (self.policy)();
        let opened = Shard::open(
            &shard_name(),
            row,
            version + 1,
            &known,
            &self.cfg,
            policy,
            times(),
            self.now,
        );
        let mut opened = opened.expect("readable rows");
        for team in self.cfg.team.keys() {
            opened.add_balance(team, &AMPLE, self.now);
        }
        let index = self.owners.len();
        self.owners.push(Owner::new(opened, incarnation));
        let prior_dead = prior.map(|p| self.owners[p.incarnation as usize - 1].dead);
        match prior_dead {
            None => self.input(index, Input::PriorGone),
            Some(true) => self.at(GONE_AFTER_MS, Event::Input(index, Input::PriorGone)),
            Some(false) => {}
        }
        self.at(0, Event::Tick(index));
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
                        (0..self.nodes.len()).find(|&i| worker_name(i) == info.name.as_str());
                    self.send(owner, id, worker, call);
                }
                Effect::Reply { token, reply } => self.replied(owner, token.0, &reply),
                // There is no other shard that could hold a part.
                Effect::CallPartOwner { .. } | Effect::TaskStarted { .. } => {}
                Effect::Fenced | Effect::Released => self.owners[owner].dead = true,
            }
        }
    }

    /// The owner that the table names.
    pub fn current(&self) -> Option<usize> {
        let owner = self.shard_row()?.owner?;
        self.owners
            .iter()
            .position(|o| o.incarnation == owner.incarnation && !o.dead)
    }

    pub fn submit(&mut self, number: u64, spec: &JobSpec) {
        self.submit_keyed(number, None, spec);
    }

    /// Submits a job that was submitted before once more, as a caller without an answer does.
    pub fn submit_again(&mut self, number: u64) {
        if let Some((key, spec)) = self.specs.get(&number).cloned() {
            self.submit_keyed(number, key, &spec);
        }
    }

    /// Submits a job with an idempotency key.
    pub fn submit_keyed(&mut self, number: u64, key: Option<u64>, spec: &JobSpec) {
        self.specs.insert(number, (key, spec.clone()));
        let result = spec.payload.split('"').rev().nth(1).unwrap_or_default();
        let told = self.jobs.entry(number).or_insert_with(|| ObservedJob {
            idempotent: spec.idempotent,
            tasks: spec.tasks,
            result: result.to_owned(),
            key,
            ..ObservedJob::default()
        });
        told.not_run = false;
        let Some(owner) = self.current().filter(|&o| self.owners[o].runs()) else {
            return;
        };
        let token = self.owners[owner].token(Asked::Submit(number));
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
        let Some(owner) = self.current().filter(|&o| self.owners[o].runs()) else {
            return;
        };
        let token = self.owners[owner].token(Asked::Cancel(number));
        let id = JobId::new(&shard_name(), number);
        let now = self.now;
        self.owners[owner].shard.cancel(token, &id, now);
        self.carry_out(owner);
    }

    fn replied(&mut self, owner: usize, token: usize, reply: &Reply) {
        let Some(asked) = self.owners[owner].callers.remove(&token) else {
            return;
        };
        match (asked, reply) {
            (Asked::Submit(_), Reply::Submitted { job }) => self.told(job.number).accepted = true,
            (Asked::Submit(number), Reply::Refused(refusal)) => {
                self.told(number).not_run = refusal.certainty == Certainty::NotRun;
            }
            (Asked::Cancel(number), reply) => {
                let from = cancelled_from(reply, self.now);
                let told = self.told(number);
                told.cancelled_us = told.cancelled_us.or(from);
            }
            _ => {}
        }
    }

    fn told(&mut self, number: u64) -> &mut ObservedJob {
        self.jobs.entry(number).or_default()
    }

    /// Rows of tasks whose jobs have ended.
    fn rows_left(&self) -> Option<String> {
        let ended = |number: &u64| {
            self.jobs
                .get(number)
                .is_some_and(|job| job.stored.is_some())
        };
        let rows = self.rows.scan(&tasks_prefix(&shard_name()));
        let numbers = rows.iter().filter_map(|row| parse_task_key(&row.key).ok());
        let left = numbers.filter(|(number, _)| ended(number)).count();
        (left > 0).then(|| format!("{left} rows of tasks are left of jobs that ended"))
    }

    /// Everything that the oracle finds wrong.
    pub fn judge(&mut self) -> Vec<String> {
        for node in &mut self.nodes {
            node.worker.tick(self.now);
        }
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let id = JobId::new(&shard_name(), number);
            let row = self.rows.get(&job_key(&id));
            let row = row.and_then(|row| decode::<JobRow>(&row.value).ok());
            let shown = row.and_then(|row| Some((format!("{:?}", row.outcome?), row.results)));
            self.told(number).stored = shown;
        }
        let journals: Vec<_> = self.nodes.iter().map(|n| n.worker.journal()).collect();
        let mut wrong = oracle::find_violations(&journals, &self.jobs, self.now.0);
        wrong.extend(self.rows_left());
        wrong.append(&mut self.early_starts);
        wrong
    }
}
