//! Checks the slots of a service against a naive oracle.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chestnutlug::decide::slots::{
    AcquireOutcome, AcquireRequest, GRANT_EXPIRY_MARGIN, SlotAllocator, WaitResult, WaiterKey,
};
use chestnutlug::message::{SlotGrant, SlotUse};
use chestnutlug::model::{BackendInfo, BackendName, Time, VmName};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START: Time = Time::from_millis(1_000);
const VALID: Duration = Duration::from_secs(4);
const DONE: SlotUse = SlotUse {
    succeeded: true,
    latency_us: 1_000,
    leaving: false,
};

fn backend(name: &str, slots: u32) -> BackendInfo {
    BackendInfo {
        name: name.into(),
        zone: "z".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots,
        connections: 64,
    }
}

fn allocator(slots: &[u32], max_waiting: usize) -> SlotAllocator {
    let names = ["b0", "b1", "b2", "b3"];
    let infos: Vec<_> = names
        .iter()
        .zip(slots)
        .map(|(n, &s)| backend(n, s))
        .collect();
    let mut allocator = SlotAllocator::new(5, max_waiting);
    allocator.set_backends(&infos, START);
    allocator
}

/// A request of a VM that has made no request before.
fn request(tried: &[BackendName]) -> AcquireRequest<'_> {
    static REQUESTS: AtomicUsize = AtomicUsize::new(0);
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    request_of(&*format!("vm-{number}").leak(), tried)
}

fn request_of<'a>(vm: &str, tried: &'a [BackendName]) -> AcquireRequest<'a> {
    AcquireRequest {
        vm: Box::leak(Box::new(vm.into())),
        zone: None,
        valid: VALID,
        tried,
    }
}

fn granted(acquired: AcquireOutcome) -> SlotGrant {
    match acquired {
        AcquireOutcome::Granted(grant) => grant,
        other => panic!("no grant: {other:?}"),
    }
}

fn waiting(acquired: AcquireOutcome) -> WaiterKey {
    match acquired {
        AcquireOutcome::Waiting(key) => key,
        other => panic!("not waiting: {other:?}"),
    }
}

fn advance(allocator: &mut SlotAllocator, now: Time) -> Vec<WaitResult> {
    let mut ended = Vec::new();
    allocator.advance(now, &mut ended);
    ended
}

#[test]
fn waiting_requests_are_served_in_order_and_limited() {
    let mut allocator = allocator(&[1], 2);
    let first = granted(allocator.acquire(&request(&[]), START));
    let second = waiting(allocator.acquire(&request(&[]), START));
    let third = waiting(allocator.acquire(&request(&[]), START));
    match allocator.acquire(&request(&[]), START) {
        AcquireOutcome::Refused(refusal) => {
            assert_eq!(refusal.code, "queue_full");
            assert!(refusal.retry_after_ms.is_some());
        }
        other => panic!("{other:?}"),
    }
    assert!(allocator.release(&first, &DONE, START));
    assert!(!allocator.release(&first, &DONE, START), "released twice");
    let ended = advance(&mut allocator, START);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].0, second);
    assert!(!first.scarce && ended[0].1.as_ref().unwrap().scarce);
    allocator.cancel_wait(third);
    assert_eq!(allocator.waiting(), 0);
}

#[test]
fn wait_ends_before_the_requested_validity() {
    let mut allocator = allocator(&[1], 2);
    granted(allocator.acquire(&request(&[]), START));
    let waiter = waiting(allocator.acquire(&request(&[]), START));
    let until = allocator.next_deadline().unwrap();
    assert!(until < START + VALID);
    let ended = advance(&mut allocator, until);
    assert_eq!(ended[0].0, waiter);
    assert_eq!(ended[0].1.as_ref().unwrap_err().code, "no_free_slot");
}

#[test]
fn unreleased_grant_expires_after_a_margin() {
    let mut allocator = allocator(&[1], 2);
    let lost = granted(allocator.acquire(&request(&[]), START));
    let end = START + VALID;
    waiting(allocator.acquire(&request(&[]), end));
    assert!(
        advance(&mut allocator, end).is_empty(),
        "still within the margin"
    );
    assert_eq!(advance(&mut allocator, end + GRANT_EXPIRY_MARGIN).len(), 1);
    assert!(!allocator.release(&lost, &DONE, end + GRANT_EXPIRY_MARGIN));
    assert_eq!(allocator.in_use(&"b0".into()), 1);
}

