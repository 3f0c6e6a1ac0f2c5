//! Liveness of VMs, derived from their heartbeat rows by the observer's own clock.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::model::{Time, VmName, ZoneName};

common! { record
/// `c/vm/NAME`: heartbeat of a VM.
#[derive(Eq)]
pub struct VmRow {
    /// The VM.
    pub vm: VmName,
    /// Process on the VM; a random number drawn at each start.
    pub incarnation: u64,
    /// Incremented with each heartbeat.
    pub sequence: u64,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address for requests of other VMs.
    pub peers: SocketAddr,
    /// Relative capacity for shards.
    pub capacity: u32,
    /// Version of the configuration in force on the VM.
    pub config_version: u64,
    /// Whether the VM is stopping and takes no more shards.
    pub stopping: bool,
}}

#[derive(Clone, Debug)]
struct ObservedRow {
    row: VmRow,
    first_seen: Time,
    expired: bool,
}

/// Tracks the leases of VMs by the heartbeat rows that this process has read.
///
/// A lease is expired if a read that *began* at least the lease time after the row was first seen
/// still returns it unchanged. Clocks of different machines are never compared.
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
    seen: FxHashMap<VmName, ObservedRow>,
}

impl LeaseTracker {
    /// Creates a tracker for leases that expire after `lease` without a change.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            seen: FxHashMap::default(),
        }
    }

    /// Records the rows of one read that lasted from `began` to `ended`.
    pub fn observe(&mut self, rows: &[VmRow], began: Time, ended: Time) {
        self.seen
            .retain(|vm, _| rows.iter().any(|row| &row.vm == vm));
        for row in rows {
            match self.seen.get_mut(&row.vm) {
                Some(seen) if &seen.row == row => {
                    seen.expired = began.since(seen.first_seen) >= self.lease;
                }
                _ => self.insert(row, ended),
            }
        }
    }

    fn insert(&mut self, row: &VmRow, first_seen: Time) {
        let seen = ObservedRow {
            row: row.clone(),
            first_seen,
            expired: false,
        };
        self.seen.insert(row.vm.clone(), seen);
    }

    /// Returns the VMs whose leases have not expired.
    pub fn live(&self) -> impl Iterator<Item = &VmRow> {
        self.seen
            .values()
            .filter(|seen| !seen.expired)
            .map(|seen| &seen.row)
    }

    /// Returns whether the process `incarnation` on `vm` holds its lease.
    pub fn is_live(&self, vm: &VmName, incarnation: u64) -> bool {
        self.seen
            .get(vm)
            .is_some_and(|seen| !seen.expired && seen.row.incarnation == incarnation)
    }

    /// Returns whether the lease of `vm` is expired and its row has been unchanged for `duration`.
    pub fn is_expired_for(&self, vm: &VmName, duration: Duration, now: Time) -> bool {
        self.seen
            .get(vm)
            .is_some_and(|seen| seen.expired && now.since(seen.first_seen) >= duration)
    }

    /// Returns whether another process than `incarnation` is known to run on `vm`, in which case
    /// the earlier one has certainly ended.
    pub fn is_replaced(&self, vm: &VmName, incarnation: u64) -> bool {
        self.seen
            .get(vm)
            .is_some_and(|seen| seen.row.incarnation != incarnation)
    }
}

/// The lease of this process, as it may rely on it.
///
/// The lease counts from when the last successful heartbeat *began*, so that the process stops well
/// before any observer regards the lease as expired.
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
    validity: Duration,
    renewal_began: Option<Time>,
}

impl OwnLease {
    /// Creates a lease that was never renewed and is valid for `validity` from the start of each
    /// renewal.
    pub fn new(validity: Duration) -> Self {
        Self {
            validity,
            renewal_began: None,
        }
    }

    /// Records a successful heartbeat that began at `began`.
    pub fn renewed(&mut self, began: Time) {
        self.renewal_began = Some(began);
    }

    /// Returns whether the process may rely on its lease.
    pub fn is_held(&self, now: Time) -> bool {
        self.renewal_began
            .is_some_and(|began| now.since(began) < self.validity)
    }

    /// Returns the time since the last successful heartbeat began.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.renewal_began.map(|began| now.since(began))
    }
}
