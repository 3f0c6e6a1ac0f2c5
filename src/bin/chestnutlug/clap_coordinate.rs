//! The arguments of `coordinate`.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// Appended to the help of `coordinate`.
const EXIT_CODES: &str = "\
Exit codes:
  0  stopped as planned
  1  failed";

/// Builds the command `coordinate`.
pub fn coordinate() -> Command {
    Command::new("coordinate")
        .about("Runs one VM that runs workflows on the users' platform")
        .long_about(
            "Runs one VM that runs workflows on the users' platform, until SIGTERM. Any number of \
             them run side by side; none is special.\n\n\
             SIGTERM or SIGINT is a planned stop: the workflows are handed over if this VM owns \
             them, callers are asked to reconnect elsewhere, and requests in progress are finished.\n\n\
             Logs are JSON lines on standard output.",
        )
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .env("CHESTNUTLUG_SETTINGS")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The settings file"),
        )
}
