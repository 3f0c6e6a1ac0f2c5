//! Settings from environment variables and command-line arguments.

use clap::{Arg, ArgMatches};

use super::SETTINGS_SCHEMA;
use crate::config::{Finding, KeyPath, Leaf, SourceLocation, closest_match};

/// Prefix of the environment variables that set a key, as `CHESTNUTLUG_STOP_MS` sets `stop_ms`.
pub const ENV_PREFIX: &str = "CHESTNUTLUG_";

/// The value of one key from outside the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    /// The key.
    pub key: String,
    /// The value as plain text.
    pub value: String,
    /// The environment variable or argument that sets the key.
    pub source: String,
}

/// Values from outside the settings file; a later one overrides an earlier one of the same key.
///
/// # Examples
///
/// ```
/// use chestnutlug::settings::Overrides;
///
/// let variables = [("CHESTNUTLUG_LOG".to_owned(), "debug".to_owned())];
/// let overrides = Overrides::from_env(variables).with_argument("log", "trace");
/// let values: Vec<&str> = overrides.as_slice().iter().map(|o| o.value.as_str()).collect();
/// assert_eq!(values, ["debug", "trace"]);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides(Vec<Override>);

impl Overrides {
    /// Takes the variables whose names are [`ENV_PREFIX`] and a known key. Names that are close to
    /// a known key are kept too, so that [`Settings::load`] reports the misspelling.
    ///
    /// [`Settings::load`]: super::Settings::load
    pub fn from_env(variables: impl IntoIterator<Item = (String, String)>) -> Self {
        let mut overrides: Vec<Override> = variables
            .into_iter()
            .filter_map(|(source, value)| {
                let key = source.strip_prefix(ENV_PREFIX)?.to_lowercase();
                closest_match(&key, SETTINGS_SCHEMA.iter().map(|field| field.name))?;
                Some(Override { key, value, source })
            })
            .collect();
        overrides.sort_by(|a, b| a.source.cmp(&b.source));
        Self(overrides)
    }

    /// Takes the environment variables of this process and the arguments from [`Self::arguments`].
    pub fn from_process(matches: &ArgMatches) -> Self {
        // Variables that are not UTF-8 cannot set a key.
        let variables = std::env::vars_os()
            .filter_map(|(key, value)| Some((key.into_string().ok()?, value.into_string().ok()?)));
        let mut overrides = Self::from_env(variables);
        for field in SETTINGS_SCHEMA {
            if let Some(value) = matches.get_one::<String>(field.name) {
                overrides = overrides.with_argument(field.name, value);
            }
        }
        overrides
    }

    /// Adds the value of an argument.
    #[must_use]
    pub fn with_argument(mut self, key: &str, value: &str) -> Self {
        self.0.push(Override {
            key: key.to_owned(),
            value: value.to_owned(),
            source: format!("--{}", argument_name(key)),
        });
        self
    }

    /// Creates a command-line argument for each key, such as `--stop-ms`.
    pub fn arguments() -> impl Iterator<Item = Arg> {
        SETTINGS_SCHEMA.iter().map(|field| {
            Arg::new(field.name)
                .long(argument_name(field.name))
                .value_name("VALUE")
                .help_heading("Settings that go before the file")
                .help(field.help)
        })
    }

    /// The overrides, lowest precedence first.
    pub fn as_slice(&self) -> &[Override] {
        &self.0
    }

    /// Parses each value by the type of its key and adds errors to `findings`.
    pub(super) fn leaves(&self, findings: &mut Vec<Finding>) -> Vec<Leaf> {
        self.0
            .iter()
            .filter_map(|setting| leaf(setting, findings))
            .collect()
    }
}

fn argument_name(key: &str) -> String {
    key.replace('_', "-")
}

fn leaf(setting: &Override, findings: &mut Vec<Finding>) -> Option<Leaf> {
    let location = SourceLocation::whole_source(setting.source.as_str());
    let Some(field) = SETTINGS_SCHEMA
        .iter()
        .find(|field| field.name == setting.key)
    else {
        let closest = closest_match(&setting.key, SETTINGS_SCHEMA.iter().map(|field| field.name));
        let remedy = format!(
            "set `{}` instead, or unset this one",
            closest.unwrap_or("another key")
        );
        let problem = format!("unknown key `{}`", setting.key);
        findings.push(Finding::new(
            &location,
            problem,
            "it would have no effect",
            remedy,
        ));
        return None;
    };
    let read = field.value_type.read_plain(&setting.value);
    if let Err(invalid) = &read {
        let problem = format!("`{}`: {}", field.name, invalid.problem);
        findings.push(Finding::new(
            &location,
            problem,
            &invalid.reason,
            &invalid.remedy,
        ));
    }
    Some(Leaf {
        path: KeyPath::default().join(field.name),
        value: read.ok(),
        location,
    })
}
