//! Checks the scheduler against an oracle that adds up the reservations.

#[allow(dead_code)]
mod decide_support;

use std::collections::{BTreeMap, BTreeSet};

use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::decide::{
    Action, AttemptEnd, JobKey, Policy, TaskDisposition, WorkerKey, WorkerState,
};
use chestnutlug::model::{JobSpec, Lifetime, Outcome, Resources, Urgency};
use decide_support::{KINDS, at, cores, scheduler, spec};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const SEED: u64 = 0x5eed;

fn check(tests: u64, property: fn(Vec<Op>) -> TestResult) {
    let gen_ = Gen::from_size_and_seed(400, SEED);
    QuickCheck::new()
        .rng(gen_)
        .tests(tests)
        .quickcheck(property);
}

#[derive(Clone, Debug)]
enum Op {
    Submit {
        team: u8,
        kind: u8,
        urgency: u8,
        tasks: u8,
        cpu: u8,
        memory: u8,
        flags: u8,
    },
    Decide {
        limit: u8,
    },
    End {
        nth: u8,
        end: u8,
    },
    Usage {
        nth: u8,
        cpu: u8,
        memory: u8,
    },
    Cancel {
        nth: u8,
    },
    State {
        worker: u8,
        state: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut byte = || u8::arbitrary(g);
        match byte() % 12 {
            0..=2 => Op::Submit {
                team: byte(),
                kind: byte(),
                urgency: byte(),
                tasks: byte() % 6 + 1,
                cpu: byte(),
                memory: byte(),
                flags: byte(),
            },
            3..=5 => Op::Decide {
                limit: byte() % 16 + 1,
            },
            6..=7 => Op::End {
                nth: byte(),
                end: byte(),
            },
            8 => Op::Usage {
                nth: byte(),
                cpu: byte(),
                memory: byte(),
            },
            9 => Op::Cancel { nth: byte() },
            10 => Op::State {
                worker: byte(),
                state: byte(),
            },
            _ => Op::Wait {
                ms: u16::arbitrary(g),
            },
        }
    }
}

/// What the oracle knows of a placed task.
#[derive(Clone, Copy, Debug)]
struct Observed {
    worker: WorkerKey,
    reserved: Resources,
    reported: Resources,
}

struct Oracle {
    policy: Scheduler,
    workers: Vec<WorkerKey>,
    jobs: Vec<(JobKey, JobSpec, bool)>,
    placed: BTreeMap<(JobKey, u32), Observed>,
    ended: BTreeMap<(JobKey, u32), Outcome>,
    attempts: BTreeMap<(JobKey, u32), u32>,
    draining: BTreeSet<WorkerKey>,
    capacity: Resources,
    now: u64,
}

impl Oracle {
    fn new() -> Self {
        let capacity = cores(8);
        let (policy, workers) = scheduler(5, capacity);
        Self {
            policy,
            workers,
            jobs: Vec::new(),
            placed: BTreeMap::new(),
            ended: BTreeMap::new(),
            attempts: BTreeMap::new(),
            draining: BTreeSet::new(),
            capacity,
            now: 1,
        }
    }

    fn apply(&mut self, op: &Op) {
        let now = at(self.now);
        match *op {
            Op::Submit {
                team,
                kind,
                urgency,
                tasks,
                cpu,
                memory,
                flags,
            } => {
                let levels = [Urgency::Urgent, Urgency::Normal, Urgency::Patient];
                let need = Resources {
                    cpu_milli: 100 + u32::from(cpu) * 30,
                    memory_mib: 64 + u32::from(memory) * 20,
                    accelerators: 0,
                };
                let team = format!("t{}", team % 4);
                let kind = KINDS[usize::from(kind) % 3];
                let urgency = levels[usize::from(urgency) % 3];
                let mut spec = spec(&team, kind, urgency, tasks.into(), need);
                spec.idempotent = flags & 1 == 0;
                spec.all_at_once = flags & 6 == 0;
                if flags & 24 == 0 {
                    spec.lifetime = Lifetime::Service;
                }
                match self.policy.submit(&spec, now) {
                    Ok(job) => self.jobs.push((job, spec, false)),
                    Err(refusal) => assert!(!self.could_run(&spec), "{refusal}: {spec:?}"),
                }
            }
            Op::Decide { limit } => self.decide(limit.into()),
            Op::End { nth, end } => self.end(nth, end),
            Op::Usage { nth, cpu, memory } => {
                let Some((&(job, index), _)) = self.nth_placed(nth) else {
                    return;
                };
                let usage = Resources {
                    cpu_milli: u32::from(cpu) * 50,
                    memory_mib: u32::from(memory) * 50,
                    accelerators: 0,
                };
                self.policy.usage_reported(job, index, usage, now);
                let seen = self.placed.get_mut(&(job, index)).unwrap();
                seen.reported = Resources::max(&seen.reported, &usage);
            }
            Op::Cancel { nth } => {
                let count = self.jobs.len().max(1);
                let Some((job, _, cancelled)) = self.jobs.get_mut(usize::from(nth) % count) else {
                    return;
                };
                *cancelled = true;
                let job = *job;
                let placed = self.policy.cancel(job, now);
                let known = self.placed.range((job, 0)..=(job, u32::MAX));
                let expected: Vec<_> = known.map(|(&(_, i), seen)| (i, seen.worker)).collect();
                assert_eq!(placed, expected, "the placed tasks of a cancelled job");
            }
            Op::State { worker, state } => {
                let worker = self.workers[usize::from(worker) % self.workers.len()];
                let states = [
                    WorkerState::Available,
                    WorkerState::Unreachable,
                    WorkerState::Draining,
                ];
                let state = states[usize::from(state % 8).saturating_sub(5)];
                self.policy.set_worker_state(worker, state, now);
                self.draining.remove(&worker);
                if state == WorkerState::Draining {
                    self.draining.insert(worker);
                }
            }
            Op::Wait { ms } => self.now += u64::from(ms),
        }
        self.verify();
    }

