//! The command line of the program.

use clap::{Arg, Command, value_parser};
use clap_complete::Shell;

use crate::{
    clap_bench, clap_config, clap_coordinate, clap_local, clap_serve, clap_settings, clap_standin,
    clap_status,
};

/// Appended to the help of the program.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed: an error on the way, or an invariant was broken
  2  the arguments, the settings or the configuration are not acceptable; nothing was accepted
  3  another operator applied a configuration in between; nothing was written";

/// Builds the command line of the program.
pub fn build_app() -> Command {
    Command::new("chestnutlug")
        .version(clap::crate_version!())
        .about("A cluster scheduler for unlike workloads")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(format())
        .subcommand(clap_bench::bench_command())
        .subcommand(completions())
        .subcommand(clap_config::config())
        .subcommand(clap_coordinate::coordinate())
        .subcommand(clap_status::explain())
        .subcommand(clap_status::jobs())
        .subcommand(clap_local::local())
        .subcommand(clap_status::log_level())
        .subcommand(clap_status::report())
        .subcommand(clap_serve::serve())
        .subcommand(clap_settings::settings())
        .subcommand(clap_standin::standin_command())
        .subcommand(clap_status::status())
}

fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .global(true)
        .value_name("FORMAT")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("The form of the result")
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints a script that completes arguments in a shell")
        .long_about(
            "Prints a script that completes arguments in a shell.\n\n\
             For bash: chestnutlug completions bash > \
             ~/.local/share/bash-completion/completions/chestnutlug",
        )
        .arg(
            Arg::new("shell")
                .required(true)
                .value_name("SHELL")
                .value_parser(value_parser!(Shell)),
        )
}
