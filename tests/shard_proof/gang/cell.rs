//! Several shards, each with its workers and its owners, one table, and the calls between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chestnutlug::config::{CellConfig, Worker as WorkerConfig};
use chestnutlug::decide::BalanceCredit;
use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::message::{PartCall, PartReply, Reply};
use chestnutlug::model::{JobId, JobSpec, ShardName, Time};
use chestnutlug::port::table::{Condition, Txn, Write};
use chestnutlug::port::worker::{SyncAnswer, SyncCall, WorkerError};
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::job::ReplyToken;
use chestnutlug::shard::rows::{
    OwnerRef, ShardRow, decode, encode, epoch_key, gangs_prefix, jobs_prefix, shard_key,
    tasks_prefix,
};
use chestnutlug::shard::worker_session::WorkerChannel;
use chestnutlug::shard::{Effect, Shard, StoredRows};
use chestnutlug::standin::worker::Worker;

use crate::support::mode::TableMode;
use crate::support::table::MemoryTable;
use crate::support::{WORKER_CORES, config, cores, times};

const AMPLE: BalanceCredit = BalanceCredit {
    core_ms: 1 << 40,
    more_available: false,
    max_cpu_milli: None,
};
const TICK_MS: u64 = 25;
const BEAT_MS: u64 = 300;
const GONE_AFTER_MS: u64 = 1_000;

/// How far a job over several shards has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Submitted,
    Accepted,
    FirstGrant,
    AllGranted,
    Applied,
    Told,
    Running,
    PartEnded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillOwner,
    FreezeOwner(u64),
    StopOwner,
    Overtake,
    RestartWorker,
    /// Calls to the shard's owner from others are lost.
    LoseCalls(bool),
    /// Replies of the shard's owner to others are lost.
    LoseReplies(bool),
    /// Calls to the shard's owner from others arrive this much later.
    DelayCalls(u64),
    /// They arrive twice, the second time much later.
    DoubleCalls(bool),
    Table(TableMode),
    Cancel,
}

pub enum Event {
    Tick(usize),
    Beat,
    Thaw(usize),
    Commit(usize, Txn, u64),
    Input(usize, Input),
    Arrive(usize, u64, usize, SyncCall),
    Poll(usize, u64, usize, u64, Time),
    Ask(usize, u64, JobId, PartCall),
}

#[derive(Clone)]
pub enum Input {
    Tick,
    Committed(CommitOutcome),
    Answered(u64, Result<SyncAnswer, WorkerError>),
    Part(usize, u64, JobId, PartCall),
    PartReplied(u64, JobId, Option<Reply>),
    /// No reply came in time to the call of this serial number.
    PartLost(u64, JobId, u64),
    PriorGone,
}

pub enum Caller {
    Submit(u64),
    Cancel(u64),
    /// An owner that asked for a part of one of its jobs.
    Owner(usize, u64, JobId),
}

pub struct Owner {
    pub shard: Shard,
    pub name: ShardName,
    pub dead: bool,
    pub frozen: bool,
    pub inbox: Vec<Input>,
    pub calls: BTreeMap<u64, (usize, WorkerChannel)>,
    pub callers: BTreeMap<usize, Caller>,
    /// The last call for each part that has no reply yet.
    pub asked: BTreeMap<JobId, u64>,
    incarnation: u64,
}

/// What the network does to calls of one shard's owner.
#[derive(Clone, Copy, Default)]
pub struct Link {
    pub lose_calls: bool,
    pub lose_replies: bool,
    pub delay_ms: u64,
    pub double: bool,
}

pub struct Cell {
    pub now: Time,
    pub rows: MemoryTable,
    pub table: TableMode,
    pub owners: Vec<Owner>,
    pub workers: Vec<Worker>,
    pub links: BTreeMap<ShardName, Link>,
    pub reached: BTreeSet<Step>,
    pub told: BTreeMap<u64, Told>,
    pub wrong: Vec<String>,
    pub commits: u64,
    queue: BTreeMap<(Time, u64), Event>,
    pub serial: u64,
    cfg: CellConfig,
    per_shard: usize,
}

#[derive(Debug, Default)]
pub struct Told {
    pub home: usize,
    pub tasks: u32,
    pub accepted: bool,
    pub refused: Option<String>,
    pub cancel_asked: bool,
    /// From when on nothing may start since a cancellation was confirmed.
    pub cancelled: Option<Time>,
}

pub fn shard_name(i: usize) -> ShardName {
    ShardName::new(format!("s-{i}"))
}

impl Cell {
    pub fn new(shards: usize, per_shard: usize) -> Self {
        let mut cfg = config(0);
        let mut workers = Vec::new();
        for i in 0..shards * per_shard {
            let name = format!("w-{i}");
            let row = WorkerConfig {
                shard: shard_name(i / per_shard),
                zone: "z".into(),
                rack: "r".into(),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
                capacity: cores(WORKER_CORES),
            };
            cfg.worker.insert(name.as_str().into(), row);
            workers.push(Worker::new(name.as_str().into(), cores(WORKER_CORES)));
        }
        let mut cell = Self {
            now: Time::from_millis(1_000),
            rows: MemoryTable::default(),
            table: TableMode::Up,
            owners: Vec::new(),
            workers,
            links: BTreeMap::new(),
            reached: BTreeSet::new(),
            told: BTreeMap::new(),
            wrong: Vec::new(),
            commits: 0,
            queue: BTreeMap::new(),
            serial: 0,
            cfg,
            per_shard,
        };
        cell.beat();
        cell.run_ms(200);
        cell
    }

