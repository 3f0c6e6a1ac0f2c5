//! `chestnutlug local`: the main job on embedded stand-ins.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinSet;

use super::output::{Format, aligned, print, print_json};
use crate::error::{Error, Result};
use crate::local::callers::{Callers, SubmittedWork};
use crate::local::cell::{CellOptions, LocalCell};
use crate::local::report::{Journals, RunReport};
use crate::local::sample::SampleWorkload;

/// Runs `local`.
///
/// # Errors
///
/// Returns an error where the cell cannot run or an invariant was broken.
pub fn run(args: &ArgMatches) -> Result<()> {
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or(10);
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    crate::log::init("warn", false)?;
    let runtime = tokio::runtime::Runtime::new().map_err(Error::io("start the runtime"))?;
    let report = runtime.block_on(run_cell(Duration::from_secs(seconds), seed))?;
    show(&report, Format::of(args))?;
    match report.is_clean() {
        true => Ok(()),
        false => Err(Error::Invariant(report.verdict.findings.join("; "))),
    }
}

async fn run_cell(length: Duration, seed: u64) -> Result<RunReport> {
    let cell = LocalCell::start(&CellOptions::default()).await?;
    let callers = Callers::new(&cell.caller_addresses());
    let told = submit_all(&callers, length, seed).await;
    let (workers, backends) = (cell.workers.clone(), cell.backends.clone());
    let unclean = cell.stop().await;
    let journals = Journals {
        workers: workers
            .iter()
            .flat_map(|worker| worker.with(|worker| worker.journal().to_vec()))
            .collect(),
        backends: backends.iter().flat_map(|b| b.journal()).collect(),
    };
    Ok(RunReport::new(&told, &journals, unclean))
}

async fn submit_all(callers: &Callers, length: Duration, seed: u64) -> Vec<SubmittedWork> {
    let progress = progress_bar(length);
    let mut sample = SampleWorkload::new(seed);
    let mut under_way = JoinSet::new();
    let mut told = Vec::new();
    let start = Instant::now();
    for turn in 0.. {
        if start.elapsed() >= length {
            break;
        }
        let Some(work) = sample.next() else { break };
        let callers = callers.clone();
        under_way.spawn(async move { callers.submit(turn, work).await });
        tokio::time::sleep(sample.next_interarrival()).await;
        while let Some(Ok(ended)) = under_way.try_join_next() {
            told.push(ended);
        }
        show_progress(&progress, start.elapsed(), told.len(), under_way.len());
    }
    while let Some(ended) = under_way.join_next().await {
        told.extend(ended.ok());
        show_progress(&progress, start.elapsed(), told.len(), under_way.len());
    }
    progress.finish_and_clear();
    told
}

fn progress_bar(length: Duration) -> ProgressBar {
    let bar = ProgressBar::new(length.as_secs());
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} s  {msg}") {
        bar.set_style(style);
    }
    bar
}

fn show_progress(bar: &ProgressBar, elapsed: Duration, ended: usize, under_way: usize) {
    bar.set_position(elapsed.as_secs());
    bar.set_message(format!("{ended} ended, {under_way} under way"));
}

fn show(report: &RunReport, format: Format) -> Result<()> {
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
    print(&format!("{}\n", aligned(["work", "count"], rows)))?;
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
    print(&format!("\n{}\n", aligned(header, rows)))?;
    for finding in &verdict.findings {
        print(&format!("broken: {finding}\n"))?;
    }
    Ok(())
}
