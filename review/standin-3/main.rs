//! Stand-ins for the review cases: the platform's store, workers, clients and the platform's process
//! control, in one process that starts the project's coordinators as child processes. Standard library only.
//!
//! Usage: `standin CASE RECORD`, in the root of the repository. Environment: `TROUBLE=0` leaves the
//! disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod case_large;
mod client;
mod http;
mod json;
mod platform;
mod record;
mod store;
mod worker;

use std::process::exit;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Log::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, disruption: {trouble}"));
    platform::end_after(Duration::from_secs(116));
    let outcome = match case.as_str() {
        "large" => case_large::run(record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    let code = match outcome {
        Ok(broken) if broken.is_empty() => {
            record.line("RESULT: the rule held");
            0
        }
        Ok(broken) => {
            for line in broken {
                record.line(&format!("BROKEN: {line}"));
            }
            1
        }
        Err(error) => {
            record.line(&format!("RESULT: the case could not run: {error}"));
            2
        }
    };
    exit(code);
}
