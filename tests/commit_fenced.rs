//! Fenced commits and claims, while responses are lost and transactions take effect late.

#[path = "support/table.rs"]
mod table;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutlug::node::claim::{ClaimError, claim_shard};
use chestnutlug::node::commit::commit_fenced;
use chestnutlug::port::BoxFuture;
use chestnutlug::port::table::{Condition, Row, Table, TableError, Txn, Write};
use chestnutlug::shard::commit_queue::CommitOutcome;
use chestnutlug::shard::rows::{OwnerRef, ShardRow, decode, shard_key};
use table::MemoryTable;

/// The behavior of the table at one commit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CommitBehavior {
    Respond,
    Refuse,
    /// The transaction takes effect at once; the response is lost.
    LoseResponse,
    /// The response is lost; the transaction takes effect this many milliseconds later.
    Delay(u64),
    /// The call is lost; the transaction never takes effect.
    LoseCall,
    /// The call is lost, and another owner writes the fencing row.
    FenceAndLoseCall,
}

#[derive(Default)]
struct ScriptedTable {
    rows: Mutex<MemoryTable>,
    commits: Mutex<VecDeque<CommitBehavior>>,
    /// The number of next reads that fail.
    failing_reads: Mutex<u32>,
}

impl ScriptedTable {
    fn new(commits: &[CommitBehavior], failing_reads: u32) -> Arc<Self> {
        let scripted = Self::default();
        scripted.commits.lock().unwrap().extend(commits);
        *scripted.failing_reads.lock().unwrap() = failing_reads;
        Arc::new(scripted)
    }

    fn apply(&self, txn: &Txn) -> Result<(), TableError> {
        self.rows.lock().unwrap().apply(txn)
    }

    fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.rows.lock().unwrap().get(key).map(|row| row.value)
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.lock().unwrap().version(key)
    }
}

/// A handle to the table that can apply a transaction after its call has ended.
struct TableHandle(Arc<ScriptedTable>);

fn unanswered() -> TableError {
    TableError::Unanswered("lost".to_owned())
}

impl Table for TableHandle {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let behavior = self.0.commits.lock().unwrap().pop_front();
            match behavior.unwrap_or(CommitBehavior::Respond) {
                CommitBehavior::Respond => self.0.apply(txn),
                CommitBehavior::Refuse => Err(TableError::Unavailable("down".to_owned())),
                CommitBehavior::LoseResponse => {
                    let _ = self.0.apply(txn);
                    Err(unanswered())
                }
                CommitBehavior::Delay(ms) => {
                    let (scripted, txn) = (self.0.clone(), txn.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_millis(ms)).await;
                        let _ = scripted.apply(&txn);
                    });
                    Err(unanswered())
                }
                CommitBehavior::LoseCall => Err(unanswered()),
                CommitBehavior::FenceAndLoseCall => {
                    let _ = self.0.apply(&put(&[], "shard/s", b"other"));
                    Err(unanswered())
                }
            }
        })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move {
            let mut failing = self.0.failing_reads.lock().unwrap();
            if *failing > 0 {
                *failing -= 1;
                return Err(unanswered());
            }
            Ok(self.0.rows.lock().unwrap().get(key))
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        _after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        Box::pin(async move { Ok(self.0.rows.lock().unwrap().scan(prefix)) })
    }
}

fn put(conditions: &[(&str, u64)], key: &str, value: &[u8]) -> Txn {
    let condition = |&(key, version): &(&str, u64)| Condition {
        key: key.to_owned(),
        version,
    };
    Txn {
        conditions: conditions.iter().map(condition).collect(),
        writes: vec![Write::Put {
            key: key.to_owned(),
            value: value.to_vec(),
        }],
    }
}

/// The owner's transaction at version 0 of its row. It also writes the row "work", whose version
/// counts how often the transaction took effect.
fn txn() -> Txn {
    let mut txn = put(&[("shard/s", 0), ("key/t/k", 0)], "shard/s", b"mine");
    txn.writes.push(Write::Put {
        key: "work".to_owned(),
        value: b"w".to_vec(),
    });
    txn
}

struct Case {
    name: &'static str,
    commits: &'static [CommitBehavior],
    failing_reads: u32,
    outcome: CommitOutcome,
    /// The number of times that the transaction takes effect.
    applied_times: u64,
}

