//! Tests single rules of the scheduler with tables of cases.

mod decide_support;

use std::collections::{BTreeMap, BTreeSet};

use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::decide::{Action, AttemptEnd, JobKey, Policy, TaskDisposition, WorkerKey};
use chestnutlug::model::{JobSpec, Lifetime, Outcome, Resources, Urgency};
use decide_support::{at, cores, decide, scheduler, spec};

const SUCCEEDED: AttemptEnd = AttemptEnd::Reported(Outcome::Succeeded);
const FAILED: AttemptEnd = AttemptEnd::Reported(Outcome::Failed);
const STOPPED: AttemptEnd = AttemptEnd::Reported(Outcome::Cancelled);

fn gang(team: &str, tasks: u32, need: Resources) -> JobSpec {
    JobSpec {
        all_at_once: true,
        ..spec(team, "check", Urgency::Normal, tasks, need)
    }
}

fn placed(actions: &[Action]) -> Vec<(JobKey, u32, WorkerKey)> {
    let place = |action: &Action| match *action {
        Action::Place {
            job, index, worker, ..
        } => Some((job, index, worker)),
        _ => None,
    };
    actions.iter().filter_map(place).collect()
}

/// Workers under a stream of small tasks that never leaves room for a large one by itself.
struct TaskStream {
    policy: Scheduler,
    running: Vec<(u64, JobKey, u32)>,
    now_ms: u64,
}

impl TaskStream {
    fn new(workers: u32, capacity: Resources) -> Self {
        let (policy, _) = scheduler(workers, capacity);
        Self {
            policy,
            running: Vec::new(),
            now_ms: 0,
        }
    }

    /// Advances by 100 ms; returns the placed tasks.
    fn step(&mut self, small_ms: u64) -> Vec<(JobKey, u32, WorkerKey)> {
        self.now_ms += 100;
        let now = at(self.now_ms);
        let due = |run: &mut (u64, JobKey, u32)| run.0 <= self.now_ms;
        let ended: Vec<_> = self.running.extract_if(.., due).collect();
        for (_, job, index) in ended {
            self.policy.attempt_ended(job, index, 1, SUCCEEDED, now);
        }
        while self.policy.load().queued < 40 {
            let small = spec("t0", "swap", Urgency::Normal, 4, cores(1));
            self.policy.submit(&small, now).unwrap();
        }
        let placed = placed(&decide(&mut self.policy, now));
        for (i, &(job, index, _)) in placed.iter().enumerate() {
            let run_ms = small_ms + i as u64 % 7 * 300;
            self.running.push((self.now_ms + run_ms, job, index));
        }
        placed
    }
}

struct Starved {
    name: &'static str,
    jobs: Vec<JobSpec>,
}

#[test]
fn small_tasks_starve_neither_gangs_nor_large_tasks() {
    let cases = [
        Starved {
            name: "a gang",
            jobs: vec![gang("t1", 6, cores(4))],
        },
        Starved {
            name: "two gangs that together do not fit",
            jobs: vec![gang("t1", 12, cores(4)), gang("t2", 12, cores(4))],
        },
        Starved {
            name: "a task as large as a worker",
            jobs: vec![spec("t1", "compile", Urgency::Patient, 1, cores(16))],
        },
    ];
    for case in cases {
        let mut stream = TaskStream::new(4, cores(16));
        for _ in 0..50 {
            stream.step(1_000);
        }
        let now = at(stream.now_ms);
        let submit = |job| stream.policy.submit(job, now).unwrap();
        let waiting: Vec<_> = case.jobs.iter().map(submit).collect();
        let mut counts: BTreeMap<JobKey, usize> = BTreeMap::new();
        for _ in 0..1_200 {
            let mut placed_now: BTreeMap<JobKey, usize> = BTreeMap::new();
            for (job, ..) in stream.step(1_000) {
                *placed_now.entry(job).or_default() += 1;
            }
            for (job, spec) in waiting.iter().zip(&case.jobs) {
                if let Some(&count) = placed_now.get(job) {
                    assert_eq!(
                        count, spec.tasks as usize,
                        "{}: not started together",
                        case.name
                    );
                    counts.insert(*job, count);
                }
            }
        }
        assert_eq!(counts.len(), waiting.len(), "{}: starved", case.name);
    }
}

struct Spread {
    name: &'static str,
    replicas: u32,
    zones: usize,
    workers: usize,
}

