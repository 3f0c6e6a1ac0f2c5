//! From submission to the end, with one owner.

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
    let apart = StepSpec {
        max_per_worker: Some(1),
        ..step(3, 500)
    };
    let after = StepSpec {
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
            name: "wider than the cell",
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
            name: "tasks apart",
            steps: vec![apart],
            permits: true,
            workers: 3,
        },
        Case {
            name: "a step after another",
            steps: vec![step(3, 500), after],
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
        assert!(world.broken.is_empty(), "{}: {:?}", case.name, world.broken);
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
fn a_failed_run_is_counted_once_in_any_order() {
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
fn cancelled_work_is_stopped_and_does_not_start_again() {
    let mut world = World::new(2, false);
    world.task_ms = 60_000;
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
fn work_of_a_silent_worker_runs_elsewhere_once_its_lease_is_over() {
    let mut world = World::new(2, false);
    world.task_ms = 20_000;
    world.run_for(100);
    world.submit(1, vec![step(1, 500)]);
    world.run_for(500);
    let at = world.workers.iter().position(|worker| worker.running() > 0);
    world.workers[at.unwrap()].silent = true;
    world.run_for(15_000);
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn what_the_store_does_not_take_is_refused_and_never_runs() {
    let mut world = World::new(2, false);
    world.run_for(100);
    world.store_refuses = true;
    world.submit(1, vec![step(1, 500)]);
    world.run_for(1_000);
    assert!(world.refused.contains(&1));
    world.store_refuses = false;
    world.run_for(5_000);
    assert!(world.starts.is_empty());
    assert_eq!(world.state(1), None);
}

#[test]
fn a_workflow_that_another_vm_recorded_outlives_the_owners_refused_batch() {
    let mut world = World::new(2, false);
    world.run_for(100);
    world.store_refuses = true;
    world.submit(1, vec![step(2, 500)]);
    world.run_for(5);
    world.hand_over(1, vec![step(2, 500)]);
    world.run_for(50);
    world.store_refuses = false;
    world.run_for(5_000);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn work_of_a_worker_that_starts_again_is_started_again() {
    let mut world = World::new(1, false);
    world.task_ms = 2_000;
    world.run_for(100);
    world.submit(1, vec![step(1, 500)]);
    world.run_for(500);
    world.restart_worker(0);
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 2);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
}

#[test]
fn a_gang_may_use_whole_workers_though_a_part_is_kept_for_urgent_work() {
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
fn ends_on_a_new_process_of_a_worker_are_not_acknowledged_unread() {
    let mut world = World::new(1, false);
    world.task_ms = 60;
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
fn work_on_a_new_process_of_a_worker_is_not_started_again_elsewhere() {
    let mut world = World::new(2, false);
    world.task_ms = 1_000;
    world.run_for(100);
    world.submit(1, vec![step(1, 500)]);
    world.run_for(200);
    let at = world.workers.iter().position(|worker| worker.running() > 0);
    let at = at.unwrap();
    world.run_for(3_000);
    world.restart_worker_unnoticed(at);
    world.submit(2, vec![step(1, 500)]);
    world.run_for(60);
    assert_eq!(world.workers[at].running(), 1, "it runs on the new process");
    world.list_workers();
    world.run_for(10_000);
    assert_eq!(world.state(2), Some(WorkflowState::Complete));
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
