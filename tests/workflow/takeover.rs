//! Takeovers: an owner is lost, and a new one recovers its workflows.

use chestnutlug::model::Time;
use chestnutlug::port::executor::RunEnd;
use chestnutlug::workflow::record::WorkflowState;
use chestnutlug::workflow::{StepSpec, Tenure, WorkflowId};
use quickcheck::{Arbitrary, Gen};

use crate::world::{FakeWorker, LEASE_MS, World, step};

#[test]
fn active_runs_continue_after_a_takeover() {
    let mut world = World::new(3, true);
    world.task_ms = Some(3_000);
    world.run_for(100);
    world.submit(1, vec![step(6, 1_000)]);
    world.run_for(1_000);
    let starts = world.starts.len();
    world.take_over(true);
    world.run_for(10_000);
    assert_eq!(world.starts.len(), starts, "a task was started again");
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
}

#[test]
fn loaded_workflows_complete_if_the_configuration_arrives_after_the_takeover() {
    let mut world = World::new(2, true);
    world.task_ms = Some(1_000);
    world.run_for(100);
    world.submit(1, vec![step(30, 1_000)]);
    world.run_for(1_500);
    world.take_over(false);
    world.run_for(500);
    let queue = world.queue.clone();
    world.engine.set_queues(vec![queue]);
    world.run_for(20_000);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn the_task_of_an_unreachable_worker_restarts_only_after_its_lease_has_expired() {
    let mut world = World::new(2, false);
    world.task_ms = Some(60_000);
    world.run_for(100);
    world.submit(1, vec![step(1, 500)]);
    world.run_for(1_000);
    let at = world.workers.iter().position(|worker| worker.running() > 0);
    world.workers[at.unwrap()].unreachable = true;
    world.take_over(true);
    let takeover_at = world.now_ms;
    world.run_for(4 * LEASE_MS);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let restart = world.starts.last().unwrap();
    assert_eq!(world.starts.len(), 2);
    assert!(restart.0 >= takeover_at + LEASE_MS, "{restart:?}");
}

#[test]
fn an_incomplete_gang_is_stopped_and_restarted_after_a_takeover() {
    let mut world = World::new(3, false);
    world.task_ms = Some(4_000);
    world.run_for(100);
    let gang = StepSpec {
        gang: true,
        ..step(3, 4_000)
    };
    world.submit(1, vec![gang]);
    world.run_for(500);
    // One member is lost by the restart of its worker at the time of the takeover.
    world.restart_worker(1);
    world.take_over(true);
    world.run_for(20_000);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
    let runs: std::collections::BTreeSet<u32> = world.starts.iter().map(|start| start.2).collect();
    assert_eq!(runs.len(), 2, "two runs of the whole gang: {runs:?}");
}

/// Two owners act at once: the earlier one is cut off from the store, the later one from a worker.
#[test]
fn no_task_runs_twice_while_a_replaced_owner_reaches_its_worker() {
    struct Case {
        name: &'static str,
        /// How long the earlier owner has been without the store at the takeover, in milliseconds.
        takeover_after_ms: u64,
        /// How long the process of the earlier owner is frozen after the takeover, in milliseconds.
        frozen_ms: u64,
        /// When the later owner reaches the worker, in milliseconds after the takeover.
        reachable_after_ms: u64,
    }
    let cases = [
        Case {
            name: "the worker is reached before its lease expires",
            takeover_after_ms: 1_500,
            frozen_ms: 0,
            reachable_after_ms: 6_000,
        },
        Case {
            name: "the worker is reached after its lease has expired",
            takeover_after_ms: 1_500,
            frozen_ms: 0,
            reachable_after_ms: 15_000,
        },
        Case {
            name: "the worker is never reached",
            takeover_after_ms: 1_500,
            frozen_ms: 0,
            reachable_after_ms: u64::MAX,
        },
        Case {
            name: "the earlier owner wakes after the takeover",
            takeover_after_ms: 2_500,
            frozen_ms: 2_000,
            reachable_after_ms: u64::MAX,
        },
        Case {
            name: "the earlier owner has just lost the store",
            takeover_after_ms: 0,
            frozen_ms: 0,
            reachable_after_ms: u64::MAX,
        },
    ];
    for case in cases {
        let mut world = World::new(2, false);
        world.task_ms = Some(60_000);
        world.run_for(100);
        world.submit(1, vec![step(1, 500)]);
        world.run_for(1_000);
        let at = world.workers.iter().position(|worker| worker.running() > 0);
        let at = at.unwrap();
        world.store_fails = true;
        world.run_for(case.takeover_after_ms);
        world.workers[at].unreachable = true;
        world.take_over_beside_stale_owner();
        world.store_fails = false;
        let set_frozen = |world: &mut World, frozen| {
            let stale = world.stale.as_mut();
            stale.unwrap().frozen = frozen;
        };
        set_frozen(&mut world, true);
        world.run_for(case.frozen_ms);
        set_frozen(&mut world, false);
        let rest_ms = 20_000 - case.frozen_ms;
        let unreachable_ms = case.reachable_after_ms.saturating_sub(case.frozen_ms);
        world.run_for(unreachable_ms.min(rest_ms));
        world.workers[at].unreachable = case.reachable_after_ms == u64::MAX;
        world.run_for(5_000);
        let (name, violations) = (case.name, &world.violations);
        assert!(violations.is_empty(), "{name}: {violations:?}");
        let running = world.workers.iter().map(|worker| worker.running());
        assert_eq!(running.sum::<usize>(), 1, "{name}: the task does not run");
    }
}

#[test]
fn a_replaced_owner_changes_nothing_on_its_workers_after_its_tenure() {
    let mut world = World::new(2, false);
    world.task_ms = Some(4_000);
    world.run_for(100);
    world.submit(1, vec![step(2, 3_000)]);
    world.run_for(1_000);
    for worker in &mut world.workers {
        worker.unreachable = true;
    }
    world.take_over_beside_stale_owner();
    world.run_for(3_000);
    let before: Vec<(u64, u64)> = world.workers.iter().map(FakeWorker::orders).collect();
    // Cancelling makes the stale owner stop the runs.
    world.cancel_at_stale_owner(1);
    world.run_for(4_000);
    let after: Vec<(u64, u64)> = world.workers.iter().map(FakeWorker::orders).collect();
    assert_eq!(
        before, after,
        "leases and counts of stops and acknowledgements"
    );
}

#[test]
fn the_tenure_of_an_owner_ends_unless_a_write_takes_effect() {
    #[derive(Debug)]
    enum Event {
        Renew(u64),
        Revoke(u64),
    }
    use Event::{Renew, Revoke};
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        /// The first millisecond in which the owner may not act.
        ends_at_ms: u64,
    }
    let cases = [
        Case {
            name: "no write after the claim",
            events: vec![],
            ends_at_ms: 4_000,
        },
        Case {
            name: "a write",
            events: vec![Renew(1_500)],
            ends_at_ms: 4_500,
        },
        Case {
            name: "a late response to an earlier write",
            events: vec![Renew(2_000), Renew(1_500)],
            ends_at_ms: 5_000,
        },
        Case {
            name: "a release whose outcome is unknown",
            events: vec![Renew(2_000), Revoke(2_100)],
            ends_at_ms: 2_100,
        },
        Case {
            name: "a response to a write from before the release",
            events: vec![Revoke(2_100), Renew(2_000)],
            ends_at_ms: 2_100,
        },
        Case {
            name: "a write after a release that did not take effect",
            events: vec![Revoke(2_100), Renew(2_200)],
            ends_at_ms: 5_200,
        },
    ];
    for case in cases {
        let mut tenure = Tenure::begin(Time::from_millis(1_000));
        for event in &case.events {
            match event {
                Renew(sent_ms) => tenure.renew(Time::from_millis(*sent_ms)),
                Revoke(at_ms) => tenure.revoke(Time::from_millis(*at_ms)),
            }
        }
        let (name, ends_at_ms) = (case.name, case.ends_at_ms);
        assert!(tenure.permits(Time::from_millis(ends_at_ms - 1)), "{name}");
        assert!(!tenure.permits(Time::from_millis(ends_at_ms)), "{name}");
    }
}