#[test]
fn replicas_are_spread_over_zones_and_workers() {
    let cases = [
        Spread {
            name: "one per zone",
            replicas: 3,
            zones: 3,
            workers: 3,
        },
        Spread {
            name: "more than zones",
            replicas: 6,
            zones: 3,
            workers: 6,
        },
        Spread {
            name: "two",
            replicas: 2,
            zones: 2,
            workers: 2,
        },
    ];
    for case in cases {
        let (mut policy, workers) = scheduler(12, cores(16));
        let job = JobSpec {
            lifetime: Lifetime::Service,
            ..spec("t0", "compile", Urgency::Normal, case.replicas, cores(2))
        };
        policy.submit(&job, at(0)).unwrap();
        let on: Vec<_> = placed(&decide(&mut policy, at(0)));
        let position = |worker| workers.iter().position(|&known| known == worker).unwrap();
        let on: BTreeSet<_> = on.iter().map(|place| position(place.2)).collect();
        let zones: BTreeSet<_> = on.iter().map(|worker| worker % 3).collect();
        assert_eq!(on.len(), case.workers, "{}", case.name);
        assert_eq!(zones.len(), case.zones, "{}", case.name);
    }
}

struct Preempted {
    name: &'static str,
    running: JobSpec,
    is_preempted: bool,
}

#[test]
fn only_interruptible_patient_tasks_are_preempted_for_urgent_ones() {
    let patient = spec("t0", "compile", Urgency::Patient, 4, cores(4));
    let cases = [
        Preempted {
            name: "patient",
            running: patient.clone(),
            is_preempted: true,
        },
        Preempted {
            name: "normal",
            running: JobSpec {
                urgency: Urgency::Normal,
                ..patient.clone()
            },
            is_preempted: false,
        },
        Preempted {
            name: "non-idempotent",
            running: JobSpec {
                idempotent: false,
                ..patient.clone()
            },
            is_preempted: false,
        },
        Preempted {
            name: "a service",
            running: JobSpec {
                lifetime: Lifetime::Service,
                ..patient.clone()
            },
            is_preempted: false,
        },
        Preempted {
            name: "a gang",
            running: JobSpec {
                all_at_once: true,
                ..patient
            },
            is_preempted: false,
        },
    ];
    for case in cases {
        let (mut policy, _) = scheduler(1, cores(16));
        policy.submit(&case.running, at(0)).unwrap();
        assert_eq!(
            placed(&decide(&mut policy, at(0))).len(),
            4,
            "{}",
            case.name
        );
        let swap = policy
            .submit(&spec("t1", "swap", Urgency::Urgent, 1, cores(1)), at(1))
            .unwrap();
        assert!(decide(&mut policy, at(2)).is_empty(), "{}", case.name);
        let actions = decide(&mut policy, at(500));
        let Some(&Action::Checkpoint { job, index, .. }) = actions.first() else {
            assert!(!case.is_preempted, "{}: {actions:?}", case.name);
            continue;
        };
        assert!(
            case.is_preempted && actions.len() == 1,
            "{}: {actions:?}",
            case.name
        );
        assert!(
            decide(&mut policy, at(600)).is_empty(),
            "{}: checkpointed twice",
            case.name
        );
        let after = policy.attempt_ended(job, index, 1, STOPPED, at(900));
        assert_eq!(after, TaskDisposition::Queued, "{}", case.name);
        assert_eq!(
            placed(&decide(&mut policy, at(901)))[0].0,
            swap,
            "{}",
            case.name
        );
    }
}

