//! Learns which slots are in use after the owner of a service has changed.

use std::io::ErrorKind;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::SlotService;
use crate::message::{Reply, Request, SlotGrant};
use crate::model::{ServiceName, VmName};
use crate::node::api::VmInfo;

/// Timeout of one query to a VM, after which it is queried again.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before VMs that did not reply are queried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the live VMs are recorded.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of a VM's grants of earlier epochs.
enum HeldReport {
    /// The VM still uses these grants.
    Held(Vec<SlotGrant>),
    /// The process on the VM has ended.
    Ended,
}

/// Queries `vms` for the grants that they use until all have reported, or until this VM no longer
/// owns the service under `epoch`.
pub(super) async fn query_holders(
    slots: Arc<SlotService>,
    service: ServiceName,
    epoch: u64,
    vms: Vec<VmInfo>,
) {
    loop {
        let unreported = slots.unreported_vms(&service, epoch);
        if unreported.is_empty() {
            return;
        }
        let mut queries = JoinSet::new();
        for holder in vms.iter().filter(|holder| unreported.contains(&holder.vm)) {
            queries.spawn(query_holder(
                slots.clone(),
                service.clone(),
                epoch,
                holder.clone(),
            ));
        }
        while let Some(report) = queries.join_next().await {
            if let Ok((vm, Some(report))) = report {
                slots.apply_report(&service, epoch, &vm, &report);
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn query_holder(
    slots: Arc<SlotService>,
    service: ServiceName,
    epoch: u64,
    holder: VmInfo,
) -> (VmName, Option<HeldReport>) {
    if holder.vm == slots.identity.vm {
        let held = slots.active_grants().fence(&service, epoch, Instant::now());
        return (holder.vm, Some(HeldReport::Held(held)));
    }
    let request = Request::HeldSlots { service, epoch };
    let call = slots.peers.call(holder.address, &request, REPLY_TIMEOUT);
    // The end of the process shows before a request to it times out.
    let report = tokio::select! {
        true = has_ended(&holder) => Some(HeldReport::Ended),
        reply = call => match reply {
            Ok(Reply::Held {
                incarnation,
                grants,
            }) if incarnation == holder.incarnation => Some(HeldReport::Held(grants)),
            // The process that may have held grants was replaced by a new one on the VM.
            Ok(Reply::Held { .. }) => Some(HeldReport::Ended),
            Ok(_) => None,
            Err(_) => has_ended(&holder).await.then_some(HeldReport::Ended),
        },
    };
    (holder.vm, report)
}

/// Whether the VM's host refuses connections, which means that the process that listened there has
/// ended and its connections were closed with it.
async fn has_ended(holder: &VmInfo) -> bool {
    let connect = TcpStream::connect(holder.address);
    match tokio::time::timeout(REPLY_TIMEOUT, connect).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Records the live VMs, so that a VM that is lost later is still known for some time, and detects
/// pauses of this process.
pub(super) async fn watch_vms(slots: Weak<SlotService>) {
    while let Some(slots) = slots.upgrade() {
        slots.record_tick();
        drop(slots);
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

impl SlotService {
    fn record_tick(&self) {
        let live = self.directory.live_vms();
        let now = self.now();
        let mut state = self.state();
        state.pause_detector.tick(now);
        state.update_possible_holders(live, now);
    }

    fn unreported_vms(&self, service: &ServiceName, epoch: u64) -> Vec<VmName> {
        let now = self.now();
        let mut state = self.state();
        match state.owned.get_mut(service) {
            Some(owned) if owned.allocator.epoch() == epoch => {
                owned.advance(now);
                owned.allocator.unreported_vms()
            }
            _ => Vec::new(),
        }
    }

    fn apply_report(&self, service: &ServiceName, epoch: u64, vm: &VmName, report: &HeldReport) {
        let now = self.now();
        let mut state = self.state();
        let Some(owned) = state.owned.get_mut(service) else {
            return;
        };
        if owned.allocator.epoch() != epoch {
            return;
        }
        match report {
            HeldReport::Held(held) => owned.allocator.report_held(vm, held, now),
            HeldReport::Ended => owned.allocator.holder_ended(vm, now),
        }
        owned.advance(now);
    }
}
