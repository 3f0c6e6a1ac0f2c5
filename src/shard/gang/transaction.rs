//! The one transaction that records a job over several shards.

use super::super::commit_queue::TableChange;
use super::super::rows::{GangRow, JobRow, encode, epoch_key, gang_key, job_key, task_key};
use super::super::{OnApplied, Shard};
use super::cross_shard::GangPart;
use crate::message::Grant;
use crate::model::{JobId, JobSpec, TaskId};
use crate::port::table::{Condition, Write};

/// The row of a part as a job of its own.
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
    /// Records all placements of a job, if each of the granters still owns its shard and none has
    /// withdrawn its part.
    pub(super) fn push_span(&mut self, number: u64) {
        let (Some(job), Some(span)) = (self.jobs.get(&number), self.gangs.spans.get(&number))
        else {
            return;
        };
        let row = GangRow {
            parts: span.parts.iter().map(GangPart::reference).collect(),
        };
        let mut writes = vec![Write::Put {
            key: gang_key(&job.id),
            value: encode(&row),
        }];
        let mut conditions = Vec::new();
        for part in &span.parts {
            let Some(grant) = &part.grant else {
                return;
            };
            conditions.extend(conditions_of(&part.id, grant));
            writes.push(Write::Put {
                key: job_key(&part.id),
                value: encode(&part_row(part.spec(&job.spec))),
            });
            writes.extend(task_writes(&part.id, grant));
        }
        self.commit_queue.push(TableChange {
            job: number,
            absent: None,
            conditions,
            writes,
            on_applied: OnApplied::Spanned,
        });
    }
}

fn conditions_of(part: &JobId, grant: &Grant) -> [Condition; 2] {
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
