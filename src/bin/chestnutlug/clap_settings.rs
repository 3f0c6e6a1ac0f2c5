//! The arguments of `settings`.

use std::path::PathBuf;

use chestnutlug::settings::Overrides;
use clap::{Arg, Command, value_parser};

/// Appended to the help of each subcommand of `settings`.
const EXIT_CODES: &str = "\
Exit codes:
  0  accepted
  1  failed on the way
  2  findings were printed; nothing was accepted";

/// Builds the command `settings`.
pub fn settings() -> Command {
    Command::new("settings")
        .about("Checks the settings of a process")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings file and prints every finding")
        .long_about(
            "Checks a settings file, together with the environment and the arguments, and prints \
             every finding.\n\n\
             An argument goes before the environment, and the environment before the file. The \
             variable of a key is its name in capitals after CHESTNUTLUG_, such as \
             CHESTNUTLUG_STOP_MS.",
        )
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The settings file"),
        )
        .args(Overrides::arguments())
}
