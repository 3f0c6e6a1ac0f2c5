//! Tests gangs beside other work: the claims of other queues, the order of jobs that have waited
//! elsewhere, and how gangs are split over shards.

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

fn placed(actions: &[Action]) -> Vec<JobKey> {
    let place = |action: &Action| match *action {
        Action::Place { job, .. } => Some(job),
        _ => None,
    };
    actions.iter().filter_map(place).collect()
}

fn with_memory(cpus: u32, gib: u32) -> Resources {
    Resources {
        memory_mib: gib * 1_024,
        ..cores(cpus)
    }
}

/// How a gang that holds resources on a worker releases them.
#[derive(Clone, Copy)]
enum ReleaseHold {
    Cancelled,
    Removed,
}

struct Held {
    name: &'static str,
    release: ReleaseHold,
}

fn release_hold(policy: &mut Scheduler, gang: JobKey, how: ReleaseHold, ms: u64) {
    match how {
        ReleaseHold::Cancelled => drop(policy.cancel(gang, at(ms))),
        ReleaseHold::Removed => policy.remove_job(gang, at(ms)),
    }
}

#[test]
fn releasing_a_gang_hold_keeps_the_claim_of_another_queue() {
    let cases = [
        Held {
            name: "cancelled",
            release: ReleaseHold::Cancelled,
        },
        Held {
            name: "removed",
            release: ReleaseHold::Removed,
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
        let waiting_for = policy.waiting_for(gang, at(7_000));
        let reason = "room for all tasks at once: 1 of 3";
        assert_eq!(waiting_for.as_deref(), Some(reason), "{}", case.name);
        // The large task claims the worker on which the gang holds resources for one task.
        decide(&mut policy, at(7_600));

        release_hold(&mut policy, gang, case.release, 7_700);
        let small = spec("t3", "swap", Urgency::Normal, 1, cores(5));
        policy.submit(&small, at(7_800)).unwrap();
        let actions = decide(&mut policy, at(7_800));
        assert_eq!(placed(&actions), [], "{}", case.name);
        let end = AttemptEnd::Reported(Outcome::Succeeded);
        policy.attempt_ended(first, 0, 1, end, at(8_000));
        let actions = decide(&mut policy, at(8_000));
        assert_eq!(placed(&actions).first(), Some(&large), "{}", case.name);
    }
}

struct Queued {
    name: &'static str,
    /// When each job began to wait, in milliseconds, in the order of submission.
    since_ms: [u64; 3],
    /// Expected order of placement.
    order: [usize; 3],
}

#[test]
fn jobs_that_waited_elsewhere_are_queued_by_age() {
    let cases = [
        Queued {
            name: "in order of age",
            since_ms: [100, 200, 300],
            order: [0, 1, 2],
        },
        Queued {
            name: "the oldest submitted last",
            since_ms: [200, 300, 100],
            order: [2, 0, 1],
        },
        Queued {
            name: "one in between",
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
    capacities: &'static [(&'static str, u64)],
    tasks: u32,
    rotation: u64,
    shares: Option<&'static [(&'static str, u32)]>,
}

fn capacities(of: &[(&str, u64)]) -> Vec<ShardCapacity> {
    let capacity = |&(shard, max_tasks): &(&str, u64)| ShardCapacity {
        shard: shard.into(),
        max_tasks,
    };
    of.iter().map(capacity).collect()
}

#[test]
fn tasks_are_split_over_shards_in_name_order() {
    let cases = [
        Shared {
            name: "in proportion to the capacities",
            capacities: &[("b", 30), ("a", 10)],
            tasks: 20,
            rotation: 1,
            shares: Some(&[("a", 5), ("b", 15)]),
        },
        Shared {
            name: "only as many shards as needed for twice the tasks",
            capacities: &[("a", 10), ("b", 10), ("c", 10), ("d", 10)],
            tasks: 10,
            rotation: 1,
            shares: Some(&[("b", 5), ("c", 5)]),
        },
        Shared {
            name: "all shards",
            capacities: &[("a", 10), ("c", 0), ("b", 10)],
            tasks: 20,
            rotation: 0,
            shares: Some(&[("a", 10), ("b", 10)]),
        },
        Shared {
            name: "more tasks than fit",
            capacities: &[("a", 10), ("b", 10)],
            tasks: 21,
            rotation: 0,
            shares: None,
        },
        Shared {
            name: "no shards",
            capacities: &[],
            tasks: 1,
            rotation: 3,
            shares: None,
        },
    ];
    for case in cases {
        let found = split_tasks(&capacities(case.capacities), case.tasks, case.rotation);
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
fn shares_add_up_and_fit_the_capacities() {
    fn holds(max_tasks: Vec<u8>, tasks: u16, rotation: u64) -> bool {
        let names: Vec<String> = (0..max_tasks.len()).map(|i| format!("s{i:03}")).collect();
        let capacities: Vec<ShardCapacity> = names
            .iter()
            .zip(&max_tasks)
            .map(|(name, &max_tasks)| ShardCapacity {
                shard: name.as_str().into(),
                max_tasks: max_tasks.into(),
            })
            .collect();
        let tasks = u32::from(tasks % 600) + 1;
        let total: u64 = max_tasks.iter().map(|&n| u64::from(n)).sum();
        let Some(shares) = split_tasks(&capacities, tasks, rotation) else {
            return total < tasks.into();
        };
        let fits = |share: &ShardShare| {
            let capacity = capacities.iter().find(|c| c.shard == share.shard);
            capacity.is_some_and(|c| (1..=c.max_tasks).contains(&share.tasks.into()))
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
fn reservation_timeouts_grow_and_retry_delays_follow_them() {
    let mut rng = SmallRng::seed_from_u64(3);
    for failed_rounds in 0..12 {
        let timeout = reservation_timeout(failed_rounds);
        assert!(timeout <= reservation_timeout(failed_rounds + 1));
        let delay = retry_delay(timeout, failed_rounds + 1, &mut rng);
        assert!(delay >= timeout * 2 && delay <= timeout * 4);
    }
    assert!(retry_delay(Duration::ZERO, 1, &mut rng) <= Duration::from_millis(200));
    assert!(reservation_timeout(40) <= Duration::from_secs(320));
}