#[test]
fn tried_backend_servers_are_a_last_resort() {
    let mut two = allocator(&[1, 1], 2);
    let tried = ["b0".into()];
    assert_eq!(
        granted(two.acquire(&request(&tried), START))
            .backend
            .as_str(),
        "b1"
    );
    waiting(two.acquire(&request(&tried), START));
    let mut one = allocator(&[1], 2);
    assert_eq!(
        granted(one.acquire(&request(&tried), START))
            .backend
            .as_str(),
        "b0"
    );
}

#[test]
fn draining_or_removed_backend_servers_get_no_new_grants() {
    struct Case {
        name: &'static str,
        change: fn(&mut SlotAllocator),
    }
    let cases = [
        Case {
            name: "listed as draining",
            change: |allocator| allocator.set_draining(["b0".into()].into()),
        },
        Case {
            name: "removed from the configuration",
            change: |allocator| allocator.set_backends(&[backend("b1", 4)], START),
        },
        Case {
            name: "reported by itself",
            change: |allocator| {
                let grants: Vec<_> = (0..5)
                    .map(|_| granted(allocator.acquire(&request(&[]), START)))
                    .collect();
                let leaving = SlotUse {
                    leaving: true,
                    ..DONE
                };
                for grant in grants {
                    let used = if grant.backend.as_str() == "b0" {
                        leaving
                    } else {
                        DONE
                    };
                    allocator.release(&grant, &used, START);
                }
            },
        },
    ];
    for case in cases {
        let mut allocator = allocator(&[4, 4], 10);
        (case.change)(&mut allocator);
        for _ in 0..4 {
            let grant = granted(allocator.acquire(&request(&[]), START));
            assert_eq!(grant.backend.as_str(), "b1", "{}", case.name);
        }
        waiting(allocator.acquire(&request(&[]), START));
    }
    let mut allocator = allocator(&[4], 10);
    allocator.set_draining(["b0".into()].into());
    let acquired = allocator.acquire(&request(&[]), START);
    assert!(
        matches!(acquired, AcquireOutcome::Refused(_)),
        "{acquired:?}"
    );
}

#[test]
fn removed_backend_server_with_grants_gets_no_new_ones() {
    let mut allocator = allocator(&[4], 10);
    granted(allocator.acquire(&request(&[]), START));
    allocator.set_backends(&[], START);
    let acquired = allocator.acquire(&request(&[]), START);
    assert!(
        matches!(acquired, AcquireOutcome::Refused(_)),
        "{acquired:?}"
    );
    allocator.set_backends(&[backend("b1", 1)], START);
    assert_eq!(
        granted(allocator.acquire(&request(&[]), START))
            .backend
            .as_str(),
        "b1"
    );
    waiting(allocator.acquire(&request(&[]), START));
}

#[test]
fn readded_backend_server_still_counts_its_grants() {
    let mut allocator = allocator(&[1, 1], 10);
    granted(allocator.acquire(&request(&[]), START));
    granted(allocator.acquire(&request(&[]), START));
    allocator.set_backends(&[], START);
    allocator.set_backends(&[backend("b0", 1), backend("b1", 1)], START);
    waiting(allocator.acquire(&request(&[]), START));
}

#[test]
fn new_owner_withholds_slots_until_held_grants_are_reported() {
    let (a, b): (VmName, VmName) = ("a".into(), "b".into());
    let held = |id| SlotGrant {
        id,
        epoch: 4,
        backend: "b0".into(),
        valid_ms: 1_000,
        scarce: false,
    };
    let mut allocator = allocator(&[2], 10);
    allocator.take_over([a.clone(), b.clone()], VALID, START);
    let early = waiting(allocator.acquire(&request(&[]), START));
    allocator.release(&held(8), &DONE, START);
    allocator.report_held(&a, &[held(7), held(8)], START);
    assert!(
        advance(&mut allocator, START).is_empty(),
        "b has not reported"
    );
    assert_eq!(allocator.unreported_vms(), std::slice::from_ref(&b));
    allocator.report_held(&b, &[], START);
    let ended = advance(&mut allocator, START);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].0, early);
    assert_eq!(
        allocator.in_use(&"b0".into()),
        2,
        "7 is still held, 8 was released"
    );
    waiting(allocator.acquire(&request(&[]), START));
    assert!(allocator.release(&held(7), &DONE, START));
    assert_eq!(advance(&mut allocator, START).len(), 1);
}

