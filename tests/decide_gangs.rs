//! All-at-once jobs beside other work: claims that they must leave alone, the order of those that
//! have waited elsewhere, and how jobs are shared out over shards.

mod decide_support;

use std::time::Duration;

use chestnutlug::decide::gang_split::{
    ShardCapacity, ShardShare, reservation_timeout, retry_delay, split_tasks,
};
use chestnutlug::decide::scheduler::Scheduler;
use chestnutlug::decide::{Action, AttemptEnd, JobKey, Policy};
use chestnutlug::model::{JobSpec, Outcome, Resources, Urgency};
use decide_support::{at, cores, decide, scheduler, spec};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn placed(steps: &[Action]) -> Vec<JobKey> {
    let place = |step: &Action| match *step {
        Action::Place { job, .. } => Some(job),
        _ => None,
    };
    steps.iter().filter_map(place).collect()
}

fn with_memory(cpus: u32, gib: u32) -> Resources {
    Resources {
        memory_mib: gib * 1_024,
        ..cores(cpus)
    }
}

/// How a gang that has collected a part on a worker gives it back.
#[derive(Clone, Copy)]
enum GivesBack {
    Cancelled,
    Forgotten,
}

struct Held {
    name: &'static str,
    gives_back: GivesBack,
}

fn give_back(policy: &mut Scheduler, gang: JobKey, how: GivesBack, ms: u64) {
    match how {
        GivesBack::Cancelled => drop(policy.cancel(gang, at(ms))),
        GivesBack::Forgotten => policy.remove_job(gang, at(ms)),
    }
}

#[test]
fn a_gang_that_gives_its_parts_back_leaves_the_claim_of_another_queue() {
    let cases = [
        Held {
            name: "cancelled",
            gives_back: GivesBack::Cancelled,
        },
        Held {
            name: "forgotten",
            gives_back: GivesBack::Forgotten,
        },
    ];
    for case in cases {
        let (mut policy, _) = scheduler(3, cores(16));
        let first = spec("t0", "check", Urgency::Normal, 1, cores(10));
        let long = JobSpec {
            expected_ms: 100_000,
            ..spec("t0", "swap", Urgency::Normal, 2, with_memory(12, 8))
        };
        let first = policy.submit(&first, at(0)).unwrap();
        policy.submit(&long, at(0)).unwrap();
        assert_eq!(decide(&mut policy, at(0)).len(), 3, "{}", case.name);

        let large = spec("t1", "compile", Urgency::Patient, 1, with_memory(1, 9));
        let large = policy.submit(&large, at(6_500)).unwrap();
        decide(&mut policy, at(6_500));
        let gang = JobSpec {
            all_at_once: true,
            ..spec("t2", "check", Urgency::Normal, 3, cores(6))
        };
        let gang = policy.submit(&gang, at(7_000)).unwrap();
        decide(&mut policy, at(7_000));
        let held = policy.waiting_for(gang, at(7_000));
        let reason = "room for all tasks at once: 1 of 3";
        assert_eq!(held.as_deref(), Some(reason), "{}", case.name);
        // The large task claims the worker on which the gang holds its part.
        decide(&mut policy, at(7_600));

        give_back(&mut policy, gang, case.gives_back, 7_700);
        let small = spec("t3", "swap", Urgency::Normal, 1, cores(5));
        policy.submit(&small, at(7_800)).unwrap();
        let steps = decide(&mut policy, at(7_800));
        assert_eq!(placed(&steps), [], "{}", case.name);
        let end = AttemptEnd::Reported(Outcome::Succeeded);
        policy.attempt_ended(first, 0, 1, end, at(8_000));
        let steps = decide(&mut policy, at(8_000));
        assert_eq!(placed(&steps).first(), Some(&large), "{}", case.name);
    }
}

struct Queued {
    name: &'static str,
    /// When each job began to wait, in the order in which they are queued, in milliseconds.
    since_ms: [u64; 3],
    /// The order in which they are placed.
    order: [usize; 3],
}

