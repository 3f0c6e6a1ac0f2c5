//! Slots that are withheld after a change of the owner.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::{GRANT_EXPIRY_MARGIN, GrantId, OutstandingGrant, SlotAllocator, id_of};
use crate::message::SlotGrant;
use crate::model::{Time, VmName};

#[derive(Clone, Debug)]
pub(super) struct Takeover {
    pub(super) unreported: HashSet<VmName>,
    /// The unreported VMs whose processes have ended, and when their slots are free.
    ended: HashMap<VmName, Time>,
    pub(super) deadline: Time,
    pub(super) released: HashSet<GrantId>,
}

impl Takeover {
    /// Removes the VMs whose processes ended long enough ago. Returns whether no slots are withheld
    /// any more.
    pub(super) fn advance(&mut self, now: Time) -> bool {
        let ended = &self.ended;
        let is_free = |vm: &VmName| ended.get(vm).is_some_and(|at| *at <= now);
        self.unreported.retain(|vm| !is_free(vm));
        self.unreported.is_empty() || self.deadline <= now
    }

    /// When slots become free without a report.
    pub(super) fn next_deadline(&self) -> Time {
        let ended = self.ended.iter();
        let ended = ended.filter(|(vm, _)| self.unreported.contains(*vm));
        ended.map(|(_, at)| *at).fold(self.deadline, Time::min)
    }
}

impl SlotAllocator {
    /// Withholds the slots that each of `vms` may hold, until the VM has reported which grants of
    /// earlier epochs it still uses, or until `longest`, the maximum validity of an earlier grant,
    /// has passed.
    pub fn take_over(
        &mut self,
        vms: impl IntoIterator<Item = VmName>,
        longest: Duration,
        now: Time,
    ) {
        self.takeover = Some(Takeover {
            unreported: vms.into_iter().collect(),
            ended: HashMap::new(),
            deadline: now + longest + GRANT_EXPIRY_MARGIN,
            released: HashSet::new(),
        });
    }

    /// Records that `vm` still uses the grants `held`, whose validity counts from now, and uses no
    /// other grant of an earlier epoch for new requests.
    pub fn report_held(&mut self, vm: &VmName, held: &[SlotGrant], now: Time) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if !takeover.unreported.remove(vm) {
            return;
        }
        let released = &takeover.released;
        let kept = held
            .iter()
            .filter(|g| g.epoch < self.epoch && !released.contains(&id_of(g)));
        for grant in kept.cloned().collect::<Vec<_>>() {
            self.adopt_grant(vm, &grant, now);
        }
    }

    fn adopt_grant(&mut self, vm: &VmName, grant: &SlotGrant, now: Time) {
        let Some(&backend) = self.keys_by_name.get(&grant.backend) else {
            return;
        };
        if self.grants.contains_key(&id_of(grant)) {
            return;
        }
        let outstanding = OutstandingGrant {
            vm: vm.clone(),
            backend,
            expires_at: now + Duration::from_millis(grant.valid_ms) + GRANT_EXPIRY_MARGIN,
        };
        self.add_grant(id_of(grant), outstanding);
    }

    /// Records that the process on `vm` that may have held grants has certainly ended. Its slots stay
    /// withheld until the backend servers have noticed that its connections were closed.
    pub fn holder_ended(&mut self, vm: &VmName, now: Time) {
        if let Some(takeover) = &mut self.takeover
            && takeover.unreported.contains(vm)
        {
            let free_at = now + GRANT_EXPIRY_MARGIN;
            takeover.ended.entry(vm.clone()).or_insert(free_at);
        }
    }

    /// Returns the VMs that have not reported their grants since the owner changed.
    pub fn unreported_vms(&self) -> Vec<VmName> {
        match &self.takeover {
            Some(takeover) => takeover.unreported.iter().cloned().collect(),
            None => Vec::new(),
        }
    }

    /// Returns whether slots are withheld because the owner changed.
    pub fn is_withholding(&self) -> bool {
        self.takeover.is_some()
    }
}
