//! The subcommands `status`, `jobs`, `explain` and `log-level`.

use std::time::Duration;

use clap::ArgMatches;
use comfy_table::{Cell, Color};

use super::operators::Operators;
use super::output::{Format, aligned, human, print, print_json};
use crate::error::{Error, Result};
use crate::model::JobId;
use crate::report::{
    CellStatus, JobDecisions, JobList, JobSummary, SetAsideStatus, ShardStatus, VmStatus,
};

/// Shows the cell as one VM sees it.
///
/// # Errors
///
/// Returns the error that ends the command.
pub fn status(args: &ArgMatches) -> Result<()> {
    let status: CellStatus = Operators::of(args)?.get("/v1/status")?;
    match Format::of(args) {
        Format::Json => print_json(&status),
        Format::Text => print(&status_text(&status)),
    }
}

fn status_text(status: &CellStatus) -> String {
    let newest = status.vms.iter().map(|vm| vm.config_version).max();
    let newest = newest.unwrap_or(0);
    let mut text = vms(&status.vms, newest);
    text.push('\n');
    text += &shards(&status.shards);
    if !status.set_aside.is_empty() {
        text.push('\n');
        text += &set_aside(&status.set_aside);
    }
    if !status.waiting.is_empty() {
        text.push('\n');
        text += &jobs_table(&status.waiting);
        let more = status
            .waiting_jobs
            .saturating_sub(status.waiting.len() as u64);
        if more > 0 {
            text += &format!("and {more} more\n");
        }
    }
    text
}

fn vms(vms: &[VmStatus], newest: u64) -> String {
    let rows = vms.iter().map(|vm| {
        let state = if vm.live {
            Cell::new("live")
        } else {
            Cell::new("silent").fg(Color::Red)
        };
        let mut config = Cell::new(vm.config_version);
        if vm.config_version < newest {
            config = config.fg(Color::Yellow);
        }
        [
            Cell::new(&vm.vm),
            Cell::new(vm.zone.as_ref().map_or("-", |zone| zone.as_str())),
            state,
            Cell::new(vm.shards),
            config,
            Cell::new(age(vm.table_contact_ms)),
        ]
    });
    let header = ["VM", "zone", "state", "shards", "config", "table contact"];
    aligned(header, rows)
}

fn shards(shards: &[ShardStatus]) -> String {
    let rows = shards.iter().map(|shard| {
        let owner = match &shard.owner {
            Some(owner) => Cell::new(owner),
            None => Cell::new("none").fg(Color::Red),
        };
        let mut unreachable = Cell::new(shard.unreachable);
        if shard.unreachable > 0 {
            unreachable = unreachable.fg(Color::Yellow);
        }
        [
            Cell::new(&shard.shard),
            owner,
            Cell::new(shard.epoch),
            Cell::new(shard.machines),
            unreachable,
            Cell::new(shard.queued),
            Cell::new(shard.running),
            Cell::new(format!("{:.1}", shard.free_cpu_milli as f64 / 1_000.0)),
        ]
    });
    let header = [
        "shard",
        "owner",
        "epoch",
        "machines",
        "unreachable",
        "queued",
        "running",
        "free cores",
    ];
    aligned(header, rows)
}

fn set_aside(workers: &[SetAsideStatus]) -> String {
    let rows = workers.iter().map(|set_aside| {
        [
            Cell::new(&set_aside.worker).fg(Color::Yellow),
            Cell::new(&set_aside.shard),
            Cell::new(age(set_aside.retry_in_ms)),
            Cell::new(&set_aside.reason),
        ]
    });
    aligned(
        ["worker set aside", "shard", "tried again in", "reason"],
        rows,
    )
}

/// Lists the jobs that have not ended.
///
/// # Errors
///
/// Returns the error that ends the command.
pub fn jobs(args: &ArgMatches) -> Result<()> {
    let list: JobList = Operators::of(args)?.get("/v1/jobs")?;
    if Format::of(args) == Format::Json {
        return print_json(&list);
    }
    let mut text = jobs_table(&list.jobs);
    let more = list.total.saturating_sub(list.jobs.len() as u64);
    if more > 0 {
        text += &format!("and {more} more\n");
    }
    print(&text)
}

fn jobs_table(jobs: &[JobSummary]) -> String {
    let rows = jobs.iter().map(|job| {
        [
            Cell::new(&job.id),
            Cell::new(&job.team),
            Cell::new(&job.kind),
            Cell::new(age(Some(job.age_ms))),
            Cell::new(job.queued),
            Cell::new(job.running),
            Cell::new(job.ended),
            Cell::new(job.waiting_for.as_deref().unwrap_or("-")),
        ]
    });
    let header = [
        "job",
        "team",
        "kind",
        "age",
        "queued",
        "running",
        "ended",
        "waits for",
    ];
    aligned(header, rows)
}

/// Shows the decisions taken on a job, in order.
///
/// # Errors
///
/// Returns the error that ends the command.
pub fn explain(args: &ArgMatches) -> Result<()> {
    let job = args.get_one::<JobId>("job");
    let job = job.ok_or_else(|| Error::Other("name the job".to_owned()))?;
    let explained: JobDecisions = Operators::of(args)?.get(&format!("/v1/explain/{job}"))?;
    if Format::of(args) == Format::Json {
        return print_json(&explained);
    }
    let lines = explained.decisions.iter().map(|line| format!("{line}\n"));
    print(&lines.collect::<String>())
}

/// Sets the level of a VM's logs.
///
/// # Errors
///
/// Returns the error that ends the command.
pub fn log_level(args: &ArgMatches) -> Result<()> {
    let level = args.get_one::<String>("level");
    let level = level.ok_or_else(|| Error::Other("name the level".to_owned()))?;
    Operators::of(args)?.put("/v1/log-level", level)
}

fn age(ms: Option<u64>) -> String {
    ms.map_or("-".to_owned(), |ms| human(Duration::from_millis(ms)))
}
