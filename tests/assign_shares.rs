//! Tests which VM takes which shard, and which VM releases one.

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

fn ownerships<'a>(
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
    /// Expected number of shards that each VM takes.
    taken: &'static [usize],
    /// Whether each VM is expected to release a shard.
    releases: &'static [bool],
}

#[test]
fn shares_follow_capacity() {
    const N: Option<usize> = None;
    const A: Option<usize> = Some(0);
    const B: Option<usize> = Some(1);
    let cases = [
        Case {
            name: "all shards unowned",
            owners: &[N, N, N, N],
            capacities: &[1, 1],
            taken: &[2, 2],
            releases: &[false, false],
        },
        Case {
            name: "one VM",
            owners: &[N, N, N],
            capacities: &[1],
            taken: &[3],
            releases: &[false],
        },
        Case {
            name: "different capacities",
            owners: &[N, N, N, N, N, N],
            capacities: &[2, 1],
            taken: &[4, 2],
            releases: &[false, false],
        },
        Case {
            name: "one VM owns more shards",
            owners: &[A, A, N, N],
            capacities: &[1, 1],
            taken: &[0, 2],
            releases: &[false, false],
        },
        Case {
            name: "no unowned shards",
            owners: &[A, B, A, B],
            capacities: &[1, 1],
            taken: &[0, 0],
            releases: &[false, false],
        },
        Case {
            name: "one above the even share",
            owners: &[A, A, A, B],
            capacities: &[1, 1],
            taken: &[0, 0],
            releases: &[false, false],
        },
        Case {
            name: "far above the even share",
            owners: &[A, A, A, A],
            capacities: &[1, 1],
            taken: &[0, 0],
            releases: &[true, false],
        },
        Case {
            name: "capacity 0 counts as 1",
            owners: &[N, N],
            capacities: &[0, 1],
            taken: &[1, 1],
            releases: &[false, false],
        },
    ];
    for case in cases {
        let (shards, vms) = (shards(case.owners.len()), vms(case.capacities.len()));
        let ownerships = ownerships(&shards, case.owners, &vms);
        let candidates = candidates(&vms, case.capacities);
        let taken: Vec<usize> = vms
            .iter()
            .map(|vm| shards_to_take(&ownerships, &candidates, vm).len())
            .collect();
        assert_eq!(taken, case.taken, "{}", case.name);
        let releases = vms
            .iter()
            .map(|vm| shard_to_release(&ownerships, &candidates, vm).is_some());
        assert_eq!(releases.collect::<Vec<_>>(), case.releases, "{}", case.name);
    }
}

/// From any state, VMs with the same view take every unowned shard exactly once, and they stop
/// releasing shards after some rounds.
fn converges(owners: Vec<Option<u8>>, capacities: Vec<u8>) -> TestResult {
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
            let ownerships = ownerships(&shards, &before, &vms);
            let candidates = candidates(&vms, &capacities);
            for taken in shards_to_take(&ownerships, &candidates, &vms[vm]) {
                let at = shards.iter().position(|shard| shard == taken).unwrap();
                if owners[at].replace(vm).is_some() {
                    return TestResult::error(format!("{taken} is taken twice"));
                }
            }
            if let Some(released) = shard_to_release(&ownerships, &candidates, &vms[vm]) {
                let at = shards.iter().position(|shard| shard == released).unwrap();
                if owners[at].take() != Some(vm) {
                    return TestResult::error(format!(
                        "{released} is released by a VM that does not own it"
                    ));
                }
            }
        }
        if owners == before {
            let all = owners.iter().all(Option::is_some);
            return TestResult::from_bool(all);
        }
    }
    TestResult::error("the assignment does not converge")
}

#[test]
fn assignment_converges_from_any_state() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(500)
        .quickcheck(converges as fn(Vec<Option<u8>>, Vec<u8>) -> TestResult);
}
