//! A cell in virtual time: an engine, workers that keep leases and fences, and a store that keeps
//! what is committed.

use std::collections::{BTreeMap, HashMap, HashSet};

use chestnutlug::model::{QueueName, Resources, ServiceName, Time, WorkerName, ZoneName};
use chestnutlug::port::executor::{
    ActiveRun, EndedRun, ExecutorError, Permit, Permits, PollRequest, PollResponse, Rejection,
    RunEnd, StartRequest, WorkerListing, WorkerTarget,
};
use chestnutlug::workflow::record::{WorkflowProgress, WorkflowRecord, WorkflowState};
use chestnutlug::workflow::{
    CommitBatch, Effect, Engine, EngineConfig, PermitLatency, QueuePolicy, ReplyToken, StepSpec,
    TaskId, WorkerKey, WorkflowId, WorkflowSpec,
};

/// One way between the engine and the others.
const WAY_MS: u64 = 1;

/// One transaction.
const COMMIT_MS: u64 = 10;

/// How long an order without an answer is waited for.
const ORDER_TIMEOUT_MS: u64 = 800;

pub const LEASE_MS: u64 = 5_000;

/// A run on a worker.
#[derive(Clone, Debug)]
struct Run {
    run: u32,
    ends_at: Option<u64>,
    end: RunEnd,
    need: Resources,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub listing: WorkerListing,
    clock_offset: u64,
    /// When its process started; its clock counts from then.
    began_ms: u64,
    fencing_token: u64,
    lease_until: u64,
    runs: BTreeMap<TaskId, Run>,
    highest: HashMap<TaskId, u32>,
    ended: Vec<EndedRun>,
    ends: u64,
    /// Whether orders and answers are lost on the way.
    pub silent: bool,
    /// How the next tasks end there.
    pub next_end: RunEnd,
}

