//! The exchange of workers between shards, with faults at random.

use chestnutlug::workflow::record::WorkflowState;
use chestnutlug::workflow::{ShardId, StepSpec};

use crate::region::{Faults, Region};
use crate::world::step;

/// The workers of the region.
const WORKERS: u32 = 36;

/// The number of workers for which the region has three shards.
const PLANNED_WORKERS: u32 = 500;

/// For how long faults happen, and how long the work may take after them, in milliseconds.
const FAULTS_MS: u64 = 20_000;
const REST_MS: u64 = 60_000;

/// The interval between two faults, in milliseconds.
const FAULT_INTERVAL_MS: u64 = 400;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    seeds: u64,
    messages: Faults,
    takeovers: bool,
    stale_owners: bool,
    restarts: bool,
    leaves: bool,
    store_failures: bool,
}

const CALM: Case = Case {
    name: "no faults",
    seeds: 4,
    messages: Faults {
        lost_percent: 0,
        repeated_percent: 0,
        max_delay_ms: 0,
    },
    takeovers: false,
    stale_owners: false,
    restarts: false,
    leaves: false,
    store_failures: false,
};

const LATE_AND_LOST: Faults = Faults {
    lost_percent: 30,
    repeated_percent: 30,
    max_delay_ms: 3_000,
};

/// The numbers of workflows in one run.
struct Ids {
    next: u64,
    submitted: Vec<(ShardId, u64)>,
}

#[test]
fn no_worker_is_held_twice_and_no_work_is_lost_in_an_exchange() {
    let cases = [
        CALM,
        Case {
            name: "messages late, lost and repeated",
            messages: LATE_AND_LOST,
            ..CALM
        },
        Case {
            name: "owners replaced",
            takeovers: true,
            ..CALM
        },
        Case {
            name: "owners replaced that go on without the store",
            takeovers: true,
            stale_owners: true,
            messages: LATE_AND_LOST,
            ..CALM
        },
        Case {
            name: "workers restarted and gone",
            restarts: true,
            leaves: true,
            ..CALM
        },
        Case {
            name: "a store that fails",
            store_failures: true,
            messages: LATE_AND_LOST,
            ..CALM
        },
        Case {
            name: "everything",
            seeds: 12,
            messages: LATE_AND_LOST,
            takeovers: true,
            stale_owners: true,
            restarts: true,
            leaves: true,
            store_failures: true,
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        for seed in 0..case.seeds {
            failures.extend(play(&case, seed));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Plays one case and returns what went wrong.
fn play(case: &Case, seed: u64) -> Vec<String> {
    let mut region = Region::with_shards_for(PLANNED_WORKERS, WORKERS, 60);
    region.seed(seed + 1);
    region.faults = case.messages;
    let mut ids = Ids {
        next: 1,
        submitted: Vec::new(),
    };
    let end = region.now_ms + FAULTS_MS;
    while region.now_ms < end {
        submit(&mut region, &mut ids);
        fail(&mut region, case);
        region.run_for(FAULT_INTERVAL_MS);
    }
    region.faults = Faults::default();
    for world in &mut region.shards {
        world.store_fails = false;
    }
    for worker in &mut region.workers {
        worker.unreachable = false;
    }
    region.list_workers();
    region.run_for(REST_MS);
    let mut failures = region.violations();
    for (shard, id) in &ids.submitted {
        let world = &region.shards[usize::from(shard.0)];
        let state = world.state(*id);
        if world.accepted.contains(id) && state != Some(WorkflowState::Complete) {
            failures.push(format!("workflow {id} of shard {shard} is {state:?}"));
        }
    }
    for worker in region.workers.iter().filter(|worker| !worker.is_down) {
        let name = &worker.listing.name;
        let mut worlds = region.shards.iter();
        if !worlds.any(|world| world.engine.holds_worker(name)) {
            failures.push(format!("no shard holds {name}"));
        }
    }
    let context = |failure| format!("{}, seed {seed}: {failure}", case.name);
    failures.into_iter().map(context).collect()
}

/// Submits a workflow that is sometimes too large for its shard.
fn submit(region: &mut Region, ids: &mut Ids) {
    let shard = ShardId(u16::try_from(region.below(3)).unwrap());
    let id = region.ids(shard, ids.next).next().unwrap();
    ids.next = id + 1;
    let tasks = 1 + u32::try_from(region.below(9)).unwrap();
    let spec = StepSpec {
        gang: region.below(2) == 0,
        estimate_ms: 300 + u32::try_from(region.below(1_500)).unwrap(),
        ..step(tasks, 9_000)
    };
    region.with_shard(shard, |world| {
        world.task_ms = None;
        world.submit(id, vec![spec]);
    });
    ids.submitted.push((shard, id));
}

/// Lets one of the faults of the case happen.
fn fail(region: &mut Region, case: &Case) {
    let shard = ShardId(u16::try_from(region.below(3)).unwrap());
    let index = usize::try_from(region.below(u64::from(WORKERS))).unwrap();
    let kind = region.below(10);
    match kind {
        0 | 1 if case.takeovers => {
            let beside = case.stale_owners && region.below(2) == 0;
            region.with_shard(shard, |world| {
                if beside {
                    world.take_over_beside_stale_owner();
                } else {
                    world.take_over(true);
                }
            });
        }
        2 | 3 if case.restarts => region.with_shard(shard, |world| {
            world.restart_worker_unnoticed(index);
        }),
        4 if case.leaves => {
            region.workers[index].crash();
            region.list_workers();
        }
        5 | 6 if case.restarts => {
            let worker = &mut region.workers[index];
            worker.unreachable = !worker.unreachable;
        }
        7 | 8 if case.store_failures => {
            let world = &mut region.shards[usize::from(shard.0)];
            world.store_fails = !world.store_fails;
        }
        _ => {}
    }
}
