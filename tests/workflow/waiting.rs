//! Steps that could start, beside others that cannot.

use chestnutlug::model::{QueueName, Resources};
use chestnutlug::workflow::record::WorkflowState;
use chestnutlug::workflow::{PermitLatency, QueuePolicy, StepId, StepSpec, WorkflowId};
use xxhash_rust::xxh3::xxh3_64;

use crate::world::{World, step};

fn gang(tasks: u32) -> StepSpec {
    let mut spec = step(tasks, 4_900);
    spec.gang = true;
    spec.need.memory_mib = 33_000;
    spec
}

fn world(workers: u32, permits: bool) -> World {
    let mut world = World::new(workers, permits);
    world.set_capacity(Resources {
        cpu_milli: 16_000,
        memory_mib: 64_000,
        accelerators: 0,
    });
    world
}

/// A world with a slow permit service, and VMs that send `requesters` permit requests.
fn slow_permits(workers: u32, eligible_percent: u64, requesters: usize) -> World {
    let mut world = world(workers, true);
    world.queue.priority = 1;
    world.queue.permits = Some(PermitLatency {
        base_ms: 507.0,
        per_worker_ms: 7.28,
    });
    world.engine.set_queues(vec![world.queue.clone()]);
    world.engine.set_permit_requesters(requesters);
    let name = world.queue.name.clone();
    world.eligible_percent.insert(name, eligible_percent);
    world.run_for(100);
    world
}

#[test]
fn a_small_gang_finds_idle_workers_while_its_known_eligible_ones_stay_busy() {
    struct Case {
        name: &'static str,
        busy: usize,
    }
    let cases = [
        Case {
            name: "no worker stays busy",
            busy: 0,
        },
        Case {
            name: "those of its first permit request stay busy",
            busy: 100,
        },
    ];
    let mut stuck = Vec::new();
    for case in cases {
        for id in 10..20 {
            let mut world = slow_permits(183, 100, 24);
            world.task_ms = Some(120_000);
            let mut filler = step(183, 14_000);
            filler.max_per_worker = Some(1);
            world.submit(1, vec![filler]);
            world.run_for(10_000);
            let queue = world.queue.name.clone();
            world.eligible_percent.insert(queue, 35);
            world.task_ms = Some(400);
            world.submit(id, vec![gang(4)]);
            world.run_for(3_000);
            let now_ms = world.now_ms;
            for worker in world.workers.iter_mut().skip(case.busy) {
                worker.end_runs_at(now_ms);
            }
            world.run_for(10_000);
            if world.state(id) != Some(WorkflowState::Complete) {
                stuck.push(format!("{}, workflow {id}", case.name));
            }
        }
    }
    assert!(stuck.is_empty(), "{stuck:#?}");
}

#[test]
fn gangs_that_fit_on_no_set_of_workers_leave_permit_requests_to_others() {
    struct Case {
        requesters: usize,
        gangs: u64,
    }
    let cases = [
        Case {
            requesters: 1,
            gangs: 8,
        },
        Case {
            requesters: 4,
            gangs: 24,
        },
    ];
    for case in cases {
        for id in 1..3 {
            let mut world = slow_permits(183, 35, case.requesters);
            for other in 0..case.gangs {
                world.submit(100 + other, vec![gang(90)]);
            }
            world.run_for(5_000);
            world.submit(id, vec![gang(34)]);
            world.run_for(20_000);
            let state = world.state(id);
            let requesters = case.requesters;
            assert_eq!(
                state,
                Some(WorkflowState::Complete),
                "{requesters}, workflow {id}"
            );
        }
    }
}

#[test]
fn the_last_task_of_a_step_with_a_limit_per_worker_finds_a_worker_with_less_room() {
    for long_running in [false, true] {
        for id in 0..20 {
            let mut world = World::new(200, true);
            for (index, worker) in world.workers.iter_mut().enumerate() {
                let cpu_milli = if index < 150 { 16_000 } else { 4_000 };
                worker.listing.capacity.cpu_milli = cpu_milli;
            }
            world.list_workers();
            let name = world.queue.name.clone();
            world.eligible_percent.insert(name, 10);
            world.task_ms = Some(60_000);
            let step_id = StepId {
                workflow: WorkflowId(id),
                occurrence: 0,
                step: 0,
            };
            let is_eligible = |worker: &u32| {
                let hash = xxh3_64(format!("{step_id} w{worker}").as_bytes());
                hash % 100 < 10
            };
            if !(150..200).any(|worker| is_eligible(&worker)) {
                continue;
            }
            let large = u32::try_from((0..150).filter(is_eligible).count()).unwrap();
            world.run_for(100);
            let mut spec = step(large + 1, 1_000);
            spec.max_per_worker = Some(1);
            spec.long_running = long_running;
            world.submit(id, vec![spec]);
            world.run_for(20_000);
            let running: usize = world.workers.iter().map(|worker| worker.running()).sum();
            assert_eq!(
                running,
                large as usize + 1,
                "long-running {long_running}, workflow {id}"
            );
        }
    }
}

#[test]
fn a_gang_starts_on_idle_workers_while_a_wider_one_waits_for_busy_ones() {
    struct Case {
        name: &'static str,
        long_running: bool,
        estimate_ms: u32,
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "tasks that take much longer than estimated",
            long_running: false,
            estimate_ms: 400,
            within_ms: 30_000,
        },
        Case {
            name: "long-running tasks",
            long_running: true,
            estimate_ms: 8_000,
            within_ms: 3_000,
        },
    ];
    for case in cases {
        let mut world = world(30, false);
        world.task_ms = Some(120_000);
        let mut long = step(10, 14_000);
        long.need.memory_mib = 60_000;
        long.long_running = case.long_running;
        long.estimate_ms = case.estimate_ms;
        world.run_for(100);
        world.submit(1, vec![long]);
        world.run_for(1_000);
        world.task_ms = Some(400);
        world.submit(2, vec![gang(25)]);
        world.run_for(1_000);
        world.submit(3, vec![gang(10)]);
        world.run_for(case.within_ms);
        let state = world.state(3);
        assert_eq!(state, Some(WorkflowState::Complete), "{}", case.name);
    }
}