/// What happens later.
enum Later {
    Look(WorkerKey, u64, Result<PollResponse, ExecutorError>),
    Start(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    Stop(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    Permits(chestnutlug::workflow::StepId, Vec<WorkerName>),
    Committed(Box<CommitBatch>),
    NotCommitted(Box<CommitBatch>),
}

/// The cell.
pub struct World {
    pub engine: Engine,
    pub now_ms: u64,
    pub workers: Vec<FakeWorker>,
    pub rows: BTreeMap<WorkflowId, WorkflowRecord>,
    pub progress: HashMap<WorkflowId, WorkflowProgress>,
    pub known_workers: Vec<WorkerListing>,
    pub store_refuses: bool,
    pub accepted: HashSet<u64>,
    pub refused: HashSet<u64>,
    pub cancelled: HashSet<u64>,
    /// Broken promises, in words.
    pub broken: Vec<String>,
    /// Starts that workers carried out.
    pub starts: Vec<(u64, TaskId, u32)>,
    pub queue: QueuePolicy,
    /// How long tasks run, in milliseconds.
    pub task_ms: u64,
    done: HashSet<TaskId>,
    later: Vec<(u64, Later)>,
    epoch: u64,
    committing: bool,
}

pub fn queue(permits: bool) -> QueuePolicy {
    QueuePolicy {
        name: QueueName::new("swap"),
        service: ServiceName::new("rota"),
        priority: 0,
        attempts: 3,
        slack_factor: 1.5,
        slo_ms: 250,
        permits: permits.then_some(PermitLatency {
            base_ms: 8.0,
            per_worker_ms: 0.1,
        }),
    }
}

pub fn step(tasks: u32, cpu_milli: u32) -> StepSpec {
    StepSpec {
        tasks,
        need: Resources {
            cpu_milli,
            memory_mib: 100,
            accelerators: 0,
        },
        estimate_ms: 400,
        ..StepSpec::default()
    }
}

impl World {
    pub fn new(workers: u32, permits: bool) -> Self {
        let queue = queue(permits);
        let mut world = Self {
            engine: Engine::new(config(), 1),
            now_ms: 1_000,
            workers: (0..workers).map(fake_worker).collect(),
            rows: BTreeMap::new(),
            progress: HashMap::new(),
            known_workers: Vec::new(),
            store_refuses: false,
            accepted: HashSet::new(),
            refused: HashSet::new(),
            cancelled: HashSet::new(),
            broken: Vec::new(),
            starts: Vec::new(),
            queue,
            task_ms: 400,
            done: HashSet::new(),
            later: Vec::new(),
            epoch: 1,
            committing: false,
        };
        world.engine.set_queues(vec![world.queue.clone()]);
        world.list_workers();
        world
    }

    pub fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    pub fn spec(&self, steps: Vec<StepSpec>) -> WorkflowSpec {
        WorkflowSpec {
            queue: self.queue.clone(),
            payload: "payload".to_owned(),
            steps,
            recurrence: None,
        }
    }

    pub fn submit(&mut self, id: u64, steps: Vec<StepSpec>) {
        let spec = self.spec(steps);
        let now = self.now();
        self.engine
            .submit(WorkflowId(id), spec, ReplyToken(id), now);
    }

    /// Another VM has accepted a workflow, and the owner finds it in an inbox.
    pub fn hand_over(&mut self, id: u64, steps: Vec<StepSpec>) {
        let (spec, now) = (self.spec(steps), self.now());
        self.engine.submit_from_inbox(WorkflowId(id), spec, now);
    }

    pub fn state(&self, id: u64) -> Option<WorkflowState> {
        self.engine.state(WorkflowId(id))
    }

    /// The platform's list is read.
    pub fn list_workers(&mut self) {
        let now = self.now();
        for worker in &self.workers {
            self.engine.set_worker(worker.listing.clone(), now);
        }
    }

    /// The owner is lost and another follows; `queues_known` says whether it knows the configuration
    /// when it takes up what is recorded.
    pub fn take_over(&mut self, queues_known: bool) {
        self.epoch += 1;
        self.committing = false;
        self.later.clear();
        self.engine = Engine::new(config(), self.epoch);
        if queues_known {
            self.engine.set_queues(vec![self.queue.clone()]);
        }
        self.list_workers();
        let now = self.now();
        for listing in self.known_workers.clone() {
            self.engine.restore_worker(listing, now);
        }
        self.engine.begin_recovery(now);
        for (id, record) in &self.rows {
            let progress = self.progress.get(id).cloned().unwrap_or_default();
            self.engine
                .load_workflow(*id, record.clone(), &progress, now);
        }
    }

    /// A worker's process starts anew, which the platform's list does not tell yet; what ran there is
    /// gone.
    pub fn restart_worker_unnoticed(&mut self, index: usize) {
        let mut worker = fake_worker(u32::try_from(index).unwrap());
        worker.listing.boot = self.now_ms;
        worker.began_ms = self.now_ms;
        self.workers[index] = worker;
    }

    /// A worker's process starts anew; what ran there is gone.
    pub fn restart_worker(&mut self, index: usize) {
        self.restart_worker_unnoticed(index);
        let now = self.now();
        self.engine
            .set_worker(self.workers[index].listing.clone(), now);
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 5;
            self.turn();
        }
    }

    fn turn(&mut self) {
        let now_ms = self.now_ms;
        for worker in &mut self.workers {
            worker.pass_time(now_ms);
        }
        let (due, rest) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.later = rest;
        let due: Vec<(u64, Later)> = due;
        for (_, later) in due {
            self.happen(later);
        }
        let now = self.now();
        self.engine.tick(now, now_ms);
        for effect in self.engine.take_effects() {
            self.carry_out(effect);
        }
        if !self.committing
            && let Some(batch) = self.engine.take_batch(89)
        {
            self.committing = true;
            let later = if self.store_refuses {
                Later::NotCommitted(Box::new(batch))
            } else {
                Later::Committed(Box::new(batch))
            };
            self.later.push((now_ms + COMMIT_MS, later));
        }
    }

    fn happen(&mut self, later: Later) {
        let now = self.now();
        match later {
            Later::Look(key, sent, answer) => {
                let sent = Time::from_millis(sent);
                self.engine.handle_poll_response(key, sent, answer, now);
            }
            Later::Start(key, task, run, answer) => {
                self.engine
                    .handle_start_response(key, task, run, answer, now);
            }
            Later::Stop(key, task, run, answer) => {
                self.engine
                    .handle_stop_response(key, task, run, answer, now);
            }
            Later::Permits(step, asked) => {
                let granted = asked.iter().map(|worker| Permit {
                    worker: worker.clone(),
                    token: format!("{step} {worker}"),
                });
                let permits = Permits {
                    granted: granted.collect(),
                    valid_ms: 2_500,
                };
                self.engine
                    .handle_permit_response(step, &asked, Ok(permits), now);
            }
            Later::Committed(batch) => self.commit(&batch),
            Later::NotCommitted(batch) => {
                self.committing = false;
                self.engine.handle_commit_failure(&batch);
            }
        }
    }

    fn commit(&mut self, batch: &CommitBatch) {
        self.committing = false;
        let mut existing = Vec::new();
        for (id, record) in &batch.added {
            match self.rows.get(id) {
                Some(known) => existing.push((*id, known.clone())),
                None => {
                    self.rows.insert(*id, record.clone());
                }
            }
        }
        for (id, progress) in &batch.progress {
            self.progress.insert(*id, progress.clone());
        }
        for (id, state) in &batch.ended {
            self.rows.insert(*id, WorkflowRecord::Ended(*state));
            self.progress.remove(id);
        }
        if let Some(workers) = &batch.workers {
            self.known_workers.clone_from(workers);
        }
        let now = self.now();
        self.engine.handle_commit(batch, &existing, now);
    }

    fn carry_out(&mut self, effect: Effect) {
        let now_ms = self.now_ms;
        match effect {
            Effect::Poll {
                worker,
                target,
                request,
            } => {
                let answer = self
                    .worker(&target)
                    .map(|fake| fake.look(&target, &request, now_ms));
                let (at, answer) = answered(now_ms, answer);
                self.later.push((at, Later::Look(worker, now_ms, answer)));
            }
            Effect::Start {
                worker,
                target,
                request,
            } => {
                let (task, run) = (request.task, request.run);
                let answer = self.start(&target, &request);
                let (at, answer) = answered(now_ms, answer);
                self.later
                    .push((at, Later::Start(worker, task, run, answer)));
            }
            Effect::Stop {
                worker,
                target,
                task,
                run,
            } => {
                let answer = self
                    .worker(&target)
                    .map(|fake| fake.stop(&target, task, run, now_ms));
                let (at, answer) = answered(now_ms, answer);
                self.later
                    .push((at, Later::Stop(worker, task, run, answer)));
            }
            Effect::RequestPermits {
                step,
                workers,
                takes_ms,
                ..
            } => self
                .later
                .push((now_ms + takes_ms + 2, Later::Permits(step, workers))),
            Effect::Accepted(token) => {
                self.accepted.insert(token.0);
            }
            Effect::Refused(token) => {
                self.refused.insert(token.0);
            }
            Effect::Cancelled(token) => {
                self.cancelled.insert(token.0);
            }
        }
    }

    fn worker(&mut self, target: &WorkerTarget) -> Option<&mut FakeWorker> {
        let found = self.workers.iter_mut();
        let mut found = found.filter(|worker| worker.listing.name == target.name);
        found.next().filter(|worker| !worker.silent)
    }

    /// Carries out a start and checks what must hold of each.
    fn start(
        &mut self,
        target: &WorkerTarget,
        request: &StartRequest,
    ) -> Option<Result<u64, ExecutorError>> {
        let (now_ms, task_ms) = (self.now_ms, self.task_ms);
        let task = request.task;
        let need = self.need_of(task);
        let elsewhere = self
            .workers
            .iter()
            .any(|worker| worker.listing.name != target.name && worker.runs.contains_key(&task));
        let was_done = self.done.contains(&task);
        let fake = self.worker(target)?;
        let answer = fake.start(target, request, need, task_ms, now_ms);
        let over = fake.load().fits_in(&fake.listing.capacity);
        if answer.is_ok() {
            self.starts.push((now_ms, task, request.run));
            if elsewhere {
                self.broken.push(format!("{task} runs twice at {now_ms}"));
            }
            if was_done {
                self.broken
                    .push(format!("{task} starts after its end at {now_ms}"));
            }
            if !over {
                self.broken
                    .push(format!("{} is over its capacity", target.name));
            }
        }
        Some(answer)
    }

    fn need_of(&self, task: TaskId) -> Resources {
        match self.rows.get(&task.step.workflow) {
            Some(WorkflowRecord::Active(spec)) => spec.steps[task.step.step as usize].need,
            _ => Resources::default(),
        }
    }

    /// Notes which tasks are done and taken note of, for the checks of later starts.
    pub fn note_done(&mut self) {
        for (id, record) in &self.rows {
            let WorkflowRecord::Active(spec) = record else {
                continue;
            };
            let Some(progress) = self.progress.get(id) else {
                continue;
            };
            for ((occurrence, step), known) in &progress.steps {
                for index in 0..spec.steps[*step as usize].tasks {
                    if known.is_done(index) {
                        let step = chestnutlug::workflow::StepId {
                            workflow: *id,
                            occurrence: *occurrence,
                            step: *step,
                        };
                        self.done.insert(step.task(index));
                    }
                }
            }
        }
    }
}

fn config() -> EngineConfig {
    EngineConfig { lease_ms: LEASE_MS }
}

/// When an answer arrives: after the way back, or its absence after the timeout.
fn answered<T>(
    now_ms: u64,
    answer: Option<Result<T, ExecutorError>>,
) -> (u64, Result<T, ExecutorError>) {
    match answer {
        Some(answer) => (now_ms + 2 * WAY_MS, answer),
        None => {
            let lost = ExecutorError::NoAnswer("lost".to_owned());
            (now_ms + ORDER_TIMEOUT_MS, Err(lost))
        }
    }
}

fn fake_worker(index: u32) -> FakeWorker {
    FakeWorker {
        listing: WorkerListing {
            name: WorkerName::new(format!("w{index}")),
            address: ([127, 0, 0, 1], 7000 + u16::try_from(index).unwrap()).into(),
            service: ServiceName::new("rota"),
            zone: ZoneName::new("a"),
            labels: vec!["a".to_owned(), format!("r{}", index % 3)],
            rack: Some(format!("r{}", index % 3)),
            capacity: Resources {
                cpu_milli: 4_000,
                memory_mib: 4_000,
                accelerators: 0,
            },
            draining: false,
            boot: 1,
        },
        clock_offset: 7_777 * u64::from(index + 1),
        began_ms: 0,
        fencing_token: 0,
        lease_until: 0,
        runs: BTreeMap::new(),
        highest: HashMap::new(),
        ended: Vec::new(),
        ends: 0,
        silent: false,
        next_end: RunEnd::Done,
    }
}

impl FakeWorker {
    fn clock(&self, now_ms: u64) -> u64 {
        now_ms - self.began_ms + self.clock_offset
    }