/// A fault injected into the cell.
#[derive(Clone, Copy, Debug)]
enum Fault {
    TakeOver,
    TakeOverBeside,
    DisconnectStale(usize),
    ReconnectStale(usize),
    Disconnect(usize),
    Reconnect(usize),
    Restart(usize),
    StoreFails(bool),
    TasksFail(usize),
    TasksSucceed(usize),
}

/// Faults, each with the time in milliseconds that passes before it.
#[derive(Clone, Debug)]
struct FaultSequence(Vec<(u64, Fault)>);

impl Arbitrary for FaultSequence {
    fn arbitrary(g: &mut Gen) -> Self {
        let faults = 4 + usize::arbitrary(g) % 10;
        let fault = |g: &mut Gen| {
            let worker = usize::arbitrary(g) % 4;
            let delay_ms = u64::arbitrary(g) % 2_500;
            let fault = match u8::arbitrary(g) % 11 {
                0 | 1 => Fault::TakeOver,
                8 => Fault::TakeOverBeside,
                9 => Fault::DisconnectStale(worker),
                10 => Fault::ReconnectStale(worker),
                2 => Fault::Disconnect(worker),
                3 => Fault::Reconnect(worker),
                4 => Fault::Restart(worker),
                5 => Fault::StoreFails(bool::arbitrary(g)),
                6 => Fault::TasksFail(worker),
                _ => Fault::TasksSucceed(worker),
            };
            (delay_ms, fault)
        };
        Self((0..faults).map(|_| fault(g)).collect())
    }
}