#[tokio::test(start_paused = true)]
async fn commit_fenced_returns_the_certain_outcome_and_applies_at_most_once() {
    use CommitBehavior::{Delay, FenceAndLoseCall, LoseCall, LoseResponse, Refuse, Respond};
    let cases = [
        Case {
            name: "response received",
            commits: &[Respond],
            failing_reads: 0,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "refused",
            commits: &[Refuse],
            failing_reads: 0,
            outcome: CommitOutcome::Unavailable,
            applied_times: 0,
        },
        Case {
            name: "response lost",
            commits: &[LoseResponse],
            failing_reads: 0,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "response lost, reads fail",
            commits: &[LoseResponse],
            failing_reads: 9,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "call lost",
            commits: &[LoseCall, Respond],
            failing_reads: 0,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "call lost, then refused",
            commits: &[LoseCall, Refuse, Refuse, Respond],
            failing_reads: 0,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "call lost twice, then the response",
            commits: &[LoseCall, LoseCall, LoseResponse],
            failing_reads: 3,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "effect late, repeated before",
            commits: &[Delay(50), Respond],
            failing_reads: 0,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "effect late, while reads fail",
            commits: &[Delay(150), Respond],
            failing_reads: 4,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "effect late, while the table refuses",
            commits: &[Delay(150), Refuse, Refuse, Refuse, Respond],
            failing_reads: 0,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "both late",
            commits: &[Delay(500), Delay(20), Refuse, Refuse],
            failing_reads: 0,
            outcome: CommitOutcome::Applied,
            applied_times: 1,
        },
        Case {
            name: "fenced",
            commits: &[FenceAndLoseCall],
            failing_reads: 0,
            outcome: CommitOutcome::Fenced,
            applied_times: 0,
        },
        Case {
            name: "call lost, then fenced",
            commits: &[LoseCall, FenceAndLoseCall],
            failing_reads: 2,
            outcome: CommitOutcome::Fenced,
            applied_times: 0,
        },
    ];
    for case in cases {
        let scripted = ScriptedTable::new(case.commits, case.failing_reads);
        let outcome = commit_fenced(&TableHandle(scripted.clone()), &txn()).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert_eq!(
            scripted.version("work"),
            case.applied_times,
            "{}",
            case.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_existing_key_is_returned_with_its_value() {
    for commits in [
        &[][..],
        &[CommitBehavior::LoseCall],
        &[CommitBehavior::LoseResponse],
    ] {
        let scripted = ScriptedTable::new(commits, 1);
        scripted.apply(&put(&[], "key/t/k", b"first")).unwrap();
        let outcome = commit_fenced(&TableHandle(scripted.clone()), &txn()).await;
        let exists = CommitOutcome::Exists {
            key: "key/t/k".to_owned(),
            value: b"first".to_vec(),
        };
        assert_eq!(outcome, exists, "{commits:?}");
        assert_eq!(scripted.version("work"), 0, "{commits:?}");
    }
}

fn owner(vm: &str) -> OwnerRef {
    OwnerRef {
        vm: vm.into(),
        incarnation: 1,
    }
}

#[tokio::test(start_paused = true)]
async fn exactly_one_of_two_claims_succeeds() {
    use CommitBehavior::{Delay, LoseCall, LoseResponse, Refuse, Respond};
    let faults: [&[CommitBehavior]; 7] = [
        &[],
        &[LoseResponse],
        &[LoseCall],
        &[Delay(50)],
        &[Delay(250), Respond],
        &[LoseCall, LoseResponse],
        &[Delay(150), Delay(30), Refuse],
    ];
    for commits in faults {
        let scripted = ScriptedTable::new(commits, 0);
        let (a, b) = (TableHandle(scripted.clone()), TableHandle(scripted.clone()));
        let shard = "s".into();
        let key = shard_key(&shard);
        let (me, other) = (owner("a"), owner("b"));
        let (first, second) = tokio::join!(
            claim_shard(&a, &shard, 0, &me),
            claim_shard(&b, &shard, 0, &other)
        );
        tokio::time::sleep(Duration::from_secs(10)).await;
        let row = decode::<ShardRow>(&scripted.value(&key).unwrap()).unwrap();
        assert_eq!(row.epoch, 1, "{commits:?}");
        let claims = [(&first, owner("a")), (&second, owner("b"))];
        let winners = claims.iter().filter(|(outcome, _)| outcome.is_ok()).count();
        assert_eq!(winners, 1, "{commits:?}: {first:?} {second:?}");
        for (outcome, owner) in claims {
            match outcome {
                Ok(claimed) => {
                    assert_eq!(row.owner, Some(owner), "{commits:?}");
                    assert_eq!(claimed.version, scripted.version(&key), "{commits:?}");
                }
                Err(e) => assert_eq!(*e, ClaimError::Conflict, "{commits:?}"),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_stale_claim_fails_and_claims_count_earlier_owners() {
    let scripted = ScriptedTable::new(&[], 0);
    let table = TableHandle(scripted.clone());
    let shard = "s".into();
    let first = claim_shard(&table, &shard, 0, &owner("a")).await.unwrap();
    assert_eq!(
        (
            first.row.epoch,
            first.row.unfenced_owners,
            first.previous_owner
        ),
        (1, 0, None)
    );
    let stale = claim_shard(&table, &shard, 0, &owner("b")).await;
    assert_eq!(stale.unwrap_err(), ClaimError::Conflict);
    let second = claim_shard(&table, &shard, 1, &owner("b")).await.unwrap();
    assert_eq!((second.row.epoch, second.row.unfenced_owners), (2, 1));
    assert_eq!(second.previous_owner, Some(owner("a")));
    let third = claim_shard(&table, &shard, 2, &owner("c")).await.unwrap();
    assert_eq!((third.row.epoch, third.row.unfenced_owners), (3, 2));
}
