//! Steps that their shard cannot place, beside shards that can spare workers.

use chestnutlug::model::Resources;
use chestnutlug::workflow::record::WorkflowState;
use chestnutlug::workflow::{ShardId, StepSpec};

use crate::region::Region;
use crate::world::step;

/// The workers of the region, which form four shards.
const WORKERS: u32 = 600;

/// The percentage of workers that are eligible for a step.
const ELIGIBLE_PERCENT: u64 = 35;

/// A step whose tasks fit once on a worker if they need more than half of its memory.
fn wide(tasks: u32, memory_mib: u32, gang: bool) -> StepSpec {
    let mut spec = step(tasks, 2_800);
    spec.need.memory_mib = memory_mib;
    spec.gang = gang;
    spec.estimate_ms = 4_000;
    spec
}

#[test]
fn a_step_that_its_shard_cannot_place_runs_on_workers_of_others() {
    struct Case {
        name: &'static str,
        steps: Vec<StepSpec>,
        /// Whether long tasks use the shard's own workers.
        full: bool,
        /// How many of them are submitted at once to one shard.
        count: usize,
        /// Within which time they are complete, in milliseconds.
        within_ms: u64,
    }
    let gang = wide(57, 32_992, true);
    let mut second = wide(60, 27_408, true);
    second.depends_on = vec![0];
    let cases = [
        Case {
            name: "a gang as wide as the eligible workers of a shard",
            steps: vec![gang.clone()],
            full: false,
            count: 1,
            within_ms: 14_000,
        },
        Case {
            name: "several of them",
            steps: vec![gang.clone()],
            full: false,
            count: 4,
            within_ms: 24_000,
        },
        Case {
            name: "a gang wider than the eligible workers of two shards",
            steps: vec![wide(130, 32_992, true)],
            full: false,
            count: 1,
            within_ms: 20_000,
        },
        Case {
            name: "the second step, beside long tasks",
            steps: vec![wide(2, 100, false), second],
            full: true,
            count: 1,
            within_ms: 24_000,
        },
        Case {
            name: "ordinary tasks, beside long ones",
            steps: vec![wide(60, 27_408, false)],
            full: true,
            count: 2,
            within_ms: 16_000,
        },
    ];
    let mut late = Vec::new();
    for case in cases {
        for shard in [ShardId(3)] {
            let mut region = Region::new(WORKERS, ELIGIBLE_PERCENT);
            let mut ids = region.ids(shard, 1);
            if case.full {
                occupy(&mut region, shard, ids.next().unwrap());
            }
            let ids: Vec<u64> = ids.take(case.count).collect();
            for id in &ids {
                let steps = case.steps.clone();
                region.with_shard(shard, |world| {
                    world.task_ms = None;
                    world.submit(*id, steps);
                });
            }
            region.run_for(case.within_ms);
            let world = &region.shards[usize::from(shard.0)];
            let waiting = ids.iter();
            let waiting = waiting.filter(|id| world.state(**id) != Some(WorkflowState::Complete));
            late.extend(waiting.map(|id| format!("{}, shard {shard}, workflow {id}", case.name)));
            assert_eq!(region.violations(), Vec::<String>::new(), "{}", case.name);
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Fills the workers of a shard with tasks that last.
fn occupy(region: &mut Region, shard: ShardId, id: u64) {
    let own = region.workers.iter();
    let own = own.filter(|worker| region.map.of_worker(&worker.listing.name) == shard);
    let tasks = u32::try_from(own.count()).unwrap();
    let mut filler = step(tasks, 15_000);
    filler.max_per_worker = Some(1);
    region.with_shard(shard, |world| {
        world.task_ms = Some(120_000);
        let queue = world.queue.name.clone();
        world.eligible_percent.insert(queue.clone(), 100);
        world.submit(id, vec![filler]);
    });
    region.run_for(6_000);
    region.with_shard(shard, |world| {
        let queue = world.queue.name.clone();
        world.eligible_percent.insert(queue, ELIGIBLE_PERCENT);
    });
}

#[test]
fn a_label_that_a_shard_lacks_is_found_in_another() {
    let mut region = Region::new(WORKERS, 100);
    let label = "rare".to_owned();
    let home = region.map.of_worker(&region.workers[7].listing.name);
    region.workers[7].listing.labels.push(label.clone());
    let lacking: Vec<ShardId> = region.map.shards().filter(|shard| *shard != home).collect();
    for shard in region.map.shards().collect::<Vec<_>>() {
        region.with_shard(shard, |world| world.list_workers());
    }
    let mut submitted = Vec::new();
    for shard in lacking {
        let id = region.ids(shard, 1).next().unwrap();
        let mut spec = step(1, 1_000);
        spec.required_label = Some(label.clone());
        region.with_shard(shard, |world| world.submit(id, vec![spec]));
        submitted.push((shard, id));
    }
    region.run_for(25_000);
    for (shard, id) in submitted {
        let state = region.shards[usize::from(shard.0)].state(id);
        assert_eq!(state, Some(WorkflowState::Complete), "shard {shard}");
    }
    assert_eq!(region.violations(), Vec::<String>::new());
}

#[test]
fn workers_return_to_shards_that_need_them() {
    let mut region = Region::new(WORKERS, ELIGIBLE_PERCENT);
    let id = region.ids(ShardId(0), 1).next().unwrap();
    region.with_shard(ShardId(0), |world| {
        world.submit(id, vec![wide(130, 32_992, true)]);
    });
    region.run_for(20_000);
    for shard in region.map.shards().collect::<Vec<_>>() {
        let id = region.ids(shard, 100).next().unwrap();
        region.with_shard(shard, |world| {
            let mut spec = step(150, 15_000);
            spec.need = Resources {
                cpu_milli: 15_000,
                ..spec.need
            };
            world.queue.permits = None;
            world.engine.set_queues(vec![world.queue.clone()]);
            world.submit(id, vec![spec]);
        });
    }
    region.run_for(6_000);
    for shard in region.map.shards() {
        let id = region.ids(shard, 100).next().unwrap();
        let state = region.shards[usize::from(shard.0)].state(id);
        assert_eq!(state, Some(WorkflowState::Complete), "shard {shard}");
    }
    assert_eq!(region.violations(), Vec::<String>::new());
}
