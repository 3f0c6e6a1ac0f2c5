//! The arguments of `config`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Appended to the help of each subcommand of `config`.
const EXIT_CODES: &str = "\
Exit codes:
  0  accepted
  1  failed on the way
  2  findings were printed; nothing was accepted
  3  another operator applied a version in between; nothing was written";

/// Builds the command `config`.
pub fn config() -> Command {
    Command::new("config")
        .about("Checks, shows and applies the configuration of a cell")
        .long_about(
            "Checks, shows and applies the configuration of a cell.\n\n\
             The configuration is a folder of TOML files, merged in the order of their names: a \
             later file refines an earlier one key by key.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(show())
        .subcommand(apply())
        .subcommand(watch())
        .subcommand(history())
        .subcommand(diff())
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a folder and prints every finding")
        .long_about(
            "Checks a folder and prints every finding of all files together, each as\n\
             FILE:LINE:COLUMN: what is wrong; why; what would be accepted",
        )
        .after_help(EXIT_CODES)
        .arg(dir())
}

fn show() -> Command {
    Command::new("show")
        .about("Prints the merged values, each with the place that set it")
        .after_help(EXIT_CODES)
        .arg(dir())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Writes the folder as a new version")
        .long_about(
            "Checks the folder, prints what it changes, and writes it as a new version, provided \
             that the version on which the folder is based is still in force. Otherwise both \
             differences are printed and nothing is written.\n\n\
             The folder notes the version on which it is based in the file .chestnutlug-base.",
        )
        .after_help(EXIT_CODES)
        .arg(dir())
        .arg(platform())
        .arg(author())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("The version on which the folder is based, in place of the noted one"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Prints what would change and writes nothing"),
        )
}

fn watch() -> Command {
    Command::new("watch")
        .about("Applies the folder on each edit, until it is stopped")
        .after_help(EXIT_CODES)
        .arg(dir())
        .arg(platform())
        .arg(author())
}

fn history() -> Command {
    Command::new("history")
        .about("Prints who applied which version, and when")
        .after_help(EXIT_CODES)
        .arg(platform())
}

fn diff() -> Command {
    let version = |id: &'static str| {
        Arg::new(id)
            .required(true)
            .value_name("VERSION")
            .value_parser(value_parser!(u64))
    };
    Command::new("diff")
        .about("Prints what differs between two versions")
        .after_help(EXIT_CODES)
        .arg(version("before").help("The earlier version; 0 is the empty one"))
        .arg(version("after").help("The later version"))
        .arg(platform())
}

fn platform() -> Arg {
    Arg::new("platform")
        .long("platform")
        .required(true)
        .value_name("ADDRESS")
        .env("CHESTNUTLUG_PLATFORM")
        .value_parser(value_parser!(SocketAddr))
        .help("Where the platform answers, as IP:port")
}

fn author() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .env("USER")
        .default_value("unknown")
        .help("Who applies the version")
}

fn dir() -> Arg {
    Arg::new("dir")
        .required(true)
        .value_name("DIR")
        .value_parser(value_parser!(PathBuf))
        .help("The folder that holds the *.toml files")
}
