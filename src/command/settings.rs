//! The subcommand `settings`.

use std::path::PathBuf;

use clap::ArgMatches;

use super::output::{Format, print_json, print_text, report_findings};
use crate::error::{Error, Result};
use crate::settings::{Overrides, Settings};

/// Runs a subcommand of `settings`.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("check", args)) => check(args),
        _ => Err(Error::Other("unknown subcommand of `settings`".to_owned())),
    }
}

fn check(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("file");
    let path = path.ok_or_else(|| Error::Other("missing argument FILE".to_owned()))?;
    let format = Format::from_args(args);
    let settings = match Settings::load(path, &Overrides::from_process(args)) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(&findings, format),
    };
    match format {
        Format::Text => {
            let text = toml::to_string(&settings).map_err(|e| Error::Other(e.to_string()))?;
            print_text(&format!("accepted:\n{text}"))
        }
        Format::Json => print_json(&serde_json::json!({
            "accepted": true,
            "findings": [],
            "settings": settings,
        })),
    }
}
