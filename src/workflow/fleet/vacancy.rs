//! When a worker may be assigned to another shard.

use super::{Worker, as_millis};
use crate::model::Time;
use crate::workflow::tenure::with_clock_margin;

/// The proof that no run of this shard is on a worker, and that none will begin there.
///
/// Runs leave the owner's view only with the proof of their end (see [`crate::workflow::ended`]), so
/// that a worker without runs has none whose start is still on its way. Only [`Worker::vacant`] makes
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Vacant {
    fencing_token: u64,
    lease_left_ms: u64,
}

impl Vacant {
    /// The highest fencing token that this shard has presented to the worker.
    pub(in crate::workflow) fn fencing_token(self) -> u64 {
        self.fencing_token
    }

    /// How long granted leases may last, in milliseconds.
    pub(in crate::workflow) fn lease_left_ms(self) -> u64 {
        self.lease_left_ms
    }
}

impl Worker {
    /// The proof that the worker is vacant, if it is: it has no runs, the owner has recorded all ends
    /// that it listed, and its process is known and has seen the owner's fencing token.
    pub(in crate::workflow) fn vacant(
        &self,
        fencing_token: u64,
        max_lease_ms: u64,
        now: Time,
    ) -> Option<Vacant> {
        let is_vacant = self.runs.is_empty()
            && self.unknown_runs == 0
            && self.knows_fencing_token
            && self.process_confirmed
            && self.process_unconfirmed_since.is_none()
            && !self.is_unresponsive()
            && self.list_complete
            && self.processed_sequence == self.committed_sequence;
        let lease_ends_at = self.lease_ends(max_lease_ms).any_process;
        let lease_left = with_clock_margin(lease_ends_at.since(now));
        is_vacant.then(|| Vacant {
            fencing_token,
            lease_left_ms: as_millis(lease_left),
        })
    }
}
