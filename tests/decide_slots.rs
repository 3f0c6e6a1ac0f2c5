//! The slots of a service against a naive oracle.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chestnutlug::decide::slots::{
    AcquireOutcome, AcquireRequest, Ended, LAPSE_MARGIN, SlotAllocator, WaiterKey,
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

fn keeper(slots: &[u32], max_waiting: usize) -> SlotAllocator {
    let names = ["b0", "b1", "b2", "b3"];
    let infos: Vec<_> = names
        .iter()
        .zip(slots)
        .map(|(n, &s)| backend(n, s))
        .collect();
    let mut keeper = SlotAllocator::new(5, max_waiting);
    keeper.set_backends(&infos, START);
    keeper
}

/// A request of a VM that has not asked before.
fn ask(tried: &[BackendName]) -> AcquireRequest<'_> {
    static ASKED: AtomicUsize = AtomicUsize::new(0);
    let number = ASKED.fetch_add(1, Ordering::Relaxed);
    ask_of(&*format!("vm-{number}").leak(), tried)
}

fn ask_of<'a>(vm: &str, tried: &'a [BackendName]) -> AcquireRequest<'a> {
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

fn advance(keeper: &mut SlotAllocator, now: Time) -> Vec<Ended> {
    let mut ended = Vec::new();
    keeper.advance(now, &mut ended);
    ended
}

#[test]
fn waits_are_served_in_order_and_bounded() {
    let mut keeper = keeper(&[1], 2);
    let first = granted(keeper.acquire(&ask(&[]), START));
    let second = waiting(keeper.acquire(&ask(&[]), START));
    let third = waiting(keeper.acquire(&ask(&[]), START));
    match keeper.acquire(&ask(&[]), START) {
        AcquireOutcome::Refused(refusal) => {
            assert_eq!(refusal.code, "queue_full");
            assert!(refusal.retry_after_ms.is_some());
        }
        other => panic!("{other:?}"),
    }
    assert!(keeper.release(&first, &DONE, START));
    assert!(!keeper.release(&first, &DONE, START), "given back twice");
    let ended = advance(&mut keeper, START);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].0, second);
    assert!(!first.scarce && ended[0].1.as_ref().unwrap().scarce);
    keeper.cancel_wait(third);
    assert_eq!(keeper.waiting(), 0);
}

#[test]
fn a_wait_ends_before_its_time_is_used_up() {
    let mut keeper = keeper(&[1], 2);
    granted(keeper.acquire(&ask(&[]), START));
    let waiter = waiting(keeper.acquire(&ask(&[]), START));
    let until = keeper.next_deadline().unwrap();
    assert!(until < START + VALID);
    let ended = advance(&mut keeper, until);
    assert_eq!(ended[0].0, waiter);
    assert_eq!(ended[0].1.as_ref().unwrap_err().code, "no_free_slot");
}

#[test]
fn a_grant_that_is_not_given_back_lapses_after_a_margin() {
    let mut keeper = keeper(&[1], 2);
    let lost = granted(keeper.acquire(&ask(&[]), START));
    let end = START + VALID;
    waiting(keeper.acquire(&ask(&[]), end));
    assert!(
        advance(&mut keeper, end).is_empty(),
        "still within the margin"
    );
    assert_eq!(advance(&mut keeper, end + LAPSE_MARGIN).len(), 1);
    assert!(!keeper.release(&lost, &DONE, end + LAPSE_MARGIN));
    assert_eq!(keeper.in_use(&"b0".into()), 1);
}

#[test]
fn tried_ones_are_taken_only_where_no_other_takes_work() {
    let mut two = keeper(&[1, 1], 2);
    let tried = ["b0".into()];
    assert_eq!(
        granted(two.acquire(&ask(&tried), START)).backend.as_str(),
        "b1"
    );
    waiting(two.acquire(&ask(&tried), START));
    let mut one = keeper(&[1], 2);
    assert_eq!(
        granted(one.acquire(&ask(&tried), START)).backend.as_str(),
        "b0"
    );
}

#[test]
fn leaving_or_removed_ones_get_nothing_new() {
    struct Case {
        name: &'static str,
        change: fn(&mut SlotAllocator),
    }
    let cases = [
        Case {
            name: "listed",
            change: |keeper| keeper.set_draining(["b0".into()].into()),
        },
        Case {
            name: "removed from the configuration",
            change: |keeper| keeper.set_backends(&[backend("b1", 4)], START),
        },
        Case {
            name: "its own word",
            change: |keeper| {
                let grants: Vec<_> = (0..5)
                    .map(|_| granted(keeper.acquire(&ask(&[]), START)))
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
                    keeper.release(&grant, &used, START);
                }
            },
        },
    ];
    for case in cases {
        let mut keeper = keeper(&[4, 4], 10);
        (case.change)(&mut keeper);
        for _ in 0..4 {
            let grant = granted(keeper.acquire(&ask(&[]), START));
            assert_eq!(grant.backend.as_str(), "b1", "{}", case.name);
        }
        waiting(keeper.acquire(&ask(&[]), START));
    }
    let mut keeper = keeper(&[4], 10);
    keeper.set_draining(["b0".into()].into());
    let acquired = keeper.acquire(&ask(&[]), START);
    assert!(
        matches!(acquired, AcquireOutcome::Refused(_)),
        "{acquired:?}"
    );
}

