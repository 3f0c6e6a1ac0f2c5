//! The subcommand `config`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde::Serialize;
use toml::Value;

use super::config_versions;
use super::output::{Format, print_json, print_text, report_findings};
use crate::config::{self, CellConfig, KeyPath, LoadedConfig, SourceLocation};
use crate::error::{Error, Result};

/// Runs a subcommand of `config`.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("check", args)) => check(&dir(args)?, Format::from_args(args)),
        Some(("show", args)) => show(&dir(args)?, Format::from_args(args)),
        Some(("apply", args)) => config_versions::apply(&dir(args)?, args),
        Some(("watch", args)) => config_versions::watch(&dir(args)?, args),
        Some(("history", args)) => config_versions::history(args),
        Some(("diff", args)) => config_versions::diff(args),
        _ => Err(Error::Other("unknown subcommand of `config`".to_owned())),
    }
}

fn dir(args: &ArgMatches) -> Result<PathBuf> {
    let dir = args.get_one::<PathBuf>("dir").cloned();
    dir.ok_or_else(|| Error::Other("missing argument DIR".to_owned()))
}

/// Checks a folder and prints all findings.
fn check(dir: &Path, format: Format) -> Result<()> {
    let loaded = match config::load(dir) {
        Ok(loaded) => loaded,
        Err(findings) => return report_findings(&findings, format),
    };
    let counts = EntryCounts::from_config(&loaded.config);
    match format {
        Format::Text => print_text(&format!("accepted: {counts}\n")),
        Format::Json => print_json(&serde_json::json!({
            "accepted": true,
            "findings": [],
            "entries": counts,
        })),
    }
}

/// The number of entries in each section of a configuration.
#[derive(Serialize)]
struct EntryCounts {
    team: usize,
    kind: usize,
    service: usize,
    backend: usize,
    worker: usize,
    objective: usize,
}

impl EntryCounts {
    fn from_config(config: &CellConfig) -> Self {
        Self {
            team: config.team.len(),
            kind: config.kind.len(),
            service: config.service.len(),
            backend: config.backend.len(),
            worker: config.worker.len(),
            objective: config.objective.len(),
        }
    }
}

impl std::fmt::Display for EntryCounts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let counts = [
            pluralized(self.team, "team"),
            pluralized(self.kind, "kind"),
            pluralized(self.service, "service"),
            pluralized(self.backend, "backend server"),
            pluralized(self.worker, "worker"),
            pluralized(self.objective, "objective"),
        ];
        f.write_str(&counts.join(", "))
    }
}

/// Formats a number with its noun in the singular or plural.
fn pluralized(n: usize, noun: &str) -> String {
    match n {
        1 => format!("1 {noun}"),
        n => format!("{n} {noun}s"),
    }
}

/// Prints the merged values of a folder, each with the location that set it.
fn show(dir: &Path, format: Format) -> Result<()> {
    let loaded = match config::load(dir) {
        Ok(loaded) => loaded,
        Err(findings) => return report_findings(&findings, format),
    };
    let values = merged_values(&loaded)?;
    match format {
        Format::Text => print_text(&format_values(&values)),
        Format::Json => print_json(&serde_json::json!({ "values": values })),
    }
}

#[derive(Serialize)]
struct MergedValue {
    key: String,
    value: Value,
    /// Where the value was set; `None` for a default.
    set_at: Option<SourceLocation>,
}

fn merged_values(loaded: &LoadedConfig) -> Result<Vec<MergedValue>> {
    let config = Value::try_from(&loaded.config).map_err(|e| Error::Other(e.to_string()))?;
    let mut values = Vec::new();
    collect_values(loaded, &KeyPath::default(), &config, &mut values);
    Ok(values)
}

/// Appends all values below `path`, except tables, to `values`.
fn collect_values(
    loaded: &LoadedConfig,
    path: &KeyPath,
    value: &Value,
    values: &mut Vec<MergedValue>,
) {
    if let Value::Table(table) = value {
        for (key, nested) in table {
            collect_values(loaded, &path.join(key), nested, values);
        }
        return;
    }
    values.push(MergedValue {
        key: path.to_string(),
        value: value.clone(),
        set_at: loaded.origins.get(path).cloned(),
    });
}

/// Formats the values as assignments, followed by aligned comments with their origins.
fn format_values(values: &[MergedValue]) -> String {
    let assignments: Vec<String> = values
        .iter()
        .map(|entry| format!("{} = {}", entry.key, entry.value))
        .collect();
    let width = assignments.iter().map(|text| text.chars().count()).max();
    let width = width.unwrap_or(0);
    let lines = assignments.iter().zip(values).map(|(text, entry)| {
        let origin = entry.set_at.as_ref().map(SourceLocation::to_string);
        format!(
            "{text:width$}  # {}\n",
            origin.as_deref().unwrap_or("default")
        )
    });
    lines.collect()
}
