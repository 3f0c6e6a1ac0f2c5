//! Learning which slots are held when the owner of a service changed.

use std::io::ErrorKind;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::SlotService;
use crate::message::{Reply, Request, SlotGrant};
use crate::model::{ServiceName, VmName};
use crate::node::api::VmInfo;

/// How long one VM may take to answer before it is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait before VMs that did not answer are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// How often the VMs that live are noted.
const WATCH: Duration = Duration::from_millis(250);

/// What a VM told about earlier grants.
enum Told {
    /// It still uses these.
    Held(Vec<SlotGrant>),
    /// No process listens there any more.
    Gone,
}

/// Asks `vms` until all have answered or the epoch is over.
pub(super) async fn ask_all(
    slots: Arc<SlotService>,
    service: ServiceName,
    epoch: u64,
    vms: Vec<VmInfo>,
) {
    loop {
        let unanswered = slots.unanswered(&service, epoch);
        if unanswered.is_empty() {
            return;
        }
        let mut asked = JoinSet::new();
        for known in vms.iter().filter(|known| unanswered.contains(&known.vm)) {
            asked.spawn(ask_one(
                slots.clone(),
                service.clone(),
                epoch,
                known.clone(),
            ));
        }
        while let Some(told) = asked.join_next().await {
            if let Ok((vm, Some(told))) = told {
                slots.told(&service, epoch, &vm, &told);
            }
        }
        tokio::time::sleep(ASK_AGAIN).await;
    }
}

async fn ask_one(
    slots: Arc<SlotService>,
    service: ServiceName,
    epoch: u64,
    known: VmInfo,
) -> (VmName, Option<Told>) {
    if known.vm == slots.identity.vm {
        let held = slots.held().fence(&service, epoch, Instant::now());
        return (known.vm, Some(Told::Held(held)));
    }
    let request = Request::HeldSlots { service, epoch };
    let call = slots.peers.call(known.address, &request, ANSWER_TIMEOUT);
    let told = match call.await {
        Ok(Reply::Held(held)) => Some(Told::Held(held)),
        Ok(_) => None,
        Err(_) => is_gone(&known).await.then_some(Told::Gone),
    };
    (known.vm, told)
}

/// Whether the VM's host refuses connections: the process that listened there has ended, and its
/// connections were closed with it.
async fn is_gone(known: &VmInfo) -> bool {
    let connect = TcpStream::connect(known.address);
    match tokio::time::timeout(ANSWER_TIMEOUT, connect).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Notes the VMs that live, so that one that is lost later is still known for some time, and notes
/// pauses of this process.
pub(super) async fn watch_vms(slots: Weak<SlotService>) {
    while let Some(slots) = slots.upgrade() {
        slots.note_running();
        drop(slots);
        tokio::time::sleep(WATCH).await;
    }
}

impl SlotService {
    fn note_running(&self) {
        let live = self.directory.live_vms();
        let now = self.now();
        let mut state = self.state();
        state.pauses.tick(now);
        state.may_hold(live, now);
    }

    fn unanswered(&self, service: &ServiceName, epoch: u64) -> Vec<VmName> {
        let now = self.now();
        let mut state = self.state();
        match state.owned.get_mut(service) {
            Some(owned) if owned.keeper.epoch() == epoch => {
                owned.serve(now);
                owned.keeper.unreported_vms()
            }
            _ => Vec::new(),
        }
    }

    fn told(&self, service: &ServiceName, epoch: u64, vm: &VmName, told: &Told) {
        let now = self.now();
        let mut state = self.state();
        let Some(owned) = state.owned.get_mut(service) else {
            return;
        };
        if owned.keeper.epoch() != epoch {
            return;
        }
        match told {
            Told::Held(held) => owned.keeper.report_held(vm, held, now),
            Told::Gone => owned.keeper.holder_ended(vm, now),
        }
        owned.serve(now);
    }
}
