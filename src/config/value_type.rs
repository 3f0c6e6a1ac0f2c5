//! The building blocks of a schema: keys and the types of their values.

use std::net::SocketAddr;

use toml::Value;
use toml::de::DeValue;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a string value, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// The schema of one key.
#[derive(Debug)]
pub struct KeySchema {
    /// The name of the key.
    pub name: &'static str,
    /// The type of its value.
    pub value_type: ValueType,
    /// Whether the key is required.
    pub required: bool,
    /// Help text of the command-line argument of that name; empty if there is none.
    pub help: &'static str,
}

impl KeySchema {
    /// Creates a required key.
    pub const fn required(name: &'static str, value_type: ValueType) -> Self {
        Self {
            name,
            value_type,
            required: true,
            help: "",
        }
    }

    /// Creates an optional key.
    pub const fn optional(name: &'static str, value_type: ValueType) -> Self {
        Self {
            name,
            value_type,
            required: false,
            help: "",
        }
    }

    /// Sets the help text.
    #[must_use]
    pub const fn help(mut self, help: &'static str) -> Self {
        self.help = help;
        self
    }
}

/// The type of a value, with its constraints.
#[derive(Debug)]
pub enum ValueType {
    /// A table with known keys.
    Table(&'static [KeySchema]),
    /// A table of named entries, each with the same known keys.
    Entries(&'static [KeySchema]),
    /// An integer between inclusive bounds.
    Integer {
        /// The minimum.
        min: i64,
        /// The maximum.
        max: i64,
    },
    /// A number between exclusive bounds.
    Number {
        /// The exclusive lower bound.
        above: f64,
        /// The exclusive upper bound.
        below: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// A name of at most [`MAX_NAME_BYTES`].
    Name,
    /// A string of at most [`MAX_TEXT_BYTES`].
    Text,
    /// `IP:port` of another process.
    Address,
    /// Comma-separated list of `IP:port` of other processes; may be empty.
    Addresses,
    /// `IP:port` to listen on; with port 0 the operating system selects the port.
    Listener,
    /// The path of a file.
    FilePath,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
}

/// The reason why a value is invalid, and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// The error itself.
    pub problem: String,
    /// The reason why the value is not accepted.
    pub reason: String,
    /// How to fix it.
    pub remedy: String,
}

impl InvalidValue {
    fn new(
        problem: impl Into<String>,
        reason: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            problem: problem.into(),
            reason: reason.into(),
            remedy: remedy.into(),
        }
    }
}

impl ValueType {
    /// Describes the accepted values in words.
    pub fn expected(&self) -> String {
        match self {
            Self::Table(_) => "a table".to_owned(),
            Self::Entries(_) => "a table of named entries".to_owned(),
            Self::Integer { min, max } if *max == i64::MAX => {
                format!("an integer of at least {min}")
            }
            Self::Integer { min, max } => format!("an integer from {min} to {max}"),
            Self::Number { above, below } if below.is_infinite() => {
                format!("a number above {above}")
            }
            Self::Number { above, below } => format!("a number above {above} and below {below}"),
            Self::Boolean => "`true` or `false`".to_owned(),
            Self::Name => format!(
                "a name of at most {MAX_NAME_BYTES} ASCII letters, digits, `-`, `_` and `.`"
            ),
            Self::Text => format!("a string of at most {MAX_TEXT_BYTES} bytes"),
            Self::FilePath => format!("a path of at most {MAX_TEXT_BYTES} bytes"),
            Self::Address | Self::Listener => "an address such as \"10.0.0.1:7000\"".to_owned(),
            Self::Addresses => "addresses such as \"10.0.0.1:7000,10.0.0.2:7000\"".to_owned(),
            Self::Choice(words) => format!("one of \"{}\"", words.join("\", \"")),
        }
    }

    /// Checks and converts a TOML value of this type. Tables are not accepted, since the parser
    /// reads them key by key.
    ///
    /// # Errors
    ///
    /// Returns the reason why the value is invalid.
    pub fn read(&self, value: &DeValue<'_>) -> Result<Value, InvalidValue> {
        match (self, value) {
            (Self::Integer { .. }, DeValue::Integer(n)) => {
                let parsed = i64::from_str_radix(n.as_str(), n.radix()).ok();
                self.integer(n.as_str(), parsed)
            }
            (Self::Number { .. }, DeValue::Float(n)) => self.number(n.as_str()),
            (Self::Number { .. }, DeValue::Integer(n)) if n.radix() == 10 => {
                self.number(n.as_str())
            }
            (Self::Boolean, DeValue::Boolean(b)) => Ok(Value::Boolean(*b)),
            (value_type, DeValue::String(text)) if value_type.is_string() => self.text(text),
            _ => Err(InvalidValue::new(
                format!("the value is {}", with_article(value.type_str())),
                "the key expects a different type",
                format!("write {}", self.expected()),
            )),
        }
    }

