//! `commit_balances` under faults: lost calls and responses, and concurrent changes of the same
//! rows by other shards.

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

const BALANCE_KEYS: [&str; 2] = ["balance/a", "balance/b"];
const TXN_ID: u64 = 7;

/// The behavior of the table at one commit.
#[derive(Clone, Copy, Debug)]
enum CommitBehavior {
    Respond,
    Refuse,
    LoseResponse,
    LoseCall,
}

struct Case {
    name: &'static str,
    commits: &'static [CommitBehavior],
    /// The rows that another shard changes right after the first commit.
    changed_by_others: &'static [&'static str],
    applied: bool,
}

struct ScriptedTable {
    rows: Mutex<MemoryTable>,
    commits: Mutex<VecDeque<CommitBehavior>>,
    changed_by_others: Mutex<Vec<&'static str>>,
}

impl ScriptedTable {
    fn commit_next(&self, txn: &Txn) -> Result<(), TableError> {
        let behavior = self.commits.lock().unwrap().pop_front();
        let mut rows = self.rows.lock().unwrap();
        let lost = Err(TableError::Unanswered("lost".to_owned()));
        let result = match behavior.unwrap_or(CommitBehavior::Respond) {
            CommitBehavior::Respond => rows.apply(txn),
            CommitBehavior::Refuse => Err(TableError::Unavailable("down".to_owned())),
            CommitBehavior::LoseResponse => rows.apply(txn).and(lost),
            CommitBehavior::LoseCall => lost,
        };
        for key in self.changed_by_others.lock().unwrap().drain(..) {
            let txn = change_txn(&rows, key, "other", 1);
            rows.apply(&txn).unwrap();
        }
        result
    }
}

impl Table for ScriptedTable {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move { self.commit_next(txn) })
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

/// A transaction of `shard` that changes one row.
fn change_txn(rows: &MemoryTable, key: &str, shard: &str, txn_id: u64) -> Txn {
    let row = rows.get(key).unwrap();
    let mut stored: StoredBalance = decode(&row.value).unwrap();
    let request = ReconcileRequest {
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
    stored.reconcile(&request).unwrap();
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
async fn commit_balances_returns_the_certain_outcome() {
    let cases = [
        Case {
            name: "response received",
            commits: &[CommitBehavior::Respond],
            changed_by_others: &[],
            applied: true,
        },
        Case {
            name: "refused",
            commits: &[CommitBehavior::Refuse],
            changed_by_others: &[],
            applied: false,
        },
        Case {
            name: "response lost",
            commits: &[CommitBehavior::LoseResponse],
            changed_by_others: &[],
            applied: true,
        },
        Case {
            name: "response lost, then changed by another shard",
            commits: &[CommitBehavior::LoseResponse],
            changed_by_others: &BALANCE_KEYS,
            applied: true,
        },
        Case {
            name: "call lost",
            commits: &[CommitBehavior::LoseCall],
            changed_by_others: &[],
            applied: true,
        },
        Case {
            name: "call lost, then changed by another shard",
            commits: &[CommitBehavior::LoseCall],
            changed_by_others: &BALANCE_KEYS,
            applied: false,
        },
        Case {
            name: "call lost, then the second row changed by another shard",
            commits: &[CommitBehavior::LoseCall],
            changed_by_others: &["balance/b"],
            applied: false,
        },
        Case {
            name: "call lost, then refused",
            commits: &[CommitBehavior::LoseCall, CommitBehavior::Refuse],
            changed_by_others: &[],
            applied: true,
        },
    ];
    for case in cases {
        let mut rows = MemoryTable::default();
        for key in BALANCE_KEYS {
            rows.put(key, &encode(&StoredBalance::new(1_000_000, 1)));
        }
        let mut txn = change_txn(&rows, BALANCE_KEYS[0], "mine", TXN_ID);
        let second = change_txn(&rows, BALANCE_KEYS[1], "mine", TXN_ID);
        txn.conditions.extend(second.conditions);
        txn.writes.extend(second.writes);
        let scripted = ScriptedTable {
            rows: Mutex::new(rows),
            commits: Mutex::new(case.commits.iter().copied().collect()),
            changed_by_others: Mutex::new(case.changed_by_others.to_vec()),
        };
        let applied = commit_balances(&scripted, &txn, &"mine".into(), TXN_ID).await;
        assert_eq!(applied, case.applied, "{}", case.name);
        let rows = scripted.rows.lock().unwrap();
        for key in BALANCE_KEYS {
            assert_eq!(drawn(&rows, key) > 0, applied, "{}: {key}", case.name);
        }
    }
}