#[test]
fn work_that_has_waited_elsewhere_is_queued_by_its_age() {
    let cases = [
        Queued {
            name: "in order",
            since_ms: [100, 200, 300],
            order: [0, 1, 2],
        },
        Queued {
            name: "the oldest last",
            since_ms: [200, 300, 100],
            order: [2, 0, 1],
        },
        Queued {
            name: "one between",
            since_ms: [100, 300, 200],
            order: [0, 2, 1],
        },
    ];
    for case in cases {
        let (mut policy, _) = scheduler(1, cores(16));
        let one = spec("t0", "swap", Urgency::Normal, 1, cores(16));
        let submit = |ms: u64| policy.submit_since(&one, at(ms), at(1_000)).unwrap();
        let jobs = case.since_ms.map(submit);
        let mut order = Vec::new();
        for now in 0..3 {
            let now = at(2_000 + now * 1_000);
            let started = placed(&decide(&mut policy, now));
            assert_eq!(started.len(), 1, "{}", case.name);
            order.push(started[0]);
            let end = AttemptEnd::Reported(Outcome::Succeeded);
            policy.attempt_ended(started[0], 0, 1, end, now);
        }
        assert_eq!(order, case.order.map(|i| jobs[i]), "{}", case.name);
    }
}

struct Shared {
    name: &'static str,
    rooms: &'static [(&'static str, u64)],
    tasks: u32,
    turn: u64,
    shares: Option<&'static [(&'static str, u32)]>,
}

fn rooms(of: &[(&str, u64)]) -> Vec<ShardCapacity> {
    let room = |&(shard, max_tasks): &(&str, u64)| ShardCapacity {
        shard: shard.into(),
        max_tasks,
    };
    of.iter().map(room).collect()
}

#[test]
fn jobs_are_shared_out_in_the_order_of_names() {
    let cases = [
        Shared {
            name: "by room",
            rooms: &[("b", 30), ("a", 10)],
            tasks: 20,
            turn: 1,
            shares: Some(&[("a", 5), ("b", 15)]),
        },
        Shared {
            name: "no more shards than leave half of them free",
            rooms: &[("a", 10), ("b", 10), ("c", 10), ("d", 10)],
            tasks: 10,
            turn: 1,
            shares: Some(&[("b", 5), ("c", 5)]),
        },
        Shared {
            name: "all of them",
            rooms: &[("a", 10), ("c", 0), ("b", 10)],
            tasks: 20,
            turn: 0,
            shares: Some(&[("a", 10), ("b", 10)]),
        },
        Shared {
            name: "more than they hold",
            rooms: &[("a", 10), ("b", 10)],
            tasks: 21,
            turn: 0,
            shares: None,
        },
        Shared {
            name: "none",
            rooms: &[],
            tasks: 1,
            turn: 3,
            shares: None,
        },
    ];
    for case in cases {
        let found = split_tasks(&rooms(case.rooms), case.tasks, case.turn);
        let expected = case.shares.map(|shares| {
            let share = |&(shard, tasks): &(&str, u32)| ShardShare {
                shard: shard.into(),
                tasks,
            };
            shares.iter().map(share).collect::<Vec<_>>()
        });
        assert_eq!(found, expected, "{}", case.name);
    }
}

#[test]
fn shares_add_up_and_fit_wherever_they_can() {
    fn holds(slots: Vec<u8>, tasks: u16, turn: u64) -> bool {
        let names: Vec<String> = (0..slots.len()).map(|i| format!("s{i:03}")).collect();
        let rooms: Vec<ShardCapacity> = names
            .iter()
            .zip(&slots)
            .map(|(name, &slots)| ShardCapacity {
                shard: name.as_str().into(),
                max_tasks: slots.into(),
            })
            .collect();
        let tasks = u32::from(tasks % 600) + 1;
        let total: u64 = slots.iter().map(|&slots| u64::from(slots)).sum();
        let Some(shares) = split_tasks(&rooms, tasks, turn) else {
            return total < tasks.into();
        };
        let fits = |share: &ShardShare| {
            let room = rooms.iter().find(|room| room.shard == share.shard);
            room.is_some_and(|room| (1..=room.max_tasks).contains(&share.tasks.into()))
        };
        let sum: u32 = shares.iter().map(|share| share.tasks).sum();
        sum == tasks && shares.iter().all(fits) && shares.is_sorted_by_key(|s| s.shard.clone())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 5))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u8>, u16, u64) -> bool);
}

#[test]
fn holds_grow_and_pauses_follow_them() {
    let mut rng = SmallRng::seed_from_u64(3);
    for tries in 0..12 {
        let held = reservation_timeout(tries);
        assert!(held <= reservation_timeout(tries + 1));
        let pause = retry_delay(held, tries + 1, &mut rng);
        assert!(pause >= held * 2 && pause <= held * 4);
    }
    assert!(retry_delay(Duration::ZERO, 1, &mut rng) <= Duration::from_millis(200));
    assert!(reservation_timeout(40) <= Duration::from_secs(320));
}
