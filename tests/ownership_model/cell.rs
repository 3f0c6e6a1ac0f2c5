//! One shard, its table and its worker, shared by the threads of a model.
//!
//! Each operation of the table and each call to the worker is one step; the model checker chooses
//! whose step comes next, so that a thread that is not chosen is a paused process.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutlug::decide::BalanceCredit;
use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::model::{JobId, Time};
use chestnutlug::node::claim::{claim_shard, read_shard_rows};
use chestnutlug::node::commit::commit_fenced;
use chestnutlug::port::BoxFuture;
use chestnutlug::port::table::{Row, Table, TableError, Txn};
use chestnutlug::port::worker::{SyncAnswer, SyncCall, WorkerError};
use chestnutlug::shard::job::ReplyToken;
use chestnutlug::shard::rows::{JobRow, OwnerRef, decode, job_key, shard_key};
use chestnutlug::shard::worker_session::WorkerChannel;
use chestnutlug::shard::{Effect, Shard};
use chestnutlug::standin::worker::Worker;
use shuttle::future::block_on;
use shuttle::sync::atomic::{AtomicU64, Ordering};

use crate::support::oracle::{ObservedJob, find_violations};
use crate::support::table::MemoryTable;
use crate::support::{WORKER_CORES, config, cores, job, shard_name, times, worker_name};

/// The only job's number.
const JOB: u64 = 1;

/// How long the task runs, in milliseconds: longer than the steps that are interleaved.
const RUN_MS: u64 = 2_000;

/// How far time goes on at once while everything ends: less than a lease.
const END_STEP: Duration = Duration::from_millis(250);

/// By how much an owner's clock goes on from one of its rounds to the next.
const ROUND: Duration = Duration::from_millis(10);

/// How often time goes on while everything ends.
const END_STEPS: usize = 20;

/// What every team may spend.
const AMPLE: BalanceCredit = BalanceCredit {
    core_ms: 1 << 40,
    more_available: false,
    max_cpu_milli: None,
};

/// What outlives the owners.
struct Inner {
    rows: MemoryTable,
    worker: Worker,
    /// Whether the answer of the next transaction is lost.
    loses_answer: bool,
}

/// The platform and the worker.
#[derive(Clone)]
pub struct Cell {
    inner: Arc<Mutex<Inner>>,
    steps: Arc<AtomicU64>,
}

impl Cell {
    pub fn new() -> Self {
        let inner = Inner {
            rows: MemoryTable::default(),
            worker: Worker::new(worker_name(0).as_str().into(), cores(WORKER_CORES)),
            loses_answer: false,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            steps: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Does one step; the model checker may run other threads before it.
    fn step<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        self.steps.fetch_add(1, Ordering::SeqCst);
        f(&mut self.inner.lock().unwrap())
    }

    pub fn restart_worker(&self, now: Time) {
        self.step(|inner| inner.worker.boot(now));
    }

    pub fn lose_an_answer(&self) {
        self.step(|inner| inner.loses_answer = true);
    }

    fn sync(&self, call: &SyncCall, now: Time) -> Result<SyncAnswer, WorkerError> {
        self.step(|inner| inner.worker.sync(call, now))
    }

    /// What the oracle finds wrong at the end.
    pub fn judge(&self, told: &ObservedJob, now: Time) -> Vec<String> {
        let mut inner = self.inner.lock().unwrap();
        inner.worker.tick(now);
        let row = inner.rows.get(&job_key(&JobId::new(&shard_name(), JOB)));
        let row = row.and_then(|row| decode::<JobRow>(&row.value).ok());
        let told = ObservedJob {
            stored: row.and_then(|row| Some((format!("{:?}", row.outcome?), row.results))),
            ..told.clone()
        };
        find_violations(&[inner.worker.journal()], &[(JOB, told)].into(), now.0)
    }
}

impl Table for Cell {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            self.step(|inner| {
                inner.rows.apply(txn)?;
                match std::mem::take(&mut inner.loses_answer) {
                    true => Err(TableError::Unanswered("lost".to_owned())),
                    false => Ok(()),
                }
            })
        })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move { Ok(self.step(|inner| inner.rows.get(key))) })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        _after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        Box::pin(async move { Ok(self.step(|inner| inner.rows.scan(prefix))) })
    }
}

