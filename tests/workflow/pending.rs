//! The number of workflows that wait for their first start.

use chestnutlug::port::executor::RunEnd;
use chestnutlug::workflow::record::WorkflowState;

use crate::network::LOST_MS;
use crate::world::{World, step};

/// What hides the start requests of a worker that the engine believes to be usable.
struct Case {
    name: &'static str,
    begin: fn(&mut World),
    end: fn(&mut World),
}

#[test]
fn a_workflow_waits_until_a_worker_has_begun_a_run_of_it() {
    let cases = [
        Case {
            name: "connections are refused",
            begin: |world| world.workers[0].is_down = true,
            end: |world| world.workers[0].is_down = false,
        },
        Case {
            name: "requests are lost",
            begin: |world| world.workers[0].unreachable = true,
            end: |world| world.workers[0].unreachable = false,
        },
        Case {
            name: "connections are refused until another process runs",
            begin: |world| world.workers[0].is_down = true,
            end: |world| world.restart_worker_unnoticed(0),
        },
    ];
    for case in cases {
        let mut world = World::new(1, false);
        let queue = world.queue.name.clone();
        world.task_ms = Some(60_000);
        world.run_for(100);
        (case.begin)(&mut world);
        world.submit(1, vec![step(2, 500)]);
        for _ in 0..60 {
            world.run_for(50);
            let seen = (world.engine.pending(&queue), world.state(1));
            let at_ms = world.now_ms;
            assert!(world.starts.is_empty(), "{} at {at_ms}", case.name);
            let expected = (1, Some(WorkflowState::Queued));
            assert_eq!(seen, expected, "{} at {at_ms}", case.name);
        }
        (case.end)(&mut world);
        world.run_for(15_000);
        assert_eq!(world.starts.len(), 2, "{}", case.name);
        let seen = (world.engine.pending(&queue), world.state(1));
        let expected = (0, Some(WorkflowState::Running));
        assert_eq!(seen, expected, "{}", case.name);
        assert!(
            world.violations.is_empty(),
            "{}: {:?}",
            case.name,
            world.violations
        );
    }
}

#[test]
fn a_workflow_has_started_once_its_worker_lists_a_run_of_it() {
    struct Listed {
        name: &'static str,
        task_ms: u64,
        end: RunEnd,
    }
    let cases = [
        Listed {
            name: "as active",
            task_ms: 60_000,
            end: RunEnd::Done,
        },
        Listed {
            name: "as ended",
            task_ms: 20,
            end: RunEnd::Failed,
        },
    ];
    for case in cases {
        let mut world = World::new(1, false);
        let queue = world.queue.name.clone();
        world.workers[0].link.start_answer_ms = LOST_MS;
        world.task_ms = Some(case.task_ms);
        world.workers[0].next_end = case.end;
        world.run_for(100);
        world.submit(1, vec![step(1, 500)]);
        world.run_for(250);
        assert_eq!(world.starts.len(), 1, "{}", case.name);
        assert_eq!(world.engine.pending(&queue), 0, "{}", case.name);
        assert_eq!(
            world.state(1),
            Some(WorkflowState::Running),
            "{}",
            case.name
        );
    }
}
