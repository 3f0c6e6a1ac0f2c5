//! Who takes which shard, and who gives one up.

use chestnutlug::decide::assign::{Candidate, ShardOwnership, shard_to_release, shards_to_take};
use chestnutlug::model::{ShardName, VmName};
use quickcheck::{Gen, QuickCheck, TestResult};

fn shards(count: usize) -> Vec<ShardName> {
    (0..count)
        .map(|i| ShardName::new(format!("s{i:02}")))
        .collect()
}

fn vms(count: usize) -> Vec<VmName> {
    (0..count).map(|i| VmName::new(format!("vm-{i}"))).collect()
}

fn candidates<'a>(vms: &'a [VmName], capacities: &[u32]) -> Vec<Candidate<'a>> {
    let each = vms.iter().zip(capacities);
    each.map(|(vm, &capacity)| Candidate { vm, capacity })
        .collect()
}

fn holdings<'a>(
    shards: &'a [ShardName],
    owners: &[Option<usize>],
    vms: &'a [VmName],
) -> Vec<ShardOwnership<'a>> {
    let each = shards.iter().zip(owners);
    each.map(|(shard, owner)| ShardOwnership {
        shard,
        owner: owner.map(|i| &vms[i]),
    })
    .collect()
}

struct Case {
    name: &'static str,
    owners: &'static [Option<usize>],
    capacities: &'static [u32],
    /// How many shards each VM then takes.
    taken: &'static [usize],
    /// Which VMs give one up.
    gives_up: &'static [bool],
}

#[test]
fn shares_follow_capacity() {
    const N: Option<usize> = None;
    const A: Option<usize> = Some(0);
    const B: Option<usize> = Some(1);
    let cases = [
        Case {
            name: "all free",
            owners: &[N, N, N, N],
            capacities: &[1, 1],
            taken: &[2, 2],
            gives_up: &[false, false],
        },
        Case {
            name: "one VM",
            owners: &[N, N, N],
            capacities: &[1],
            taken: &[3],
            gives_up: &[false],
        },
        Case {
            name: "unlike capacity",
            owners: &[N, N, N, N, N, N],
            capacities: &[2, 1],
            taken: &[4, 2],
            gives_up: &[false, false],
        },
        Case {
            name: "one is ahead",
            owners: &[A, A, N, N],
            capacities: &[1, 1],
            taken: &[0, 2],
            gives_up: &[false, false],
        },
        Case {
            name: "nothing free",
            owners: &[A, B, A, B],
            capacities: &[1, 1],
            taken: &[0, 0],
            gives_up: &[false, false],
        },
        Case {
            name: "one above the even share",
            owners: &[A, A, A, B],
            capacities: &[1, 1],
            taken: &[0, 0],
            gives_up: &[false, false],
        },
        Case {
            name: "far above the even share",
            owners: &[A, A, A, A],
            capacities: &[1, 1],
            taken: &[0, 0],
            gives_up: &[true, false],
        },
        Case {
            name: "capacity 0 counts as 1",
            owners: &[N, N],
            capacities: &[0, 1],
            taken: &[1, 1],
            gives_up: &[false, false],
        },
    ];
    for case in cases {
        let (shards, vms) = (shards(case.owners.len()), vms(case.capacities.len()));
        let held = holdings(&shards, case.owners, &vms);
        let willing = candidates(&vms, case.capacities);
        let taken: Vec<usize> = vms
            .iter()
            .map(|vm| shards_to_take(&held, &willing, vm).len())
            .collect();
        assert_eq!(taken, case.taken, "{}", case.name);
        let gives_up = vms
            .iter()
            .map(|vm| shard_to_release(&held, &willing, vm).is_some());
        assert_eq!(gives_up.collect::<Vec<_>>(), case.gives_up, "{}", case.name);
    }
}

/// From any state, VMs that share one view take every free shard once, and giving up ends with
/// shares that nobody gives up any more.
fn settles(owners: Vec<Option<u8>>, capacities: Vec<u8>) -> TestResult {
    if capacities.is_empty() {
        return TestResult::discard();
    }
    let capacities: Vec<u32> = capacities
        .iter()
        .take(7)
        .map(|&c| 1 + u32::from(c) % 4)
        .collect();
    let vms = vms(capacities.len());
    let shards = shards(owners.len());
    let each = owners.iter();
    let mut owners: Vec<Option<usize>> = each
        .map(|o| o.map(|o| usize::from(o) % vms.len()))
        .collect();
    for _ in 0..4 * shards.len() + 4 {
        let before = owners.clone();
        for vm in 0..vms.len() {
            let held = holdings(&shards, &before, &vms);
            let willing = candidates(&vms, &capacities);
            for taken in shards_to_take(&held, &willing, &vms[vm]) {
                let at = shards.iter().position(|shard| shard == taken).unwrap();
                if owners[at].replace(vm).is_some() {
                    return TestResult::error(format!("{taken} taken twice"));
                }
            }
            if let Some(given) = shard_to_release(&held, &willing, &vms[vm]) {
                let at = shards.iter().position(|shard| shard == given).unwrap();
                if owners[at].take() != Some(vm) {
                    return TestResult::error(format!("{given} given up by another"));
                }
            }
        }
        if owners == before {
            let all = owners.iter().all(Option::is_some);
            return TestResult::from_bool(all);
        }
    }
    TestResult::error("never settles")
}

#[test]
fn shares_settle_from_any_state() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(500)
        .quickcheck(settles as fn(Vec<Option<u8>>, Vec<u8>) -> TestResult);
}