    pub fn shards(&self) -> usize {
        self.workers.len() / self.per_shard
    }

    pub fn at(&mut self, after_ms: u64, event: Event) {
        self.serial += 1;
        let time = self.now + Duration::from_millis(after_ms);
        self.queue.insert((time, self.serial), event);
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.queue.first_entry().is_some_and(|e| e.key().0 <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until a step is reached, for at most `ms`.
    pub fn run_until(&mut self, step: Step, ms: u64) -> bool {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end && !self.reached.contains(&step) {
            self.step();
        }
        self.reached.contains(&step)
    }

    fn step(&mut self) {
        let Some(entry) = self.queue.first_entry() else {
            return;
        };
        let ((time, _), event) = entry.remove_entry();
        self.now = time;
        match event {
            Event::Tick(owner) if !self.owners[owner].dead => {
                self.at(TICK_MS, Event::Tick(owner));
                if !self.owners[owner].frozen {
                    self.input(owner, Input::Tick);
                }
            }
            Event::Tick(_) => {}
            Event::Beat => self.beat(),
            Event::Thaw(owner) => self.thaw(owner),
            Event::Input(owner, input) => self.input(owner, input),
            Event::Commit(owner, txn, answer) => self.commit_effect(owner, &txn, answer),
            Event::Arrive(owner, call, worker, sync) => self.arrive(owner, call, worker, &sync),
            Event::Poll(owner, call, worker, epoch, until) => {
                self.poll(owner, call, worker, epoch, until);
            }
            Event::Ask(from, job, part, call) => self.deliver(from, job, part, call),
        }
    }

    pub fn input(&mut self, owner: usize, input: Input) {
        let slot = &mut self.owners[owner];
        if slot.dead {
            return;
        }
        if slot.frozen {
            return slot.inbox.push(input);
        }
        let now = self.now;
        match input {
            Input::Tick => slot.shard.tick(now),
            Input::Committed(commit) => slot.shard.handle_commit_outcome(commit, now),
            Input::Answered(call, result) => {
                if let Some((worker_index, channel)) = slot.calls.remove(&call) {
                    slot.shard
                        .handle_worker_result(worker_index, channel, result, now);
                }
            }
            Input::Part(from, job, part, call) => {
                let token = self.token(owner, Caller::Owner(from, job, part.clone()));
                self.owners[owner]
                    .shard
                    .handle_part_call(token, &part, call, now);
            }
            Input::PartReplied(job, part, reply) => {
                slot.asked.remove(&part);
                slot.shard.handle_part_reply(job, &part, reply, now);
            }
            Input::PartLost(job, part, serial) => {
                if slot.asked.get(&part) == Some(&serial) {
                    slot.shard.handle_part_reply(job, &part, None, now);
                }
            }
            Input::PriorGone => slot.shard.previous_owner_gone(now),
        }
        self.carry_out(owner);
    }

    fn token(&mut self, owner: usize, caller: Caller) -> ReplyToken {
        self.serial += 1;
        let token = self.serial as usize;
        self.owners[owner].callers.insert(token, caller);
        ReplyToken(token)
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
                    self.send(owner, id, info.name.as_str(), call);
                }
                Effect::CallPartOwner { job, part, call } => self.ask(owner, job, part, call),
                Effect::Reply { token, reply } => self.replied(owner, token.0, reply),
                Effect::TaskStarted { .. } => {}
                Effect::Fenced | Effect::Released => self.owners[owner].dead = true,
            }
        }
    }

    fn replied(&mut self, owner: usize, token: usize, reply: Reply) {
        let Some(caller) = self.owners[owner].callers.remove(&token) else {
            return;
        };
        let now = self.now;
        match (caller, reply) {
            (Caller::Submit(number), Reply::Submitted { .. }) => {
                self.told.entry(number).or_default().accepted = true;
                self.reached.insert(Step::Accepted);
            }
            (Caller::Submit(number), Reply::Refused(refusal)) => {
                self.told.entry(number).or_default().refused = Some(refusal.reason);
            }
            (Caller::Cancel(number), Reply::Job(Some(view))) => {
                // Calls to workers that were under way may take effect until their deadline.
                let under_way = match view.outcome {
                    Some(_) => Duration::ZERO,
                    None => times().calls.lease_margin / 2,
                };
                let told = self.told.entry(number).or_default();
                told.cancelled.get_or_insert(now + under_way);
            }
            (Caller::Owner(from, job, part), reply) => {
                if matches!(reply, Reply::Part(PartReply::Granted(_))) {
                    self.reached.insert(Step::FirstGrant);
                }
                self.answer_owner(owner, from, job, part, reply);
            }
            _ => {}
        }
    }

    pub fn shard_row(&self, shard: &ShardName) -> Option<ShardRow> {
        let row = self.rows.get(&shard_key(shard))?;
        decode(&row.value).ok()
    }

    /// The owner that the table names.
    pub fn current(&self, shard: &ShardName) -> Option<usize> {
        let owner = self.shard_row(shard)?.owner?;
        let same = |o: &Owner| o.incarnation == owner.incarnation && !o.dead;
        self.owners.iter().position(same)
    }

    fn beat(&mut self) {
        self.at(BEAT_MS, Event::Beat);
        if self.table == TableMode::Down {
            return;
        }
        for i in 0..self.shards() {
            let owner = self.current(&shard_name(i));
            if owner.is_none_or(|owner| self.owners[owner].frozen) {
                self.claim(&shard_name(i));
            }
        }
    }

    pub fn claim(&mut self, name: &ShardName) {
        let old = self.shard_row(name);
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
        let key = shard_key(name);
        let version = self.rows.version(&key);
        let condition = Condition {
            key: key.clone(),
            version,
        };
        let put = |key, value| Write::Put { key, value };
        let txn = Txn {
            conditions: vec![condition],
            writes: vec![
                put(key, encode(&row)),
                put(epoch_key(name), encode(&row.epoch)),
            ],
        };
        self.rows.apply(&txn).expect("the version was just read");
        let known = StoredRows {
            jobs: self.rows.scan(&jobs_prefix(name)),
            tasks: self.rows.scan(&tasks_prefix(name)),
            gangs: self.rows.scan(&gangs_prefix(name)),
        };
        let policy = Box::new(Scheduler::new(incarnation));
        let (cfg, now) = (&self.cfg, self.now);
        let opened = Shard::open(name, row, version + 1, &known, cfg, policy, times(), now);
        let mut shard = opened.expect("readable rows");
        shard.add_balance(&"t".into(), &AMPLE, now);
        let index = self.owners.len();
        self.owners.push(Owner {
            shard,
            name: name.clone(),
            dead: false,
            frozen: false,
            inbox: Vec::new(),
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
            asked: BTreeMap::new(),
            incarnation,
        });
        match prior.map(|p| self.owners[p.incarnation as usize - 1].dead) {
            None => self.input(index, Input::PriorGone),
            Some(true) => self.at(GONE_AFTER_MS, Event::Input(index, Input::PriorGone)),
            Some(false) => {}
        }
        self.at(0, Event::Tick(index));
    }

    fn thaw(&mut self, owner: usize) {
        self.owners[owner].frozen = false;
        for input in std::mem::take(&mut self.owners[owner].inbox) {
            self.input(owner, input);
        }
    }

    pub fn submit(&mut self, home: usize, number: u64, spec: &JobSpec) {
        let told = self.told.entry(number).or_default();
        (told.home, told.tasks) = (home, spec.tasks);
        self.reached.insert(Step::Submitted);
        let Some(owner) = self.current(&shard_name(home)) else {
            return;
        };
        let token = self.token(owner, Caller::Submit(number));
        let (id, now) = (JobId::new(&shard_name(home), number), self.now);
        let owned = &mut self.owners[owner].shard;
        owned.submit(token, &id, spec, None, now);
        self.carry_out(owner);
    }

    pub fn cancel(&mut self, number: u64) {
        let home = shard_name(self.told.get(&number).map_or(0, |told| told.home));
        let owner = self.current(&home).filter(|&o| !self.owners[o].frozen);
        let Some(owner) = owner else {
            return;
        };
        self.told.entry(number).or_default().cancel_asked = true;
        let token = self.token(owner, Caller::Cancel(number));
        let now = self.now;
        let owned = &mut self.owners[owner].shard;
        owned.cancel(token, &JobId::new(&home, number), now);
        self.carry_out(owner);
    }

    /// Does a fault to the shard; one to a job, to job `number`.
    pub fn fault(&mut self, fault: Fault, shard: usize, number: u64) {
        let name = shard_name(shard);
        let owner = self.current(&name);
        let link = self.links.entry(name.clone()).or_default();
        match fault {
            Fault::LoseCalls(on) => link.lose_calls = on,
            Fault::LoseReplies(on) => link.lose_replies = on,
            Fault::DelayCalls(ms) => link.delay_ms = ms,
            Fault::DoubleCalls(on) => link.double = on,
            Fault::Table(mode) => self.table = mode,
            Fault::Cancel => self.cancel(number),
            Fault::Overtake => self.claim(&name),
            Fault::RestartWorker => {
                let worker = &mut self.workers[shard * self.per_shard];
                worker.boot(self.now);
            }
            Fault::KillOwner => owner.into_iter().for_each(|o| self.owners[o].dead = true),
            Fault::StopOwner => owner.into_iter().for_each(|o| self.owners[o].shard.stop()),
            Fault::FreezeOwner(ms) => {
                if let Some(owner) = owner {
                    self.owners[owner].frozen = true;
                    self.at(ms, Event::Thaw(owner));
                }
            }
        }
    }

    /// Ends every fault that lasts.
    pub fn mend(&mut self) {
        self.links.clear();
        self.table = TableMode::Up;
    }
}
