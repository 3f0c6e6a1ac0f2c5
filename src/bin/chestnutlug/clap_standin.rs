//! The arguments of `standin`.

use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutlug::command::standin::StandinConfig;
use chestnutlug::model::Resources;
use clap::{Arg, ArgMatches, Command, value_parser};

const PLATFORM_HELP: &str = "\
Runs a table, an object store and a list of VMs in memory; all is lost with the process.

A POST of a JSON object to /switches brings about faults, such as {\"latency_ms\":100} or \
{\"outage\":true}. GET /counters tells what was read and written.";

const WORKER_HELP: &str = "\
Runs a worker that starts whatever it is given, whether it fits or not.

A POST of a JSON object to /switches brings about faults, such as {\"fail_all\":true}; \
GET /switches shows them all. GET /journal tells what ran when.";

const BACKEND_HELP: &str = "\
Runs a backend server of a service.

On the address of --control, a POST of a JSON object to /switches brings about faults, GET \
/switches shows them all, and GET /journal tells which requests came.";

const EXIT_CODES: &str = "\
Exit codes:
  0  stopped by SIGTERM
  1  failed
  2  the arguments are not acceptable";

/// Builds the command `standin` and its subcommands.
pub fn standin_command() -> Command {
    Command::new("standin")
        .about("Runs an in-memory stand-in for the platform, a worker or a backend server")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("platform")
                .about("Runs a table, an object store and a list of VMs")
                .long_about(PLATFORM_HELP)
                .after_help(EXIT_CODES)
                .arg(address("listen", "Where it listens")),
        )
        .subcommand(
            Command::new("worker")
                .about("Runs a worker that starts whatever it is given")
                .long_about(WORKER_HELP)
                .after_help(EXIT_CODES)
                .arg(address("listen", "Where it listens"))
                .arg(name())
                .arg(number("cpu-milli", "16000", "Thousandths of a core"))
                .arg(number("memory-mib", "65536", "Memory in MiB"))
                .arg(number("accelerators", "0", "Whole accelerators"))
                .arg(journal()),
        )
        .subcommand(
            Command::new("backend")
                .about("Runs a backend server of a service")
                .long_about(BACKEND_HELP)
                .after_help(EXIT_CODES)
                .arg(address("listen", "Where it takes requests"))
                .arg(address("control", "Where it takes switches"))
                .arg(name())
                .arg(number("slots", "8", "Requests at once"))
                .arg(number("connections", "64", "Connections at once"))
                .arg(journal()),
        )
}

/// The options of the stand-in that the arguments select; `None` if they select none or lack one of
/// its options.
pub fn standin_config_from_args(matches: &ArgMatches) -> Option<StandinConfig> {
    let (kind, matches) = matches.subcommand()?;
    let listen = *matches.get_one::<SocketAddr>("listen")?;
    match kind {
        "platform" => Some(StandinConfig::Platform { listen }),
        "worker" => Some(StandinConfig::Worker {
            listen,
            name: matches.get_one::<String>("name")?.as_str().into(),
            capacity: Resources {
                cpu_milli: *matches.get_one("cpu-milli")?,
                memory_mib: *matches.get_one("memory-mib")?,
                accelerators: *matches.get_one("accelerators")?,
            },
            journal: matches.get_one("journal").cloned(),
        }),
        "backend" => Some(StandinConfig::Backend {
            listen,
            control: *matches.get_one("control")?,
            name: matches.get_one::<String>("name")?.as_str().into(),
            slots: *matches.get_one("slots")?,
            connections: u64::from(*matches.get_one::<u32>("connections")?),
            journal: matches.get_one("journal").cloned(),
        }),
        _ => None,
    }
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .help(help)
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
}

fn name() -> Arg {
    Arg::new("name")
        .long("name")
        .value_name("NAME")
        .help("Its name in the journal")
        .required(true)
}

fn journal() -> Arg {
    Arg::new("journal")
        .long("journal")
        .value_name("FILE")
        .help("Append the journal to this file too")
        .value_parser(value_parser!(PathBuf))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u32))
}
