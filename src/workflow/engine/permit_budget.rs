//! How many permit requests of a shard may be in flight.

use std::collections::HashSet;

use crate::workflow::policy::PermitLatency;
use crate::workflow::spec::{StepId, StepSpec};

/// The maximum number of requests in flight for each VM that sends them: one that the permit service
/// handles, and one that waits for it.
const REQUESTS_PER_VM: usize = 2;

/// What a permit request keeps from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// It takes so little time that it goes through a VM that is reserved for such requests.
    Short,
    /// It occupies a VM for a while.
    Long,
    /// It is a long one, and takes several times as long as others.
    LongOfGang,
}

impl RequestKind {
    /// The kind of a step's requests, which is that of the largest one.
    pub(super) fn of(spec: &StepSpec, latency: &PermitLatency, max_workers: usize) -> Self {
        if latency.is_short(max_workers) {
            Self::Short
        } else if spec.gang {
            Self::LongOfGang
        } else {
            Self::Long
        }
    }
}

/// The permit requests in flight. Short requests have a budget of their own: if long ones that wait for
/// a VM could use all of it, urgent steps would wait until these are finished, although the VMs that are
/// reserved for short requests are idle.
#[derive(Debug)]
pub(super) struct PermitBudget {
    max: usize,
    short: HashSet<StepId>,
    long: HashSet<StepId>,
    gangs: HashSet<StepId>,
}

impl Default for PermitBudget {
    fn default() -> Self {
        Self {
            max: 1,
            short: HashSet::new(),
            long: HashSet::new(),
            gangs: HashSet::new(),
        }
    }
}

impl PermitBudget {
    /// Sets the number of VMs that send requests for the shard.
    pub(super) fn set_vms(&mut self, vms: usize) {
        self.max = vms.max(1) * REQUESTS_PER_VM;
    }

    /// Whether a further request of this kind may be sent.
    pub(super) fn allows(&self, kind: RequestKind) -> bool {
        match kind {
            RequestKind::Short => self.short.len() < self.max,
            RequestKind::Long => self.long.len() < self.max,
            // Many gangs may wait for capacity.
            RequestKind::LongOfGang => {
                self.long.len() < self.max && self.gangs.len() < self.max.div_ceil(2)
            }
        }
    }

    /// Records that a request for the step is sent.
    pub(super) fn begin(&mut self, step: StepId, kind: RequestKind) {
        if kind == RequestKind::Short {
            self.short.insert(step);
            return;
        }
        self.long.insert(step);
        if kind == RequestKind::LongOfGang {
            self.gangs.insert(step);
        }
    }

    /// Records that the request for the step is finished.
    pub(super) fn finish(&mut self, step: StepId) {
        self.short.remove(&step);
        self.long.remove(&step);
        self.gangs.remove(&step);
    }
}
