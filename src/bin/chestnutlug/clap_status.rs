//! The arguments of the commands that send requests to the operators' listener of a VM.

use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutlug::model::JobId;
use clap::{Arg, Command, value_parser};

/// Appended to the help of each of these commands.
const EXIT_CODES: &str = "\
Exit codes:
  0  answered
  1  the VM did not answer, or refused the call
  2  the arguments are not acceptable";

/// Builds the command `status`.
pub fn status() -> Command {
    operator_command("status")
        .about("Shows the cell as one VM sees it")
        .long_about(
            "Shows the cell as one VM sees it: the VMs with their configuration versions, the \
             shards with their owners and queues, workers that are set aside, and why each \
             waiting job waits.",
        )
}

/// Builds the command `jobs`.
pub fn jobs() -> Command {
    operator_command("jobs").about("Lists the jobs that have not ended")
}

/// Builds the command `explain`.
pub fn explain() -> Command {
    operator_command("explain")
        .about("Shows the decisions taken on a job, in order")
        .arg(
            Arg::new("job")
                .required(true)
                .value_name("JOB")
                .value_parser(value_parser!(JobId))
                .help("The job, as SHARD.NUMBER"),
        )
}

/// Builds the command `log-level`.
pub fn log_level() -> Command {
    operator_command("log-level")
        .about("Sets the level of a VM's logs until it stops")
        .arg(
            Arg::new("level")
                .required(true)
                .value_name("LEVEL")
                .help("The level, in the syntax of RUST_LOG"),
        )
}

/// Builds the command `report`.
pub fn report() -> Command {
    Command::new("report")
        .about("Reports on the work of the last days")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(burn())
}

fn burn() -> Command {
    operator_command("burn")
        .about("Reports the service-level burn by team and kind")
        .long_about(
            "Reports the service-level burn by team and kind: how fast the error budget is used \
             over several windows, what remains of it, and how long it lasts at the rate of the \
             last hour. A rate of 1 uses exactly all of it in three days.",
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draws the burn rates of the last hours into an SVG file"),
        )
}

/// Builds a command with the arguments that select and authenticate to an operators' listener.
fn operator_command(name: &'static str) -> Command {
    Command::new(name)
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("operators")
                .long("operators")
                .required(true)
                .value_name("ADDRESS")
                .env("CHESTNUTLUG_OPERATORS")
                .value_parser(value_parser!(SocketAddr))
                .help("The operators' listener of any VM, as IP:port"),
        )
        .arg(
            Arg::new("secret-file")
                .long("secret-file")
                .required(true)
                .value_name("FILE")
                .env("CHESTNUTLUG_SECRET_FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The file that holds the shared secret"),
        )
}
