//! The load of a busy shard, and what callers get under it: wide gangs that few workers may run,
//! beside wide steps of less urgent work that fill the fleet and urgent steps that may hardly wait.

use chestnutlug::model::{QueueName, Resources};
use chestnutlug::workflow::{PermitLatency, QueuePolicy, StepSpec};

use super::world::{World, queue, step};

/// How long the load lasts, in milliseconds.
const LOAD_MS: u64 = 30_000;

/// How long the world runs on after that, in milliseconds.
const DRAIN_MS: u64 = 30_000;

/// The number of VMs that request permits for the shard. With a single one, the long request of a gang
/// would delay those of urgent steps.
const PERMIT_REQUESTERS: usize = 24;

/// A kind of work: its queue, its step, and how often it is submitted.
struct Kind {
    queue: QueuePolicy,
    eligible_percent: u64,
    step: StepSpec,
    interval_ms: u64,
}

impl Kind {
    /// The time within which a workflow of this kind has to be complete, in milliseconds.
    fn objective_ms(&self) -> u64 {
        let objective = self
            .queue
            .latency_objective(u64::from(self.step.estimate_ms));
        u64::try_from(objective.as_millis()).unwrap()
    }
}

fn policy(
    name: &str,
    priority: u8,
    (slack_factor, slo_ms): (f64, u64),
    permits: (f64, f64),
) -> QueuePolicy {
    QueuePolicy {
        name: QueueName::new(name),
        priority,
        slack_factor,
        slo_ms,
        permits: Some(PermitLatency {
            base_ms: permits.0,
            per_worker_ms: permits.1,
        }),
        ..queue(true)
    }
}

fn sized(tasks: u32, cpu_milli: u32, estimate_ms: u32) -> StepSpec {
    StepSpec {
        estimate_ms,
        ..step(tasks, cpu_milli)
    }
}

fn gangs(tasks: u32, cpu_milli: u32, interval_ms: u64) -> Kind {
    Kind {
        queue: policy("rebuild", 1, (2.2, 1_000), (507.0, 7.3)),
        eligible_percent: 35,
        step: StepSpec {
            gang: true,
            ..sized(tasks, cpu_milli, 6_200)
        },
        interval_ms,
    }
}

fn checks(interval_ms: u64) -> Kind {
    Kind {
        queue: policy("check", 2, (4.0, 3_000), (182.0, 2.6)),
        eligible_percent: 45,
        step: sized(32, 2_700, 3_400),
        interval_ms,
    }
}

fn swaps(interval_ms: u64) -> Kind {
    Kind {
        queue: policy("swap", 0, (1.5, 250), (14.0, 0.2)),
        eligible_percent: 70,
        step: sized(4, 3_900, 800),
        interval_ms,
    }
}

/// The share of each kind's workflows that are complete within their objective.
fn play(workers: u32, kinds: &[Kind]) -> Vec<f64> {
    let mut world = World::new(workers, true);
    world.set_capacity(Resources {
        cpu_milli: 16_000,
        memory_mib: 64_000,
        accelerators: 0,
    });
    world.task_ms = None;
    world.engine.set_permit_requesters(PERMIT_REQUESTERS);
    let queues = kinds.iter().map(|kind| kind.queue.clone());
    world.engine.set_queues(queues.collect());
    for kind in kinds {
        let name = kind.queue.name.clone();
        world.eligible_percent.insert(name, kind.eligible_percent);
    }
    world.run_for(500);
    let start_ms = world.now_ms;
    let mut submitted = Vec::new();
    while world.now_ms < start_ms + LOAD_MS {
        for (kind, number) in kinds.iter().zip(0..) {
            if (world.now_ms - start_ms).is_multiple_of(kind.interval_ms) {
                let id = submitted.len() as u64;
                world.queue = kind.queue.clone();
                world.submit(id, vec![kind.step.clone()]);
                submitted.push((number, world.now_ms));
            }
        }
        world.run_for(5);
    }
    world.run_for(DRAIN_MS);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let of_kind = |number: usize| {
        let ids = submitted.iter().zip(0u64..);
        ids.filter(move |((kind, _), _)| *kind == number)
    };
    let in_time = |kind: &Kind, at_ms: u64, id: u64| {
        let completed = world.completed.get(&id);
        completed.is_some_and(|end_ms| *end_ms <= at_ms + kind.objective_ms())
    };
    kinds
        .iter()
        .enumerate()
        .map(|(number, kind)| {
            let all = of_kind(number).count();
            let met = of_kind(number).filter(|((_, at_ms), id)| in_time(kind, *at_ms, *id));
            met.count() as f64 / all as f64
        })
        .collect()
}

#[test]
fn callers_of_each_kind_are_served_in_time_on_a_busy_shard() {
    struct Case {
        name: &'static str,
        workers: u32,
        kinds: Vec<Kind>,
        /// The least share in time, by kind.
        min_shares: &'static [f64],
    }
    let cases = [
        Case {
            name: "gangs beside steps that take each worker that becomes free",
            workers: 60,
            kinds: vec![gangs(26, 4_500, 4_000), checks(500)],
            min_shares: &[0.9, 0.9],
        },
        Case {
            name: "gangs whose tasks need half a worker each",
            workers: 60,
            kinds: vec![gangs(21, 7_500, 6_000), checks(500)],
            min_shares: &[0.9, 0.9],
        },
        Case {
            name: "a flood of gangs leaves room for other work",
            workers: 60,
            kinds: vec![gangs(26, 4_500, 1_500), checks(1_000)],
            min_shares: &[0.9, 0.5],
        },
        Case {
            name: "urgent steps on a fleet that other work fills",
            workers: 60,
            kinds: vec![swaps(100), checks(400)],
            min_shares: &[0.9, 0.5],
        },
        Case {
            name: "all kinds",
            workers: 60,
            kinds: vec![swaps(200), gangs(26, 4_500, 5_000), checks(700)],
            min_shares: &[0.9, 0.9, 0.9],
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        let shares = play(case.workers, &case.kinds);
        println!("{}: {shares:.2?}", case.name);
        let pairs = shares.iter().zip(case.min_shares);
        if !pairs.into_iter().all(|(share, min)| share >= min) {
            failures.push(format!(
                "{}: {shares:.2?} of {:?}",
                case.name, case.min_shares
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
