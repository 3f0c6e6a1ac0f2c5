//! Owners that are lost and followed.

use chestnutlug::port::executor::RunEnd;
use chestnutlug::workflow::StepSpec;
use chestnutlug::workflow::record::WorkflowState;
use quickcheck::{Arbitrary, Gen};

use crate::world::{LEASE_MS, World, step};

#[test]
fn running_work_goes_on_under_the_next_owner() {
    let mut world = World::new(3, true);
    world.task_ms = 3_000;
    world.run_for(100);
    world.submit(1, vec![step(6, 1_000)]);
    world.run_for(1_000);
    let starts = world.starts.len();
    world.take_over(true);
    world.run_for(10_000);
    assert_eq!(world.starts.len(), starts, "nothing is started again");
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
}

#[test]
fn inherited_work_starts_though_the_configuration_comes_later() {
    let mut world = World::new(2, true);
    world.task_ms = 1_000;
    world.run_for(100);
    world.submit(1, vec![step(30, 1_000)]);
    world.run_for(1_500);
    world.take_over(false);
    world.run_for(500);
    let queue = world.queue.clone();
    world.engine.set_queues(vec![queue]);
    world.run_for(20_000);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn nothing_starts_again_before_a_silent_workers_lease_is_over() {
    let mut world = World::new(2, false);
    world.task_ms = 60_000;
    world.run_for(100);
    world.submit(1, vec![step(1, 500)]);
    world.run_for(1_000);
    let at = world.workers.iter().position(|worker| worker.running() > 0);
    world.workers[at.unwrap()].silent = true;
    world.take_over(true);
    let taken_at = world.now_ms;
    world.run_for(4 * LEASE_MS);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let again = world.starts.last().unwrap();
    assert_eq!(world.starts.len(), 2);
    assert!(again.0 >= taken_at + LEASE_MS, "{again:?}");
}

#[test]
fn a_gang_that_its_owner_left_incomplete_is_stopped_and_started_anew() {
    let mut world = World::new(3, false);
    world.task_ms = 4_000;
    world.run_for(100);
    let gang = StepSpec {
        gang: true,
        ..step(3, 4_000)
    };
    world.submit(1, vec![gang]);
    world.run_for(500);
    // One member is lost with its worker while the owner is lost too.
    world.restart_worker(1);
    world.take_over(true);
    world.run_for(20_000);
    assert_eq!(world.state(1), Some(WorkflowState::Complete));
    let runs: std::collections::BTreeSet<u32> = world.starts.iter().map(|start| start.2).collect();
    assert_eq!(runs.len(), 2, "two runs of the whole gang: {runs:?}");
}

/// What disturbs the cell next.
#[derive(Clone, Copy, Debug)]
enum Fault {
    TakeOver,
    Silence(usize),
    Hear(usize),
    Restart(usize),
    StoreRefuses(bool),
    Fails(usize),
    Works(usize),
}

#[derive(Clone, Debug)]
struct Story(Vec<(u64, Fault)>);

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = 4 + usize::arbitrary(g) % 10;
        let fault = |g: &mut Gen| {
            let worker = usize::arbitrary(g) % 4;
            let pause = u64::arbitrary(g) % 2_500;
            let fault = match u8::arbitrary(g) % 8 {
                0 | 1 => Fault::TakeOver,
                2 => Fault::Silence(worker),
                3 => Fault::Hear(worker),
                4 => Fault::Restart(worker),
                5 => Fault::StoreRefuses(bool::arbitrary(g)),
                6 => Fault::Fails(worker),
                _ => Fault::Works(worker),
            };
            (pause, fault)
        };
        Self((0..steps).map(|_| fault(g)).collect())
    }
}

/// Plays faults over a stream of workflows; then all is well and everything accepted has to end.
fn play(story: &Story) -> Result<(), String> {
    let mut world = World::new(4, true);
    world.queue.attempts = 1_000;
    world.engine.set_queues(vec![world.queue.clone()]);
    world.run_for(100);
    let mut next = 0;
    for (pause, fault) in &story.0 {
        for _ in 0..3 {
            next += 1;
            let gang = StepSpec {
                gang: true,
                ..step(2, 1_000)
            };
            let after = StepSpec {
                depends_on: vec![0],
                ..step(2, 500)
            };
            let steps = match next % 3 {
                0 => vec![gang],
                1 => vec![step(3, 1_000), after],
                _ => vec![step(1, 500)],
            };
            world.submit(next, steps);
        }
        world.run_for(*pause);
        world.note_done();
        match *fault {
            Fault::TakeOver => world.take_over(true),
            Fault::Silence(worker) => world.workers[worker].silent = true,
            Fault::Hear(worker) => world.workers[worker].silent = false,
            Fault::Restart(worker) => world.restart_worker(worker),
            Fault::StoreRefuses(refuses) => world.store_refuses = refuses,
            Fault::Fails(worker) => world.workers[worker].next_end = RunEnd::Failed,
            Fault::Works(worker) => world.workers[worker].next_end = RunEnd::Done,
        }
    }
    world.store_refuses = false;
    for worker in &mut world.workers {
        worker.silent = false;
        worker.next_end = RunEnd::Done;
    }
    world.run_for(40_000);
    if let Some(broken) = world.broken.first() {
        return Err(broken.clone());
    }
    for id in world.accepted.iter() {
        if world.state(*id) != Some(WorkflowState::Complete) {
            return Err(format!("workflow {id} is {:?}", world.state(*id)));
        }
    }
    Ok(())
}

#[test]
fn no_story_of_faults_breaks_a_promise() {
    /// Enough for each pair of faults to meet several times.
    const STORIES: u64 = 200;
    for seed in 0..STORIES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let story = Story::arbitrary(&mut g);
        if let Err(broken) = play(&story) {
            panic!("seed {seed}: {broken} in {story:?}");
        }
    }
}

#[test]
fn work_that_no_earlier_owner_started_begins_at_once_though_a_worker_is_silent() {
    let mut world = World::new(2, false);
    world.task_ms = 60_000;
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
    world.workers[0].silent = true;
    world.restart_worker(1);
    world.take_over(true);
    let taken_at = world.now_ms;
    world.run_for(1_000);
    let again = world.starts.last().unwrap();
    assert_eq!(world.starts.len(), 3, "{:?}", world.starts);
    assert!(again.0 > taken_at && again.0 < taken_at + 500, "{again:?}");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
