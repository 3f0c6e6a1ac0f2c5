//! Random faults from outside the processes, several at a time.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::cell::Cell;
use crate::relay::LinkState;
use crate::store::Mode;

/// The interval between two checks for faults that are due to begin or end.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A fault that lasts until [`end`], with the index of the VM or worker.
#[derive(Clone, Copy, Debug)]
pub enum ActiveFault {
    VmKilled(usize),
    VmFrozen(usize),
    VmStopping(usize),
    StoreLink(usize),
    WorkerLink(usize),
    DelayedRequests(usize),
    Store,
}

/// Injects faults for `duration` and then ends those that are active; returns the number of injections.
pub async fn inject_faults(cell: &mut Cell, rng: &mut StdRng, duration: Duration) -> u32 {
    let started_at = Instant::now();
    let mut active: Vec<(Instant, ActiveFault)> = Vec::new();
    let mut next = started_at;
    let mut injected = 0;
    while started_at.elapsed() < duration {
        let now = Instant::now();
        let (expired, remaining) = active.into_iter().partition(|(until, _)| *until <= now);
        active = remaining;
        let expired: Vec<(Instant, ActiveFault)> = expired;
        expired.into_iter().for_each(|(_, fault)| end(cell, fault));
        if now >= next {
            next = now + Duration::from_millis(rng.random_range(200..1_200));
            injected += 1;
            let until = now + Duration::from_millis(rng.random_range(200..4_000));
            if let Some(fault) = begin(cell, rng, &active) {
                println!("  {:6} ms: {fault:?}", started_at.elapsed().as_millis());
                active.push((until, fault));
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    active.into_iter().for_each(|(_, fault)| end(cell, fault));
    injected
}

/// Begins a random fault and returns it if it lasts until it is ended.
fn begin(
    cell: &mut Cell,
    rng: &mut StdRng,
    active: &[(Instant, ActiveFault)],
) -> Option<ActiveFault> {
    let vm = rng.random_range(0..cell.vms.len());
    let worker = rng.random_range(0..cell.workers.len());
    let is_vm_faulty = active.iter().any(|(_, fault)| match fault {
        ActiveFault::VmKilled(at) | ActiveFault::VmFrozen(at) | ActiveFault::VmStopping(at) => {
            *at == vm
        }
        _ => false,
    });
    let link_states = [
        (LinkState::Stalled, LinkState::Open),
        (LinkState::Open, LinkState::Dropping),
        (LinkState::Dropping, LinkState::Dropping),
        (LinkState::Stalled, LinkState::Stalled),
    ];
    let (upstream, downstream) = link_states[rng.random_range(0..link_states.len())];
    match rng.random_range(0..12) {
        0 | 1 if !is_vm_faulty => {
            cell.signal(vm, Signal::SIGKILL);
            Some(ActiveFault::VmKilled(vm))
        }
        2 | 3 if !is_vm_faulty => {
            cell.signal(vm, Signal::SIGSTOP);
            Some(ActiveFault::VmFrozen(vm))
        }
        4 if !is_vm_faulty => {
            cell.signal(vm, Signal::SIGTERM);
            Some(ActiveFault::VmStopping(vm))
        }
        5 | 6 => {
            cell.vms[vm]
                .store_relay
                .set_link_state(upstream, downstream);
            Some(ActiveFault::StoreLink(vm))
        }
        7 => {
            cell.worker_relays[worker].set_link_state(upstream, downstream);
            Some(ActiveFault::WorkerLink(worker))
        }
        8 => {
            cell.workers[worker].restart();
            None
        }
        9 => {
            cell.workers[worker]
                .delay_requests
                .store(true, Ordering::Relaxed);
            Some(ActiveFault::DelayedRequests(worker))
        }
        10 => {
            let modes = [
                Mode::Busy,
                Mode::Broken,
                Mode::Slow,
                Mode::Lossy,
                Mode::LossyLate,
            ];
            cell.store.set_mode(modes[rng.random_range(0..modes.len())]);
            Some(ActiveFault::Store)
        }
        _ => {
            cell.write_config();
            if rng.random_bool(0.3) {
                cell.store.drop_history();
            }
            None
        }
    }
}

/// Ends a fault.
pub fn end(cell: &mut Cell, fault: ActiveFault) {
    match fault {
        ActiveFault::VmKilled(vm) | ActiveFault::VmStopping(vm) => cell.restart(vm),
        ActiveFault::VmFrozen(vm) => cell.signal(vm, Signal::SIGCONT),
        ActiveFault::StoreLink(vm) => {
            let relay = &cell.vms[vm].store_relay;
            relay.set_link_state(LinkState::Open, LinkState::Open);
            cell.store.silence_owner(None);
        }
        ActiveFault::WorkerLink(worker) => {
            cell.worker_relays[worker].set_link_state(LinkState::Open, LinkState::Open)
        }
        ActiveFault::DelayedRequests(worker) => cell.workers[worker]
            .delay_requests
            .store(false, Ordering::Relaxed),
        ActiveFault::Store => cell.store.set_mode(Mode::Up),
    }
}