/// Injects the faults while workflows are submitted, then ends all faults. Checks that no invariant
/// is violated and that all accepted workflows complete.
fn run_sequence(sequence: &FaultSequence) -> Result<(), String> {
    let mut world = World::new(4, true);
    world.queue.attempts = 1_000;
    world.engine.set_queues(vec![world.queue.clone()]);
    world.run_for(100);
    let mut next = 0;
    for (delay_ms, fault) in &sequence.0 {
        for _ in 0..3 {
            next += 1;
            let gang = StepSpec {
                gang: true,
                ..step(2, 1_000)
            };
            let dependent = StepSpec {
                depends_on: vec![0],
                ..step(2, 500)
            };
            let steps = match next % 3 {
                0 => vec![gang],
                1 => vec![step(3, 1_000), dependent],
                _ => vec![step(1, 500)],
            };
            world.submit(next, steps);
        }
        world.run_for(*delay_ms);
        world.record_done_tasks();
        match *fault {
            Fault::TakeOver => world.take_over(true),
            Fault::TakeOverBeside => world.take_over_beside_stale_owner(),
            Fault::DisconnectStale(worker) => world.workers[worker].unreachable_to_stale = true,
            Fault::ReconnectStale(worker) => world.workers[worker].unreachable_to_stale = false,
            Fault::Disconnect(worker) => world.workers[worker].unreachable = true,
            Fault::Reconnect(worker) => world.workers[worker].unreachable = false,
            Fault::Restart(worker) => world.restart_worker(worker),
            Fault::StoreFails(fails) => world.store_fails = fails,
            Fault::TasksFail(worker) => world.workers[worker].next_end = RunEnd::Failed,
            Fault::TasksSucceed(worker) => world.workers[worker].next_end = RunEnd::Done,
        }
    }
    world.store_fails = false;
    for worker in &mut world.workers {
        worker.unreachable = false;
        worker.next_end = RunEnd::Done;
    }
    world.run_for(40_000);
    if let Some(violation) = world.violations.first() {
        return Err(violation.clone());
    }
    for id in world.accepted.iter() {
        if world.state(*id) != Some(WorkflowState::Complete) {
            return Err(format!("workflow {id} is {:?}", world.state(*id)));
        }
    }
    Ok(())
}

#[test]
fn random_fault_sequences_violate_no_invariant() {
    /// Enough for each pair of faults to occur together several times.
    const SEQUENCES: u64 = 200;
    for seed in 0..SEQUENCES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let sequence = FaultSequence::arbitrary(&mut g);
        if let Err(violation) = run_sequence(&sequence) {
            panic!("seed {seed}: {violation} in {sequence:?}");
        }
    }
}

#[test]
fn a_task_that_was_never_started_does_not_wait_for_an_unreachable_worker() {
    let mut world = World::new(2, false);
    world.task_ms = Some(60_000);
    world.run_for(100);
    world.submit(1, vec![step(1, 4_000)]);
    world.submit(2, vec![step(1, 4_000)]);
    world.run_for(200);
    world.submit(3, vec![step(1, 4_000)]);
    world.run_for(100);
    let running = |world: &World| {
        let on = world.workers.iter().map(|worker| worker.running());
        on.sum::<usize>()
    };
    assert_eq!((world.starts.len(), running(&world)), (2, 2));
    world.workers[0].unreachable = true;
    world.restart_worker(1);
    world.take_over(true);
    let takeover_at = world.now_ms;
    world.run_for(1_000);
    let start = world.starts.last().unwrap();
    assert_eq!(world.starts.len(), 3, "{:?}", world.starts);
    assert!(
        start.0 > takeover_at && start.0 < takeover_at + 500,
        "{start:?}"
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// A gang with done and waiting members never started again.
#[test]
fn a_gang_whose_end_is_recorded_in_part_runs_again() {
    for id in 0..4 {
        let mut world = World::new(60, false);
        world.max_entries = 2;
        world.commit_ms = 300;
        let gang = StepSpec {
            gang: true,
            ..step(180, 1_000)
        };
        world.run_for(2_000);
        let second = StepSpec {
            depends_on: vec![0],
            ..step(1, 1_000)
        };
        world.submit(id, vec![gang, second]);
        let is_done = |world: &World, part, index| {
            let progress = world.progress.get(&(WorkflowId(id), part));
            let step = progress.and_then(|progress| progress.step((0, 0)));
            step.is_some_and(|step| step.is_done(index))
        };
        while world.now_ms < 30_000 && !is_done(&world, 2, 179) {
            world.run_for(5);
        }
        assert!(!is_done(&world, 0, 0) && world.state(id) != Some(WorkflowState::Complete));
        for index in 0..60 {
            world.restart_worker_unnoticed(index);
        }
        world.take_over(true);
        world.run_for(60_000);
        assert_eq!(world.state(id), Some(WorkflowState::Complete), "{id}");
    }
}
