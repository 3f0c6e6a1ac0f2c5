//! Faults in series that are aimed at the shard's owner and at its successor, while workers restart or
//! are out of reach of some owners.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

use crate::cell::Cell;
use crate::fault::{ActiveFault, end};
use crate::relay::{LinkState, Relay};
use crate::store::Mode;
use crate::worker::Worker;

/// The interval between two checks for faults that are due to end, and for a new owner.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a series waits for the successor of an owner that has failed.
const MAX_TAKEOVER: Duration = Duration::from_secs(5);

/// What happens to the owner at the time.
#[derive(Clone, Copy, Debug)]
enum OwnerFault {
    Killed,
    Frozen,
    Stopping,
    StoreLink(LinkState, LinkState),
    /// Cut off from the store, and frozen 600 ms later.
    StoreLinkThenFrozen,
}

/// What happens to one worker.
#[derive(Clone, Copy, Debug)]
enum WorkerFault {
    /// Its process is replaced under the same name between two calls, and all VMs lose contact to the new
    /// one.
    RestartThenCut {
        closes_connections: bool,
        delay: Duration,
    },
    /// Its process is replaced likewise, and later owners do not reach the new one.
    RestartThenApart {
        closes_connections: bool,
        delay: Duration,
    },
    /// Later owners do not reach it, and the present one does.
    Apart {
        later_by: u64,
    },
    /// No VM reaches it.
    Cut(LinkState, LinkState),
    DelayedRequests,
}

/// The faults of one series, drawn before it begins, so that the draws do not depend on timing.
#[derive(Clone, Debug)]
struct Series {
    /// The index, the fault and its duration.
    workers: Vec<(usize, WorkerFault, Duration)>,
    delay: Duration,
    owner: (OwnerFault, Duration),
    /// The delay after the takeover, the fault of the successor and its duration.
    successor: Option<(Duration, OwnerFault, Duration)>,
    store: Option<(Mode, Duration)>,
    pause: Duration,
}

