//! Runs of which it is not known whether they have begun or ended: none runs beside another, and none
//! stays unresolved.

use chestnutlug::model::Resources;
use chestnutlug::port::executor::RunEnd;
use chestnutlug::workflow::StepSpec;
use chestnutlug::workflow::record::WorkflowState;

use crate::world::{World, step};

/// The longest lease of the workers, twice as long as that which owners grant.
const MAX_LEASE_MS: u64 = 10_000;

fn world(workers: u32, task_ms: u64) -> World {
    let mut world = World::with_max_lease(workers, false, MAX_LEASE_MS);
    world.task_ms = Some(task_ms);
    world.run_for(100);
    world
}

fn running(world: &World) -> usize {
    let running = world.workers.iter().map(|worker| worker.running());
    running.sum()
}

/// More runs end on a worker than one response names, while it is not known which process has them.
#[test]
fn runs_that_a_full_list_leaves_out_end_at_last() {
    struct Case {
        name: &'static str,
        restarts: bool,
        takes_over: bool,
    }
    let cases = [
        Case {
            name: "the worker has just been listed",
            restarts: false,
            takes_over: false,
        },
        Case {
            name: "the starts reached a restarted process",
            restarts: true,
            takes_over: false,
        },
        Case {
            name: "the starts reached a restarted process, and a new owner",
            restarts: true,
            takes_over: true,
        },
    ];
    const TASKS: u32 = 600;
    let mut failures = Vec::new();
    for case in cases {
        let mut world = world(1, 60_000);
        world.max_entries = 800;
        if case.restarts {
            world.run_for(5_000);
            world.restart_worker_unnoticed(0);
        }
        let small = StepSpec {
            need: Resources {
                cpu_milli: 1,
                memory_mib: 1,
                accelerators: 0,
            },
            ..step(TASKS, 1)
        };
        world.submit(1, vec![small]);
        let deadline_ms = world.now_ms + 10_000;
        while running(&world) < TASKS as usize && world.now_ms < deadline_ms {
            world.run_for(5);
        }
        let now_ms = world.now_ms;
        world.workers[0].end_runs_at(now_ms + 10);
        world.workers[0].unreachable = true;
        world.run_for(50);
        if case.takes_over {
            world.take_over(true);
        }
        world.workers[0].unreachable = false;
        world.task_ms = Some(50);
        world.run_for(60_000);
        let state = world.state(1);
        if state != Some(WorkflowState::Complete) || !world.violations.is_empty() {
            let starts = world.starts.len();
            failures.push(format!(
                "{}: {state:?} after a minute, {starts} starts, {:?}",
                case.name, world.violations
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A start is carried out seconds late, as the platform allows, by a process that its owner does not
/// know yet.
#[test]
fn a_start_that_is_carried_out_seconds_late_holds_its_lease_from_then() {
    let mut failures = Vec::new();
    for takes_over in [false, true] {
        for delay_ms in [900, 2_000, 4_000] {
            let mut world = world(2, 60_000);
            for index in 0..2 {
                world.restart_worker(index);
            }
            world.run_for(8_000);
            for index in 0..2 {
                world.restart_worker_unnoticed(index);
                world.workers[index].link.starts_ms = [delay_ms].into();
            }
            world.submit(1, vec![step(1, 500)]);
            world.run_for(100);
            let target = world
                .workers
                .iter()
                .position(|worker| worker.link.starts_ms.is_empty());
            let target = target.expect("a start is sent");
            for worker in &mut world.workers {
                worker.link.starts_ms.clear();
            }
            world.workers[target].unreachable = true;
            if takes_over {
                world.take_over(true);
            }
            world.run_for(25_000);
            if !world.violations.is_empty() {
                failures.push(format!(
                    "{delay_ms} ms late, takeover: {takes_over}: {:?}",
                    world.violations
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The earlier process has answered a stop request; the later one, which lists no run, has not seen it,
/// and the start is still on its way.
#[test]
fn a_stop_that_an_earlier_process_answered_ends_no_run_on_the_next() {
    let mut world = world(4, 60_000);
    world.run_for(3_000);
    for worker in &mut world.workers {
        worker.next_end = RunEnd::Failed;
    }
    world.task_ms = Some(50);
    for (index, worker) in world.workers.iter_mut().enumerate() {
        worker.link.starts_ms = [if index == 0 { 0 } else { 800 }].into();
    }
    let gang = StepSpec {
        gang: true,
        ..step(2, 2_500)
    };
    world.submit(1, vec![gang]);
    world.run_for(60);
    let target = (1..4).find(|index| world.workers[*index].link.starts_ms.is_empty());
    let target = target.expect("a member starts late");
    assert!(world.workers[0].link.starts_ms.is_empty(), "one is at once");
    for worker in &mut world.workers {
        worker.link.starts_ms.clear();
        worker.next_end = RunEnd::Done;
    }
    world.workers[target].listing.draining = true;
    world.list_workers();
    let deadline_ms = world.now_ms + 600;
    while world.workers[target].orders().1 == 0 && world.now_ms < deadline_ms {
        world.run_for(5);
    }
    assert!(
        world.workers[target].orders().1 > 0,
        "the member is stopped"
    );
    world.run_for(5);
    world.restart_worker_unnoticed(target);
    world.task_ms = Some(60_000);
    world.run_for(2_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// The wall clock of a machine is set back, and its worker restarts: the start time that identifies the
/// process is earlier than that of its predecessor.
#[test]
fn a_process_that_seems_older_than_its_predecessor_loses_no_task() {
    let mut failures = Vec::new();
    for task_ms in [400, 60_000] {
        for age_ms in [500, 8_000] {
            let mut world = world(2, 60_000);
            for index in 0..2 {
                world.restart_worker(index);
            }
            world.run_for(age_ms);
            world.submit(1, vec![step(2, 500)]);
            world.run_for(100);
            for index in 0..2 {
                world.restart_worker_unnoticed(index);
                world.workers[index].listing.boot = 2;
            }
            world.task_ms = Some(task_ms);
            world.run_for(30_000);
            world.list_workers();
            world.run_for(30_000);
            let is_over = world.state(1) == Some(WorkflowState::Complete);
            if !world.violations.is_empty() || (running(&world) != 2 && !is_over) {
                failures.push(format!(
                    "age {age_ms} ms, tasks of {task_ms} ms: {:?}, {} runs at work, {} starts, {:?}",
                    world.state(1),
                    running(&world),
                    world.starts.len(),
                    world.violations
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The worker of a task that lasts crashes soon after the start; another one is idle.
#[test]
fn a_task_that_lasts_soon_runs_again_after_the_crash_of_its_worker() {
    struct Case {
        name: &'static str,
        /// How long the owner knows the worker before the start, in milliseconds.
        known_ms: u64,
        /// How long after the submission the worker crashes.
        crashes_ms: u64,
        takes_over: bool,
    }
    /// The time after the last run of such a task from which on its absence may be counted, and how
    /// long it may then be missing.
    const MAX_ABSENCE_MS: u64 = 6_000 + 3_000;
    let cases = [
        Case {
            name: "the worker has long been known",
            known_ms: 8_000,
            crashes_ms: 50,
            takes_over: false,
        },
        Case {
            name: "the worker has long been known, and a new owner",
            known_ms: 8_000,
            crashes_ms: 50,
            takes_over: true,
        },
        Case {
            name: "the worker has long been known, and a long poll waits there",
            known_ms: 8_000,
            crashes_ms: 2_000,
            takes_over: false,
        },
        Case {
            name: "a list has named the run",
            known_ms: 8_000,
            crashes_ms: 4_000,
            takes_over: false,
        },
        Case {
            name: "a list has named the run, and a new owner",
            known_ms: 8_000,
            crashes_ms: 4_000,
            takes_over: true,
        },
        Case {
            name: "the worker has just been listed",
            known_ms: 100,
            crashes_ms: 50,
            takes_over: false,
        },
        Case {
            name: "the worker has just been listed, and a new owner",
            known_ms: 100,
            crashes_ms: 50,
            takes_over: true,
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut world = world(2, 600_000);
        for index in 0..2 {
            world.restart_worker(index);
            world.workers[index].link.polls_wait = true;
        }
        world.run_for(case.known_ms);
        let lasting = StepSpec {
            long_running: true,
            ..step(1, 500)
        };
        world.submit(1, vec![lasting]);
        world.run_for(case.crashes_ms);
        let at = world.workers.iter().position(|worker| worker.running() > 0);
        world.workers[at.expect("the task runs")].crash();
        let crashed_ms = world.now_ms;
        if case.takes_over {
            world.take_over(true);
        }
        while running(&world) == 0 && world.now_ms < crashed_ms + 60_000 {
            world.run_for(5);
        }
        let absent_ms = world.now_ms - crashed_ms;
        if absent_ms > MAX_ABSENCE_MS || !world.violations.is_empty() {
            failures.push(format!(
                "{}: absent for {absent_ms} ms, {:?}",
                case.name, world.violations
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
