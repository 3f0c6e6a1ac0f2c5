//! The settings of a coordinator process, read from one TOML file.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::log::check_filter;
use crate::model::{VmName, ZoneName};

/// The settings of a VM that runs workflows on the users' platform.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// The VM's name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which callers connect.
    pub callers: SocketAddr,
    /// The address of the readiness endpoint for the platform.
    pub readiness: SocketAddr,
    /// The address on which other VMs connect.
    pub peers: SocketAddr,
    /// The address on which metrics are served.
    pub metrics: SocketAddr,
    /// The addresses of some of the other VMs, used until others are known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the permit service; that of the store if not set.
    #[serde(default)]
    pub permits: Option<SocketAddr>,
    /// The maximum lease that workers grant, in milliseconds.
    pub lease_max_ms: u64,
    /// The number of processor cores of this VM; shards are preferably owned by larger VMs.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// The speed of these cores relative to a standard core.
    #[serde(default = "default_cores")]
    pub core_speed: f64,
    /// Whether waiting work is ordered, and submissions are refused, by what costs callers least when
    /// there is too little room. All VMs of a cluster must have the same value.
    #[serde(default)]
    pub overload_control: bool,
    /// The time over which the guaranteed rate of an account is judged, in seconds.
    #[serde(default = "default_account_window_s")]
    pub account_window_s: f64,
    /// How many submissions of an account in each such window may exceed the rate before they count as
    /// excess.
    #[serde(default)]
    pub account_slack: u32,
    /// How long a planned stop may take before the process is killed, in seconds.
    pub grace_s: f64,
    /// The log filter, in the syntax of `RUST_LOG`.
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_cores() -> f64 {
    1.0
}

fn default_account_window_s() -> f64 {
    2.0
}

fn default_log() -> String {
    "info".to_owned()
}

/// Invalid settings, with all findings at once.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {}", findings.join("; "))]
pub struct SettingsError {
    path: String,
    findings: Vec<String>,
}

impl CoordinatorSettings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all findings if the file cannot be read or is invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let error = |findings| SettingsError {
            path: path.display().to_string(),
            findings,
        };
        let text = std::fs::read_to_string(path).map_err(|e| error(vec![e.to_string()]))?;
        Self::parse(&text).map_err(error)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::coordinator::settings::CoordinatorSettings;
    ///
    /// let findings = CoordinatorSettings::parse("vm = 1").unwrap_err();
    /// assert!(!findings.is_empty());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let settings: Self = toml::from_str(text).map_err(|e| vec![e.to_string()])?;
        let mut findings = Vec::new();
        if settings.lease_max_ms == 0 {
            findings.push("`lease_max_ms` must be above 0".to_owned());
        }
        if settings.grace_s.is_nan() || settings.grace_s <= 0.0 {
            findings.push("`grace_s` must be above 0".to_owned());
        }
        for (name, value) in [
            ("cores", settings.cores),
            ("core_speed", settings.core_speed),
        ] {
            if !value.is_finite() || value <= 0.0 {
                findings.push(format!("`{name}` must be above 0"));
            }
        }
        if !settings.account_window_s.is_finite() || settings.account_window_s < 0.0 {
            findings.push("`account_window_s` must not be below 0".to_owned());
        }
        if let Err(error) = check_filter(&settings.log) {
            findings.push(format!("`log`: {error}"));
        }
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(findings)
        }
    }

    /// The VM's CPU capacity, in thousandths of a standard core.
    pub fn cpu_milli(&self) -> u32 {
        // `parse` ensures that both factors are above 0; the cast saturates beyond the range.
        (self.cores * self.core_speed * 1_000.0) as u32
    }
}