#[test]
fn a_removed_one_with_grants_gets_no_more_of_them() {
    let mut keeper = keeper(&[4], 10);
    granted(keeper.acquire(&ask(&[]), START));
    keeper.set_backends(&[], START);
    let acquired = keeper.acquire(&ask(&[]), START);
    assert!(
        matches!(acquired, AcquireOutcome::Refused(_)),
        "{acquired:?}"
    );
    keeper.set_backends(&[backend("b1", 1)], START);
    assert_eq!(
        granted(keeper.acquire(&ask(&[]), START)).backend.as_str(),
        "b1"
    );
    waiting(keeper.acquire(&ask(&[]), START));
}

#[test]
fn a_removed_one_that_comes_back_still_counts_its_grants() {
    let mut keeper = keeper(&[1, 1], 10);
    granted(keeper.acquire(&ask(&[]), START));
    granted(keeper.acquire(&ask(&[]), START));
    keeper.set_backends(&[], START);
    keeper.set_backends(&[backend("b0", 1), backend("b1", 1)], START);
    waiting(keeper.acquire(&ask(&[]), START));
}

#[test]
fn a_new_owner_withholds_slots_until_it_knows_what_is_held() {
    let (a, b): (VmName, VmName) = ("a".into(), "b".into());
    let held = |id| SlotGrant {
        id,
        epoch: 4,
        backend: "b0".into(),
        valid_ms: 1_000,
        scarce: false,
    };
    let mut keeper = keeper(&[2], 10);
    keeper.take_over([a.clone(), b.clone()], VALID, START);
    let early = waiting(keeper.acquire(&ask(&[]), START));
    keeper.release(&held(8), &DONE, START);
    keeper.report_held(&a, &[held(7), held(8)], START);
    assert!(advance(&mut keeper, START).is_empty(), "b has not answered");
    assert_eq!(keeper.unreported_vms(), std::slice::from_ref(&b));
    keeper.report_held(&b, &[], START);
    let ended = advance(&mut keeper, START);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].0, early);
    assert_eq!(
        keeper.in_use(&"b0".into()),
        2,
        "7 is still held, 8 was given back"
    );
    waiting(keeper.acquire(&ask(&[]), START));
    assert!(keeper.release(&held(7), &DONE, START));
    assert_eq!(advance(&mut keeper, START).len(), 1);
}

#[test]
fn a_vm_holds_half_the_slots_at_most_and_a_lost_one_costs_as_many() {
    let mut keeper = keeper(&[8], 10);
    for _ in 0..4 {
        granted(keeper.acquire(&ask_of("a", &[]), START));
    }
    waiting(keeper.acquire(&ask_of("a", &[]), START));
    granted(keeper.acquire(&ask_of("b", &[]), START));

    let mut keeper = self::keeper(&[8], 10);
    keeper.take_over(["a".into(), "b".into()], VALID, START);
    waiting(keeper.acquire(&ask(&[]), START));
    keeper.report_held(&"b".into(), &[], START);
    assert_eq!(advance(&mut keeper, START).len(), 1);
    for _ in 0..3 {
        granted(keeper.acquire(&ask(&[]), START));
    }
    waiting(keeper.acquire(&ask(&[]), START));
    assert_eq!(keeper.in_use(&"b0".into()), 4);
    assert_eq!(advance(&mut keeper, START + VALID + LAPSE_MARGIN).len(), 1);
}

#[test]
fn a_vm_that_never_answers_costs_the_longest_validity() {
    let mut keeper = keeper(&[1], 10);
    keeper.take_over(["a".into()], VALID, START);
    let over = START + VALID + LAPSE_MARGIN;
    waiting(keeper.acquire(&ask(&[]), START + Duration::from_secs(2)));
    assert!(advance(&mut keeper, START + VALID).is_empty());
    assert_eq!(advance(&mut keeper, over).len(), 1);
}

/// One step of a random history; numbers choose among what is there.
#[derive(Clone, Debug)]
enum Op {
    Acquire {
        vm: usize,
        valid_ms: u64,
        tried: bool,
    },
    Release(usize),
    Abandon(usize),
    Pass(u64),
    Resize {
        backend: usize,
        slots: u32,
    },
    Leave(usize),
    Stay,
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
            10 | 11 => Self::Pass(u64::arbitrary(cx) % 1_500),
            12 => Self::Resize {
                backend: number % 3,
                slots: u32::arbitrary(cx) % 4,
            },
            _ if number % 3 == 0 => Self::Leave(number % 2),
            _ => Self::Stay,
        }
    }
}

