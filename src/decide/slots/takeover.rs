//! Slots that are withheld after a change of the owner.

use std::collections::HashSet;
use std::time::Duration;

use super::{GRANT_EXPIRY_MARGIN, GrantId, OutstandingGrant, SlotAllocator, id_of};
use crate::message::SlotGrant;
use crate::model::{Time, VmName};

#[derive(Clone, Debug)]
pub(super) struct Takeover {
    pub(super) unreported: HashSet<VmName>,
    pub(super) deadline: Time,
    pub(super) released: HashSet<GrantId>,
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

    /// Records that the process on `vm` that may have held grants has certainly ended.
    pub fn holder_ended(&mut self, vm: &VmName, now: Time) {
        self.report_held(vm, &[], now);
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
