//! Which shard holds a worker.
//!
//! A worker starts in the shard that its name selects, its home. Its owner may assign it to another
//! shard, whose owner records it before using it. Each change has a number, and only the shard that
//! holds the worker can make the next one, so that two shards never hold a worker at the same time,
//! however late a message arrives and whoever owns the shards by then.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::fleet::Vacant;
use crate::model::WorkerName;

/// The number of a shard, starting at 0.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct ShardId(pub u16);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The assignment of a worker to a shard, as recorded by the shard that gave the worker away and by the
/// one that took it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The number of the change; a worker that was never assigned has 0.
    pub generation: u64,
    /// The shard that holds the worker.
    pub holder: ShardId,
    /// The holder's fencing tokens for the worker are higher than this, and so than those of all
    /// earlier holders.
    pub fence_base: u64,
    /// How long leases of earlier holders may last after the change, in milliseconds.
    pub lease_left_ms: u64,
}

/// The assignments that a shard has recorded.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::WorkerName;
/// use chestnutlug::workflow::{Assignment, Assignments, ShardId};
///
/// let worker = WorkerName::new("w1");
/// let mut assignments = Assignments::new(ShardId(2));
/// assert!(assignments.holds(&worker, ShardId(2)));
/// let elsewhere = Assignment { generation: 1, holder: ShardId(0), fence_base: 7, lease_left_ms: 0 };
/// assignments.record(worker.clone(), elsewhere);
/// assert!(!assignments.holds(&worker, ShardId(2)));
/// assert!(!assignments.is_news(&worker, &elsewhere));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Assignments {
    own: ShardId,
    recorded: HashMap<WorkerName, Assignment>,
}

impl Assignments {
    /// No recorded assignments in the shard `own`.
    pub fn new(own: ShardId) -> Self {
        Self {
            own,
            recorded: HashMap::new(),
        }
    }

    /// The shard that recorded these assignments.
    pub fn own(&self) -> ShardId {
        self.own
    }

    /// The last recorded assignment of a worker.
    pub fn get(&self, worker: &WorkerName) -> Option<&Assignment> {
        self.recorded.get(worker)
    }

    /// Whether this shard holds the worker, whose home is `home`.
    pub fn holds(&self, worker: &WorkerName, home: ShardId) -> bool {
        let recorded = self.recorded.get(worker);
        recorded.map_or(home, |assignment| assignment.holder) == self.own
    }

    /// The lowest value of fencing tokens for the worker, exclusively.
    pub fn fence_base(&self, worker: &WorkerName) -> u64 {
        self.get(worker)
            .map_or(0, |assignment| assignment.fence_base)
    }

    /// Whether the assignment is later than what is recorded here.
    pub fn is_news(&self, worker: &WorkerName, assignment: &Assignment) -> bool {
        let recorded = self.get(worker).map_or(0, |recorded| recorded.generation);
        assignment.generation > recorded
    }

    /// The assignment of a worker of this shard to the shard `to`.
    pub(super) fn assign(&self, worker: &WorkerName, to: ShardId, vacant: Vacant) -> Assignment {
        let recorded = self.get(worker).map_or(0, |recorded| recorded.generation);
        Assignment {
            generation: recorded + 1,
            holder: to,
            fence_base: vacant.fencing_token(),
            lease_left_ms: vacant.lease_left_ms(),
        }
    }

    /// Takes over an assignment that is in the store.
    pub fn record(&mut self, worker: WorkerName, assignment: Assignment) {
        self.recorded.insert(worker, assignment);
    }
}