    /// Parses a value of this type from plain text, as in arguments and environment variables.
    ///
    /// # Errors
    ///
    /// Returns the reason why the text is invalid.
    pub fn read_plain(&self, text: &str) -> Result<Value, InvalidValue> {
        match self {
            Self::Integer { .. } => self.integer(text, text.parse().ok()),
            Self::Number { .. } => self.number(text),
            Self::Boolean => match text {
                "true" | "1" => Ok(Value::Boolean(true)),
                "false" | "0" => Ok(Value::Boolean(false)),
                _ => Err(self.invalid(text, "it is neither true nor false")),
            },
            _ => self.text(text),
        }
    }

    /// Whether values of this type are TOML strings.
    fn is_string(&self) -> bool {
        !matches!(
            self,
            Self::Table(_)
                | Self::Entries(_)
                | Self::Integer { .. }
                | Self::Number { .. }
                | Self::Boolean
        )
    }

    fn invalid(&self, value: &str, reason: &str) -> InvalidValue {
        let problem = format!("the value {value:?} is not accepted");
        InvalidValue::new(problem, reason, format!("write {}", self.expected()))
    }

    fn integer(&self, text: &str, parsed: Option<i64>) -> Result<Value, InvalidValue> {
        let Self::Integer { min, max } = self else {
            return Err(self.invalid(text, "the key expects a different type"));
        };
        match parsed {
            None => Err(self.invalid(text, "it is not a 64-bit integer")),
            Some(n) if n < *min => Err(self.invalid(text, &format!("it is below {min}"))),
            Some(n) if n > *max => Err(self.invalid(text, &format!("it is above {max}"))),
            Some(n) => Ok(Value::Integer(n)),
        }
    }

    fn number(&self, text: &str) -> Result<Value, InvalidValue> {
        let Self::Number { above, below } = self else {
            return Err(self.invalid(text, "the key expects a different type"));
        };
        match text.parse::<f64>() {
            Err(_) => Err(self.invalid(text, "it is not a number")),
            Ok(n) if !n.is_finite() => Err(self.invalid(text, "it is not a finite number")),
            Ok(n) if n <= *above => Err(self.invalid(text, &format!("it is not above {above}"))),
            Ok(n) if n >= *below => Err(self.invalid(text, &format!("it is not below {below}"))),
            Ok(n) => Ok(Value::Float(n)),
        }
    }

    fn text(&self, text: &str) -> Result<Value, InvalidValue> {
        match self {
            Self::Name => {
                check_name(text).map_err(|reason| self.invalid(&truncated(text), reason))?
            }
            Self::Address | Self::Listener => {
                self.check_address(text)
                    .map_err(|reason| self.invalid(&truncated(text), reason))?;
            }
            Self::Addresses => {
                for address in text.split(',').filter(|part| !part.is_empty()) {
                    self.check_address(address.trim())
                        .map_err(|reason| self.invalid(&truncated(text), reason))?;
                }
            }
            Self::FilePath if text.is_empty() => return Err(self.invalid(text, "it is empty")),
            Self::Choice(words) if !words.contains(&text) => {
                return Err(self.invalid(&truncated(text), "it is not one of the accepted values"));
            }
            Self::Text | Self::FilePath if text.len() > MAX_TEXT_BYTES => {
                return Err(self.invalid(&truncated(text), "it is too long"));
            }
            _ => {}
        }
        Ok(Value::String(text.to_owned()))
    }

    fn check_address(&self, text: &str) -> Result<(), &'static str> {
        let address: SocketAddr = text.parse().map_err(|_| "it is not `IP:port`")?;
        match address {
            _ if address.port() == 0 && !matches!(self, Self::Listener) => {
                Err("port 0 is not a valid destination")
            }
            _ if address.ip().is_multicast() => Err("a multicast address identifies no machine"),
            _ => Ok(()),
        }
    }
}

/// Checks the characters and the length of a name.
///
/// # Errors
///
/// Returns the reason why the name is invalid.
pub fn check_name(name: &str) -> Result<(), &'static str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name {
        "" => Err("it is empty"),
        _ if name.len() > MAX_NAME_BYTES => Err("it is too long"),
        _ if !name.chars().all(allowed) => Err("it contains characters that are not allowed"),
        _ => Ok(()),
    }
}

fn truncated(text: &str) -> String {
    const MAX_SHOWN_CHARS: usize = 80;
    text.chars().take(MAX_SHOWN_CHARS).collect()
}

fn with_article(word: &str) -> String {
    let vowel = word.starts_with(['a', 'e', 'i', 'o', 'u']);
    let article = if vowel { "an" } else { "a" };
    format!("{article} {word}")
}
