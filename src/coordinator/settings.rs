//! The settings of a coordinator's process: one TOML file.

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
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether this VM serves callers.
    pub readiness: SocketAddr,
    /// Where other VMs connect.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where some of the other VMs may be reached.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The service that grants permits.
    #[serde(default)]
    pub permits: Option<SocketAddr>,
    /// The longest lease that workers grant, in milliseconds.
    pub lease_max_ms: u64,
    /// How much of a processor core this VM has; the owner of the workflows belongs on a larger VM.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// How fast these cores are beside others.
    #[serde(default = "default_cores")]
    pub core_speed: f64,
    /// How long a planned stop may take before the process is killed, in seconds.
    pub grace_s: f64,
    /// The level of logs, in the syntax of `RUST_LOG`.
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_cores() -> f64 {
    1.0
}

fn default_log() -> String {
    "info".to_owned()
}

/// What is wrong with the settings; all findings are reported together.
#[derive(Debug, thiserror::Error)]
#[error("{place}: {}", findings.join("; "))]
pub struct SettingsError {
    place: String,
    findings: Vec<String>,
}

impl CoordinatorSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong with it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let error = |findings| SettingsError {
            place: path.display().to_string(),
            findings,
        };
        let text = std::fs::read_to_string(path).map_err(|e| error(vec![e.to_string()]))?;
        Self::parse(&text).map_err(error)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong with it.
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
        if let Err(error) = check_filter(&settings.log) {
            findings.push(format!("`log`: {error}"));
        }
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(findings)
        }
    }

    /// What the VM's processor does, in thousandths of a core of usual speed.
    pub fn cpu_milli(&self) -> u32 {
        // Both factors are checked to be above 0; a cast beyond the range saturates.
        (self.cores * self.core_speed * 1_000.0) as u32
    }
}