/// A request that waits.
#[derive(Clone, Copy)]
struct Waits {
    key: WaiterKey,
    vm: usize,
    asked: Time,
    valid: Duration,
    tried: bool,
}

/// The oracle: every grant in one list, scanned each time.
#[derive(Default)]
struct Oracle {
    slots: HashMap<BackendName, u32>,
    leaving: Option<BackendName>,
    grants: Vec<(SlotGrant, usize, Time)>,
    waiting: Vec<Waits>,
}

impl Oracle {
    fn pass(&mut self, now: Time) {
        self.grants.retain(|(.., lapses)| *lapses > now);
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
        let stays = self.leaving.as_ref() != Some(backend);
        stays
            && self.held(backend) < slots
            && self.held_by(backend, vm) * 2 < slots.max(1) + slots % 2
    }

    /// Notes a grant and tells whether it was allowed.
    fn allows(&mut self, grant: &SlotGrant, vm: usize, asked: Time, valid: Duration) -> bool {
        let fresh = self.grants.iter().all(|(g, ..)| g.id != grant.id);
        let allowed = fresh && self.may_take(&grant.backend, vm);
        self.grants
            .push((grant.clone(), vm, asked + valid + LAPSE_MARGIN));
        allowed
    }

    /// Whether a request waits although it may take a free slot of an untried backend server.
    fn has_overlooked(&self) -> bool {
        let overlooked = |waits: &Waits| {
            let untried = |name: &&BackendName| !waits.tried || name.as_str() != "b0";
            let mut names = self.slots.keys().filter(untried);
            names.any(|name| self.may_take(name, waits.vm))
        };
        self.waiting.iter().any(overlooked)
    }
}

fn follows_the_oracle(ops: Vec<Op>) -> bool {
    let names: [BackendName; 3] = ["b0".into(), "b1".into(), "b2".into()];
    let vms: [VmName; 3] = ["v0".into(), "v1".into(), "v2".into()];
    let mut keeper = keeper(&[2, 3, 1], 6);
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
                let ask = AcquireRequest {
                    vm: &vms[vm],
                    zone: None,
                    valid,
                    tried: if tried { &names[..1] } else { &[] },
                };
                match keeper.acquire(&ask, now) {
                    AcquireOutcome::Granted(grant) => {
                        let overtook = oracle.waiting.iter().any(|waits| waits.vm == vm);
                        if !oracle.allows(&grant, vm, now, valid) || overtook {
                            return false;
                        }
                    }
                    AcquireOutcome::Waiting(key) => oracle.waiting.push(Waits {
                        key,
                        vm,
                        asked: now,
                        valid,
                        tried,
                    }),
                    AcquireOutcome::Refused(_) => {}
                }
            }
            Op::Release(number) if !oracle.grants.is_empty() => {
                let (grant, ..) = oracle.grants.remove(number % oracle.grants.len());
                if !keeper.release(&grant, &DONE, now) || keeper.release(&grant, &DONE, now) {
                    return false;
                }
            }
            Op::Abandon(number) if !oracle.waiting.is_empty() => {
                let waits = oracle.waiting.remove(number % oracle.waiting.len());
                keeper.cancel_wait(waits.key);
            }
            Op::Pass(ms) => now = now + Duration::from_millis(ms),
            Op::Resize { backend, slots } => {
                oracle.slots.insert(names[backend].clone(), slots);
                let infos = names.iter().map(|n| backend_of(n, oracle.slots[n]));
                keeper.set_backends(&infos.collect::<Vec<_>>(), now);
            }
            Op::Leave(backend) => {
                oracle.leaving = Some(names[backend].clone());
                keeper.set_draining([names[backend].clone()].into());
            }
            Op::Stay => {
                oracle.leaving = None;
                keeper.set_draining([].into());
            }
            Op::Release(_) | Op::Abandon(_) => {}
        }
        oracle.pass(now);
        for (key, end) in advance(&mut keeper, now) {
            let Some(at) = oracle.waiting.iter().position(|waits| waits.key == key) else {
                return false;
            };
            let waits = oracle.waiting.remove(at);
            if let Ok(grant) = end
                && !oracle.allows(&grant, waits.vm, waits.asked, waits.valid)
            {
                return false;
            }
        }
        let counted = names
            .iter()
            .all(|name| keeper.in_use(name) == oracle.held(name));
        if !counted || oracle.has_overlooked() || keeper.waiting() != oracle.waiting.len() {
            return false;
        }
    }
    true
}

fn backend_of(name: &BackendName, slots: u32) -> BackendInfo {
    backend(name.as_str(), slots)
}

#[test]
fn random_histories_never_exceed_the_slots() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 42))
        .tests(2_000)
        .quickcheck(follows_the_oracle as fn(Vec<Op>) -> bool);
}
