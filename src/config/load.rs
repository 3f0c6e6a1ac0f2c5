//! Loads a configuration from its folder or from its merged text.

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

/// The name under which findings in a merged text are reported.
const MERGED_NAME: &str = "merged configuration";

/// A configuration that was accepted as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedConfig {
    /// The merged configuration.
    pub config: CellConfig,
    /// Where each key was set last.
    pub origins: BTreeMap<KeyPath, SourceLocation>,
}

/// Loads the configuration of the folder `dir`.
///
/// The `*.toml` files are merged in the order of their names; a later file refines an earlier one
/// key by key.
///
/// # Errors
///
/// Returns every finding of all files together; then nothing is accepted.
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
    // What a missing or broken file would have described is not known, so checks over several
    // entries would report consequences instead of causes.
    let mut whole = findings.is_empty();
    let mut merged = MergedValues::default();
    for file in files {
        let content = parse::parse_source(&file.name, &file.text, CELL_SCHEMA, &mut findings);
        whole &= content.well_formed;
        merged.merge(content, &mut findings);
    }
    if whole {
        merged.check_required(CELL_SCHEMA, &mut findings);
        cross_check::check(&merged, &mut findings);
    }
    if !findings.is_empty() {
        return Err(findings.into());
    }
    let config = build(&merged)?;
    let values = merged.values.into_iter();
    let origins = values.map(|(path, leaf)| (path, leaf.location)).collect();
    Ok(LoadedConfig { config, origins })
}

fn build(merged: &MergedValues) -> Result<CellConfig, Findings> {
    CellConfig::deserialize(merged.to_table()).map_err(|error| {
        let location = SourceLocation::whole_source(MERGED_NAME);
        let reason = "the merged values do not fit together";
        Finding::new(&location, error.message(), reason, "mend the named key").into()
    })
}

impl CellConfig {
    /// Reads a merged configuration, with the same checks as [`load`].
    ///
    /// # Errors
    ///
    /// Returns every finding.
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
            name: MERGED_NAME.to_owned(),
            text: text.to_owned(),
        };
        load_files(&[file], Vec::new()).map(|loaded| loaded.config)
    }

    /// Writes the configuration as one TOML text, which [`Self::from_text`] reads.
    ///
    /// # Errors
    ///
    /// Returns an error where a number is too large for TOML; no checked configuration holds one.
    pub fn to_text(&self) -> Result<String, Error> {
        toml::to_string(self).map_err(|error| Error::Other(error.to_string()))
    }
}
