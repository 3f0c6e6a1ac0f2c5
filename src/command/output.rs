//! Output of the commands.

use std::io::{self, Write};
use std::time::Duration;

use clap::ArgMatches;
use comfy_table::{Cell, Table, presets};
use serde::Serialize;

use crate::config::Findings;
use crate::error::{Error, Result};

/// The output format of a command's result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object on one line.
    Json,
}

impl Format {
    /// The format that the arguments select.
    pub fn from_args(args: &ArgMatches) -> Self {
        match args.get_one::<String>("format").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Text,
        }
    }
}

/// Writes `text` to standard output. A broken pipe is not an error, because it means that the reader
/// needs no more output.
///
/// # Errors
///
/// Returns an error if the output cannot be written.
pub fn print_text(text: &str) -> Result<()> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result.map_err(Error::io("cannot write to standard output")),
    }
}

/// Writes `value` to standard output as one line of JSON.
///
/// # Errors
///
/// Returns an error if `value` cannot be serialized or the output cannot be written.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    let line = serde_json::to_string(value).map_err(|error| Error::Other(error.to_string()))?;
    print_text(&format!("{line}\n"))
}

/// Renders a table without borders. Colours are emitted only to a terminal, and not if `NO_COLOR` is
/// set.
pub fn render_table<const N: usize, C: Into<Cell>>(
    header: [&str; N],
    rows: impl IntoIterator<Item = [C; N]>,
) -> String {
    /// The number of spaces between two columns.
    const COLUMN_GAP: u16 = 2;
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    if std::env::var_os("NO_COLOR").is_some() {
        table.force_no_tty();
    }
    table.set_header(header);
    table.add_rows(rows);
    for column in table.column_iter_mut() {
        column.set_padding((0, COLUMN_GAP));
    }
    table.trim_fmt() + "\n"
}

/// Formats a duration with at most two units.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::command::output::format_duration;
///
/// assert_eq!(format_duration(Duration::from_millis(2_700)), "2s 700ms");
/// assert_eq!(format_duration(Duration::from_secs(3_725)), "1h 2m");
/// assert_eq!(format_duration(Duration::from_secs(260_000)), "3days");
/// ```
pub fn format_duration(duration: Duration) -> String {
    const MINUTE_S: u64 = 60;
    const HOUR_S: u64 = 60 * MINUTE_S;
    const DAY_S: u64 = 24 * HOUR_S;
    let seconds = duration.as_secs();
    let shown = match seconds {
        0..MINUTE_S => Duration::from_millis(duration.as_millis() as u64),
        MINUTE_S..HOUR_S => Duration::from_secs(seconds),
        HOUR_S..DAY_S => Duration::from_secs(seconds - seconds % MINUTE_S),
        _ => Duration::from_secs(seconds - seconds % HOUR_S),
    };
    humantime::format_duration(shown).to_string()
}

/// Prints the findings in an input and returns the error that ends the command.
///
/// # Errors
///
/// Always returns an error: [`Error::Findings`], or that of writing the output.
pub fn report_findings<T>(findings: &Findings, format: Format) -> Result<T> {
    match format {
        Format::Text => print_text(&findings.to_string())?,
        Format::Json => {
            let report = serde_json::json!({ "accepted": false, "findings": findings });
            print_json(&report)?;
        }
    }
    Err(Error::Findings {
        count: findings.len(),
    })
}
