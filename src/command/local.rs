//! The subcommand `local`.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinSet;

use super::output::{Format, print_json, print_text, render_table};
use crate::error::{Error, Result};
use crate::local::callers::{Callers, SubmittedWork};
use crate::local::cell::{CellOptions, LocalCell};
use crate::local::report::{Journals, RunReport};
use crate::local::sample::SampleWorkload;

/// Runs a cell on embedded stand-ins in this process, submits sample work to it and prints a report.
///
/// # Errors
///
/// Returns an error if the cell cannot be started or an invariant was violated.
pub fn run(args: &ArgMatches) -> Result<()> {
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or(10);
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    crate::log::init("warn", false)?;
    let runtime =
        tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))?;
    let report = runtime.block_on(run_cell(Duration::from_secs(seconds), seed))?;
    print_report(&report, Format::from_args(args))?;
    match report.is_clean() {
        true => Ok(()),
        false => Err(Error::Invariant(report.verdict.findings.join("; "))),
    }
}

async fn run_cell(duration: Duration, seed: u64) -> Result<RunReport> {
    let cell = LocalCell::start(&CellOptions::default()).await?;
    let callers = Callers::new(&cell.caller_addresses());
    let submitted = submit_all(&callers, duration, seed).await;
    let (workers, backends) = (cell.workers.clone(), cell.backends.clone());
    let unclean_stops = cell.stop().await;
    let journals = Journals {
        workers: workers
            .iter()
            .flat_map(|worker| worker.with(|worker| worker.journal().to_vec()))
            .collect(),
        backends: backends.iter().flat_map(|b| b.journal()).collect(),
    };
    Ok(RunReport::new(&submitted, &journals, unclean_stops))
}

async fn submit_all(callers: &Callers, duration: Duration, seed: u64) -> Vec<SubmittedWork> {
    let progress = progress_bar(duration);
    let mut sample = SampleWorkload::new(seed);
    let mut in_flight = JoinSet::new();
    let mut ended = Vec::new();
    let start = Instant::now();
    for index in 0.. {
        if start.elapsed() >= duration {
            break;
        }
        let Some(work) = sample.next() else { break };
        let callers = callers.clone();
        in_flight.spawn(async move { callers.submit(index, work).await });
        tokio::time::sleep(sample.next_interarrival()).await;
        while let Some(Ok(work)) = in_flight.try_join_next() {
            ended.push(work);
        }
        show_progress(&progress, start.elapsed(), ended.len(), in_flight.len());
    }
    while let Some(work) = in_flight.join_next().await {
        ended.extend(work.ok());
        show_progress(&progress, start.elapsed(), ended.len(), in_flight.len());
    }
    progress.finish_and_clear();
    ended
}

fn progress_bar(duration: Duration) -> ProgressBar {
    let bar = ProgressBar::new(duration.as_secs());
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} s  {msg}") {
        bar.set_style(style);
    }
    bar
}

fn show_progress(bar: &ProgressBar, elapsed: Duration, ended: usize, in_flight: usize) {
    bar.set_position(elapsed.as_secs());
    bar.set_message(format!("{ended} ended, {in_flight} under way"));
}

fn print_report(report: &RunReport, format: Format) -> Result<()> {
    if format == Format::Json {
        return print_json(report);
    }
    let verdict = &report.verdict;
    let counts = [
        ("submitted", verdict.submitted),
        ("finished", verdict.finished),
        ("refused", verdict.refused),
        ("unknown", verdict.unknown),
        ("lost", verdict.lost),
        ("doubled", verdict.doubled),
        ("overcommitted", verdict.overcommitted),
    ];
    let rows = counts.map(|(name, count)| [name.to_owned(), count.to_string()]);
    print_text(&format!("{}\n", render_table(["work", "count"], rows)))?;
    let rows = report.waiting.iter().map(|(kind, waiting)| {
        [
            kind.clone(),
            waiting.count.to_string(),
            format!("{:.1} ms", waiting.p50_ms),
            format!("{:.1} ms", waiting.p99_ms),
            format!("{:.1} ms", waiting.max_ms),
        ]
    });
    let header = ["kind", "began", "waited p50", "p99", "longest"];
    print_text(&format!("\n{}\n", render_table(header, rows)))?;
    for finding in &verdict.findings {
        print_text(&format!("broken: {finding}\n"))?;
    }
    Ok(())
}