    /// Returns whether the workers that are not draining could hold the job if they were empty.
    fn could_run(&self, spec: &JobSpec) -> bool {
        let at_once = if spec.all_at_once { spec.tasks } else { 1 };
        let mut fitting = 0;
        for _ in 0..self.workers.len() - self.draining.len() {
            let mut room = self.capacity;
            while spec.resources.fits_in(&room) {
                room = room.minus(&spec.resources);
                fitting += 1;
            }
        }
        fitting >= at_once
    }

    fn nth_placed(&self, nth: u8) -> Option<(&(JobKey, u32), &Observed)> {
        self.placed
            .iter()
            .nth(usize::from(nth) % self.placed.len().max(1))
    }

    fn decide(&mut self, limit: usize) {
        let mut actions = Vec::new();
        self.policy.decide(at(self.now), limit, &mut actions);
        let mut started: BTreeMap<JobKey, u32> = BTreeMap::new();
        for action in actions {
            let Action::Place {
                job,
                index,
                worker,
                reserved,
            } = action
            else {
                continue;
            };
            let (_, spec, cancelled) = self.jobs.iter().find(|known| known.0 == job).unwrap();
            assert!(!cancelled, "a cancelled job was started");
            assert!(
                !self.ended.contains_key(&(job, index)),
                "an ended task was started"
            );
            assert!(
                spec.resources.fits_in(&reserved),
                "less is reserved than declared"
            );
            let attempts = self.attempts.entry((job, index)).or_default();
            *attempts += 1;
            let seen = Observed {
                worker,
                reserved,
                reported: Resources::default(),
            };
            assert!(
                self.placed.insert((job, index), seen).is_none(),
                "placed twice"
            );
            self.verify_capacity(worker);
            *started.entry(job).or_default() += 1;
        }
        for (job, count) in started {
            let (_, spec, _) = self.jobs.iter().find(|known| known.0 == job).unwrap();
            let first = self
                .attempts
                .range((job, 0)..=(job, u32::MAX))
                .all(|(_, &n)| n == 1);
            if spec.all_at_once && first {
                assert_eq!(count, spec.tasks, "only some tasks of a gang were started");
            }
        }
    }

    fn end(&mut self, nth: u8, end: u8) {
        let Some((&(job, index), _)) = self.nth_placed(nth) else {
            return;
        };
        let ends = [
            AttemptEnd::Reported(Outcome::Succeeded),
            AttemptEnd::Reported(Outcome::Failed),
            AttemptEnd::Reported(Outcome::Cancelled),
            AttemptEnd::NeverRan,
            AttemptEnd::Lost,
        ];
        let end = ends[usize::from(end) % ends.len()];
        self.placed.remove(&(job, index));
        let attempts = self.attempts[&(job, index)];
        let after = self
            .policy
            .attempt_ended(job, index, attempts, end, at(self.now));
        let (_, spec, cancelled) = self.jobs.iter().find(|known| known.0 == job).unwrap();
        match after {
            TaskDisposition::Ended(outcome) => {
                self.ended.insert((job, index), outcome);
            }
            TaskDisposition::Queued => {
                assert!(!cancelled, "a cancelled job is queued again");
                let ran = end != AttemptEnd::NeverRan;
                assert!(spec.idempotent || !ran, "a non-idempotent task runs again");
            }
        }
    }

    /// No task may be placed where the sum of the larger of reserved and reported resources exceeds
    /// the capacity.
    fn verify_capacity(&self, worker: WorkerKey) {
        let here = self.placed.values().filter(|seen| seen.worker == worker);
        let sum = here.fold(Resources::default(), |sum, seen| {
            sum.plus(&Resources::max(&seen.reserved, &seen.reported))
        });
        assert!(
            sum.fits_in(&self.capacity),
            "placed beside a task that exceeds its reservation"
        );
    }

    fn verify(&self) {
        for &worker in &self.workers {
            let here = self.placed.values().filter(|seen| seen.worker == worker);
            let sum = here.fold(Resources::default(), |sum, seen| sum.plus(&seen.reserved));
            let reserved = self.policy.reserved(worker);
            assert!(sum.fits_in(&reserved), "less is reserved than was placed");
            assert!(
                reserved.fits_in(&self.capacity),
                "a worker is overcommitted"
            );
        }
        assert_eq!(self.policy.load().placed, self.placed.len() as u64);
    }
}

#[test]
fn never_overcommits_nor_starts_twice_nor_after_a_cancellation() {
    check(400, |ops| {
        let mut oracle = Oracle::new();
        for op in &ops {
            oracle.apply(op);
        }
        TestResult::passed()
    });
}

#[test]
fn all_tasks_end_once_workers_are_available() {
    check(150, |ops| {
        let mut oracle = Oracle::new();
        for op in &ops {
            oracle.apply(op);
        }
        for worker in oracle.workers.clone() {
            oracle
                .policy
                .set_worker_state(worker, WorkerState::Available, at(oracle.now));
        }
        for _ in 0..2_000 {
            oracle.now += 1_000;
            oracle.decide(1_000);
            while !oracle.placed.is_empty() {
                oracle.end(0, 0);
            }
            if oracle.policy.load().queued == 0 {
                return TestResult::passed();
            }
        }
        TestResult::error(format!("{:?} are still queued", oracle.policy.load()))
    });
}
