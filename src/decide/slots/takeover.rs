//! What is withheld after a change of the owner.

use std::collections::HashSet;
use std::time::Duration;

use super::{GrantName, LAPSE_MARGIN, Outstanding, SlotAllocator, name_of};
use crate::message::SlotGrant;
use crate::model::{Time, VmName};

#[derive(Clone, Debug)]
pub(super) struct Takeover {
    pub(super) unanswered: HashSet<VmName>,
    pub(super) until: Time,
    pub(super) released: HashSet<GrantName>,
}

impl SlotAllocator {
    /// Withholds what each of `vms` may hold until it has answered which grants of earlier epochs it
    /// still uses, or `longest`, the longest time for which an earlier grant holds, has passed.
    pub fn take_over(
        &mut self,
        vms: impl IntoIterator<Item = VmName>,
        longest: Duration,
        now: Time,
    ) {
        self.takeover = Some(Takeover {
            unanswered: vms.into_iter().collect(),
            until: now + longest + LAPSE_MARGIN,
            released: HashSet::new(),
        });
    }

    /// Notes that `vm` still uses `held`, whose validity counts from now, and uses no other grant
    /// of an earlier epoch for a new request.
    pub fn report_held(&mut self, vm: &VmName, held: &[SlotGrant], now: Time) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if !takeover.unanswered.remove(vm) {
            return;
        }
        let released = &takeover.released;
        let kept = held
            .iter()
            .filter(|g| g.epoch < self.epoch && !released.contains(&name_of(g)));
        for grant in kept.cloned().collect::<Vec<_>>() {
            self.inherit(vm, &grant, now);
        }
    }

    fn inherit(&mut self, vm: &VmName, grant: &SlotGrant, now: Time) {
        let Some(&backend) = self.by_name.get(&grant.backend) else {
            return;
        };
        if self.grants.contains_key(&name_of(grant)) {
            return;
        }
        let outstanding = Outstanding {
            vm: vm.clone(),
            backend,
            lapses: now + Duration::from_millis(grant.valid_ms) + LAPSE_MARGIN,
        };
        self.count(name_of(grant), outstanding);
    }

    /// Notes that the process on `vm` that may have held grants has surely ended.
    pub fn holder_ended(&mut self, vm: &VmName, now: Time) {
        self.report_held(vm, &[], now);
    }

    /// The VMs that have not answered since the owner changed.
    pub fn unreported_vms(&self) -> Vec<VmName> {
        match &self.takeover {
            Some(takeover) => takeover.unanswered.iter().cloned().collect(),
            None => Vec::new(),
        }
    }

    /// Whether slots are withheld because the owner changed.
    pub fn is_withheld(&self) -> bool {
        self.takeover.is_some()
    }
}