fn millis(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn draw_link_states(rng: &mut StdRng) -> (LinkState, LinkState) {
    let states = [
        (LinkState::Dropping, LinkState::Dropping),
        (LinkState::Stalled, LinkState::Stalled),
        (LinkState::Open, LinkState::Dropping),
    ];
    states[rng.random_range(0..states.len())]
}

fn draw_owner_fault(rng: &mut StdRng) -> (OwnerFault, Duration) {
    let (upstream, downstream) = draw_link_states(rng);
    let fault = match rng.random_range(0..8) {
        0 => OwnerFault::Killed,
        1 | 2 => OwnerFault::Frozen,
        3 => OwnerFault::Stopping,
        4..=6 => OwnerFault::StoreLink(upstream, downstream),
        _ => OwnerFault::StoreLinkThenFrozen,
    };
    let duration = match fault {
        OwnerFault::Killed | OwnerFault::Stopping => millis(rng, 100..4_000),
        OwnerFault::Frozen | OwnerFault::StoreLinkThenFrozen => millis(rng, 2_000..8_000),
        // Longer than a takeover and the wait for the predecessor's leases after it.
        OwnerFault::StoreLink(..) => millis(rng, 2_000..14_000),
    };
    (fault, duration)
}

fn draw_worker_fault(rng: &mut StdRng) -> (WorkerFault, Duration) {
    let closes_connections = rng.random_bool(0.5);
    let delay = millis(rng, 0..2_500);
    let (upstream, downstream) = draw_link_states(rng);
    let later_by = rng.random_range(1..=2);
    let fault = match rng.random_range(0..10) {
        0..=2 => WorkerFault::RestartThenCut {
            closes_connections,
            delay,
        },
        3 | 4 => WorkerFault::RestartThenApart {
            closes_connections,
            delay,
        },
        5..=7 => WorkerFault::Apart { later_by },
        8 => WorkerFault::Cut(upstream, downstream),
        _ => WorkerFault::DelayedRequests,
    };
    let duration = match fault {
        WorkerFault::DelayedRequests => millis(rng, 500..3_000),
        WorkerFault::Apart { .. } => millis(rng, 6_000..16_000),
        _ => millis(rng, 3_000..12_000),
    };
    (fault, duration)
}

fn draw_series(rng: &mut StdRng, workers: usize) -> Series {
    let mut faults = Vec::new();
    for worker in 0..workers {
        let (fault, duration) = draw_worker_fault(rng);
        if rng.random_bool(0.4) {
            faults.push((worker, fault, duration));
        }
    }
    let successor = (millis(rng, 0..6_500), draw_owner_fault(rng));
    let successor = (successor.0, successor.1.0, successor.1.1);
    let modes = [Mode::Slow, Mode::Lossy, Mode::LossyLate];
    let store = (
        modes[rng.random_range(0..modes.len())],
        millis(rng, 500..3_000),
    );
    Series {
        workers: faults,
        delay: millis(rng, 0..2_500),
        owner: draw_owner_fault(rng),
        successor: rng.random_bool(0.6).then_some(successor),
        store: rng.random_bool(0.2).then_some(store),
        pause: millis(rng, 500..4_000),
    }
}

/// Plays series of faults for `duration` and then ends the faults that are active; returns the number of
/// faults.
pub async fn inject_faults(cell: &mut Cell, rng: &mut StdRng, duration: Duration) -> u32 {
    let until = Instant::now() + duration;
    let mut active = Vec::new();
    let mut worker_faults = JoinSet::new();
    let mut injected = 0;
    while Instant::now() < until {
        let series = draw_series(rng, cell.workers.len());
        let epoch = cell.owner().map_or(0, |(_, epoch)| epoch);
        for (index, fault, duration) in &series.workers {
            let (worker, relay) = (&cell.workers[*index], &cell.worker_relays[*index]);
            let play = play_worker_fault(worker.clone(), relay.clone(), *fault, epoch, *duration);
            worker_faults.spawn(play);
            injected += 1;
        }
        if let Some((mode, duration)) = series.store {
            cell.log_event(&format!("store {mode:?} for {} ms", duration.as_millis()));
            cell.store.set_mode(mode);
            active.push((Instant::now() + duration, ActiveFault::Store));
            injected += 1;
        }
        pass(cell, &mut active, series.delay).await;
        let (fault, duration) = series.owner;
        injected += begin_owner_fault(cell, &mut active, fault, duration).await;
        if let Some((delay, fault, duration)) = series.successor {
            await_successor(cell, &mut active).await;
            pass(cell, &mut active, delay).await;
            injected += begin_owner_fault(cell, &mut active, fault, duration).await;
        }
        pass(cell, &mut active, series.pause).await;
    }
    for (_, fault) in active {
        end(cell, fault);
    }
    while worker_faults.join_next().await.is_some() {}
    injected
}

/// Ends the faults that are due while `duration` passes.
async fn pass(cell: &mut Cell, active: &mut Vec<(Instant, ActiveFault)>, duration: Duration) {
    let until = Instant::now() + duration;
    loop {
        let now = Instant::now();
        for (_, fault) in active.extract_if(.., |(until, _)| *until <= now) {
            cell.log_event(&format!("end of {fault:?}"));
            end(cell, fault);
        }
        if now >= until {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL.min(until - now)).await;
    }
}

/// Waits until the owner's epoch has changed.
async fn await_successor(cell: &mut Cell, active: &mut Vec<(Instant, ActiveFault)>) {
    let (before, started_at) = (cell.owner(), Instant::now());
    let epoch_of = |owner: &Option<(usize, u64)>| owner.map(|(_, epoch)| epoch);
    while epoch_of(&cell.owner()) == epoch_of(&before) && started_at.elapsed() < MAX_TAKEOVER {
        pass(cell, active, CHECK_INTERVAL).await;
    }
    let owner = cell.owner();
    cell.log_event(&format!("owner is now {owner:?}, before {before:?}"));
}

/// Begins a fault of the owner at the time; returns the number of faults.
async fn begin_owner_fault(
    cell: &mut Cell,
    active: &mut Vec<(Instant, ActiveFault)>,
    fault: OwnerFault,
    duration: Duration,
) -> u32 {
    let Some((vm, epoch)) = cell.owner() else {
        return 0;
    };
    let is_faulty = active.iter().any(|(_, fault)| match fault {
        ActiveFault::VmKilled(at)
        | ActiveFault::VmFrozen(at)
        | ActiveFault::VmStopping(at)
        | ActiveFault::StoreLink(at) => *at == vm,
        _ => false,
    });
    if is_faulty {
        return 0;
    }
    let ms = duration.as_millis();
    cell.log_event(&format!(
        "owner vm-{vm}, epoch {epoch}: {fault:?} for {ms} ms"
    ));
    let until = Instant::now() + duration;
    let begun = match fault {
        OwnerFault::Killed => {
            cell.signal(vm, Signal::SIGKILL);
            ActiveFault::VmKilled(vm)
        }
        OwnerFault::Frozen => {
            cell.signal(vm, Signal::SIGSTOP);
            ActiveFault::VmFrozen(vm)
        }
        OwnerFault::Stopping => {
            cell.signal(vm, Signal::SIGTERM);
            ActiveFault::VmStopping(vm)
        }
        OwnerFault::StoreLink(upstream, downstream) => {
            let relay = &cell.vms[vm].store_relay;
            relay.set_link_state(upstream, downstream);
            // An owner without a link to the store writes through other VMs.
            cell.store.silence_owner(Some(epoch));
            ActiveFault::StoreLink(vm)
        }
        OwnerFault::StoreLinkThenFrozen => {
            let relay = &cell.vms[vm].store_relay;
            relay.set_link_state(LinkState::Dropping, LinkState::Dropping);
            cell.store.silence_owner(Some(epoch));
            active.push((until, ActiveFault::StoreLink(vm)));
            pass(cell, active, Duration::from_millis(600)).await;
            cell.signal(vm, Signal::SIGSTOP);
            ActiveFault::VmFrozen(vm)
        }
    };
    active.push((until, begun));
    1
}

/// Plays the fault of one worker, where `epoch` is that of the present owner.
async fn play_worker_fault(
    worker: Arc<Worker>,
    relay: Arc<Relay>,
    fault: WorkerFault,
    epoch: u64,
    duration: Duration,
) {
    let ms = duration.as_millis();
    worker.log_event(&format!("{fault:?} at epoch {epoch} for {ms} ms"));
    match fault {
        WorkerFault::RestartThenCut {
            closes_connections,
            delay,
        } => {
            worker.restart_between_calls(closes_connections).await;
            tokio::time::sleep(delay).await;
            worker.log_event("out of reach of all owners");
            relay.set_link_state(LinkState::Dropping, LinkState::Dropping);
            tokio::time::sleep(duration).await;
            relay.set_link_state(LinkState::Open, LinkState::Open);
        }
        WorkerFault::RestartThenApart {
            closes_connections,
            delay,
        } => {
            worker.restart_between_calls(closes_connections).await;
            tokio::time::sleep(delay).await;
            worker.set_unreachable_from(epoch + 1);
            tokio::time::sleep(duration).await;
            worker.set_unreachable_from(u64::MAX);
        }
        WorkerFault::Apart { later_by } => {
            worker.set_unreachable_from(epoch + later_by);
            tokio::time::sleep(duration).await;
            worker.set_unreachable_from(u64::MAX);
        }
        WorkerFault::Cut(upstream, downstream) => {
            relay.set_link_state(upstream, downstream);
            tokio::time::sleep(duration).await;
            relay.set_link_state(LinkState::Open, LinkState::Open);
        }
        WorkerFault::DelayedRequests => {
            worker.delay_requests.store(true, Ordering::Relaxed);
            tokio::time::sleep(duration).await;
            worker.delay_requests.store(false, Ordering::Relaxed);
        }
    }
    worker.log_event("end of its fault");
}