#[test]
fn vm_holds_at_most_half_of_the_slots_and_as_many_are_withheld_for_it() {
    let mut allocator = allocator(&[8], 10);
    for _ in 0..4 {
        granted(allocator.acquire(&request_of("a", &[]), START));
    }
    waiting(allocator.acquire(&request_of("a", &[]), START));
    granted(allocator.acquire(&request_of("b", &[]), START));

    let mut allocator = self::allocator(&[8], 10);
    allocator.take_over(["a".into(), "b".into()], VALID, START);
    waiting(allocator.acquire(&request(&[]), START));
    allocator.report_held(&"b".into(), &[], START);
    assert_eq!(advance(&mut allocator, START).len(), 1);
    for _ in 0..3 {
        granted(allocator.acquire(&request(&[]), START));
    }
    waiting(allocator.acquire(&request(&[]), START));
    assert_eq!(allocator.in_use(&"b0".into()), 4);
    assert_eq!(
        advance(&mut allocator, START + VALID + GRANT_EXPIRY_MARGIN).len(),
        1
    );
}

/// A backend server may still work on the requests of a process that was killed when the next owner
/// learns of its end.
#[test]
fn slots_of_an_ended_process_are_withheld_until_backend_servers_have_noticed() {
    let mut allocator = allocator(&[8], 20);
    let vm: VmName = "a".into();
    allocator.take_over([vm.clone()], VALID, START);
    allocator.holder_ended(&vm, START);
    for _ in 0..4 {
        granted(allocator.acquire(&request(&[]), START));
    }
    let waits = waiting(allocator.acquire(&request_of("b", &[]), START));
    allocator.holder_ended(&vm, START + GRANT_EXPIRY_MARGIN / 2);
    assert!(advance(&mut allocator, START + GRANT_EXPIRY_MARGIN / 2).is_empty());
    assert_eq!(
        allocator.next_deadline(),
        Some(START + GRANT_EXPIRY_MARGIN),
        "repeated reports do not extend the time"
    );
    let ended = advance(&mut allocator, START + GRANT_EXPIRY_MARGIN);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].0, waits);
}

#[test]
fn slots_are_withheld_for_the_maximum_validity_if_a_vm_never_reports() {
    let mut allocator = allocator(&[1], 10);
    allocator.take_over(["a".into()], VALID, START);
    let deadline = START + VALID + GRANT_EXPIRY_MARGIN;
    waiting(allocator.acquire(&request(&[]), START + Duration::from_secs(2)));
    assert!(advance(&mut allocator, START + VALID).is_empty());
    assert_eq!(advance(&mut allocator, deadline).len(), 1);
}

/// One step of a random history; indexes are taken modulo the number of items.
#[derive(Clone, Debug)]
enum Op {
    Acquire {
        vm: usize,
        valid_ms: u64,
        tried: bool,
    },
    Release(usize),
    Abandon(usize),
    Advance(u64),
    Resize {
        backend: usize,
        slots: u32,
    },
    Drain(usize),
    Undrain,
}

impl Arbitrary for Op {
    fn arbitrary(cx: &mut Gen) -> Self {
        let number = usize::arbitrary(cx) % 64;
        match u8::arbitrary(cx) % 14 {
            0..=5 => Self::Acquire {
                vm: number % 3,
                valid_ms: 100 + u64::arbitrary(cx) % 4_000,
                tried: bool::arbitrary(cx),
            },
            6..=8 => Self::Release(number),
            9 => Self::Abandon(number),
            10 | 11 => Self::Advance(u64::arbitrary(cx) % 1_500),
            12 => Self::Resize {
                backend: number % 3,
                slots: u32::arbitrary(cx) % 4,
            },
            _ if number % 3 == 0 => Self::Drain(number % 2),
            _ => Self::Undrain,
        }
    }
}

/// A waiting request.
#[derive(Clone, Copy)]
struct Waiting {
    key: WaiterKey,
    vm: usize,
    requested_at: Time,
    valid: Duration,
    tried: bool,
}

/// The oracle: a list of all grants, scanned at each step.
#[derive(Default)]
struct Oracle {
    slots: HashMap<BackendName, u32>,
    draining: Option<BackendName>,
    grants: Vec<(SlotGrant, usize, Time)>,
    waiting: Vec<Waiting>,
}

impl Oracle {
    fn advance(&mut self, now: Time) {
        self.grants.retain(|(.., expires_at)| *expires_at > now);
    }

    fn held(&self, backend: &BackendName) -> u32 {
        self.grants
            .iter()
            .filter(|(g, ..)| &g.backend == backend)
            .count() as u32
    }

    fn held_by(&self, backend: &BackendName, vm: usize) -> u32 {
        let of_vm = self.grants.iter().filter(|(_, holder, _)| *holder == vm);
        of_vm.filter(|(g, ..)| &g.backend == backend).count() as u32
    }

    fn may_take(&self, backend: &BackendName, vm: usize) -> bool {
        let slots = self.slots[backend];
        let is_available = self.draining.as_ref() != Some(backend);
        is_available
            && self.held(backend) < slots
            && self.held_by(backend, vm) * 2 < slots.max(1) + slots % 2
    }