    /// What runs there occupies.
    fn load(&self) -> Resources {
        let needs = self.runs.values().map(|run| run.need);
        needs.fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn pass_time(&mut self, now_ms: u64) {
        let lapsed = self.clock(now_ms) > self.lease_until;
        let over = |run: &Run| run.ends_at.is_some_and(|at| at <= now_ms);
        let over: Vec<(TaskId, Run)> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || over(run))
            .map(|(task, run)| (*task, run.clone()))
            .collect();
        for (task, run) in over {
            let end = if run.ends_at.is_some_and(|at| at <= now_ms) {
                run.end
            } else {
                RunEnd::Lapsed
            };
            self.end(task, end);
        }
    }

    fn end(&mut self, task: TaskId, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.ends += 1;
        self.ended.push(EndedRun {
            sequence: self.ends,
            task: Some(task),
            run: run.run,
            end,
            checkpoint: None,
        });
    }

    fn check_fence(&mut self, target: &WorkerTarget) -> Result<(), ExecutorError> {
        if target.fencing_token < self.fencing_token {
            return Err(ExecutorError::Rejected(Rejection::Fenced));
        }
        self.fencing_token = target.fencing_token;
        Ok(())
    }

    fn look(
        &mut self,
        target: &WorkerTarget,
        request: &PollRequest,
        now_ms: u64,
    ) -> Result<PollResponse, ExecutorError> {
        self.check_fence(target)?;
        self.lease_until = self.lease_until.max(request.lease_until_ms.unwrap_or(0));
        self.ended
            .retain(|ended| ended.sequence > request.acknowledged);
        let running = self.runs.iter().map(|(task, run)| ActiveRun {
            task: Some(*task),
            run: run.run,
            checkpoint: None,
            progress_percent: 0,
        });
        Ok(PollResponse {
            boot: self.listing.boot,
            clock_ms: self.clock(now_ms),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    fn start(
        &mut self,
        target: &WorkerTarget,
        request: &StartRequest,
        need: Resources,
        task_ms: u64,
        now_ms: u64,
    ) -> Result<u64, ExecutorError> {
        self.check_fence(target)?;
        if request.lease_until_ms <= self.clock(now_ms) {
            return Err(ExecutorError::Rejected(Rejection::Late));
        }
        let highest = self.highest.get(&request.task).copied().unwrap_or(0);
        if request.run <= highest {
            return Err(ExecutorError::Rejected(Rejection::Outdated));
        }
        self.highest.insert(request.task, request.run);
        self.lease_until = self.lease_until.max(request.lease_until_ms);
        let run = Run {
            run: request.run,
            ends_at: Some(now_ms + task_ms),
            end: self.next_end,
            need,
        };
        self.runs.insert(request.task, run);
        Ok(self.clock(now_ms))
    }

    fn stop(
        &mut self,
        target: &WorkerTarget,
        task: TaskId,
        run: u32,
        now_ms: u64,
    ) -> Result<u64, ExecutorError> {
        self.check_fence(target)?;
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        if self.runs.get(&task).is_some_and(|known| known.run == run) {
            self.end(task, RunEnd::Stopped);
        }
        Ok(self.clock(now_ms))
    }
}
