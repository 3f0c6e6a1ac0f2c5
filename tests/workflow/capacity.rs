//! The capacity of workers changes while tasks start and run on them.

use chestnutlug::model::Resources;
use chestnutlug::workflow::record::WorkflowState;
use chestnutlug::workflow::{ReplyToken, WorkflowId};

use crate::world::{World, step};

fn capacity(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mib: 4_000,
        accelerators: 0,
    }
}

struct Case {
    name: &'static str,
    commit_ms: u64,
    /// When the capacity shrinks after the submission, in milliseconds.
    shrinks_at_ms: u64,
    /// How long after that another owner takes over, in milliseconds.
    takeover_after_ms: Option<u64>,
}

#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    let case = |name, commit_ms, shrinks_at_ms, takeover_after_ms| Case {
        name,
        commit_ms,
        shrinks_at_ms,
        takeover_after_ms,
    };
    let cases = [
        case("before the placement", 10, 0, None),
        case("while the placement is committed", 500, 700, None),
        case(
            "a takeover while the placement is committed",
            500,
            700,
            Some(100),
        ),
        case("while the tasks run", 10, 300, None),
        case("a takeover while the tasks run", 10, 300, Some(100)),
    ];
    for case in cases {
        let mut world = World::new(2, false);
        world.task_ms = Some(1_000);
        world.run_for(100);
        world.commit_ms = case.commit_ms;
        world.submit(1, vec![step(6, 1_000)]);
        world.submit(2, vec![step(4, 1_000)]);
        world.run_for(case.shrinks_at_ms);
        world.set_capacity(capacity(1_500));
        if let Some(ms) = case.takeover_after_ms {
            world.run_for(ms);
            world.take_over(true);
        }
        world.run_for(60_000);
        assert!(
            world.violations.is_empty(),
            "{}: {:?}",
            case.name,
            world.violations
        );
        for id in [1, 2] {
            let state = world.state(id);
            assert_eq!(state, Some(WorkflowState::Complete), "{}: {id}", case.name);
        }
    }
}

#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk_while_runs_are_stopped() {
    for takeover in [false, true] {
        let mut world = World::new(2, false);
        world.task_ms = Some(20_000);
        for worker in &mut world.workers {
            worker.stop_ms = 1_500;
        }
        world.run_for(100);
        world.submit(1, vec![step(6, 1_000)]);
        world.run_for(500);
        let now = world.now();
        world.engine.cancel(WorkflowId(1), Some(ReplyToken(1)), now);
        world.submit(2, vec![step(6, 500)]);
        world.run_for(100);
        world.set_capacity(capacity(2_000));
        if takeover {
            world.take_over(true);
        }
        world.run_for(1_000);
        world.set_capacity(capacity(3_000));
        world.run_for(40_000);
        assert!(
            world.violations.is_empty(),
            "takeover {takeover}: {:?}",
            world.violations
        );
        assert_eq!(
            world.state(2),
            Some(WorkflowState::Complete),
            "takeover {takeover}"
        );
    }
}

#[test]
fn a_capacity_that_has_grown_again_is_used() {
    let mut world = World::new(1, false);
    world.task_ms = Some(60_000);
    world.run_for(100);
    world.set_capacity(capacity(1_000));
    world.submit(1, vec![step(4, 1_000)]);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1);
    world.set_capacity(capacity(4_000));
    world.run_for(500);
    assert_eq!(world.starts.len(), 4);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
