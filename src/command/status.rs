//! The subcommands `status`, `jobs`, `explain` and `log-level`.

use std::time::Duration;

use clap::ArgMatches;
use comfy_table::{Cell, Color};

use super::operators::OperatorClient;
use super::output::{Format, format_duration, print_json, print_text, render_table};
use crate::error::{Error, Result};
use crate::model::JobId;
use crate::report::{
    CellStatus, JobDecisions, JobList, JobSummary, SetAsideStatus, ShardStatus, VmStatus,
};

/// Prints the status of the cell as known to one VM.
///
/// # Errors
///
/// Returns an error if the request fails or the output cannot be written.
pub fn status(args: &ArgMatches) -> Result<()> {
    let status: CellStatus = OperatorClient::from_args(args)?.get("/v1/status")?;
    match Format::from_args(args) {
        Format::Json => print_json(&status),
        Format::Text => print_text(&status_text(&status)),
    }
}

fn status_text(status: &CellStatus) -> String {
    let latest_version = status.vms.iter().map(|vm| vm.config_version).max();
    let latest_version = latest_version.unwrap_or(0);
    let mut text = vm_table(&status.vms, latest_version);
    text.push('\n');
    text += &shard_table(&status.shards);
    if !status.set_aside.is_empty() {
        text.push('\n');
        text += &set_aside_table(&status.set_aside);
    }
    if !status.waiting.is_empty() {
        text.push('\n');
        text += &job_table(&status.waiting);
        let omitted = status
            .waiting_jobs
            .saturating_sub(status.waiting.len() as u64);
        if omitted > 0 {
            text += &format!("and {omitted} more\n");
        }
    }
    text
}

fn vm_table(vms: &[VmStatus], latest_version: u64) -> String {
    let rows = vms.iter().map(|vm| {
        let state = if vm.live {
            Cell::new("live")
        } else {
            Cell::new("silent").fg(Color::Red)
        };
        let mut config = Cell::new(vm.config_version);
        if vm.config_version < latest_version {
            config = config.fg(Color::Yellow);
        }
        [
            Cell::new(&vm.vm),
            Cell::new(vm.zone.as_ref().map_or("-", |zone| zone.as_str())),
            state,
            Cell::new(vm.shards),
            config,
            Cell::new(format_ms(vm.table_contact_ms)),
        ]
    });
    let header = ["VM", "zone", "state", "shards", "config", "table contact"];
    render_table(header, rows)
}

fn shard_table(shards: &[ShardStatus]) -> String {
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
    render_table(header, rows)
}

fn set_aside_table(workers: &[SetAsideStatus]) -> String {
    let rows = workers.iter().map(|status| {
        [
            Cell::new(&status.worker).fg(Color::Yellow),
            Cell::new(&status.shard),
            Cell::new(format_ms(status.retry_in_ms)),
            Cell::new(&status.reason),
        ]
    });
    render_table(
        ["worker set aside", "shard", "tried again in", "reason"],
        rows,
    )
}

/// Prints the jobs that have not ended.
///
/// # Errors
///
/// Returns an error if the request fails or the output cannot be written.
pub fn jobs(args: &ArgMatches) -> Result<()> {
    let list: JobList = OperatorClient::from_args(args)?.get("/v1/jobs")?;
    if Format::from_args(args) == Format::Json {
        return print_json(&list);
    }
    let mut text = job_table(&list.jobs);
    let omitted = list.total.saturating_sub(list.jobs.len() as u64);
    if omitted > 0 {
        text += &format!("and {omitted} more\n");
    }
    print_text(&text)
}

fn job_table(jobs: &[JobSummary]) -> String {
    let rows = jobs.iter().map(|job| {
        [
            Cell::new(&job.id),
            Cell::new(&job.team),
            Cell::new(&job.kind),
            Cell::new(format_ms(Some(job.age_ms))),
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
    render_table(header, rows)
}

/// Prints the scheduling decisions on a job, in order.
///
/// # Errors
///
/// Returns an error if the request fails or the output cannot be written.
pub fn explain(args: &ArgMatches) -> Result<()> {
    let job = args.get_one::<JobId>("job");
    let job = job.ok_or_else(|| Error::Other("missing argument JOB".to_owned()))?;
    let report: JobDecisions =
        OperatorClient::from_args(args)?.get(&format!("/v1/explain/{job}"))?;
    if Format::from_args(args) == Format::Json {
        return print_json(&report);
    }
    let lines = report.decisions.iter().map(|line| format!("{line}\n"));
    print_text(&lines.collect::<String>())
}

/// Sets the log level of a VM.
///
/// # Errors
///
/// Returns an error if the request fails or the VM refuses the level.
pub fn log_level(args: &ArgMatches) -> Result<()> {
    let level = args.get_one::<String>("level");
    let level = level.ok_or_else(|| Error::Other("missing argument LEVEL".to_owned()))?;
    OperatorClient::from_args(args)?.put("/v1/log-level", level)
}

/// Formats a duration given in milliseconds, or `-` if there is none.
fn format_ms(ms: Option<u64>) -> String {
    ms.map_or("-".to_owned(), |ms| {
        format_duration(Duration::from_millis(ms))
    })
}
