//! Listings, clocks and policies with values that no worker or operator sends on purpose.

use std::net::SocketAddr;

use chestnutlug::port::executor::WorkerListing;
use chestnutlug::workflow::record::WorkflowState;

use crate::world::{World, queue, step};

struct Case {
    name: &'static str,
    change: fn(&mut WorkerListing),
}

const CASES: [Case; 4] = [
    Case {
        name: "highest start time",
        change: |listing| listing.boot = u64::MAX,
    },
    Case {
        name: "start time of no process",
        change: |listing| listing.boot = 0,
    },
    Case {
        name: "address of another server",
        change: |listing| listing.address = SocketAddr::from(([127, 0, 0, 1], 1)),
    },
    Case {
        name: "highest capacity",
        change: |listing| {
            let capacity = &mut listing.capacity;
            capacity.cpu_milli = u32::MAX;
            capacity.memory_mib = u32::MAX;
        },
    },
];

#[test]
fn a_wrong_listing_does_not_hide_its_worker_once_it_is_corrected() {
    for case in CASES {
        for odd_first in [true, false] {
            let mut world = World::new(1, false);
            let good = world.workers[0].listing.clone();
            let mut odd = good.clone();
            (case.change)(&mut odd);
            if odd_first {
                world.workers[0].listing = odd;
                world.take_over(true);
                world.workers[0].listing = good;
            } else {
                world.run_for(100);
                let now = world.now();
                world.engine.set_worker(odd, now);
            }
            world.run_for(100);
            world.list_workers();
            world.submit(1, vec![step(1, 500)]);
            world.run_for(10_000);
            let context = format!("{}, odd first: {odd_first}", case.name);
            assert_eq!(world.state(1), Some(WorkflowState::Complete), "{context}");
            assert!(
                world.violations.is_empty(),
                "{context}: {:?}",
                world.violations
            );
        }
    }
}

#[test]
fn a_worker_clock_near_its_highest_value_does_not_stop_the_engine() {
    for below_highest_ms in [0, 500, 3_000, 8_000] {
        let mut world = World::new(2, false);
        world.workers[0].clock_offset = u64::MAX - below_highest_ms;
        world.submit(1, vec![step(40, 2_000)]);
        world.run_for(20_000);
        let state = world.state(1);
        let context = format!("{below_highest_ms} ms below");
        assert_eq!(state, Some(WorkflowState::Complete), "{context}");
    }
}

#[test]
fn a_policy_with_extreme_numbers_does_not_stop_the_engine() {
    for number in [f64::MAX, -f64::MAX, f64::NAN, 1e30, 0.0] {
        for permits in [false, true] {
            let mut world = World::new(1, permits);
            let mut policy = queue(permits);
            policy.slack_factor = number;
            policy.slo_ms = number as u64;
            if let Some(latency) = &mut policy.permits {
                (latency.base_ms, latency.per_worker_ms) = (number, number);
            }
            world.engine.set_queues(vec![policy.clone()]);
            world.queue = policy;
            world.submit(1, vec![step(1, 500)]);
            world.run_for(3_000);
            assert!(world.state(1).is_some(), "{number}, permits: {permits}");
        }
    }
}
