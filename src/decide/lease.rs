//! Which VMs live, judged by their heartbeat rows on the observer's own clock.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::model::{Time, VmName, ZoneName};

common! { record
/// `c/vm/NAME`: the heartbeat of a VM.
#[derive(Eq)]
pub struct VmRow {
    /// The VM.
    pub vm: VmName,
    /// The process on it; drawn anew at each start.
    pub incarnation: u64,
    /// Grows by one with each heartbeat.
    pub sequence: u64,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes requests of other VMs.
    pub peers: SocketAddr,
    /// What it can carry beside others.
    pub capacity: u32,
    /// The configuration version in force there.
    pub config_version: u64,
    /// Whether it stops and takes no more shards.
    pub stopping: bool,
}}

#[derive(Clone, Debug)]
struct Seen {
    row: VmRow,
    since: Time,
    lapsed: bool,
}

/// The heartbeat rows as this process has seen them.
///
/// A row counts as lapsed when a read that *began* at least the lease time after the row was first
/// seen still shows it unchanged. No clock is compared between machines.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::lease::{LeaseTracker, VmRow};
/// use chestnutlug::model::Time;
///
/// let row = VmRow {
///     vm: "vm-1".into(), incarnation: 7, sequence: 1, zone: "a".into(),
///     peers: "127.0.0.1:1".parse().unwrap(), capacity: 1, config_version: 0, stopping: false,
/// };
/// let mut leases = LeaseTracker::new(Duration::from_millis(1_500));
/// leases.observe(&[row.clone()], Time::from_millis(0), Time::from_millis(10));
/// leases.observe(&[row.clone()], Time::from_millis(1_500), Time::from_millis(1_510));
/// assert_eq!(leases.live().count(), 1, "unchanged for 1,490 ms only");
/// leases.observe(&[row], Time::from_millis(1_511), Time::from_millis(1_520));
/// assert_eq!(leases.live().count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct LeaseTracker {
    lease: Duration,
    seen: FxHashMap<VmName, Seen>,
}

impl LeaseTracker {
    /// Leases that lapse after `lease` without a change.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            seen: FxHashMap::default(),
        }
    }

    /// Takes the rows of one read that lasted from `began` to `ended`.
    pub fn observe(&mut self, rows: &[VmRow], began: Time, ended: Time) {
        self.seen
            .retain(|vm, _| rows.iter().any(|row| &row.vm == vm));
        for row in rows {
            match self.seen.get_mut(&row.vm) {
                Some(seen) if &seen.row == row => {
                    seen.lapsed = began.since(seen.since) >= self.lease;
                }
                _ => self.insert(row, ended),
            }
        }
    }

    fn insert(&mut self, row: &VmRow, since: Time) {
        let seen = Seen {
            row: row.clone(),
            since,
            lapsed: false,
        };
        self.seen.insert(row.vm.clone(), seen);
    }

    /// The VMs whose leases have not lapsed.
    pub fn live(&self) -> impl Iterator<Item = &VmRow> {
        self.seen
            .values()
            .filter(|seen| !seen.lapsed)
            .map(|seen| &seen.row)
    }

    /// Whether the process `incarnation` on `vm` holds its lease.
    pub fn is_live(&self, vm: &VmName, incarnation: u64) -> bool {
        self.seen
            .get(vm)
            .is_some_and(|seen| !seen.lapsed && seen.row.incarnation == incarnation)
    }

    /// Whether the lease of `vm` lapsed and its row has not changed for `long`.
    pub fn is_expired_for(&self, vm: &VmName, long: Duration, now: Time) -> bool {
        self.seen
            .get(vm)
            .is_some_and(|seen| seen.lapsed && now.since(seen.since) >= long)
    }

    /// Whether another process than `incarnation` is known on `vm`, so that the earlier one is
    /// surely gone.
    pub fn is_replaced(&self, vm: &VmName, incarnation: u64) -> bool {
        self.seen
            .get(vm)
            .is_some_and(|seen| seen.row.incarnation != incarnation)
    }
}

/// A process's own lease, as it may count on it.
///
/// Counted from when the last successful heartbeat *began*, so that the process stops well before
/// any observer counts the lease as lapsed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::lease::OwnLease;
/// use chestnutlug::model::Time;
///
/// let mut lease = OwnLease::new(Duration::from_millis(1_000));
/// assert!(!lease.is_held(Time::from_millis(0)));
/// lease.renewed(Time::from_millis(0));
/// assert!(lease.is_held(Time::from_millis(999)));
/// assert!(!lease.is_held(Time::from_millis(1_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct OwnLease {
    hold: Duration,
    began: Option<Time>,
}

impl OwnLease {
    /// A lease that was never renewed and holds for `hold` after each renewal began.
    pub fn new(hold: Duration) -> Self {
        Self { hold, began: None }
    }

    /// Notes a successful heartbeat that began at `began`.
    pub fn renewed(&mut self, began: Time) {
        self.began = Some(began);
    }

    /// Whether the process may count on its lease.
    pub fn is_held(&self, now: Time) -> bool {
        self.began.is_some_and(|began| now.since(began) < self.hold)
    }

    /// How long ago the last successful heartbeat began.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.began.map(|began| now.since(began))
    }
}
