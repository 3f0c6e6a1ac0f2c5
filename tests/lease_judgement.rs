//! When a VM counts as lost, and when a process may count on its own lease.

use std::time::Duration;

use chestnutlug::decide::lease::{LeaseTracker, OwnLease, VmRow};
use chestnutlug::model::Time;
use quickcheck::{Gen, QuickCheck, TestResult};

const LEASE_MS: u64 = 1_500;
const HOLD_MS: u64 = 990;

fn row(vm: &str, incarnation: u64, sequence: u64) -> VmRow {
    VmRow {
        vm: vm.into(),
        incarnation,
        sequence,
        zone: "z".into(),
        peers: "127.0.0.1:1".parse().unwrap(),
        capacity: 1,
        config_version: 0,
        stopping: false,
    }
}

fn leases() -> LeaseTracker {
    LeaseTracker::new(Duration::from_millis(LEASE_MS))
}

/// A read of the rows: from, to, and the sequence that the row shows; none where it is absent.
type Read = (u64, u64, Option<u64>);

struct Case {
    name: &'static str,
    reads: &'static [Read],
    live: bool,
}

#[test]
fn a_row_lapses_by_reads_that_began_a_lease_after_it_was_seen() {
    let cases = [
        Case {
            name: "seen once",
            reads: &[(0, 10, Some(1))],
            live: true,
        },
        Case {
            name: "unchanged for less",
            reads: &[(0, 10, Some(1)), (1_509, 1_600, Some(1))],
            live: true,
        },
        Case {
            name: "unchanged for a lease",
            reads: &[(0, 10, Some(1)), (1_510, 1_511, Some(1))],
            live: false,
        },
        Case {
            name: "a slow read that began before",
            reads: &[(0, 10, Some(1)), (1_000, 9_000, Some(1))],
            live: true,
        },
        Case {
            name: "a slow first read",
            reads: &[(0, 1_000, Some(1)), (1_600, 1_610, Some(1))],
            live: true,
        },
        Case {
            name: "changed",
            reads: &[(0, 10, Some(1)), (1_700, 1_710, Some(2))],
            live: true,
        },
        Case {
            name: "lapsed, then back",
            reads: &[
                (0, 10, Some(1)),
                (1_700, 1_710, Some(1)),
                (1_800, 1_810, Some(2)),
            ],
            live: true,
        },
        Case {
            name: "gone",
            reads: &[(0, 10, Some(1)), (100, 110, None)],
            live: false,
        },
        Case {
            name: "gone, then back with the same row",
            reads: &[(0, 10, Some(1)), (100, 110, None), (1_600, 1_610, Some(1))],
            live: true,
        },
    ];
    for case in cases {
        let mut leases = leases();
        for &(began, ended, sequence) in case.reads {
            let rows: Vec<VmRow> = sequence.map(|s| row("a", 7, s)).into_iter().collect();
            leases.observe(&rows, Time::from_millis(began), Time::from_millis(ended));
        }
        assert_eq!(leases.is_live(&"a".into(), 7), case.live, "{}", case.name);
        assert_eq!(
            leases.live().count(),
            usize::from(case.live),
            "{}",
            case.name
        );
    }
}

#[test]
fn another_process_on_the_vm_replaces_the_one_before() {
    let mut leases = leases();
    let at = Time::from_millis;
    leases.observe(&[row("a", 7, 5)], at(0), at(1));
    assert!(!leases.is_replaced(&"a".into(), 7));
    assert!(!leases.is_replaced(&"b".into(), 7), "not known");
    leases.observe(&[row("a", 8, 1)], at(10), at(11));
    assert!(leases.is_replaced(&"a".into(), 7));
    assert!(!leases.is_live(&"a".into(), 7));
    assert!(leases.is_live(&"a".into(), 8));
    leases.observe(&[row("a", 8, 1)], at(3_000), at(3_001));
    let long = Duration::from_millis(2_990);
    assert!(leases.is_expired_for(&"a".into(), long, at(3_001)));
    assert!(!leases.is_expired_for(&"a".into(), long, at(3_000)));
}

/// Heartbeats that begin 200 to 400 ms apart and take up to 200 ms, until the process dies; reads
/// that take up to 300 ms.
fn no_one_lapses_early(beats: Vec<(u8, u8)>, reads: Vec<(u8, u8)>) -> TestResult {
    let mut own = OwnLease::new(Duration::from_millis(HOLD_MS));
    let mut began = 0;
    let mut effects: Vec<(u64, u64)> = Vec::new();
    for &(gap, took) in &beats {
        began += 200 + u64::from(gap) % 200;
        effects.push((began, began + u64::from(took) % 200));
    }
    let died = effects.last().map_or(0, |last| last.1);
    let mut leases = leases();
    let mut at = 0;
    for &(gap, took) in &reads {
        let (from, to) = (
            at + u64::from(gap) * 4,
            at + u64::from(gap) * 4 + u64::from(took),
        );
        at = to;
        let middle = (from + to) / 2;
        let shown = effects.iter().filter(|beat| beat.1 <= middle).count() as u64;
        let rows: Vec<VmRow> = (shown > 0)
            .then(|| row("a", 1, shown))
            .into_iter()
            .collect();
        leases.observe(&rows, Time::from_millis(from), Time::from_millis(to));
        let lapsed = shown > 0 && !leases.is_live(&"a".into(), 1);
        if lapsed && to < died {
            return TestResult::error(format!("lapsed at {to}, died at {died}"));
        }
        if let Some(beat) = effects.iter().rev().find(|beat| beat.1 <= to) {
            own.renewed(Time::from_millis(beat.0));
        }
        if lapsed && own.is_held(Time::from_millis(to)) {
            return TestResult::error(format!("lapsed at {to} and still held"));
        }
    }
    TestResult::passed()
}

#[test]
fn no_process_counts_on_a_lease_that_others_count_as_lapsed() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(500)
        .quickcheck(no_one_lapses_early as fn(Vec<(u8, u8)>, Vec<(u8, u8)>) -> TestResult);
}
