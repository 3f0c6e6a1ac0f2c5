//! Which pending changes the commit queue writes in one transaction.

use chestnutlug::port::table::{Condition, MAX_TXN_ROWS, Txn, Write};
use chestnutlug::shard::commit_queue::{CommitQueue, TableChange};
use chestnutlug::shard::rows::ShardRow;

struct Case {
    name: &'static str,
    /// For each change the number of its rows and whether it has conditions on rows of other
    /// shards.
    changes: &'static [(usize, bool)],
    /// The number of rows of each transaction, the shard's row included.
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
fn a_change_with_conditions_on_other_shards_gets_its_own_transaction() {
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
        let mut queue = CommitQueue::new("s".into(), row, 1);
        for (job, &(rows, has_conditions)) in case.changes.iter().enumerate() {
            queue.push(change(job, rows, has_conditions));
        }
        let mut rows = Vec::new();
        while let Some(Txn { writes, .. }) = queue.begin() {
            rows.push(writes.len());
            queue.applied();
        }
        assert_eq!(rows, case.rows, "{}", case.name);
    }
}
