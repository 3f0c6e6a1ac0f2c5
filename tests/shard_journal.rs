//! What one transaction of a shard's owner takes.

use chestnutlug::port::table::{Condition, MAX_TXN_ROWS, Txn, Write};
use chestnutlug::shard::commit_queue::{CommitQueue, TableChange};
use chestnutlug::shard::rows::ShardRow;

struct Case {
    name: &'static str,
    /// The changes: rows, and whether other shards' rows are conditions.
    changes: &'static [(usize, bool)],
    /// The rows of each transaction, that of the shard included.
    rows: &'static [usize],
}

fn change(job: usize, rows: usize, has_conditions: bool) -> TableChange<()> {
    let write = |row: usize| Write::Put {
        key: format!("{job}/{row}"),
        value: Vec::new(),
    };
    let condition = Condition {
        key: "epoch/other".to_owned(),
        version: 3,
    };
    TableChange {
        job: job as u64,
        absent_key: None,
        conditions: if has_conditions {
            vec![condition]
        } else {
            Vec::new()
        },
        writes: (0..rows).map(write).collect(),
        on_applied: (),
    }
}

#[test]
fn a_change_with_conditions_on_other_shards_is_written_alone() {
    let cases = [
        Case {
            name: "without conditions",
            changes: &[(1, false), (2, false)],
            rows: &[4],
        },
        Case {
            name: "conditions first",
            changes: &[(2, true), (1, false), (1, false)],
            rows: &[3, 3],
        },
        Case {
            name: "conditions between",
            changes: &[(1, false), (2, true), (2, true), (1, false)],
            rows: &[2, 3, 3, 2],
        },
        Case {
            name: "as many rows as a transaction takes",
            changes: &[(MAX_TXN_ROWS - 1, true), (1, false)],
            rows: &[MAX_TXN_ROWS, 2],
        },
    ];
    for case in cases {
        let row = ShardRow {
            owner: None,
            epoch: 1,
            txn: 0,
            unfenced_owners: 0,
        };
        let mut journal = CommitQueue::new("s".into(), row, 1);
        for (job, &(rows, has_conditions)) in case.changes.iter().enumerate() {
            journal.push(change(job, rows, has_conditions));
        }
        let mut rows = Vec::new();
        while let Some(Txn { writes, .. }) = journal.begin() {
            rows.push(writes.len());
            journal.applied();
        }
        assert_eq!(rows, case.rows, "{}", case.name);
    }
}
