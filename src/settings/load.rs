//! Loads and validates settings.

use std::path::Path;

use serde::Deserialize;

use super::{Overrides, SETTINGS_SCHEMA, Settings};
use crate::config::{
    self, EntryDeclaration, Finding, Findings, KeyPath, MergedValues, ParsedSource, SourceLocation,
};
use crate::log;

/// Minimum number of heartbeat intervals in a lease.
const MIN_HEARTBEATS_PER_LEASE: u64 = 3;

impl Settings {
    /// Loads the settings from the file `path`; `overrides` take precedence.
    ///
    /// # Errors
    ///
    /// Returns the findings of all sources together.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::settings::{Overrides, Settings};
    ///
    /// # let path = std::env::temp_dir().join(format!("chestnutlug-doc-{}.toml", std::process::id()));
    /// let text = r#"
    /// vm = "vm-1"
    /// zone = "alfold-a"
    /// callers = "10.0.0.1:8080"
    /// peers = "10.0.0.1:8081"
    /// operators = "10.0.0.1:8082"
    /// platform = "10.0.9.1:9000"
    /// secret_file = "/run/secrets/chestnutlug"
    /// "#;
    /// std::fs::write(&path, text).unwrap();
    ///
    /// let overrides = Overrides::default().with_argument("stop_ms", "5000");
    /// let settings = Settings::load(&path, &overrides).unwrap();
    /// assert_eq!(settings.stop_ms, 5_000);
    ///
    /// let overrides = overrides.with_argument("heartbeat_ms", "9000");
    /// let findings = Settings::load(&path, &overrides).unwrap_err();
    /// assert!(findings.to_string().starts_with("--heartbeat-ms: "));
    /// # std::fs::remove_file(&path).unwrap();
    /// ```
    pub fn load(path: &Path, overrides: &Overrides) -> Result<Self, Findings> {
        let mut findings = Vec::new();
        let file = config::read_file(path, &mut findings);
        let (name, text) = file.map_or_else(
            || (path.display().to_string(), String::new()),
            |file| (file.name, file.text),
        );
        let readable = findings.is_empty();
        let parsed = config::parse_source(&name, &text, SETTINGS_SCHEMA, &mut findings);
        let complete = readable && parsed.well_formed;
        let merged = merge(&name, parsed, overrides, &mut findings);
        if complete {
            merged.check_required(SETTINGS_SCHEMA, &mut findings);
        }
        build_settings(&name, &merged, findings)
    }
}

fn merge(
    name: &str,
    parsed: ParsedSource,
    overrides: &Overrides,
    findings: &mut Vec<Finding>,
) -> MergedValues {
    let mut merged = MergedValues::default();
    let root = EntryDeclaration {
        path: KeyPath::default(),
        location: SourceLocation::whole_source(name),
        removed: false,
    };
    let from_overrides = ParsedSource {
        leaves: overrides.leaves(findings),
        declarations: vec![root],
        well_formed: true,
    };
    merged.merge(parsed, findings);
    merged.merge(from_overrides, findings);
    merged
}

fn build_settings(
    name: &str,
    merged: &MergedValues,
    mut findings: Vec<Finding>,
) -> Result<Settings, Findings> {
    let built = Settings::deserialize(merged.to_table());
    match built {
        Ok(settings) => {
            check_settings(&settings, |key| location_of(merged, key), &mut findings);
            if findings.is_empty() {
                return Ok(settings);
            }
        }
        Err(error) if findings.is_empty() => {
            let reason = "the values are not valid settings";
            let location = SourceLocation::whole_source(name);
            findings.push(Finding::new(
                &location,
                error.message(),
                reason,
                "correct the named key",
            ));
        }
        // The earlier findings already report the cause.
        Err(_) => {}
    }
    Err(findings.into())
}

fn location_of(merged: &MergedValues, key: &str) -> SourceLocation {
    let leaf = merged.values.get(&KeyPath::default().join(key));
    leaf.map_or_else(
        || SourceLocation::whole_source(format!("default of `{key}`")),
        |leaf| leaf.location.clone(),
    )
}

/// Adds a finding for each contradiction in `settings`; `location` returns where a key was set.
pub fn check_settings(
    settings: &Settings,
    location: impl Fn(&str) -> SourceLocation,
    findings: &mut Vec<Finding>,
) {
    check_listeners(settings, &location, findings);
    check_times(settings, &location, findings);
    if let Err(error) = log::check_filter(&settings.log) {
        let problem = format!("`log`: {error}");
        let remedy = "write a level such as \"info\" or \"info,chestnutlug::decide=debug\"";
        let reason = "the log filter cannot be parsed";
        findings.push(Finding::new(&location("log"), problem, reason, remedy));
    }
}

fn check_listeners(
    settings: &Settings,
    location: &impl Fn(&str) -> SourceLocation,
    findings: &mut Vec<Finding>,
) {
    let listeners = [
        ("callers", settings.callers),
        ("peers", settings.peers),
        ("operators", settings.operators),
    ];
    for (i, (key, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..i].iter();
        let duplicates = earlier.filter(|(_, other)| other == address && address.port() != 0);
        for (other, _) in duplicates {
            let problem = format!("`{key}` has the address {address}");
            let reason = format!("`{other}` has the same address");
            let remedy = "give each listener its own port";
            let finding = Finding::new(&location(key), problem, reason, remedy);
            findings.push(finding.with_related(&location(other)));
        }
    }
    if settings.peers.ip().is_unspecified() && settings.peers_advertised.is_none() {
        let problem = format!("`peers` has the address {}", settings.peers);
        let reason = "other VMs connect to exactly this address";
        let remedy = "write the VM's IP address, or set `peers_advertised`";
        findings.push(Finding::new(&location("peers"), problem, reason, remedy));
    }
}

fn check_times(
    settings: &Settings,
    location: &impl Fn(&str) -> SourceLocation,
    findings: &mut Vec<Finding>,
) {
    let min_lease_ms = settings.heartbeat_ms * MIN_HEARTBEATS_PER_LEASE;
    if settings.lease_ms < min_lease_ms {
        let problem = format!("`heartbeat_ms` is {}", settings.heartbeat_ms);
        let reason = format!(
            "fewer than {MIN_HEARTBEATS_PER_LEASE} heartbeats fit into `lease_ms` = {}",
            settings.lease_ms
        );
        let remedy = format!("set `lease_ms` to at least {min_lease_ms}");
        let finding = Finding::new(&location("heartbeat_ms"), problem, reason, remedy);
        findings.push(finding.with_related(&location("lease_ms")));
    }
    if settings.task_lease_ms <= settings.lease_ms {
        let problem = format!("`task_lease_ms` is {}", settings.task_lease_ms);
        let reason = format!(
            "tasks would end before a failed owner is replaced, `lease_ms` = {}",
            settings.lease_ms
        );
        let remedy = format!("set it above {}", settings.lease_ms);
        let finding = Finding::new(&location("task_lease_ms"), problem, reason, remedy);
        findings.push(finding.with_related(&location("lease_ms")));
    }
}
