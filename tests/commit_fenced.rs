//! Committing under a fence, and claiming, while answers are lost and effects come late.

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

/// What the table does with one commit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Answers,
    Refuses,
    /// The effect comes at once, the answer is lost.
    LosesAnswer,
    /// The answer is lost and the effect comes this much later.
    Delays(u64),
    /// The answer is lost and the effect never comes.
    LosesCall,
    /// Another owner takes the row before the effect would come.
    IsOvertaken,
}

#[derive(Default)]
struct Script {
    rows: Mutex<MemoryTable>,
    commits: Mutex<VecDeque<Does>>,
    /// How many of the next reads fail.
    failing_reads: Mutex<u32>,
}

impl Script {
    fn new(commits: &[Does], failing_reads: u32) -> Arc<Self> {
        let script = Self::default();
        script.commits.lock().unwrap().extend(commits);
        *script.failing_reads.lock().unwrap() = failing_reads;
        Arc::new(script)
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

/// A handle that can apply an effect after its call has ended.
struct Handle(Arc<Script>);

fn unanswered() -> TableError {
    TableError::Unanswered("lost".to_owned())
}

impl Table for Handle {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let does = self.0.commits.lock().unwrap().pop_front();
            match does.unwrap_or(Does::Answers) {
                Does::Answers => self.0.apply(txn),
                Does::Refuses => Err(TableError::Unavailable("down".to_owned())),
                Does::LosesAnswer => {
                    let _ = self.0.apply(txn);
                    Err(unanswered())
                }
                Does::Delays(ms) => {
                    let (script, txn) = (self.0.clone(), txn.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_millis(ms)).await;
                        let _ = script.apply(&txn);
                    });
                    Err(unanswered())
                }
                Does::LosesCall => Err(unanswered()),
                Does::IsOvertaken => {
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

/// The owner's transaction at version 0 of its row: it also counts a row up.
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
    commits: &'static [Does],
    failing_reads: u32,
    end: CommitOutcome,
    /// How often the transaction took effect.
    effects: u64,
}

#[tokio::test(start_paused = true)]
async fn the_end_is_certain_and_the_effect_comes_at_most_once() {
    use Does::{Answers, Delays, IsOvertaken, LosesAnswer, LosesCall, Refuses};
    let cases = [
        Case {
            name: "answered",
            commits: &[Answers],
            failing_reads: 0,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "refused",
            commits: &[Refuses],
            failing_reads: 0,
            end: CommitOutcome::Unavailable,
            effects: 0,
        },
        Case {
            name: "answer lost",
            commits: &[LosesAnswer],
            failing_reads: 0,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "answer lost, reads fail",
            commits: &[LosesAnswer],
            failing_reads: 9,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "call lost",
            commits: &[LosesCall, Answers],
            failing_reads: 0,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "call lost, then refused",
            commits: &[LosesCall, Refuses, Refuses, Answers],
            failing_reads: 0,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "call lost twice, then the answer",
            commits: &[LosesCall, LosesCall, LosesAnswer],
            failing_reads: 3,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "effect late, repeated before",
            commits: &[Delays(50), Answers],
            failing_reads: 0,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "effect late, while reads fail",
            commits: &[Delays(150), Answers],
            failing_reads: 4,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "effect late, while the table refuses",
            commits: &[Delays(150), Refuses, Refuses, Refuses, Answers],
            failing_reads: 0,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "both late",
            commits: &[Delays(500), Delays(20), Refuses, Refuses],
            failing_reads: 0,
            end: CommitOutcome::Applied,
            effects: 1,
        },
        Case {
            name: "overtaken",
            commits: &[IsOvertaken],
            failing_reads: 0,
            end: CommitOutcome::Fenced,
            effects: 0,
        },
        Case {
            name: "call lost, then overtaken",
            commits: &[LosesCall, IsOvertaken],
            failing_reads: 2,
            end: CommitOutcome::Fenced,
            effects: 0,
        },
    ];
    for case in cases {
        let script = Script::new(case.commits, case.failing_reads);
        let end = commit_fenced(&Handle(script.clone()), &txn()).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(end, case.end, "{}", case.name);
        assert_eq!(script.version("work"), case.effects, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_key_that_exists_is_told_with_its_value() {
    for commits in [&[][..], &[Does::LosesCall], &[Does::LosesAnswer]] {
        let script = Script::new(commits, 1);
        script.apply(&put(&[], "key/t/k", b"first")).unwrap();
        let end = commit_fenced(&Handle(script.clone()), &txn()).await;
        let exists = CommitOutcome::Exists {
            key: "key/t/k".to_owned(),
            value: b"first".to_vec(),
        };
        assert_eq!(end, exists, "{commits:?}");
        assert_eq!(script.version("work"), 0, "{commits:?}");
    }
}

fn owner(vm: &str) -> OwnerRef {
    OwnerRef {
        vm: vm.into(),
        incarnation: 1,
    }
}

#[tokio::test(start_paused = true)]
async fn one_of_two_claimers_gets_the_shard() {
    use Does::{Answers, Delays, LosesAnswer, LosesCall, Refuses};
    let faults: [&[Does]; 7] = [
        &[],
        &[LosesAnswer],
        &[LosesCall],
        &[Delays(50)],
        &[Delays(250), Answers],
        &[LosesCall, LosesAnswer],
        &[Delays(150), Delays(30), Refuses],
    ];
    for commits in faults {
        let script = Script::new(commits, 0);
        let (a, b) = (Handle(script.clone()), Handle(script.clone()));
        let shard = "s".into();
        let key = shard_key(&shard);
        let (me, other) = (owner("a"), owner("b"));
        let (first, second) = tokio::join!(
            claim_shard(&a, &shard, 0, &me),
            claim_shard(&b, &shard, 0, &other)
        );
        tokio::time::sleep(Duration::from_secs(10)).await;
        let row = decode::<ShardRow>(&script.value(&key).unwrap()).unwrap();
        assert_eq!(row.epoch, 1, "{commits:?}");
        let won = [(&first, owner("a")), (&second, owner("b"))];
        let winners = won.iter().filter(|(end, _)| end.is_ok()).count();
        assert_eq!(winners, 1, "{commits:?}: {first:?} {second:?}");
        for (end, owner) in won {
            match end {
                Ok(claimed) => {
                    assert_eq!(row.owner, Some(owner), "{commits:?}");
                    assert_eq!(claimed.version, script.version(&key), "{commits:?}");
                }
                Err(e) => assert_eq!(*e, ClaimError::Conflict, "{commits:?}"),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_of_what_changed_since_fails_and_counts_owners() {
    let script = Script::new(&[], 0);
    let table = Handle(script.clone());
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
