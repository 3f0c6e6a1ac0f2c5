//! Dispatch to the subcommands.

use chestnutlug::command;
use chestnutlug::error::{Error, Result};
use clap::ArgMatches;

use crate::clap_app;
use crate::clap_standin::standin_config_from_args;

/// Runs the subcommand that the arguments name.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("bench", args)) => command::bench::run(args),
        Some(("completions", args)) => completions(args),
        Some(("config", args)) => command::config::run(args),
        Some(("coordinate", args)) => command::coordinate::run(args),
        Some(("local", args)) => command::local::run(args),
        Some(("explain", args)) => command::status::explain(args),
        Some(("jobs", args)) => command::status::jobs(args),
        Some(("log-level", args)) => command::status::log_level(args),
        Some(("report", args)) => command::report::run(args),
        Some(("serve", args)) => command::serve::run(args),
        Some(("settings", args)) => command::settings::run(args),
        Some(("standin", args)) => standin(args),
        Some(("status", args)) => command::status::status(args),
        _ => Err(Error::Other("unknown subcommand".to_owned())),
    }
}

fn standin(args: &ArgMatches) -> Result<()> {
    let config = standin_config_from_args(args)
        .ok_or_else(|| Error::Other("unknown stand-in".to_owned()))?;
    runtime()?.block_on(command::standin::run(config))
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))
}

fn completions(args: &ArgMatches) -> Result<()> {
    let shell = args.get_one::<clap_complete::Shell>("shell").copied();
    let shell = shell.ok_or_else(|| Error::Other("missing argument SHELL".to_owned()))?;
    let mut script = Vec::new();
    clap_complete::generate(
        shell,
        &mut clap_app::build_app(),
        "chestnutlug",
        &mut script,
    );
    command::output::print_text(&String::from_utf8_lossy(&script))
}
