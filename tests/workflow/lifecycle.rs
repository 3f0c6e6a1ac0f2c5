//! Workflows from submission to their end under one owner.

use chestnutlug::port::executor::RunEnd;
use chestnutlug::workflow::record::{StepProgress, WorkflowState};
use chestnutlug::workflow::{ReplyToken, StepSpec, WorkflowId};

use crate::world::{World, step};

struct Case {
    name: &'static str,
    steps: Vec<StepSpec>,
    permits: bool,
    workers: u32,
}

#[test]
fn workflows_of_each_shape_complete() {
    let gang = StepSpec {
        gang: true,
        ..step(4, 2_000)
    };
    let spread = StepSpec {
        max_per_worker: Some(1),
        ..step(3, 500)
    };
    let dependent = StepSpec {
        depends_on: vec![0],
        ..step(2, 500)
    };
    let cases = [
        Case {
            name: "one task",
            steps: vec![step(1, 500)],
            permits: false,
            workers: 1,
        },
        Case {
            name: "more tasks than fit in the cell",
            steps: vec![step(40, 2_000)],
            permits: true,
            workers: 3,
        },
        Case {
            name: "a gang",
            steps: vec![gang],
            permits: true,
            workers: 3,
        },
        Case {
            name: "one task per worker",
            steps: vec![spread],
            permits: true,
            workers: 3,
        },
        Case {
            name: "two dependent steps",
            steps: vec![step(3, 500), dependent],
            permits: true,
            workers: 2,
        },
    ];
    for case in cases {
        let mut world = World::new(case.workers, case.permits);
        world.run_for(100);
        world.submit(1, case.steps);
        world.run_for(20_000);
        assert_eq!(
            world.state(1),
            Some(WorkflowState::Complete),
            "{}",
            case.name
        );
        assert!(world.accepted.contains(&1), "{}", case.name);
        assert!(
            world.violations.is_empty(),
            "{}: {:?}",
            case.name,
            world.violations
        );
    }
}

#[test]
fn a_workflow_fails_after_as_many_failures_as_its_queue_allows() {
    for gang in [false, true] {
        let mut world = World::new(3, true);
        for worker in &mut world.workers {
            worker.next_end = RunEnd::Failed;
        }
        world.run_for(100);
        let spec = StepSpec {
            gang,
            ..step(2, 500)
        };
        world.submit(1, vec![spec]);
        world.run_for(60_000);
        assert_eq!(world.state(1), Some(WorkflowState::Failed), "gang: {gang}");
        let runs = world.starts.iter().filter(|(_, task, _)| task.index == 0);
        assert_eq!(runs.count(), 3, "gang: {gang}");
    }
}

#[test]
fn each_failed_run_is_counted_once_in_any_order() {
    let cases: [(&[u32], u32); 4] = [
        (&[1], 1),
        (&[1, 1], 1),
        (&[3, 4, 2], 3),
        (&[1001, 1003, 1004, 1002, 1003], 4),
    ];
    for (runs, expected) in cases {
        let mut progress = StepProgress::default();
        let counted = runs.iter().filter_map(|run| progress.add_failure(0, *run));
        assert_eq!(counted.last(), Some(expected), "{runs:?}");
    }
}

#[test]
fn a_cancelled_workflow_is_stopped_and_does_not_restart() {
    let mut world = World::new(2, false);
    world.task_ms = Some(60_000);
    world.run_for(100);
    world.submit(1, vec![step(4, 500)]);
    world.run_for(1_000);
    let now = world.now();
    world.engine.cancel(WorkflowId(1), Some(ReplyToken(1)), now);
    world.run_for(1_000);
    assert!(world.cancelled.contains(&1));
    assert_eq!(world.state(1), Some(WorkflowState::Cancelled));
    assert!(world.workers.iter().all(|worker| worker.running() == 0));
    let starts = world.starts.len();
    world.run_for(10_000);
    assert_eq!(world.starts.len(), starts);
}

#[test]
fn the_task_of_an_unreachable_worker_runs_elsewhere_after_its_lease_has_expired() {
    let mut world = World::new(2, false);
    world.task_ms = Some(20_000);
    world.run_for(100);
    world.submit(1, vec![step(1, 500)]);
    world.run_for(500);
    let at = world.workers.iter().position(|worker| worker.running() > 0);
    world.workers[at.unwrap()].unreachable = true;
    world.run_for(15_000);
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn a_workflow_that_cannot_be_stored_is_refused_and_never_runs() {
    let mut world = World::new(2, false);
    world.run_for(100);
    world.store_fails = true;
    world.submit(1, vec![step(1, 500)]);
    world.run_for(1_000);
    assert!(world.refused.contains(&1));
    world.store_fails = false;
    world.run_for(5_000);
    assert!(world.starts.is_empty());
    assert_eq!(world.state(1), None);
}

#[test]
fn a_workflow_from_an_inbox_survives_a_failed_commit() {
    let mut world = World::new(2, false);
    world.run_for(100);
    world.store_fails = true;
    world.submit(1, vec![step(2, 500)]);
    world.run_for(5);
    world.submit_from_inbox(1, vec![step(2, 500)]);
    world.run_for(50);
    world.store_fails = false;
    world.run_for(5_000);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn the_task_of_a_restarted_worker_is_restarted() {
    let mut world = World::new(1, false);
    world.task_ms = Some(2_000);
    world.run_for(100);
    world.submit(1, vec![step(1, 500)]);
    world.run_for(500);
    world.restart_worker(0);
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 2);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
}

#[test]
fn a_gang_may_use_the_capacity_reserved_for_urgent_tasks() {
    let mut world = World::new(2, true);
    let urgent = world.queue.clone();
    world.queue.name = chestnutlug::model::QueueName::new("rebuild");
    world.queue.priority = 1;
    let queues = vec![urgent, world.queue.clone()];
    world.engine.set_queues(queues);
    world.run_for(100);
    let gang = StepSpec {
        gang: true,
        ..step(4, 2_000)
    };
    world.submit(1, vec![gang]);
    world.run_for(5_000);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
}

#[test]
fn ended_runs_of_a_new_worker_process_are_not_acknowledged_before_they_are_processed() {
    let mut world = World::new(1, false);
    world.task_ms = Some(60);
    world.run_for(100);
    for id in 1..=20 {
        world.submit(id, vec![step(1, 500)]);
        world.run_for(900);
    }
    let before = world.starts.len();
    assert_eq!(before, 20);
    world.restart_worker_unnoticed(0);
    world.submit(21, vec![step(1, 500)]);
    world.run_for(10_000);
    assert_eq!(world.state(21), Some(WorkflowState::Complete));
    assert_eq!(world.starts.len(), 21, "{:?}", &world.starts[before..]);
}

#[test]
fn the_run_on_a_new_worker_process_is_not_restarted_elsewhere() {
    let mut world = World::new(2, false);
    world.task_ms = Some(1_000);
    world.run_for(100);
    // The estimate is right, so that the worker keeps its speed and runs the second task too.
    let step = StepSpec {
        estimate_ms: 1_000,
        ..step(1, 500)
    };
    world.submit(1, vec![step.clone()]);
    world.run_for(200);
    let at = world.workers.iter().position(|worker| worker.running() > 0);
    let at = at.unwrap();
    world.run_for(3_000);
    world.restart_worker_unnoticed(at);
    world.submit(2, vec![step]);
    world.run_for(60);
    assert_eq!(
        world.workers[at].running(),
        1,
        "the task does not run on the new process"
    );
    world.list_workers();
    world.run_for(10_000);
    assert_eq!(world.state(2), Some(WorkflowState::Complete));
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
