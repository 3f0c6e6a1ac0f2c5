//! The subcommand `config`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde::Serialize;
use toml::Value;

use super::output::{Format, print, print_json, reject};
use super::versions;
use crate::config::{self, CellConfig, KeyPath, LoadedConfig, SourceLocation};
use crate::error::{Error, Result};

/// Runs `config`.
///
/// # Errors
///
/// Returns the error that ends the command.
pub fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("check", args)) => check(&dir(args)?, Format::of(args)),
        Some(("show", args)) => show(&dir(args)?, Format::of(args)),
        Some(("apply", args)) => versions::apply(&dir(args)?, args),
        Some(("watch", args)) => versions::watch(&dir(args)?, args),
        Some(("history", args)) => versions::history(args),
        Some(("diff", args)) => versions::diff(args),
        _ => Err(Error::Other("name a subcommand of `config`".to_owned())),
    }
}

fn dir(args: &ArgMatches) -> Result<PathBuf> {
    let dir = args.get_one::<PathBuf>("dir").cloned();
    dir.ok_or_else(|| Error::Other("name the folder".to_owned()))
}

/// Checks the folder and prints every finding.
fn check(dir: &Path, format: Format) -> Result<()> {
    let loaded = match config::load(dir) {
        Ok(loaded) => loaded,
        Err(findings) => return reject(&findings, format),
    };
    let counts = Counts::of(&loaded.config);
    match format {
        Format::Text => print(&format!("accepted: {counts}\n")),
        Format::Json => print_json(&serde_json::json!({
            "accepted": true,
            "findings": [],
            "entries": counts,
        })),
    }
}

#[derive(Serialize)]
struct Counts {
    team: usize,
    kind: usize,
    service: usize,
    backend: usize,
    worker: usize,
    objective: usize,
}

impl Counts {
    fn of(config: &CellConfig) -> Self {
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

impl std::fmt::Display for Counts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let counts = [
            counted(self.team, "team"),
            counted(self.kind, "kind"),
            counted(self.service, "service"),
            counted(self.backend, "backend server"),
            counted(self.worker, "worker"),
            counted(self.objective, "objective"),
        ];
        f.write_str(&counts.join(", "))
    }
}

/// A number with its noun in singular or plural.
fn counted(n: usize, noun: &str) -> String {
    match n {
        1 => format!("1 {noun}"),
        n => format!("{n} {noun}s"),
    }
}

/// Prints the merged values, each with the place that set it.
fn show(dir: &Path, format: Format) -> Result<()> {
    let loaded = match config::load(dir) {
        Ok(loaded) => loaded,
        Err(findings) => return reject(&findings, format),
    };
    let values = shown_values(&loaded)?;
    match format {
        Format::Text => print(&aligned(&values)),
        Format::Json => print_json(&serde_json::json!({ "values": values })),
    }
}

#[derive(Serialize)]
struct ShownValue {
    key: String,
    value: Value,
    /// Where the value was set; `None` for a default.
    set_at: Option<SourceLocation>,
}

fn shown_values(loaded: &LoadedConfig) -> Result<Vec<ShownValue>> {
    let whole = Value::try_from(&loaded.config).map_err(|e| Error::Other(e.to_string()))?;
    let mut values = Vec::new();
    collect(loaded, &KeyPath::default(), &whole, &mut values);
    Ok(values)
}

fn collect(loaded: &LoadedConfig, path: &KeyPath, value: &Value, values: &mut Vec<ShownValue>) {
    if let Value::Table(table) = value {
        for (key, below) in table {
            collect(loaded, &path.join(key), below, values);
        }
        return;
    }
    values.push(ShownValue {
        key: path.to_string(),
        value: value.clone(),
        set_at: loaded.origins.get(path).cloned(),
    });
}

fn aligned(values: &[ShownValue]) -> String {
    let set: Vec<String> = values
        .iter()
        .map(|shown| format!("{} = {}", shown.key, shown.value))
        .collect();
    let width = set.iter().map(|text| text.chars().count()).max();
    let width = width.unwrap_or(0);
    let lines = set.iter().zip(values).map(|(text, shown)| {
        let origin = shown.set_at.as_ref().map(SourceLocation::to_string);
        format!(
            "{text:width$}  # {}\n",
            origin.as_deref().unwrap_or("default")
        )
    });
    lines.collect()
}
