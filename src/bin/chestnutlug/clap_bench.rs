//! The arguments of `bench`.

use chestnutlug::bench::policy::Case;
use clap::builder::PossibleValuesParser;
use clap::{Arg, Command, value_parser};

const EXIT_CODES: &str = "\
Exit codes:
  0  measured; the result says how it went
  1  failed
  2  the arguments are not acceptable";

/// Builds the command `bench` and its subcommands.
pub fn bench_command() -> Command {
    let subcommands = [
        burn_command(),
        decide_command(),
        gang_command(),
        node_command(),
        path_command(),
        place_command(),
        policy_command(),
        spread_command(),
    ];
    Command::new("bench")
        .about("Measures decisions, the path of requests, one VM, and the spread of edits")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(subcommands.map(|subcommand| subcommand.after_help(EXIT_CODES)))
}

fn decide_command() -> Command {
    Command::new("decide")
        .about("Measures the speed of decisions on one core")
        .arg(positive_number("workers", "1300", "Workers"))
        .arg(positive_number(
            "running",
            "22000",
            "Tasks that run throughout",
        ))
        .arg(positive_number("teams", "670", "Teams"))
}

fn gang_command() -> Command {
    Command::new("gang")
        .about("Measures all-at-once jobs over several shards, in one process on stand-ins")
        .arg(positive_number("workers", "8", "Workers of 16 cores"))
        .arg(positive_number(
            "shards",
            "2",
            "Shards that the workers form",
        ))
        .arg(positive_number(
            "platform-ms",
            "10",
            "How long each use of the platform takes, in ms",
        ))
        .arg(positive_number("gangs", "20", "Gangs, one after the other"))
        .arg(positive_number(
            "gang-percent",
            "60",
            "The part of all processors that a gang needs, in hundredths",
        ))
        .arg(number_or_zero(
            "load-percent",
            "0",
            "The part of all processors that other work keeps busy, in hundredths",
        ))
}

fn node_command() -> Command {
    Command::new("node")
        .about("Measures what one entry VM exchanges and uses, in one process on stand-ins")
        .arg(positive_number("vms", "7", "Entry VMs"))
        .arg(number_or_zero("workers", "0", "Workers of 16 cores"))
        .arg(positive_number(
            "shards",
            "1",
            "Shards that the workers form",
        ))
        .arg(number_or_zero("running", "0", "Tasks that run throughout"))
        .arg(number_or_zero(
            "starts-per-s",
            "0",
            "Tasks a second that start while it is measured",
        ))
        .arg(positive_number("seconds", "10", "How long it is measured"))
}

fn place_command() -> Command {
    Command::new("place")
        .about("Measures placements a second end to end, in one process on stand-ins")
        .arg(positive_number("vms", "3", "Entry VMs"))
        .arg(positive_number("workers", "60", "Workers of 16 cores"))
        .arg(positive_number(
            "shards",
            "3",
            "Shards that the workers form",
        ))
        .arg(positive_number(
            "platform-ms",
            "10",
            "How long each use of the platform takes, in ms",
        ))
        .arg(positive_number(
            "writes-per-s",
            "300",
            "Transactions a second that the table takes",
        ))
        .arg(positive_number(
            "tasks-per-s",
            "3300",
            "Tasks a second that are submitted",
        ))
        .arg(positive_number(
            "seconds",
            "10",
            "How long work is submitted",
        ))
}

fn path_command() -> Command {
    Command::new("path")
        .about("Measures what the system adds to requests, beside direct ones")
        .arg(positive_number("rate", "2000", "Requests a second"))
        .arg(positive_number(
            "seconds",
            "6",
            "Seconds for each of direct and passed-on requests",
        ))
        .arg(positive_number(
            "saturation",
            "64",
            "Requests under way at saturation",
        ))
}

fn policy_command() -> Command {
    let names = Case::ALL.map(Case::name);
    Command::new("policy")
        .about("Measures what the decisions bring about, beside two baselines, in virtual time")
        .arg(
            Arg::new("case")
                .long("case")
                .value_name("NAME")
                .required(true)
                .value_parser(PossibleValuesParser::new(names))
                .help("The case"),
        )
        .arg(positive_number(
            "workers",
            "50",
            "Workers of 16 cores and 64 GiB",
        ))
        .arg(positive_number("teams", "40", "Teams"))
        .arg(positive_number("seed", "1", "The seed of the work"))
}

fn burn_command() -> Command {
    Command::new("burn")
        .about("Measures what keeping the service-level counts costs, in virtual time")
        .arg(positive_number("vms", "7", "Entry VMs"))
        .arg(positive_number("teams", "670", "Teams"))
        .arg(positive_number("jobs-per-day", "7900", "Jobs a day"))
        .arg(positive_number(
            "replaced-per-day",
            "200",
            "VMs that are replaced a day",
        ))
        .arg(positive_number("hours", "24", "Virtual hours"))
        .arg(positive_number("seed", "1", "The seed of the work"))
}

fn spread_command() -> Command {
    Command::new("spread")
        .about("Measures how long an edit takes to be in force on the last VM")
        .arg(positive_number("vms", "7", "Entry VMs"))
        .arg(positive_number(
            "teams",
            "670",
            "Teams of the configuration",
        ))
        .arg(positive_number("edits", "20", "Edits in each case"))
        .arg(positive_number(
            "slow-ms",
            "100",
            "How long each use of the platform takes where it is slow, in ms",
        ))
        .arg(positive_number(
            "load-per-s",
            "200",
            "Jobs and requests a second under load",
        ))
}

fn number_or_zero(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    positive_number(name, default, help).value_parser(value_parser!(u32))
}

fn positive_number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32).range(1..))
        .help(help)
}