/// A process that owns the shard, until it learns that another does.
pub struct Owner {
    cell: Cell,
    shard: Shard,
    now: Time,
    accepted: bool,
    /// A call that waits at the worker for something to happen, until the next round.
    watch: Option<(usize, SyncCall)>,
}

impl Owner {
    /// Claims the shard from whoever has it; `None` where another process was faster.
    pub fn claim(cell: &Cell, incarnation: u64, now: Time) -> Option<Self> {
        let me = OwnerRef {
            vm: format!("vm-{incarnation}").as_str().into(),
            incarnation,
        };
        let seen = block_on(cell.read(&shard_key(&shard_name()))).ok()?;
        let version = seen.map_or(0, |row| row.version);
        let claimed = block_on(claim_shard(cell, &shard_name(), version, &me)).ok()?;
        let rows = block_on(read_shard_rows(cell, &shard_name())).ok()?;
        let cfg = config(1);
        let policy = Box::new(Scheduler::new(incarnation));
        let mut shard = Shard::open(
            &shard_name(),
            claimed.row,
            claimed.version,
            &rows,
            &cfg,
            policy,
            times(),
            now,
        )
        .expect("readable rows");
        for team in cfg.team.keys() {
            shard.add_balance(team, &AMPLE, now);
        }
        if claimed.previous_owner.is_none() {
            shard.previous_owner_gone(now);
        }
        Some(Self {
            cell: cell.clone(),
            shard,
            now,
            accepted: false,
            watch: None,
        })
    }

    pub fn submit(&mut self, idempotent: bool) {
        let spec = job(1, 1, idempotent, RUN_MS, "r");
        let id = JobId::new(&shard_name(), JOB);
        self.shard.submit(ReplyToken(1), &id, &spec, None, self.now);
    }

    pub fn accepted(&self) -> bool {
        self.accepted
    }

    /// Lets time pass by `rounds` rounds.
    pub fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now = self.now + ROUND;
            self.end_watch();
            self.shard.tick(self.now);
            if !self.carry_out() {
                return;
            }
        }
    }

    /// Lets time pass until everything has ended.
    pub fn run_out(&mut self) -> Time {
        for _ in 0..END_STEPS {
            self.run(1);
            self.now = self.now + END_STEP;
        }
        self.now
    }

    fn end_watch(&mut self) {
        if let Some((worker_index, call)) = self.watch.take() {
            let result = self.cell.sync(&call, self.now);
            self.shard.handle_worker_result(
                worker_index,
                WorkerChannel::LongPoll,
                result,
                self.now,
            );
        }
    }

    /// Carries out effects until none follow; returns whether this process still owns the shard.
    fn carry_out(&mut self) -> bool {
        loop {
            let effects = self.shard.take_effects();
            if effects.is_empty() {
                return true;
            }
            for effect in effects {
                if !self.carry_out_one(effect) {
                    return false;
                }
            }
        }
    }

    fn carry_out_one(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Commit(txn) => {
                let end = block_on(commit_fenced(&self.cell, &txn));
                self.shard.handle_commit_outcome(end, self.now);
            }
            Effect::CallWorker {
                worker_index,
                channel: WorkerChannel::LongPoll,
                call,
                ..
            } => self.watch = Some((worker_index, call)),
            Effect::CallWorker {
                worker_index,
                channel,
                call,
                ..
            } => {
                let result = self.cell.sync(&call, self.now);
                self.shard
                    .handle_worker_result(worker_index, channel, result, self.now);
            }
            Effect::Reply { reply, .. } => {
                use chestnutlug::message::Reply;
                self.accepted |= matches!(reply, Reply::Submitted { .. });
            }
            Effect::Fenced | Effect::Released => return false,
            // There is no other shard that could hold a part.
            Effect::CallPartOwner { .. } | Effect::TaskStarted { .. } => {}
        }
        true
    }
}
