//! The stand-ins of the second review: the platform's store, workers and clients around the project's own
//! processes. Usage: `standin-2 SCENARIO RECORD`. Exit codes: 0 the rule held, 1 it was broken, 2 the case
//! could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cell;
mod fleet;
mod http;
mod json;
mod random;
mod record;
mod scenarios;
mod soak;
mod store;

/// A case has to end within 120 s.
const MAX_DURATION: std::time::Duration = std::time::Duration::from_secs(112);

fn run(scenario: &str, record: &str, trouble: bool) -> scenarios::Outcome {
    match scenario {
        "dark-workers" => scenarios::dark_workers(trouble, record),
        "other-kind" => scenarios::other_kind(trouble, record),
        "kept-room" => scenarios::kept_room(trouble, record),
        "soak" => soak::run(trouble, record),
        _ => scenarios::Outcome::CannotRun("unknown scenario".to_owned()),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = args.as_slice() else {
        eprintln!("usage: standin-2 SCENARIO RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if scenario != "soak" {
        std::thread::spawn(|| {
            std::thread::sleep(MAX_DURATION);
            println!("cannot run: the case takes too long");
            cell::kill_all();
            std::process::exit(2);
        });
    }
    let outcome = std::panic::catch_unwind(|| run(scenario, record, trouble));
    cell::kill_all();
    let outcome = outcome.unwrap_or_else(|_| scenarios::Outcome::CannotRun("a panic".to_owned()));
    let (code, text) = match outcome {
        scenarios::Outcome::Held(text) => (0, format!("held: {text}")),
        scenarios::Outcome::Broken(text) => (1, format!("broken: {text}")),
        scenarios::Outcome::CannotRun(text) => (2, format!("cannot run: {text}")),
    };
    println!("{text}");
    if let Ok(mut file) = std::fs::OpenOptions::new().append(true).open(record) {
        let _ = std::io::Write::write_all(&mut file, format!("{text}\n").as_bytes());
    }
    std::process::exit(code);
}
