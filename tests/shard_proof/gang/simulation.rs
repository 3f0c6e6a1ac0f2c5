//! A simulation of several shards, in virtual time: their workers and owners, the table, and the
//! calls between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chestnutlug::config::{CellConfig, WorkerConfig};
use chestnutlug::decide::BalanceCredit;
use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::message::{PartCall, PartReply, Reply};
use chestnutlug::model::{JobId, JobSpec, ShardName, Time};
use chestnutlug::port::table::{Condition, Txn, Write};
use chestnutlug::port::worker::{SyncRequest, SyncResponse, WorkerError};
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::job::ReplyToken;
use chestnutlug::shard::rows::{
    OwnerRef, ShardRow, decode, encode, epoch_key, gangs_prefix, jobs_prefix, shard_key,
    tasks_prefix,
};
use chestnutlug::shard::worker_session::WorkerChannel;
use chestnutlug::shard::{Effect, Shard, StoredRows};
use chestnutlug::standin::worker::StandinWorker;

use crate::support::mode::TableMode;
use crate::support::table::MemoryTable;
use crate::support::{WORKER_CORES, config, cores, times};

/// More than any test spends; these tests do not cover balances.
const LARGE_BALANCE: BalanceCredit = BalanceCredit {
    core_ms: 1 << 40,
    more_available: false,
    max_cpu_milli: None,
};
const TICK_INTERVAL_MS: u64 = 25;
const HEARTBEAT_MS: u64 = 300;
const PREVIOUS_OWNER_GONE_AFTER_MS: u64 = 1_000;

/// A step in the life cycle of a cross-shard gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    Submitted,
    Accepted,
    FirstGrant,
    AllGranted,
    Applied,
    PartsPolled,
    Running,
    PartEnded,
}

/// A fault to inject into one shard. Durations are in milliseconds; flags switch a lasting fault on
/// or off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillOwner,
    PauseOwner(u64),
    StopOwner,
    ForceTakeover,
    RestartWorker,
    /// Calls from other owners to the shard's owner are lost.
    DropCalls(bool),
    /// Replies of the shard's owner to other owners are lost.
    DropReplies(bool),
    /// Calls from other owners to the shard's owner are delayed by this much.
    DelayCalls(u64),
    /// Calls from other owners to the shard's owner arrive twice, the second time after
    /// `DUPLICATE_DELAY_MS`.
    DuplicateCalls(bool),
    Table(TableMode),
    Cancel,
}

pub enum Event {
    Tick(usize),
    Heartbeat,
    Resume(usize),
    Commit(usize, Txn, u64),
    Input(usize, Input),
    Arrive(usize, u64, usize, SyncRequest),
    Poll(usize, u64, usize, u64, Time),
    CallPartOwner(usize, u64, JobId, PartCall),
}

#[derive(Clone)]
pub enum Input {
    Tick,
    Committed(CommitOutcome),
    Answered(u64, Result<SyncResponse, WorkerError>),
    Part(usize, u64, JobId, PartCall),
    PartReplied(u64, JobId, Option<Reply>),
    /// The call with this serial number timed out without a reply.
    PartLost(u64, JobId, u64),
    PreviousOwnerGone,
}

pub enum Caller {
    Submit(u64),
    Cancel(u64),
    /// The owner of a gang that called for one of its parts: its index, the job and the part.
    Owner(usize, u64, JobId),
}

pub struct OwnerProcess {
    pub shard: Shard,
    pub name: ShardName,
    pub stopped: bool,
    pub paused: bool,
    pub queued_inputs: Vec<Input>,
    pub calls: BTreeMap<u64, (usize, WorkerChannel)>,
    pub callers: BTreeMap<usize, Caller>,
    /// The serial number of the call in flight for each part.
    pub part_calls_in_flight: BTreeMap<JobId, u64>,
    incarnation: u64,
}

/// The network faults of calls between the owner of one shard and other owners.
#[derive(Clone, Copy, Default)]
pub struct LinkFaults {
    pub drop_calls: bool,
    pub drop_replies: bool,
    pub delay_ms: u64,
    pub duplicate: bool,
}

pub struct CellSimulation {
    pub now: Time,
    pub rows: MemoryTable,
    pub table: TableMode,
    pub owners: Vec<OwnerProcess>,
    pub workers: Vec<StandinWorker>,
    pub links: BTreeMap<ShardName, LinkFaults>,
    pub reached: BTreeSet<Progress>,
    pub jobs: BTreeMap<u64, SubmittedJob>,
    pub violations: Vec<String>,
    pub commits: u64,
    queue: BTreeMap<(Time, u64), Event>,
    pub serial: u64,
    cfg: CellConfig,
    per_shard: usize,
}

#[derive(Debug, Default)]
pub struct SubmittedJob {
    pub home: usize,
    pub tasks: u32,
    pub accepted: bool,
    pub refused: Option<String>,
    pub cancel_requested: bool,
    /// After a cancellation was confirmed: the time after which no attempt may start.
    pub cancelled: Option<Time>,
}