    /// Records a grant and returns whether it was allowed.
    fn allows(
        &mut self,
        grant: &SlotGrant,
        vm: usize,
        requested_at: Time,
        valid: Duration,
    ) -> bool {
        let is_new = self.grants.iter().all(|(g, ..)| g.id != grant.id);
        let allowed = is_new && self.may_take(&grant.backend, vm);
        self.grants.push((
            grant.clone(),
            vm,
            requested_at + valid + GRANT_EXPIRY_MARGIN,
        ));
        allowed
    }

    /// Returns whether a request waits although it may take a free slot of a backend server that it
    /// has not tried.
    fn has_overlooked(&self) -> bool {
        let overlooked = |waiter: &Waiting| {
            let untried = |name: &&BackendName| !waiter.tried || name.as_str() != "b0";
            let mut names = self.slots.keys().filter(untried);
            names.any(|name| self.may_take(name, waiter.vm))
        };
        self.waiting.iter().any(overlooked)
    }
}

fn follows_the_oracle(ops: Vec<Op>) -> bool {
    let names: [BackendName; 3] = ["b0".into(), "b1".into(), "b2".into()];
    let vms: [VmName; 3] = ["v0".into(), "v1".into(), "v2".into()];
    let mut allocator = allocator(&[2, 3, 1], 6);
    let mut oracle = Oracle::default();
    for (name, slots) in names.iter().zip([2, 3, 1]) {
        oracle.slots.insert(name.clone(), slots);
    }
    let mut now = START;
    for op in ops {
        match op {
            Op::Acquire {
                vm,
                valid_ms,
                tried,
            } => {
                let valid = Duration::from_millis(valid_ms);
                let request = AcquireRequest {
                    vm: &vms[vm],
                    zone: None,
                    valid,
                    tried: if tried { &names[..1] } else { &[] },
                };
                match allocator.acquire(&request, now) {
                    AcquireOutcome::Granted(grant) => {
                        let overtakes = oracle.waiting.iter().any(|waiter| waiter.vm == vm);
                        if !oracle.allows(&grant, vm, now, valid) || overtakes {
                            return false;
                        }
                    }
                    AcquireOutcome::Waiting(key) => oracle.waiting.push(Waiting {
                        key,
                        vm,
                        requested_at: now,
                        valid,
                        tried,
                    }),
                    AcquireOutcome::Refused(_) => {}
                }
            }
            Op::Release(number) if !oracle.grants.is_empty() => {
                let (grant, ..) = oracle.grants.remove(number % oracle.grants.len());
                if !allocator.release(&grant, &DONE, now) || allocator.release(&grant, &DONE, now) {
                    return false;
                }
            }
            Op::Abandon(number) if !oracle.waiting.is_empty() => {
                let waiter = oracle.waiting.remove(number % oracle.waiting.len());
                allocator.cancel_wait(waiter.key);
            }
            Op::Advance(ms) => now = now + Duration::from_millis(ms),
            Op::Resize { backend, slots } => {
                oracle.slots.insert(names[backend].clone(), slots);
                let infos = names.iter().map(|n| backend_of(n, oracle.slots[n]));
                allocator.set_backends(&infos.collect::<Vec<_>>(), now);
            }
            Op::Drain(backend) => {
                oracle.draining = Some(names[backend].clone());
                allocator.set_draining([names[backend].clone()].into());
            }
            Op::Undrain => {
                oracle.draining = None;
                allocator.set_draining([].into());
            }
            Op::Release(_) | Op::Abandon(_) => {}
        }
        oracle.advance(now);
        for (key, end) in advance(&mut allocator, now) {
            let Some(at) = oracle.waiting.iter().position(|waiter| waiter.key == key) else {
                return false;
            };
            let waiter = oracle.waiting.remove(at);
            if let Ok(grant) = end
                && !oracle.allows(&grant, waiter.vm, waiter.requested_at, waiter.valid)
            {
                return false;
            }
        }
        let counts_match = names
            .iter()
            .all(|name| allocator.in_use(name) == oracle.held(name));
        if !counts_match || oracle.has_overlooked() || allocator.waiting() != oracle.waiting.len() {
            return false;
        }
    }
    true
}

fn backend_of(name: &BackendName, slots: u32) -> BackendInfo {
    backend(name.as_str(), slots)
}

#[test]
fn random_histories_match_the_oracle() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 42))
        .tests(2_000)
        .quickcheck(follows_the_oracle as fn(Vec<Op>) -> bool);
}
