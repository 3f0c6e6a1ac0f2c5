//! Loads a configuration from a folder or from a merged text.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

use super::finding::{Finding, Findings, SourceLocation};
use super::folder::{SourceFile, read_folder};
use super::merge::MergedValues;
use super::parse::{self, KeyPath};
use super::schema::CELL_SCHEMA;
use super::{CellConfig, cross_check};
use crate::error::Error;

/// The source name in findings for a merged text.
const MERGED_SOURCE_NAME: &str = "merged configuration";

/// A valid configuration with the source location of each key.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedConfig {
    /// The merged configuration.
    pub config: CellConfig,
    /// The location that set each key last.
    pub origins: BTreeMap<KeyPath, SourceLocation>,
}

/// Loads the configuration of the folder `dir`.
///
/// The `*.toml` files are merged in the order of their names; a later file overrides an earlier one
/// key by key.
///
/// # Errors
///
/// Returns the findings of all files together; nothing is accepted then.
///
/// # Examples
///
/// ```
/// # let dir = std::env::temp_dir().join(format!("chestnutlug-doc-{}", std::process::id()));
/// # std::fs::create_dir_all(&dir).unwrap();
/// std::fs::write(dir.join("10-team.toml"), "[team.parlours]\nbalance_core_hours = 500\n").unwrap();
/// std::fs::write(dir.join("20-weight.toml"), "[team.parlours]\nweight = 3\n").unwrap();
///
/// let loaded = chestnutlug::config::load(&dir).unwrap();
/// let team = &loaded.config.team[&"parlours".into()];
/// assert_eq!((team.balance_core_hours, team.weight), (500.0, 3));
/// # std::fs::remove_dir_all(&dir).unwrap();
/// ```
pub fn load(dir: &Path) -> Result<LoadedConfig, Findings> {
    let mut findings = Vec::new();
    let files = read_folder(dir, &mut findings);
    load_files(&files, findings)
}

fn load_files(files: &[SourceFile], mut findings: Vec<Finding>) -> Result<LoadedConfig, Findings> {
    // The content of an unreadable or malformed file is unknown, so checks across entries would
    // report errors that merely follow from it.
    let mut complete = findings.is_empty();
    let mut merged = MergedValues::default();
    for file in files {
        let parsed = parse::parse_source(&file.name, &file.text, CELL_SCHEMA, &mut findings);
        complete &= parsed.well_formed;
        merged.merge(parsed, &mut findings);
    }
    if complete {
        merged.check_required(CELL_SCHEMA, &mut findings);
        cross_check::check(&merged, &mut findings);
    }
    if !findings.is_empty() {
        return Err(findings.into());
    }
    let config = build_config(&merged)?;
    let values = merged.values.into_iter();
    let origins = values.map(|(path, leaf)| (path, leaf.location)).collect();
    Ok(LoadedConfig { config, origins })
}

fn build_config(merged: &MergedValues) -> Result<CellConfig, Findings> {
    CellConfig::deserialize(merged.to_table()).map_err(|error| {
        let location = SourceLocation::whole_source(MERGED_SOURCE_NAME);
        let reason = "the merged values are not a valid configuration";
        Finding::new(&location, error.message(), reason, "correct the named key").into()
    })
}

impl CellConfig {
    /// Parses a merged configuration, with the same checks as [`load`].
    ///
    /// # Errors
    ///
    /// Returns all findings.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::config::CellConfig;
    ///
    /// let config = CellConfig::from_text("[kind.swap]\nurgency = \"urgent\"\n").unwrap();
    /// assert_eq!(CellConfig::from_text(&config.to_text().unwrap()).unwrap(), config);
    /// assert!(CellConfig::from_text("[kind.swap]\nurgncy = \"urgent\"\n").is_err());
    /// ```
    pub fn from_text(text: &str) -> Result<Self, Findings> {
        let file = SourceFile {
            name: MERGED_SOURCE_NAME.to_owned(),
            text: text.to_owned(),
        };
        load_files(&[file], Vec::new()).map(|loaded| loaded.config)
    }

    /// Serializes the configuration as one TOML text, which [`Self::from_text`] parses.
    ///
    /// # Errors
    ///
    /// Returns an error if a number is too large for TOML, which no checked configuration contains.
    pub fn to_text(&self) -> Result<String, Error> {
        toml::to_string(self).map_err(|error| Error::Other(error.to_string()))
    }
}