pub fn shard_name(i: usize) -> ShardName {
    ShardName::new(format!("s-{i}"))
}

impl CellSimulation {
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
            workers.push(StandinWorker::new(
                name.as_str().into(),
                cores(WORKER_CORES),
            ));
        }
        let mut simulation = Self {
            now: Time::from_millis(1_000),
            rows: MemoryTable::default(),
            table: TableMode::Up,
            owners: Vec::new(),
            workers,
            links: BTreeMap::new(),
            reached: BTreeSet::new(),
            jobs: BTreeMap::new(),
            violations: Vec::new(),
            commits: 0,
            queue: BTreeMap::new(),
            serial: 0,
            cfg,
            per_shard,
        };
        simulation.check_ownership();
        simulation.run_ms(200);
        simulation
    }

    pub fn shards(&self) -> usize {
        self.workers.len() / self.per_shard
    }

    pub fn schedule(&mut self, after_ms: u64, event: Event) {
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

    /// Runs until `progress` is reached, for at most `ms` milliseconds; returns whether it is
    /// reached.
    pub fn run_until(&mut self, progress: Progress, ms: u64) -> bool {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end && !self.reached.contains(&progress) {
            self.step();
        }
        self.reached.contains(&progress)
    }

    fn step(&mut self) {
        let Some(entry) = self.queue.first_entry() else {
            return;
        };
        let ((time, _), event) = entry.remove_entry();
        self.now = time;
        match event {
            Event::Tick(owner) if !self.owners[owner].stopped => {
                self.schedule(TICK_INTERVAL_MS, Event::Tick(owner));
                if !self.owners[owner].paused {
                    self.input(owner, Input::Tick);
                }
            }
            Event::Tick(_) => {}
            Event::Heartbeat => self.check_ownership(),
            Event::Resume(owner) => self.resume(owner),
            Event::Input(owner, input) => self.input(owner, input),
            Event::Commit(owner, txn, answer) => self.commit_effect(owner, &txn, answer),
            Event::Arrive(owner, call, worker, sync) => {
                self.deliver_worker_call(owner, call, worker, &sync)
            }
            Event::Poll(owner, call, worker, epoch, until) => {
                self.poll(owner, call, worker, epoch, until);
            }
            Event::CallPartOwner(from, job, part, call) => {
                self.deliver_part_call(from, job, part, call)
            }
        }
    }

    pub fn input(&mut self, owner: usize, input: Input) {
        let process = &mut self.owners[owner];
        if process.stopped {
            return;
        }
        if process.paused {
            return process.queued_inputs.push(input);
        }
        let now = self.now;
        match input {
            Input::Tick => process.shard.tick(now),
            Input::Committed(commit) => process.shard.handle_commit_outcome(commit, now),
            Input::Answered(call, result) => {
                if let Some((worker_index, channel)) = process.calls.remove(&call) {
                    process
                        .shard
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
                process.part_calls_in_flight.remove(&part);
                process.shard.handle_part_reply(job, &part, reply, now);
            }
            Input::PartLost(job, part, serial) => {
                if process.part_calls_in_flight.get(&part) == Some(&serial) {
                    process.shard.handle_part_reply(job, &part, None, now);
                }
            }
            Input::PreviousOwnerGone => process.shard.previous_owner_gone(now),
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
                Effect::CallPartOwner { job, part, call } => {
                    self.call_part_owner(owner, job, part, call)
                }
                Effect::Reply { token, reply } => self.handle_reply(owner, token.0, reply),
                Effect::TaskStarted { .. } => {}
                Effect::Fenced | Effect::Released => self.owners[owner].stopped = true,
            }
        }
    }

    fn handle_reply(&mut self, owner: usize, token: usize, reply: Reply) {
        let Some(caller) = self.owners[owner].callers.remove(&token) else {
            return;
        };
        let now = self.now;
        match (caller, reply) {
            (Caller::Submit(number), Reply::Submitted { .. }) => {
                self.jobs.entry(number).or_default().accepted = true;
                self.reached.insert(Progress::Accepted);
            }
            (Caller::Submit(number), Reply::Refused(refusal)) => {
                self.jobs.entry(number).or_default().refused = Some(refusal.reason);
            }
            (Caller::Cancel(number), Reply::Job(Some(view))) => {
                // Calls to workers that are in flight may take effect until their deadline.
                let max_call_delay = match view.outcome {
                    Some(_) => Duration::ZERO,
                    None => times().calls.lease_margin / 2,
                };
                let job = self.jobs.entry(number).or_default();
                job.cancelled.get_or_insert(now + max_call_delay);
            }
            (Caller::Owner(from, job, part), reply) => {
                if matches!(reply, Reply::Part(PartReply::Granted(_))) {
                    self.reached.insert(Progress::FirstGrant);
                }
                self.reply_to_owner(owner, from, job, part, reply);
            }
            _ => {}
        }
    }

    pub fn shard_row(&self, shard: &ShardName) -> Option<ShardRow> {
        let row = self.rows.get(&shard_key(shard))?;
        decode(&row.value).ok()
    }

    /// The running owner that the table names.
    pub fn current_owner(&self, shard: &ShardName) -> Option<usize> {
        let owner = self.shard_row(shard)?.owner?;
        let is_current = |o: &OwnerProcess| o.incarnation == owner.incarnation && !o.stopped;
        self.owners.iter().position(is_current)
    }

    /// Stands in for the nodes' membership: claims the shards whose owners have stopped or are
    /// paused.
    fn check_ownership(&mut self) {
        self.schedule(HEARTBEAT_MS, Event::Heartbeat);
        if self.table == TableMode::Down {
            return;
        }
        for i in 0..self.shards() {
            let owner = self.current_owner(&shard_name(i));
            if owner.is_none_or(|owner| self.owners[owner].paused) {
                self.claim(&shard_name(i));
            }
        }
    }

    pub fn claim(&mut self, name: &ShardName) {
        let old = self.shard_row(name);
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
        let stored = StoredRows {
            jobs: self.rows.scan(&jobs_prefix(name)),
            tasks: self.rows.scan(&tasks_prefix(name)),
            gangs: self.rows.scan(&gangs_prefix(name)),
        };
        let policy = Box::new(Scheduler::new(incarnation));
        let (cfg, now) = (&self.cfg, self.now);
        let result = Shard::open(name, row, version + 1, &stored, cfg, policy, times(), now);
        let mut shard = result.expect("readable rows");
        shard.add_balance(&"t".into(), &LARGE_BALANCE, now);
        let index = self.owners.len();
        self.owners.push(OwnerProcess {
            shard,
            name: name.clone(),
            stopped: false,
            paused: false,
            queued_inputs: Vec::new(),
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
            part_calls_in_flight: BTreeMap::new(),
            incarnation,
        });
        match previous.map(|p| self.owners[p.incarnation as usize - 1].stopped) {
            None => self.input(index, Input::PreviousOwnerGone),
            Some(true) => self.schedule(
                PREVIOUS_OWNER_GONE_AFTER_MS,
                Event::Input(index, Input::PreviousOwnerGone),
            ),
            Some(false) => {}
        }
        self.schedule(0, Event::Tick(index));
    }

    fn resume(&mut self, owner: usize) {
        self.owners[owner].paused = false;
        for input in std::mem::take(&mut self.owners[owner].queued_inputs) {
            self.input(owner, input);
        }
    }

    pub fn submit(&mut self, home: usize, number: u64, spec: &JobSpec) {
        let job = self.jobs.entry(number).or_default();
        (job.home, job.tasks) = (home, spec.tasks);
        self.reached.insert(Progress::Submitted);
        let Some(owner) = self.current_owner(&shard_name(home)) else {
            return;
        };
        let token = self.token(owner, Caller::Submit(number));
        let (id, now) = (JobId::new(&shard_name(home), number), self.now);
        let shard = &mut self.owners[owner].shard;
        shard.submit(token, &id, spec, None, now);
        self.carry_out(owner);
    }

    pub fn cancel(&mut self, number: u64) {
        let home = shard_name(self.jobs.get(&number).map_or(0, |job| job.home));
        let owner = self
            .current_owner(&home)
            .filter(|&o| !self.owners[o].paused);
        let Some(owner) = owner else {
            return;
        };
        self.jobs.entry(number).or_default().cancel_requested = true;
        let token = self.token(owner, Caller::Cancel(number));
        let now = self.now;
        let shard = &mut self.owners[owner].shard;
        shard.cancel(token, &JobId::new(&home, number), now);
        self.carry_out(owner);
    }

    /// Injects a fault into the shard; a cancellation concerns job `number`.
    pub fn inject(&mut self, fault: Fault, shard: usize, number: u64) {
        let name = shard_name(shard);
        let owner = self.current_owner(&name);
        let link = self.links.entry(name.clone()).or_default();
        match fault {
            Fault::DropCalls(on) => link.drop_calls = on,
            Fault::DropReplies(on) => link.drop_replies = on,
            Fault::DelayCalls(ms) => link.delay_ms = ms,
            Fault::DuplicateCalls(on) => link.duplicate = on,
            Fault::Table(mode) => self.table = mode,
            Fault::Cancel => self.cancel(number),
            Fault::ForceTakeover => self.claim(&name),
            Fault::RestartWorker => {
                let worker = &mut self.workers[shard * self.per_shard];
                worker.boot(self.now);
            }
            Fault::KillOwner => owner
                .into_iter()
                .for_each(|o| self.owners[o].stopped = true),
            Fault::StopOwner => owner.into_iter().for_each(|o| self.owners[o].shard.stop()),
            Fault::PauseOwner(ms) => {
                if let Some(owner) = owner {
                    self.owners[owner].paused = true;
                    self.schedule(ms, Event::Resume(owner));
                }
            }
        }
    }

    /// Clears all lasting faults.
    pub fn clear_faults(&mut self) {
        self.links.clear();
        self.table = TableMode::Up;
    }
}
