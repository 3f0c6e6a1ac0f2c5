//! Tests when the lease of a VM expires, and when a process may rely on its own lease.

use std::time::Duration;

use chestnutlug::decide::lease::{LeaseTracker, OwnLease, VmRow};
use chestnutlug::model::Time;
use quickcheck::{Gen, QuickCheck, TestResult};

const LEASE_MS: u64 = 1_500;
const VALIDITY_MS: u64 = 990;

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

/// A read of the rows: start, end, and the sequence number in the row; `None` if the row is absent.
type Read = (u64, u64, Option<u64>);

struct Case {
    name: &'static str,
    reads: &'static [Read],
    live: bool,
}

#[test]
fn lease_expires_by_a_read_that_began_a_lease_time_after_the_row_was_seen() {
    let cases = [
        Case {
            name: "seen once",
            reads: &[(0, 10, Some(1))],
            live: true,
        },
        Case {
            name: "unchanged for less than the lease time",
            reads: &[(0, 10, Some(1)), (1_509, 1_600, Some(1))],
            live: true,
        },
        Case {
            name: "unchanged for the lease time",
            reads: &[(0, 10, Some(1)), (1_510, 1_511, Some(1))],
            live: false,
        },
        Case {
            name: "a slow read that began too early",
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
            name: "expired, then renewed",
            reads: &[
                (0, 10, Some(1)),
                (1_700, 1_710, Some(1)),
                (1_800, 1_810, Some(2)),
            ],
            live: true,
        },
        Case {
            name: "deleted",
            reads: &[(0, 10, Some(1)), (100, 110, None)],
            live: false,
        },
        Case {
            name: "deleted, then back with the same row",
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
fn new_process_on_the_vm_replaces_the_previous_one() {
    let mut leases = leases();
    let at = Time::from_millis;
    leases.observe(&[row("a", 7, 5)], at(0), at(1));
    assert!(!leases.is_replaced(&"a".into(), 7));
    assert!(!leases.is_replaced(&"b".into(), 7), "unknown VM");
    leases.observe(&[row("a", 8, 1)], at(10), at(11));
    assert!(leases.is_replaced(&"a".into(), 7));
    assert!(!leases.is_live(&"a".into(), 7));
    assert!(leases.is_live(&"a".into(), 8));
    leases.observe(&[row("a", 8, 1)], at(3_000), at(3_001));
    let duration = Duration::from_millis(2_990);
    assert!(leases.is_expired_for(&"a".into(), duration, at(3_001)));
    assert!(!leases.is_expired_for(&"a".into(), duration, at(3_000)));
}

/// Simulates heartbeats that begin 200 to 400 ms apart and take up to 200 ms, until the process
/// dies, and reads that take up to 300 ms.
fn no_lease_expires_early(beats: Vec<(u8, u8)>, reads: Vec<(u8, u8)>) -> TestResult {
    let mut own = OwnLease::new(Duration::from_millis(VALIDITY_MS));
    let mut began = 0;
    let mut commits: Vec<(u64, u64)> = Vec::new();
    for &(gap, took) in &beats {
        began += 200 + u64::from(gap) % 200;
        commits.push((began, began + u64::from(took) % 200));
    }
    let died = commits.last().map_or(0, |last| last.1);
    let mut leases = leases();
    let mut at = 0;
    for &(gap, took) in &reads {
        let (from, to) = (
            at + u64::from(gap) * 4,
            at + u64::from(gap) * 4 + u64::from(took),
        );
        at = to;
        let middle = (from + to) / 2;
        let shown = commits.iter().filter(|beat| beat.1 <= middle).count() as u64;
        let rows: Vec<VmRow> = (shown > 0)
            .then(|| row("a", 1, shown))
            .into_iter()
            .collect();
        leases.observe(&rows, Time::from_millis(from), Time::from_millis(to));
        let is_expired = shown > 0 && !leases.is_live(&"a".into(), 1);
        if is_expired && to < died {
            return TestResult::error(format!("expired at {to}, died at {died}"));
        }
        if let Some(beat) = commits.iter().rev().find(|beat| beat.1 <= to) {
            own.renewed(Time::from_millis(beat.0));
        }
        if is_expired && own.is_held(Time::from_millis(to)) {
            return TestResult::error(format!("expired at {to} and still held"));
        }
    }
    TestResult::passed()
}

#[test]
fn no_process_relies_on_a_lease_that_others_regard_as_expired() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(500)
        .quickcheck(no_lease_expires_early as fn(Vec<(u8, u8)>, Vec<(u8, u8)>) -> TestResult);
}
