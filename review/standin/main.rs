//! The cases that are scripts: stand-ins of the platform's store, the workers and the clients in one
//! process, and the system's own processes beside it.
//!
//! `standin CASE FOLDER ROOT` plays CASE with the build in ROOT and writes FOLDER/record.txt. Exits with
//! 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod cases;
mod cell;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use cell::Cell;
use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER ROOT");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    /// The machines and the workers of the deployment on the sheet.
    const MACHINES: usize = 7;
    const WORKERS: usize = 48;
    let (workers, rare) = match case.as_str() {
        "label" => (cases::LABEL_WORKERS, &cases::LABEL_RARE[..]),
        _ => (WORKERS, &[][..]),
    };
    let Ok(root) = Path::new(root).canonicalize() else {
        record.say("there is no such build folder");
        return ExitCode::from(2);
    };
    let Some(cell) = Cell::start(&root, MACHINES, workers, rare, record.clone()) else {
        record.say("the system does not become ready");
        return ExitCode::from(2);
    };
    let found = match case.as_str() {
        "wide" => cases::wide(&cell, trouble),
        "lasting" => cases::lasting(&cell, trouble),
        "gang" => cases::gang(&cell, trouble),
        "grow" => cases::grow(&cell, trouble),
        "waiting" => cases::waiting(&cell, trouble),
        "label" => cases::label(&cell, trouble),
        "aged" => cases::aged(&cell, trouble),
        _ => None,
    };
    match found {
        Some(broken) if !broken.is_empty() => {
            for line in &broken {
                record.say(&format!("BROKEN {line}"));
            }
            ExitCode::from(1)
        }
        Some(_) => {
            record.say("the rule holds");
            ExitCode::SUCCESS
        }
        None => {
            record.say("the case cannot run");
            ExitCode::from(2)
        }
    }
}
