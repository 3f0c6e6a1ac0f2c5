//! The arguments of `local`.

use clap::{Arg, Command, value_parser};

/// Appended to the help of `local`.
const EXIT_CODES: &str = "\
Exit codes:
  0  every invariant held
  1  failed, or an invariant was broken; the report says which";

/// Builds the command `local`.
pub fn local() -> Command {
    Command::new("local")
        .about("Runs a small cell in one process, with a sample of work")
        .long_about(
            "Runs a small cell in one process on embedded stand-ins: a platform, six workers, six \
             backend servers and three entry VMs, with a sample of two organisations' work: \
             rebuilds, sourcing checks and swaps; compiles, heat maps and previews.\n\n\
             The closing report counts, from the stand-ins' own journals, what was lost, done \
             twice or given to a worker beyond what it holds, and shows how long each kind \
             waited. With --format json the last line is one object.",
        )
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .help("How long work is submitted"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The seed of the sample"),
        )
}
