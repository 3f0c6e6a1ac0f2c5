//! The subcommand `report`.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use comfy_table::{Cell, Color};

use super::operators::OperatorClient;
use super::output::{Format, format_duration, print_json, print_text, render_table};
use crate::error::{Error, Result};
use crate::report::{BurnReport, BurnRow, burn_svg};

/// The burn rate that needs the immediate attention of an operator: it exhausts the budget of three
/// days within five hours.
const CRITICAL_BURN_RATE: f64 = 14.4;

/// Runs a subcommand of `report`.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("burn", args)) => burn(args),
        _ => Err(Error::Other("unknown subcommand of `report`".to_owned())),
    }
}

fn burn(args: &ArgMatches) -> Result<()> {
    let report: BurnReport = OperatorClient::from_args(args)?.get("/v1/burn")?;
    if let Some(path) = args.get_one::<PathBuf>("plot") {
        let context = path.display().to_string();
        std::fs::write(path, burn_svg(&report)?).map_err(Error::io(context))?;
    }
    match Format::from_args(args) {
        Format::Json => print_json(&report),
        Format::Text => print_text(&burn_table(&report)),
    }
}

/// Renders a report as a table.
///
/// # Examples
///
/// ```
/// use chestnutlug::command::report::burn_table;
/// use chestnutlug::report::BurnReport;
///
/// let table = burn_table(&BurnReport::default());
/// assert!(table.starts_with("team  kind  objective"));
/// ```
pub fn burn_table(report: &BurnReport) -> String {
    let header = [
        "team",
        "kind",
        "objective",
        "5m",
        "1h",
        "6h",
        "3d",
        "budget left",
        "exhausted in",
    ];
    render_table(header, report.rows.iter().map(burn_row))
}

fn burn_row(row: &BurnRow) -> [Cell; 9] {
    let waiting = format_duration(Duration::from_millis(row.waiting_ms));
    let objective = format!("{}% within {waiting}", percent(row.target));
    let rate = |window: usize| {
        let rate = row.windows.get(window).and_then(|burn| burn.burn_rate);
        match rate {
            None => Cell::new("-"),
            Some(rate) => rate_cell(format!("{rate:.2}"), rate),
        }
    };
    let remaining = row.budget_remaining.map(|fraction| {
        let cell = Cell::new(format!("{}%", percent(fraction)));
        if fraction <= 0.0 {
            cell.fg(Color::Red)
        } else {
            cell
        }
    });
    let exhausted = match row.exhausted_in_s {
        None => "-".to_owned(),
        Some(0) => "now".to_owned(),
        Some(s) => format_duration(Duration::from_secs(s)),
    };
    [
        Cell::new(&row.team),
        Cell::new(&row.kind),
        Cell::new(objective),
        rate(0),
        rate(1),
        rate(2),
        rate(3),
        remaining.unwrap_or_else(|| Cell::new("-")),
        Cell::new(exhausted),
    ]
}

fn rate_cell(text: String, rate: f64) -> Cell {
    let cell = Cell::new(text);
    match rate {
        rate if rate >= CRITICAL_BURN_RATE => cell.fg(Color::Red),
        rate if rate > 1.0 => cell.fg(Color::Yellow),
        _ => cell,
    }
}

/// Formats a fraction as a percentage with at most one decimal.
fn percent(fraction: f64) -> String {
    let text = format!("{:.1}", fraction * 100.0);
    text.strip_suffix(".0").unwrap_or(&text).to_owned()
}
