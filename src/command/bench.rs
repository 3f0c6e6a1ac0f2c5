//! The subcommand `bench`.

use std::time::Duration;

use clap::ArgMatches;
use comfy_table::Table;

use super::output::{Format, print_json, print_text};
use crate::bench::policy::{self, Case};
use crate::bench::{burn, decide, gang, node, path, place, spread};
use crate::error::{Error, Result};
use crate::local::cell::CellOptions;

/// Runs a subcommand of `bench`.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("decide", args)) => bench_decide(args),
        Some(("gang", args)) => bench_gang(args),
        Some(("node", args)) => bench_node(args),
        Some(("place", args)) => bench_place(args),
        Some(("path", args)) => bench_path(args),
        Some(("burn", args)) => bench_burn(args),
        Some(("spread", args)) => bench_spread(args),
        Some(("policy", args)) => bench_policy(args),
        _ => Err(Error::Other("unknown subcommand of `bench`".to_owned())),
    }
}

fn bench_decide(args: &ArgMatches) -> Result<()> {
    let workers = number(args, "workers");
    let running = number(args, "running");
    let report = decide::run(workers, running, number(args, "teams"));
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", decide_table(&report))),
    }
}

fn bench_gang(args: &ArgMatches) -> Result<()> {
    let params = gang::Params {
        cell: CellOptions {
            workers: number(args, "workers") as usize,
            shards: number(args, "shards") as usize,
            backends: 1,
            platform_latency_ms: number(args, "platform-ms").into(),
            ..CellOptions::default()
        },
        gangs: number(args, "gangs"),
        gang_percent: number(args, "gang-percent"),
        load_percent: number(args, "load-percent"),
    };
    let runtime =
        tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))?;
    let report = runtime.block_on(gang::run(&params))?;
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", gang_table(&report))),
    }
}

fn gang_table(report: &gang::Report) -> Table {
    let mut table = Table::new();
    table.set_header([
        "tasks",
        "all started p50 (ms)",
        "longest (ms)",
        "writes/gang",
        "not finished",
        "others finished",
    ]);
    table.add_row([
        report.tasks.to_string(),
        format!("{:.1}", report.start_p50_ms),
        format!("{:.1}", report.start_max_ms),
        format!("{:.1}", report.writes_per_gang),
        report.not_finished.to_string(),
        report.others_finished.to_string(),
    ]);
    table
}

fn bench_node(args: &ArgMatches) -> Result<()> {
    let params = node::Params {
        cell: CellOptions {
            vms: number(args, "vms") as usize,
            workers: number(args, "workers") as usize,
            shards: number(args, "shards") as usize,
            backends: 1,
            ..CellOptions::default()
        },
        running_tasks: number(args, "running"),
        starts_per_s: number(args, "starts-per-s"),
        duration: Duration::from_secs(number(args, "seconds").into()),
    };
    let report = node::run(&params)?;
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", node_table(&report))),
    }
}

fn node_table(report: &node::Report) -> Table {
    let mut table = Table::new();
    table.set_header(["of one VM", "messages/s", "bytes/s", "with TCP and IP"]);
    for traffic in &report.destinations {
        table.add_row([
            traffic.destination.to_owned(),
            format!("{:.1}", traffic.messages_per_s),
            format!("{:.0}", traffic.bytes_per_s),
            format!("{:.0}", traffic.wire_bytes_per_s),
        ]);
    }
    let total = format!("{:.0}", report.wire_bytes_per_s);
    table.add_row(["all", "", "", &total]);
    let core = format!("{:.2} %", report.core_percent);
    table.add_row(["share of a core", "", "", &core]);
    table
}

fn bench_place(args: &ArgMatches) -> Result<()> {
    let params = place::Params {
        cell: CellOptions {
            vms: number(args, "vms") as usize,
            workers: number(args, "workers") as usize,
            shards: number(args, "shards") as usize,
            backends: 1,
            platform_latency_ms: number(args, "platform-ms").into(),
            writes_per_s: Some(number(args, "writes-per-s")),
            ..CellOptions::default()
        },
        tasks_per_s: number(args, "tasks-per-s"),
        duration: Duration::from_secs(number(args, "seconds").into()),
    };
    let runtime =
        tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))?;
    let report = runtime.block_on(place::run(&params))?;
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", place_table(&report))),
    }
}

