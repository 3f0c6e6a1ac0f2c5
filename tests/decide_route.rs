//! Tests the costs and the usable slots of backend servers.

use std::time::Duration;

use chestnutlug::decide::route::{
    BackendKey, MAX_FAILURES, Router, SELF_REPORT_TTL, SET_ASIDE_BASE, SLOW_START,
};
use chestnutlug::message::SlotUse;
use chestnutlug::model::Time;
use slotmap::SlotMap;

const START: Time = Time::from_millis(1_000);
const SLOTS: u32 = 8;

fn used(succeeded: bool, latency_us: u64) -> SlotUse {
    SlotUse {
        succeeded,
        latency_us,
        leaving: false,
    }
}

fn router(count: usize, slow_start: bool) -> (Router, Vec<BackendKey>) {
    let mut keys = SlotMap::<BackendKey, ()>::with_key();
    let keys: Vec<_> = (0..count).map(|_| keys.insert(())).collect();
    let mut router = Router::default();
    for &key in &keys {
        router.add(key, slow_start, START);
    }
    (router, keys)
}

#[test]
fn backend_servers_are_ordered_by_cost() {
    struct Case {
        name: &'static str,
        /// Expected winner: latency in microseconds, slots in use, and whether it is in the same
        /// zone.
        winner: (u64, u32, bool),
        /// The other backend server.
        loser: (u64, u32, bool),
    }
    let cases = [
        Case {
            name: "the faster one",
            winner: (1_000, 0, true),
            loser: (5_000, 0, true),
        },
        Case {
            name: "the one with fewer slots in use",
            winner: (1_000, 1, true),
            loser: (1_000, 5, true),
        },
        Case {
            name: "the one in the same zone",
            winner: (1_000, 4, true),
            loser: (1_000, 0, false),
        },
        Case {
            name: "a much faster one in another zone",
            winner: (1_000, 0, false),
            loser: (20_000, 0, true),
        },
        Case {
            name: "one that was never measured",
            winner: (0, 0, true),
            loser: (1_000, 0, true),
        },
    ];
    for case in cases {
        let (mut router, keys) = router(2, false);
        let backends = [case.winner, case.loser]
            .map(|(latency_us, in_use, same_zone)| (latency_us, in_use, same_zone));
        let mut costs = Vec::new();
        for (&key, (latency_us, in_use, same_zone)) in keys.iter().zip(backends) {
            router.record_use(key, &used(true, latency_us), START);
            costs.push(router.cost(key, in_use, SLOTS, same_zone, START));
        }
        assert!(costs[0] < costs[1], "{}: {costs:?}", case.name);
    }
}

#[test]
fn latency_measurements_decay() {
    let (mut router, keys) = router(2, false);
    router.record_use(keys[0], &used(true, 50_000), START);
    let later = START + Duration::from_secs(120);
    router.record_use(keys[1], &used(true, 10_000), later);
    let slow = router.cost(keys[0], 0, SLOTS, true, later);
    let quick = router.cost(keys[1], 0, SLOTS, true, later);
    assert!(slow < quick, "{slow} {quick}");
}

#[test]
fn slow_start_increases_the_usable_slots_gradually() {
    let (router, keys) = router(1, true);
    let mut last = 0;
    for step in 0..=10 {
        let usable_slots = router.usable_slots(keys[0], SLOTS, START + SLOW_START * step / 10);
        assert!(
            usable_slots >= last,
            "step {step}: {usable_slots} after {last}"
        );
        last = usable_slots;
    }
    assert_eq!(router.usable_slots(keys[0], SLOTS, START), 1);
    assert_eq!(last, SLOTS);
}

#[test]
fn failures_in_a_row_set_aside_until_a_probe_succeeds() {
    let (mut router, keys) = router(4, false);
    for _ in 0..MAX_FAILURES {
        assert_eq!(router.usable_slots(keys[0], SLOTS, START), SLOTS);
        router.record_use(keys[0], &used(false, 0), START);
    }
    assert!(router.is_set_aside(keys[0]));
    assert_eq!(router.usable_slots(keys[0], SLOTS, START), 0);

    let probe = START + SET_ASIDE_BASE;
    assert_eq!(router.usable_slots(keys[0], SLOTS, probe), 1, "one probe");
    router.record_use(keys[0], &used(false, 0), probe);
    assert_eq!(
        router.usable_slots(keys[0], SLOTS, probe + SET_ASIDE_BASE),
        0,
        "doubled time"
    );

    let probe = probe + SET_ASIDE_BASE * 2;
    assert_eq!(
        router.usable_slots(keys[0], SLOTS, probe),
        1,
        "one more probe"
    );
    router.record_use(keys[0], &used(true, 1_000), probe);
    assert!(!router.is_set_aside(keys[0]));
    assert_eq!(
        router.usable_slots(keys[0], SLOTS, probe),
        1,
        "slow start after it is back"
    );
    assert_eq!(
        router.usable_slots(keys[0], SLOTS, probe + SLOW_START),
        SLOTS
    );
}

#[test]
fn at_most_half_are_set_aside() {
    struct Case {
        backends: usize,
        set_aside: usize,
    }
    let cases = [
        Case {
            backends: 1,
            set_aside: 0,
        },
        Case {
            backends: 2,
            set_aside: 1,
        },
        Case {
            backends: 5,
            set_aside: 2,
        },
        Case {
            backends: 50,
            set_aside: 25,
        },
    ];
    for case in cases {
        let (mut router, keys) = router(case.backends, false);
        for _ in 0..MAX_FAILURES * 2 {
            for &key in &keys {
                router.record_use(key, &used(false, 0), START);
            }
        }
        let set_aside = keys.iter().filter(|&&key| router.is_set_aside(key)).count();
        assert_eq!(
            set_aside, case.set_aside,
            "{} backend servers",
            case.backends
        );
    }
}

#[test]
fn draining_backend_server_has_no_usable_slots() {
    let reported = SlotUse {
        leaving: true,
        ..used(true, 1_000)
    };
    let (mut router, keys) = router(2, false);
    router.set_listed_draining(keys[0], true);
    router.record_use(keys[1], &reported, START);
    for &key in &keys {
        assert_eq!(router.usable_slots(key, SLOTS, START), 0);
        assert!(router.is_draining(key, START));
    }
    router.set_listed_draining(keys[0], false);
    assert_eq!(
        router.usable_slots(keys[0], SLOTS, START),
        SLOTS,
        "no longer listed"
    );
    router.set_listed_draining(keys[1], false);
    assert_eq!(
        router.usable_slots(keys[1], SLOTS, START),
        0,
        "the list lags behind its own report"
    );
    router.set_listed_draining(keys[1], true);
    router.set_listed_draining(keys[1], false);
    assert_eq!(
        router.usable_slots(keys[1], SLOTS, START),
        SLOTS,
        "listed and no longer listed"
    );
    router.record_use(keys[1], &reported, START);
    assert_eq!(
        router.usable_slots(keys[1], SLOTS, START + SELF_REPORT_TTL),
        SLOTS,
        "own report expired"
    );
}
