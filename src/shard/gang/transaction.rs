//! The transaction that records all placements of a cross-shard gang.

use super::super::commit_queue::TableChange;
use super::super::rows::{GangRow, JobRow, encode, epoch_key, gang_key, job_key, task_key};
use super::super::{OnApplied, Shard};
use super::cross_shard::GangPart;
use crate::message::Grant;
use crate::model::{JobId, JobSpec, TaskId};
use crate::port::table::{Condition, Write};

/// The job row of a part that has not ended.
pub(super) fn part_row(spec: JobSpec) -> JobRow {
    JobRow {
        spec,
        key: None,
        cancelled: false,
        outcome: None,
        reason: None,
        results: Vec::new(),
    }
}

impl Shard {
    /// Queues the transaction that records all parts and their placements. It takes effect only if
    /// each owner that granted a part still owns its shard and has not withdrawn the part.
    pub(super) fn push_gang_transaction(&mut self, number: u64) {
        let (Some(job), Some(gang)) = (self.jobs.get(&number), self.gangs.cross_shard.get(&number))
        else {
            return;
        };
        let row = GangRow {
            parts: gang.parts.iter().map(GangPart::to_ref).collect(),
        };
        let mut writes = vec![Write::Put {
            key: gang_key(&job.id),
            value: encode(&row),
        }];
        let mut conditions = Vec::new();
        for part in &gang.parts {
            let Some(grant) = &part.grant else {
                return;
            };
            conditions.extend(part_conditions(&part.id, grant));
            writes.push(Write::Put {
                key: job_key(&part.id),
                value: encode(&part_row(part.spec(&job.spec))),
            });
            writes.extend(task_writes(&part.id, grant));
        }
        self.commit_queue.push(TableChange {
            job: number,
            absent_key: None,
            conditions,
            writes,
            on_applied: OnApplied::GangRecorded,
        });
    }
}

fn part_conditions(part: &JobId, grant: &Grant) -> [Condition; 2] {
    [
        Condition {
            key: epoch_key(&part.shard),
            version: grant.epoch,
        },
        Condition {
            key: job_key(part),
            version: 0,
        },
    ]
}

fn task_writes(part: &JobId, grant: &Grant) -> Vec<Write> {
    let rows = (0..).zip(&grant.rows).map(|(index, row)| {
        let task = TaskId {
            job: part.clone(),
            index,
        };
        Write::Put {
            key: task_key(&task),
            value: encode(row),
        }
    });
    rows.collect()
}