struct Overusing {
    name: &'static str,
    idempotent: bool,
    usage: Resources,
    /// Expected actions after usage reports at 1 s, 4 s, 7 s and 10 s.
    actions: [&'static str; 4],
}

#[test]
fn overusing_tasks_are_throttled_then_checkpointed_then_stopped() {
    let memory = Resources {
        memory_mib: 20_000,
        ..cores(4)
    };
    let cases = [
        Overusing {
            name: "grows",
            idempotent: true,
            usage: cores(6),
            actions: [""; 4],
        },
        Overusing {
            name: "processors",
            idempotent: true,
            usage: Resources {
                cpu_milli: 14_000,
                ..cores(4)
            },
            actions: ["throttle", "checkpoint", "stop", ""],
        },
        Overusing {
            name: "memory",
            idempotent: true,
            usage: memory,
            actions: ["checkpoint", "stop", "", ""],
        },
        Overusing {
            name: "processors, non-idempotent",
            idempotent: false,
            usage: Resources {
                cpu_milli: 14_000,
                ..cores(4)
            },
            actions: ["throttle", "stop", "", ""],
        },
        Overusing {
            name: "memory, non-idempotent",
            idempotent: false,
            usage: memory,
            actions: ["stop", "", "", ""],
        },
    ];
    for case in cases {
        let (mut policy, workers) = scheduler(1, cores(16));
        let other = spec("t1", "check", Urgency::Normal, 1, cores(8));
        policy.submit(&other, at(0)).unwrap();
        let job = JobSpec {
            idempotent: case.idempotent,
            ..spec("t0", "compile", Urgency::Patient, 1, cores(4))
        };
        let key = policy.submit(&job, at(0)).unwrap();
        assert_eq!(
            placed(&decide(&mut policy, at(0))).len(),
            2,
            "{}",
            case.name
        );
        for (i, expected) in (0..).zip(case.actions) {
            let now = at(1_000 + i * 3_000);
            policy.usage_reported(key, 0, case.usage, now);
            let actions = decide(&mut policy, now);
            let names = actions.iter().map(|action| match action {
                Action::Place { .. } => "place",
                Action::Throttle { allowed, .. } if cores(4).fits_in(allowed) => "throttle",
                Action::Throttle { .. } => "throttle below the declared resources",
                Action::Checkpoint { .. } => "checkpoint",
                Action::Stop { .. } => "stop",
            });
            let names: Vec<_> = names.collect();
            assert_eq!(names.join(" "), expected, "{}: report {i}", case.name);
            assert!(
                policy.reserved(workers[0]).fits_in(&cores(16)),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn throttling_is_lifted_once_resources_are_free() {
    let (mut policy, _) = scheduler(1, cores(16));
    let other = policy
        .submit(&spec("t1", "check", Urgency::Normal, 1, cores(12)), at(0))
        .unwrap();
    let job = policy
        .submit(&spec("t0", "compile", Urgency::Patient, 1, cores(4)), at(0))
        .unwrap();
    decide(&mut policy, at(0));
    policy.usage_reported(
        job,
        0,
        Resources {
            cpu_milli: 6_000,
            ..cores(4)
        },
        at(1),
    );
    assert!(matches!(
        decide(&mut policy, at(1))[..],
        [Action::Throttle { .. }]
    ));
    policy.attempt_ended(other, 0, 1, SUCCEEDED, at(2));
    let actions = decide(&mut policy, at(2));
    assert!(
        matches!(actions[..], [Action::Throttle { allowed, .. }] if allowed.cpu_milli == 6_000),
        "{actions:?}"
    );
}

struct Failing {
    name: &'static str,
    /// Whether an attempt fails, by index of the worker and of the job.
    fails: fn(usize, usize) -> bool,
    set_aside: usize,
}

#[test]
fn failing_workers_are_set_aside_but_not_for_bad_jobs() {
    let cases = [
        Failing {
            name: "no failures",
            fails: |_, _| false,
            set_aside: 0,
        },
        Failing {
            name: "one bad worker",
            fails: |worker, _| worker == 3,
            set_aside: 1,
        },
        Failing {
            name: "never more than a fifth",
            fails: |worker, _| worker < 6,
            set_aside: 2,
        },
        Failing {
            name: "bad jobs",
            fails: |_, job| job % 5 == 0,
            set_aside: 0,
        },
    ];
    for case in cases {
        let (mut policy, workers) = scheduler(10, cores(4));
        let mut jobs: Vec<JobKey> = Vec::new();
        let mut max_set_aside = 0;
        for round in 0..40 {
            let now = at(round * 500);
            while policy.load().queued < 40 {
                let job = spec("t0", "check", Urgency::Normal, 1, cores(1));
                jobs.push(policy.submit(&job, now).unwrap());
            }
            for (job, index, worker) in placed(&decide(&mut policy, now)) {
                let number = jobs.iter().position(|&known| known == job).unwrap();
                let place = workers.iter().position(|&known| known == worker).unwrap();
                let end = if (case.fails)(place, number) {
                    FAILED
                } else {
                    SUCCEEDED
                };
                policy.attempt_ended(job, index, 1, end, now);
            }
            let set_aside: Vec<&WorkerKey> = workers
                .iter()
                .filter(|&&worker| policy.is_set_aside(worker))
                .collect();
            let rows = policy.set_aside_workers(now);
            assert_eq!(
                rows.len(),
                set_aside.len(),
                "{}: list of workers set aside",
                case.name
            );
            assert!(rows.iter().all(|row| set_aside.contains(&&row.worker)));
            max_set_aside = max_set_aside.max(set_aside.len());
        }
        assert_eq!(max_set_aside, case.set_aside, "{}", case.name);
    }
}

#[test]
fn set_aside_worker_is_back_in_service_after_a_successful_probe() {
    let (mut policy, workers) = scheduler(5, cores(1));
    let mut is_bad = true;
    let mut probes = 0;
    for round in 0..3_000 {
        let now = at(round * 100);
        is_bad &= probes < 2;
        while policy.load().queued < 20 {
            policy
                .submit(&spec("t0", "check", Urgency::Normal, 1, cores(1)), now)
                .unwrap();
        }
        for (job, index, worker) in placed(&decide(&mut policy, now)) {
            probes += usize::from(policy.is_set_aside(worker));
            let end = if is_bad && worker == workers[2] {
                FAILED
            } else {
                SUCCEEDED
            };
            policy.attempt_ended(job, index, 1, end, now);
        }
    }
    assert_eq!(probes, 3, "two failed probes and a successful one");
    assert!(!policy.is_set_aside(workers[2]));
}
