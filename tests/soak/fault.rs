//! Faults from outside, drawn at random, several at a time.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::cell::Cell;
use crate::relay::LinkState;
use crate::store::Mode;

/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// A fault that lasts, and how it ends.
#[derive(Clone, Copy, Debug)]
enum Lasting {
    VmDown(usize),
    VmStopped(usize),
    VmEnding(usize),
    StoreLink(usize),
    WorkerLink(usize),
    LateOrders(usize),
    Store,
}

/// Strikes for `length`, then ends what lasts; returns how often it struck.
pub async fn strike(cell: &mut Cell, rng: &mut StdRng, length: Duration) -> u32 {
    let began = Instant::now();
    let mut lasting: Vec<(Instant, Lasting)> = Vec::new();
    let mut next = began;
    let mut struck = 0;
    while began.elapsed() < length {
        let now = Instant::now();
        let (over, rest) = lasting.into_iter().partition(|(until, _)| *until <= now);
        lasting = rest;
        let over: Vec<(Instant, Lasting)> = over;
        over.into_iter().for_each(|(_, fault)| end(cell, fault));
        if now >= next {
            next = now + Duration::from_millis(rng.random_range(200..1_200));
            struck += 1;
            let until = now + Duration::from_millis(rng.random_range(200..4_000));
            if let Some(fault) = begin(cell, rng, &lasting) {
                println!("  {:6} ms: {fault:?}", began.elapsed().as_millis());
                lasting.push((until, fault));
            }
        }
        tokio::time::sleep(TICK).await;
    }
    lasting.into_iter().for_each(|(_, fault)| end(cell, fault));
    struck
}

/// Begins a fault; returns it where it lasts.
fn begin(cell: &mut Cell, rng: &mut StdRng, lasting: &[(Instant, Lasting)]) -> Option<Lasting> {
    let vm = rng.random_range(0..cell.vms.len());
    let worker = rng.random_range(0..cell.workers.len());
    let disturbed = lasting.iter().any(|(_, fault)| match fault {
        Lasting::VmDown(at) | Lasting::VmStopped(at) | Lasting::VmEnding(at) => *at == vm,
        _ => false,
    });
    let ways = [
        (LinkState::Stalled, LinkState::Open),
        (LinkState::Open, LinkState::Dropping),
        (LinkState::Dropping, LinkState::Dropping),
        (LinkState::Stalled, LinkState::Stalled),
    ];
    let (upstream, downstream) = ways[rng.random_range(0..ways.len())];
    match rng.random_range(0..12) {
        0 | 1 if !disturbed => {
            cell.signal(vm, Signal::SIGKILL);
            Some(Lasting::VmDown(vm))
        }
        2 | 3 if !disturbed => {
            cell.signal(vm, Signal::SIGSTOP);
            Some(Lasting::VmStopped(vm))
        }
        4 if !disturbed => {
            cell.signal(vm, Signal::SIGTERM);
            Some(Lasting::VmEnding(vm))
        }
        5 | 6 => {
            cell.vms[vm].store.set_link_state(upstream, downstream);
            Some(Lasting::StoreLink(vm))
        }
        7 => {
            cell.links[worker].set_link_state(upstream, downstream);
            Some(Lasting::WorkerLink(worker))
        }
        8 => {
            cell.workers[worker].restart();
            None
        }
        9 => {
            cell.workers[worker].late.store(true, Ordering::Relaxed);
            Some(Lasting::LateOrders(worker))
        }
        10 => {
            let modes = [
                Mode::Busy,
                Mode::Broken,
                Mode::Slow,
                Mode::Lossy,
                Mode::LossyLate,
            ];
            cell.store.set(modes[rng.random_range(0..modes.len())]);
            Some(Lasting::Store)
        }
        _ => {
            cell.configure();
            if rng.random_bool(0.3) {
                cell.store.forget();
            }
            None
        }
    }
}

fn end(cell: &mut Cell, fault: Lasting) {
    match fault {
        Lasting::VmDown(vm) | Lasting::VmEnding(vm) => cell.restart(vm),
        Lasting::VmStopped(vm) => cell.signal(vm, Signal::SIGCONT),
        Lasting::StoreLink(vm) => cell.vms[vm]
            .store
            .set_link_state(LinkState::Open, LinkState::Open),
        Lasting::WorkerLink(worker) => {
            cell.links[worker].set_link_state(LinkState::Open, LinkState::Open)
        }
        Lasting::LateOrders(worker) => cell.workers[worker].late.store(false, Ordering::Relaxed),
        Lasting::Store => cell.store.set(Mode::Up),
    }
}