fn place_table(report: &place::Report) -> Table {
    let mut table = Table::new();
    table.set_header([
        "offered/s",
        "placements/s",
        "start p50 (ms)",
        "start p99 (ms)",
        "writes/s",
        "share of writes",
        "rows/write",
        "not finished",
    ]);
    let share = report.write_share;
    table.add_row([
        format!("{:.0}", report.offered_per_s),
        format!("{:.0}", report.placements_per_s),
        format!("{:.1}", report.start_p50_ms),
        format!("{:.1}", report.start_p99_ms),
        format!("{:.0}", report.writes_per_s),
        share.map_or_else(|| "-".to_owned(), |share| format!("{share:.2}")),
        format!("{:.1}", report.rows_per_write),
        report.not_finished.to_string(),
    ]);
    table
}

fn bench_burn(args: &ArgMatches) -> Result<()> {
    let params = burn::Params {
        vms: number(args, "vms") as usize,
        teams: number(args, "teams"),
        jobs_per_day: number(args, "jobs-per-day"),
        replaced_per_day: number(args, "replaced-per-day"),
        hours: number(args, "hours"),
        seed: number(args, "seed").into(),
    };
    let runtime =
        tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))?;
    let report = runtime.block_on(burn::run(&params))?;
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", burn_table(&report))),
    }
}

fn burn_table(report: &burn::Report) -> Table {
    let mut table = Table::new();
    table.set_header([
        "written B/s a VM",
        "writes/s",
        "reads/s",
        "rows, most",
        "bytes of rows",
        "largest row (B)",
    ]);
    table.add_row([
        format!("{:.1}", report.written_bytes_per_s_vm),
        format!("{:.3}", report.writes_per_s),
        format!("{:.3}", report.reads_per_s),
        report.rows_max.to_string(),
        report.row_bytes.to_string(),
        report.largest_row_bytes.to_string(),
    ]);
    table
}

fn bench_spread(args: &ArgMatches) -> Result<()> {
    let params = spread::Params {
        vms: number(args, "vms") as usize,
        teams: number(args, "teams"),
        edits: number(args, "edits"),
        slow_latency_ms: number(args, "slow-ms").into(),
        load_per_s: number(args, "load-per-s"),
    };
    let runtime =
        tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))?;
    let report = runtime.block_on(spread::run(&params))?;
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", spread_table(&report))),
    }
}

fn spread_table(report: &spread::Report) -> Table {
    let mut table = Table::new();
    table.set_header([
        "case",
        "edits",
        "median (ms)",
        "slowest (ms)",
        "over 4 s",
        "work finished",
        "not finished",
    ]);
    for case in &report.cases {
        table.add_row([
            case.case.to_owned(),
            case.edits.to_string(),
            format!("{:.0}", case.median_ms),
            format!("{:.0}", case.max_ms),
            case.late.to_string(),
            case.work_finished.to_string(),
            case.work_not_finished.to_string(),
        ]);
    }
    table
}

fn bench_policy(args: &ArgMatches) -> Result<()> {
    let name = args.get_one::<String>("case");
    let case = name.and_then(|name| name.parse::<Case>().ok());
    let case = case.ok_or_else(|| Error::Other("missing argument --case".to_owned()))?;
    let params = policy::Params {
        workers: number(args, "workers"),
        teams: number(args, "teams"),
        seed: number(args, "seed").into(),
    };
    let report = policy::run_case(case, &params);
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", policy_table(&report))),
    }
}

fn bench_path(args: &ArgMatches) -> Result<()> {
    let params = path::Params {
        rate_per_s: number(args, "rate"),
        duration: Duration::from_secs(number(args, "seconds").into()),
        saturation_concurrency: number(args, "saturation"),
    };
    let runtime =
        tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))?;
    let report = runtime.block_on(path::run(&params))?;
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&format!("{}\n", path_table(&report))),
    }
}

