//! How workflows and workers are shared out over shards.

use chestnutlug::coordinator::shards::ShardMap;
use chestnutlug::model::WorkerName;
use chestnutlug::workflow::WorkflowId;

/// The workflows of a day, as many as average out single ones.
const WORKFLOWS: u64 = 50_000;

#[test]
fn no_shard_gets_more_work_for_its_workers_than_others() {
    struct Case {
        name: &'static str,
        workers: u32,
        shards: usize,
    }
    let cases = [
        Case {
            name: "no workers",
            workers: 0,
            shards: 1,
        },
        Case {
            name: "one shard",
            workers: 48,
            shards: 1,
        },
        Case {
            name: "two shards",
            workers: 350,
            shards: 2,
        },
        Case {
            name: "a large fleet",
            workers: 1_100,
            shards: 6,
        },
        Case {
            name: "as many shards as there may be",
            workers: 20_000,
            shards: 16,
        },
    ];
    for case in cases {
        for seed in 0..5 {
            let names = (0..case.workers).map(|index| WorkerName::new(format!("i-{seed}-{index}")));
            let names: Vec<WorkerName> = names.collect();
            let map = ShardMap::for_workers(&names);
            assert_eq!(map.shards().count(), case.shards, "{}", case.name);
            let mut workers = vec![0.0; case.shards];
            for name in &names {
                workers[usize::from(map.of_worker(name).0)] += 1.0 / f64::from(case.workers);
            }
            let mut workflows = vec![0.0; case.shards];
            for id in 0..WORKFLOWS {
                let shard = map.of_workflow(WorkflowId(id * 0x9e37_79b9));
                workflows[usize::from(shard.0)] += 1.0 / WORKFLOWS as f64;
            }
            for (workflows, workers) in workflows.iter().zip(&workers).filter(|_| case.workers > 0)
            {
                let load = workflows / workers;
                let name = case.name;
                assert!((load - 1.0).abs() < 0.1, "{name}, seed {seed}: {load:.2}");
            }
        }
    }
}
