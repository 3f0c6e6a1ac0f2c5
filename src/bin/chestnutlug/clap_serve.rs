//! The arguments of `serve`.

use std::path::PathBuf;

use chestnutlug::settings::Overrides;
use clap::{Arg, Command, value_parser};

/// Appended to the help of `serve`.
const EXIT_CODES: &str = "\
Exit codes:
  0  stopped as planned
  1  failed, or the stop cut something off
  2  the settings are not acceptable; the findings were printed";

/// Builds the command `serve`.
pub fn serve() -> Command {
    Command::new("serve")
        .about("Runs one entry VM's process")
        .long_about(
            "Runs one entry VM's process until SIGTERM. Any number of them run side by side; none \
             is special.\n\n\
             The first SIGTERM or SIGINT is a planned stop: no new work is taken, shards are \
             handed over, requests in progress are finished. A second one, or `stop_ms` from the \
             settings, ends the process and says what was cut off.\n\n\
             Once it listens it prints a line `callers ADDRESS`, `peers ADDRESS` and `operators \
             ADDRESS` each.",
        )
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The settings file"),
        )
        .args(Overrides::arguments())
}
