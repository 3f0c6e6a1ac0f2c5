//! Ends of runs that arrive when their task has another run, waits, or is done.

use chestnutlug::port::executor::RunEnd;
use chestnutlug::workflow::record::WorkflowState;
use chestnutlug::workflow::run_end::{EndAction, Standing, StepKind, action, counts_as_failure};
use chestnutlug::workflow::{ReplyToken, StepSpec, WorkflowId};

use crate::world::{LEASE_MS, World, step};

const INTERRUPTED: [RunEnd; 5] = [
    RunEnd::Failed,
    RunEnd::Stopped,
    RunEnd::Lapsed,
    RunEnd::Broken,
    RunEnd::Alone,
];

#[test]
fn only_the_end_of_the_current_run_makes_a_task_wait() {
    use EndAction::{Complete, Ignore, KeepCheckpoint, Requeue};
    use StepKind::{Gang, Lasting, Ordinary};
    struct Case {
        kind: StepKind,
        ends: &'static [RunEnd],
        /// For the current run, a superseded one, one of a waiting task, and one of a done task.
        actions: [EndAction; 4],
    }
    let cases = [
        Case {
            kind: Ordinary,
            ends: &[RunEnd::Done],
            actions: [Complete, Complete, Complete, Ignore],
        },
        Case {
            kind: Gang,
            ends: &[RunEnd::Done],
            actions: [Complete, Complete, Complete, Ignore],
        },
        Case {
            kind: Lasting,
            ends: &[RunEnd::Done],
            actions: [Requeue, Ignore, KeepCheckpoint, Ignore],
        },
        Case {
            kind: Ordinary,
            ends: &INTERRUPTED,
            actions: [Requeue, Ignore, KeepCheckpoint, Ignore],
        },
        Case {
            kind: Gang,
            ends: &INTERRUPTED,
            actions: [Requeue, Ignore, KeepCheckpoint, Ignore],
        },
        Case {
            kind: Lasting,
            ends: &INTERRUPTED,
            actions: [Requeue, Ignore, KeepCheckpoint, Ignore],
        },
    ];
    let standings = [
        Standing::Current,
        Standing::Superseded,
        Standing::Waiting,
        Standing::Done,
    ];
    for Case {
        kind,
        ends,
        actions,
    } in cases
    {
        for end in ends {
            for (standing, expected) in standings.into_iter().zip(actions) {
                let name = format!("{kind:?} {end:?} {standing:?}");
                assert_eq!(action(kind, *end, standing), expected, "{name}");
                let counts =
                    *end == RunEnd::Failed && kind != Lasting && standing != Standing::Done;
                assert_eq!(counts_as_failure(kind, *end, standing), counts, "{name}");
            }
        }
    }
}

/// The late end of a run started a long-running task a second time, and left the second run of a gang
/// at work after the cancellation.
#[test]
fn the_late_end_of_an_earlier_run_leaves_no_run_behind() {
    struct Case {
        name: &'static str,
        step: StepSpec,
        end: RunEnd,
        /// Whether another owner takes over before the late end arrives.
        takes_over: bool,
        /// Whether the end is listed again after another takeover.
        listed_again: bool,
        /// The number of active runs once the late end has arrived.
        running: usize,
    }
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 2_500)
    };
    let gang = StepSpec {
        gang: true,
        ..step(2, 2_500)
    };
    let lasting_gang = StepSpec {
        long_running: true,
        ..gang.clone()
    };
    let mut cases = Vec::new();
    for (takes_over, listed_again) in [(false, false), (true, false), (false, true)] {
        let case = |name, step: &StepSpec, end, running| Case {
            name,
            step: step.clone(),
            end,
            takes_over,
            listed_again,
            running,
        };
        cases.extend([
            case("a long-running task is done", &lasting, RunEnd::Done, 1),
            case("a long-running task fails", &lasting, RunEnd::Failed, 1),
            case("a task is done", &step(1, 2_500), RunEnd::Done, 0),
            case("a task fails", &step(1, 2_500), RunEnd::Failed, 1),
            case("a gang is done", &gang, RunEnd::Done, 0),
            case("a gang fails", &gang, RunEnd::Failed, 2),
            case(
                "a long-running gang is done",
                &lasting_gang,
                RunEnd::Done,
                2,
            ),
        ]);
    }
    for case in cases {
        let name = format!(
            "{}, takeover: {}, listed again: {}",
            case.name, case.takes_over, case.listed_again
        );
        let mut world = World::new(6, false);
        world.task_ms = Some(600_000);
        for worker in &mut world.workers {
            worker.next_end = case.end;
        }
        world.run_for(100);
        world.submit(1, vec![case.step]);
        world.run_for(1_000);
        let has_run: Vec<bool> = (world.workers.iter())
            .map(|worker| worker.running() > 0)
            .collect();
        let cut_off = |world: &mut World, unreachable| {
            for (worker, has_run) in world.workers.iter_mut().zip(&has_run) {
                worker.unreachable = unreachable && *has_run;
            }
        };
        cut_off(&mut world, true);
        let now_ms = world.now_ms;
        for worker in &mut world.workers {
            worker.end_runs_at(now_ms + 500);
        }
        world.run_for(2 * LEASE_MS);
        if case.takes_over {
            world.take_over(true);
            world.run_for(2_000);
        }
        cut_off(&mut world, false);
        if case.listed_again {
            world.run_for(1_010);
            world.take_over(true);
        }
        world.run_for(5_000);
        let running = |world: &World| {
            let running = world.workers.iter().map(|worker| worker.running());
            running.sum::<usize>()
        };
        assert!(
            world.violations.is_empty(),
            "{name}: {:?}",
            world.violations
        );
        assert_eq!(running(&world), case.running, "{name}: active runs");
        let now = world.now();
        world.engine.cancel(WorkflowId(1), Some(ReplyToken(1)), now);
        world.run_for(1_000);
        assert_eq!(running(&world), 0, "{name}: active runs after the cancel");
        let state = world.state(1).unwrap();
        assert!(
            matches!(state, WorkflowState::Cancelled | WorkflowState::Complete),
            "{name}: {state:?}"
        );
    }
}