/// The value of a numeric argument; 0 if it is absent.
fn number(args: &ArgMatches, name: &str) -> u32 {
    args.get_one(name).copied().unwrap_or_default()
}

fn decide_table(report: &decide::Report) -> Table {
    let mut table = Table::new();
    table.set_header([
        "workers",
        "running",
        "teams",
        "placements/s",
        "p50 (us)",
        "p99 (us)",
        "max (us)",
    ]);
    table.add_row([
        report.workers.to_string(),
        report.running.to_string(),
        report.teams.to_string(),
        format!("{:.0}", report.placements_per_s),
        format!("{:.1}", report.p50_us),
        format!("{:.1}", report.p99_us),
        format!("{:.1}", report.max_us),
    ]);
    table
}

fn path_table(report: &path::Report) -> Table {
    let mut table = Table::new();
    table.set_header(["route", "answered", "failed", "p50 (us)", "p99 (us)"]);
    let routes = [
        ("direct", &report.direct),
        ("through all VMs", &report.through),
        ("through the owner", &report.through_owner),
        ("through other VMs", &report.through_others),
        ("  asking each time", &report.asking_each),
    ];
    for (name, latencies) in routes {
        table.add_row([
            name.to_owned(),
            latencies.answered.to_string(),
            latencies.failed.to_string(),
            latencies.p50_us.to_string(),
            latencies.p99_us.to_string(),
        ]);
    }
    let (p50, p99) = (report.added_p50_ms, report.added_p99_ms);
    table.add_row([
        "added (ms)",
        "",
        "",
        &format!("{p50:.3}"),
        &format!("{p99:.3}"),
    ]);
    let per_s = |name: &str, value: f64| [name.to_owned(), format!("{value:.0}/s")];
    table.add_row(per_s("saturated, direct", report.saturated_direct_per_s));
    table.add_row(per_s("saturated, one VM", report.saturated_vm_per_s));
    table
}

fn policy_table(report: &policy::Report) -> Table {
    let mut table = Table::new();
    let names = report.policies.keys().map(|name| (*name).to_owned());
    let header = std::iter::once(report.case.to_owned()).chain(names);
    table.set_header(header);
    let optional = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |v| format!("{v:.3}"));
    type FormatCell<'a> = &'a dyn Fn(&policy::PolicyReport) -> String;
    let rows: [(&str, FormatCell); 9] = [
        ("overcommitted", &|r| r.overcommitted.to_string()),
        ("urgent p99 (s)", &|r| format!("{:.3}", r.urgent_p99_s)),
        ("kept share, least", &|r| optional(r.kept_share_min)),
        ("preview p99 ratio", &|r| optional(r.preview_p99_ratio)),
        ("packing", &|r| format!("{:.3}", r.packing)),
        ("useful share", &|r| optional(r.useful_share)),
        ("useful cores", &|r| format!("{:.1}", r.useful_cores)),
        ("gave way", &|r| r.preempted.to_string()),
        ("refused", &|r| r.refused.to_string()),
    ];
    for (name, format_cell) in rows {
        let cells = report.policies.values().map(format_cell);
        table.add_row(std::iter::once(name.to_owned()).chain(cells));
    }
    add_waiting_rows(&mut table, report);
    table
}

/// Adds a row of waiting times for each kind. All policies report the same kinds.
fn add_waiting_rows(table: &mut Table, report: &policy::Report) {
    let first = report.policies.values().next().map(|first| &first.waiting);
    for kind in first.into_iter().flat_map(|waiting| waiting.keys()) {
        let cells = report.policies.values().map(|policy| {
            let waiting = &policy.waiting[kind];
            format!("{:.2} / {:.2}", waiting.p50_s, waiting.p99_s)
        });
        let name = format!("{kind}: wait p50 / p99 (s)");
        table.add_row(std::iter::once(name).chain(cells));
    }
}
