//! Gangs on workers of which only some are eligible.

use chestnutlug::model::Resources;
use chestnutlug::workflow::StepSpec;
use chestnutlug::workflow::record::WorkflowState;

use crate::world::{World, step};

/// The time within which a gang has to be complete on an idle shard, in milliseconds: its run time and
/// several permit requests.
const COMPLETE_MS: u64 = 8_000;

fn gang(tasks: u32, cpu_milli: u32, memory_mib: u32) -> StepSpec {
    let mut spec = step(tasks, cpu_milli);
    spec.gang = true;
    spec.need.memory_mib = memory_mib;
    spec
}

#[test]
fn a_gang_starts_if_the_workers_of_its_first_permit_request_are_too_few() {
    struct Case {
        name: &'static str,
        workers: u32,
        eligible_percent: u64,
        gang: StepSpec,
    }
    let cases = [
        Case {
            name: "one task a worker",
            workers: 183,
            eligible_percent: 35,
            gang: gang(34, 4_900, 33_000),
        },
        Case {
            name: "three tasks a worker",
            workers: 183,
            eligible_percent: 35,
            gang: gang(100, 4_250, 19_600),
        },
        Case {
            name: "most of the eligible workers",
            workers: 183,
            eligible_percent: 35,
            gang: gang(45, 4_900, 33_000),
        },
        Case {
            name: "a large shard",
            workers: 400,
            eligible_percent: 20,
            gang: gang(50, 4_900, 33_000),
        },
    ];
    let mut stuck = Vec::new();
    for case in cases {
        for id in 0..20 {
            let mut world = World::new(case.workers, true);
            world.set_capacity(Resources {
                cpu_milli: 16_000,
                memory_mib: 64_000,
                accelerators: 0,
            });
            let name = world.queue.name.clone();
            world.eligible_percent.insert(name, case.eligible_percent);
            world.run_for(100);
            world.submit(id, vec![case.gang.clone()]);
            world.run_for(COMPLETE_MS);
            if world.state(id) != Some(WorkflowState::Complete) {
                stuck.push(format!("{}, workflow {id}", case.name));
            }
        }
    }
    assert!(stuck.is_empty(), "{stuck:#?}");
}

#[test]
fn a_gang_that_fits_on_no_set_of_workers_holds_no_room_back_from_others() {
    struct Case {
        name: &'static str,
        permits: bool,
        /// The gang that cannot start, and one that needs all workers.
        gangs: [StepSpec; 2],
    }
    let cases = [
        Case {
            name: "more tasks than workers",
            permits: false,
            gangs: [gang(30, 2_000, 40_000), gang(20, 2_000, 40_000)],
        },
        Case {
            name: "more tasks than workers, with permits",
            permits: true,
            gangs: [gang(30, 2_000, 40_000), gang(20, 2_000, 40_000)],
        },
        Case {
            name: "half a worker each",
            permits: true,
            gangs: [gang(45, 7_000, 4_000), gang(40, 8_000, 4_000)],
        },
    ];
    for case in cases {
        let mut world = World::new(20, case.permits);
        world.set_capacity(Resources {
            cpu_milli: 16_000,
            memory_mib: 64_000,
            accelerators: 0,
        });
        world.run_for(100);
        let [never, later] = case.gangs;
        world.submit(1, vec![never]);
        world.run_for(1_000);
        world.submit(2, vec![later]);
        world.run_for(COMPLETE_MS);
        let state = world.state(2);
        assert_eq!(state, Some(WorkflowState::Complete), "{}", case.name);
    }
}