#[test]
fn a_step_starts_behind_many_that_fit_on_no_worker() {
    for waiting in [255, 256, 300] {
        let mut world = World::new(10, false);
        world.run_for(100);
        for id in 0..waiting {
            world.submit(id, vec![step(1, 50_000)]);
        }
        world.run_for(1_000);
        world.submit(10_000, vec![step(1, 1_000)]);
        world.run_for(10_000);
        let state = world.state(10_000);
        assert_eq!(state, Some(WorkflowState::Complete), "behind {waiting}");
    }
}

/// Waiting gangs used up all permit requests in flight, so that steps with room asked for none.
#[test]
fn gangs_that_wait_for_room_leave_permit_requests_to_less_urgent_steps() {
    struct Case {
        name: &'static str,
        requesters: usize,
        gangs: u64,
        /// The number of tasks of a gang. Two fit on an eligible idle worker, of which there are about 26.
        tasks: u32,
        is_taken_over: bool,
    }
    let cases = [
        Case {
            name: "no gang waits",
            requesters: 6,
            gangs: 0,
            tasks: 70,
            is_taken_over: true,
        },
        Case {
            name: "few VMs",
            requesters: 4,
            gangs: 24,
            tasks: 70,
            is_taken_over: false,
        },
        Case {
            name: "a new owner, which does not know which workers are eligible for the gangs",
            requesters: 6,
            gangs: 30,
            tasks: 100,
            is_taken_over: true,
        },
        Case {
            // 12 of the 18 VMs of a shard send long requests there, one at a time.
            name: "as on grown/kowhai-sched-grown",
            requesters: 6,
            gangs: 45,
            tasks: 70,
            is_taken_over: false,
        },
    ];
    let mut late = Vec::new();
    for case in cases {
        let mut world = slow_permits(150, 100, case.requesters);
        let rebuild = world.queue.clone();
        let check = QueuePolicy {
            name: QueueName::new("check"),
            priority: 2,
            permits: Some(PermitLatency {
                base_ms: 104.0,
                per_worker_ms: 1.43,
            }),
            ..rebuild.clone()
        };
        world
            .engine
            .set_queues(vec![rebuild.clone(), check.clone()]);
        world.task_ms = Some(120_000);
        let mut filler = step(150, 9_000);
        filler.max_per_worker = Some(1);
        world.submit(1, vec![filler]);
        world.run_for(10_000);
        assert_eq!(world.starts.len(), 150, "{}", case.name);
        // Every other worker becomes idle; the tasks of the gangs fit on these only.
        let now_ms = world.now_ms;
        for worker in world.workers.iter_mut().step_by(2) {
            worker.end_runs_at(now_ms);
        }
        world.task_ms = Some(400);
        world.eligible_percent.insert(rebuild.name.clone(), 35);
        world.run_for(3_000);
        for id in 0..case.gangs {
            let wide = StepSpec {
                gang: true,
                ..step(case.tasks, 7_500)
            };
            world.submit(100 + id, vec![wide]);
        }
        world.run_for(15_000);
        if case.is_taken_over {
            world.take_over(true);
            world
                .engine
                .set_queues(vec![rebuild.clone(), check.clone()]);
            world.engine.set_permit_requesters(case.requesters);
            world.run_for(500);
        }
        world.queue = check;
        let submitted_ms = world.now_ms;
        world.submit(2, vec![step(1, 1_000)]);
        world.run_for(20_000);
        let started = world.starts_of(2).first().map(|at| at - submitted_ms);
        // The users' rule counts a step that could run and does not for three seconds.
        if started.is_none_or(|after_ms| after_ms > 3_000) {
            late.push(format!("{}: {started:?}", case.name));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Older gangs that lacked busy workers reserved the idle ones for ever.
#[test]
fn a_late_gang_starts_on_idle_workers_behind_late_ones_that_wait_for_busy_workers() {
    let mut late = Vec::new();
    for id in [0, 2, 3, 4, 5, 7] {
        let mut world = slow_permits(183, 35, 24);
        world.set_capacity(Resources {
            cpu_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
        });
        world.queue.slack_factor = 0.05;
        world.queue.slo_ms = 100;
        world.engine.set_queues(vec![world.queue.clone()]);
        let name = world.queue.name.clone();
        world.eligible_percent.insert(name.clone(), 100);
        world.task_ms = Some(120_000);
        let mut filler = step(40, 14_000);
        filler.need.memory_mib = 60_000;
        filler.max_per_worker = Some(1);
        world.submit(9_999, vec![filler]);
        world.run_for(4_000);
        world.eligible_percent.insert(name, 35);
        world.task_ms = Some(2_000);
        for other in 0..3 {
            let mut wider = gang(50);
            wider.need.cpu_milli = 4_150;
            wider.need.memory_mib = 32_992;
            world.submit(1_000 + other, vec![wider]);
        }
        world.run_for(3_000);
        let mut second = gang(60);
        second.need.cpu_milli = 2_800;
        second.need.memory_mib = 27_408;
        second.depends_on = vec![0];
        world.submit(id, vec![gang(4), second]);
        // Permits for both steps, two rests of the older gangs, and the runs.
        world.run_for(16_000);
        if world.state(id) != Some(WorkflowState::Complete) {
            late.push(id);
        }
    }
    assert!(late.is_empty(), "{late:?}");
}
