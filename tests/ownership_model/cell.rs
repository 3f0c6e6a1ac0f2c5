//! One shard, its table and its worker, shared by the threads of a model.
//!
//! Each operation on the table and each call to the worker is one step. The model checker chooses
//! the thread that takes the next step; a thread that is not chosen models a paused process.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutlug::decide::BalanceCredit;
use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::model::{JobId, Time};
use chestnutlug::node::claim::{claim_shard, read_shard_rows};
use chestnutlug::node::commit::commit_fenced;
use chestnutlug::port::BoxFuture;
use chestnutlug::port::table::{Row, Table, TableError, Txn};
use chestnutlug::port::worker::{SyncRequest, SyncResponse, WorkerError};
use chestnutlug::shard::job::ReplyToken;
use chestnutlug::shard::rows::{JobRow, OwnerRef, decode, job_key, shard_key};
use chestnutlug::shard::worker_session::WorkerChannel;
use chestnutlug::shard::{Effect, Shard};
use chestnutlug::standin::worker::StandinWorker;
use shuttle::future::block_on;
use shuttle::sync::atomic::{AtomicU64, Ordering};

use crate::support::oracle::{ObservedJob, find_violations};
use crate::support::table::MemoryTable;
use crate::support::{WORKER_CORES, config, cores, job, shard_name, times, worker_name};

/// The only job's number.
const JOB: u64 = 1;

/// How long the task runs, in milliseconds: longer than the interleaved steps.
const RUN_MS: u64 = 2_000;

/// How far the last owner's clock advances between its rounds: less than a lease.
const FINAL_STEP: Duration = Duration::from_millis(250);

/// How far an owner's clock advances in each round.
const ROUND_DURATION: Duration = Duration::from_millis(10);

/// The number of rounds of the last owner.
const FINAL_STEPS: usize = 20;

/// The credit of every team, more than it can spend.
const AMPLE_CREDIT: BalanceCredit = BalanceCredit {
    core_ms: 1 << 40,
    more_available: false,
    max_cpu_milli: None,
};

/// The state that outlives the owners.
struct Inner {
    rows: MemoryTable,
    worker: StandinWorker,
    /// Whether the response to the next transaction is lost.
    loses_response: bool,
}

/// The table and the worker.
#[derive(Clone)]
pub struct Cell {
    inner: Arc<Mutex<Inner>>,
    steps: Arc<AtomicU64>,
}

impl Cell {
    pub fn new() -> Self {
        let inner = Inner {
            rows: MemoryTable::default(),
            worker: StandinWorker::new(worker_name(0).as_str().into(), cores(WORKER_CORES)),
            loses_response: false,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            steps: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Takes one step; the model checker may run other threads before it.
    fn step<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        self.steps.fetch_add(1, Ordering::SeqCst);
        f(&mut self.inner.lock().unwrap())
    }

    pub fn restart_worker(&self, now: Time) {
        self.step(|inner| inner.worker.boot(now));
    }

    pub fn lose_next_response(&self) {
        self.step(|inner| inner.loses_response = true);
    }

    fn sync(&self, call: &SyncRequest, now: Time) -> Result<SyncResponse, WorkerError> {
        self.step(|inner| inner.worker.sync(call, now))
    }

    /// The violations that the oracle finds at the end.
    pub fn check_oracle(&self, expected: &ObservedJob, now: Time) -> Vec<String> {
        let mut inner = self.inner.lock().unwrap();
        inner.worker.tick(now);
        let row = inner.rows.get(&job_key(&JobId::new(&shard_name(), JOB)));
        let row = row.and_then(|row| decode::<JobRow>(&row.value).ok());
        let expected = ObservedJob {
            stored: row.and_then(|row| Some((format!("{:?}", row.outcome?), row.results))),
            ..expected.clone()
        };
        find_violations(&[inner.worker.journal()], &[(JOB, expected)].into(), now.0)
    }
}

impl Table for Cell {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            self.step(|inner| {
                inner.rows.apply(txn)?;
                match std::mem::take(&mut inner.loses_response) {
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

/// A process that owns the shard until it learns that it is fenced.
pub struct Owner {
    cell: Cell,
    shard: Shard,
    now: Time,
    accepted: bool,
    /// The long poll that is pending at the worker, until the next round.
    pending_watch: Option<(usize, SyncRequest)>,
}

impl Owner {
    /// Claims the shard from its current owner; `None` if another process claims it first.
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
            shard.add_balance(team, &AMPLE_CREDIT, now);
        }
        if claimed.previous_owner.is_none() {
            shard.previous_owner_gone(now);
        }
        Some(Self {
            cell: cell.clone(),
            shard,
            now,
            accepted: false,
            pending_watch: None,
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
            self.now = self.now + ROUND_DURATION;
            self.finish_pending_watch();
            self.shard.tick(self.now);
            if !self.run_effects() {
                return;
            }
        }
    }

    /// Lets time pass until the job has ended; returns the time then.
    pub fn run_to_end(&mut self) -> Time {
        for _ in 0..FINAL_STEPS {
            self.run(1);
            self.now = self.now + FINAL_STEP;
        }
        self.now
    }

    fn finish_pending_watch(&mut self) {
        if let Some((worker_index, call)) = self.pending_watch.take() {
            let result = self.cell.sync(&call, self.now);
            self.shard.handle_worker_result(
                worker_index,
                WorkerChannel::LongPoll,
                result,
                self.now,
            );
        }
    }

    /// Carries out effects until there are none; returns whether this process still owns the shard.
    fn run_effects(&mut self) -> bool {
        loop {
            let effects = self.shard.take_effects();
            if effects.is_empty() {
                return true;
            }
            for effect in effects {
                if !self.run_effect(effect) {
                    return false;
                }
            }
        }
    }

    fn run_effect(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Commit(txn) => {
                let outcome = block_on(commit_fenced(&self.cell, &txn));
                self.shard.handle_commit_outcome(outcome, self.now);
            }
            Effect::CallWorker {
                worker_index,
                channel: WorkerChannel::LongPoll,
                call,
                ..
            } => self.pending_watch = Some((worker_index, call)),
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
            // There is no other shard that could have a part of a gang.
            Effect::CallPartOwner { .. } | Effect::TaskStarted { .. } => {}
        }
        true
    }
}
