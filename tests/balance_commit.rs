//! Changes of balances whose answers are lost while other shards change the same rows.

#[path = "support/table.rs"]
mod table;

use std::collections::VecDeque;
use std::sync::Mutex;

use chestnutlug::decide::TeamSpending;
use chestnutlug::node::balances::{ReconcileRequest, StoredBalance, commit_balances};
use chestnutlug::port::BoxFuture;
use chestnutlug::port::table::{Condition, Row, Table, TableError, Txn, Write};
use chestnutlug::shard::rows::{decode, encode};
use table::MemoryTable;

const TEAMS: [&str; 2] = ["balance/a", "balance/b"];
const NUMBER: u64 = 7;

/// What the table does with one commit.
#[derive(Clone, Copy, Debug)]
enum Does {
    Answers,
    Refuses,
    LosesAnswer,
    LosesCall,
}

struct Case {
    name: &'static str,
    commits: &'static [Does],
    /// The rows that another shard changes once the first commit has ended.
    then_changed: &'static [&'static str],
    applied: bool,
}

struct Script {
    rows: Mutex<MemoryTable>,
    commits: Mutex<VecDeque<Does>>,
    then_changed: Mutex<Vec<&'static str>>,
}

impl Script {
    fn commit_one(&self, txn: &Txn) -> Result<(), TableError> {
        let does = self.commits.lock().unwrap().pop_front();
        let mut rows = self.rows.lock().unwrap();
        let lost = Err(TableError::Unanswered("lost".to_owned()));
        let result = match does.unwrap_or(Does::Answers) {
            Does::Answers => rows.apply(txn),
            Does::Refuses => Err(TableError::Unavailable("down".to_owned())),
            Does::LosesAnswer => rows.apply(txn).and(lost),
            Does::LosesCall => lost,
        };
        for key in self.then_changed.lock().unwrap().drain(..) {
            let txn = change(&rows, key, "other", 1);
            rows.apply(&txn).unwrap();
        }
        result
    }
}

impl Table for Script {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move { self.commit_one(txn) })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move { Ok(self.rows.lock().unwrap().get(key)) })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        _after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        Box::pin(async move { Ok(self.rows.lock().unwrap().scan(prefix)) })
    }
}

/// A change of one row by `shard`.
fn change(rows: &MemoryTable, key: &str, shard: &str, txn_id: u64) -> Txn {
    let row = rows.get(key).unwrap();
    let mut stored: StoredBalance = decode(&row.value).unwrap();
    let ask = ReconcileRequest {
        shard: &shard.into(),
        epoch: 1,
        team: &TeamSpending {
            has_queued_tasks: true,
            ..TeamSpending::new("a".into())
        },
        settled_core_ms: 0,
        refund_core_ms: None,
        shards: 2,
        max_isolation: Default::default(),
        txn_id,
    };
    stored.reconcile(&ask).unwrap();
    Txn {
        conditions: vec![Condition {
            key: key.to_owned(),
            version: row.version,
        }],
        writes: vec![Write::Put {
            key: key.to_owned(),
            value: encode(&stored),
        }],
    }
}

fn drawn(rows: &MemoryTable, key: &str) -> u64 {
    let stored: StoredBalance = decode(&rows.get(key).unwrap().value).unwrap();
    let draw = stored.balance.drawn.get(&"mine".into());
    draw.map_or(0, |draw| draw.left_core_ms)
}

#[tokio::test(start_paused = true)]
async fn what_was_drawn_is_told_for_certain() {
    let cases = [
        Case {
            name: "answered",
            commits: &[Does::Answers],
            then_changed: &[],
            applied: true,
        },
        Case {
            name: "refused",
            commits: &[Does::Refuses],
            then_changed: &[],
            applied: false,
        },
        Case {
            name: "answer lost",
            commits: &[Does::LosesAnswer],
            then_changed: &[],
            applied: true,
        },
        Case {
            name: "answer lost, then changed by another shard",
            commits: &[Does::LosesAnswer],
            then_changed: &TEAMS,
            applied: true,
        },
        Case {
            name: "call lost",
            commits: &[Does::LosesCall],
            then_changed: &[],
            applied: true,
        },
        Case {
            name: "call lost, then changed by another shard",
            commits: &[Does::LosesCall],
            then_changed: &TEAMS,
            applied: false,
        },
        Case {
            name: "call lost, then the second row changed by another shard",
            commits: &[Does::LosesCall],
            then_changed: &["balance/b"],
            applied: false,
        },
        Case {
            name: "call lost, then refused",
            commits: &[Does::LosesCall, Does::Refuses],
            then_changed: &[],
            applied: true,
        },
    ];
    for case in cases {
        let mut rows = MemoryTable::default();
        for key in TEAMS {
            rows.put(key, &encode(&StoredBalance::new(1_000_000, 1)));
        }
        let mut txn = change(&rows, TEAMS[0], "mine", NUMBER);
        let second = change(&rows, TEAMS[1], "mine", NUMBER);
        txn.conditions.extend(second.conditions);
        txn.writes.extend(second.writes);
        let script = Script {
            rows: Mutex::new(rows),
            commits: Mutex::new(case.commits.iter().copied().collect()),
            then_changed: Mutex::new(case.then_changed.to_vec()),
        };
        let applied = commit_balances(&script, &txn, &"mine".into(), NUMBER).await;
        assert_eq!(applied, case.applied, "{}", case.name);
        let rows = script.rows.lock().unwrap();
        for key in TEAMS {
            assert_eq!(drawn(&rows, key) > 0, applied, "{}: {key}", case.name);
        }
    }
}
