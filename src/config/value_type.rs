//! The shape of an input: which keys exist and what each may hold.

use std::net::SocketAddr;

use toml::Value;
use toml::de::DeValue;

/// The most bytes of a name.
pub const MAX_NAME_BYTES: usize = 64;

/// The most bytes of a text value.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// One known key.
#[derive(Debug)]
pub struct KeySchema {
    /// The key.
    pub name: &'static str,
    /// What it may hold.
    pub value_type: ValueType,
    /// Whether it must be set.
    pub required: bool,
    /// What it means, for the help of an argument of that name; empty where there is none.
    pub help: &'static str,
}

impl KeySchema {
    /// A key that must be set.
    pub const fn required(name: &'static str, value_type: ValueType) -> Self {
        Self {
            name,
            value_type,
            required: true,
            help: "",
        }
    }

    /// A key that may be left out.
    pub const fn optional(name: &'static str, value_type: ValueType) -> Self {
        Self {
            name,
            value_type,
            required: false,
            help: "",
        }
    }

    /// Says what the key means.
    #[must_use]
    pub const fn help(mut self, help: &'static str) -> Self {
        self.help = help;
        self
    }
}

/// What a key may hold.
#[derive(Debug)]
pub enum ValueType {
    /// A table with known keys.
    Table(&'static [KeySchema]),
    /// A table of named entries, each with the same known keys.
    Entries(&'static [KeySchema]),
    /// A whole number within bounds, both included.
    Integer {
        /// The least.
        min: i64,
        /// The most.
        max: i64,
    },
    /// A number strictly between bounds.
    Number {
        /// The number must be above this.
        above: f64,
        /// The number must be below this.
        below: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// A name.
    Name,
    /// A text.
    Text,
    /// `IP:port` of another process.
    Address,
    /// `IP:port` of other processes, with commas between them; possibly none.
    Addresses,
    /// `IP:port` to listen on; port 0 lets the system choose.
    Listener,
    /// The path of a file.
    FilePath,
    /// One of some words.
    Choice(&'static [&'static str]),
}

/// Why a value is not accepted, and what would be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// What is wrong.
    pub problem: String,
    /// Why it is not accepted.
    pub reason: String,
    /// What would be accepted.
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
    /// What the shape accepts, in words.
    pub fn expected(&self) -> String {
        match self {
            Self::Table(_) => "a table".to_owned(),
            Self::Entries(_) => "a table of named entries".to_owned(),
            Self::Integer { min, max } if *max == i64::MAX => {
                format!("a whole number of at least {min}")
            }
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Number { above, below } if below.is_infinite() => {
                format!("a number above {above}")
            }
            Self::Number { above, below } => format!("a number above {above} and below {below}"),
            Self::Boolean => "`true` or `false`".to_owned(),
            Self::Name => format!(
                "a name of at most {MAX_NAME_BYTES} ASCII letters, digits, `-`, `_` and `.`"
            ),
            Self::Text => format!("a text of at most {MAX_TEXT_BYTES} bytes"),
            Self::FilePath => format!("a path of at most {MAX_TEXT_BYTES} bytes"),
            Self::Address | Self::Listener => "an address such as \"10.0.0.1:7000\"".to_owned(),
            Self::Addresses => "addresses such as \"10.0.0.1:7000,10.0.0.2:7000\"".to_owned(),
            Self::Choice(words) => format!("one of \"{}\"", words.join("\", \"")),
        }
    }

    /// Reads a value of this shape; tables are read key by key elsewhere.
    ///
    /// # Errors
    ///
    /// Returns why the value does not match.
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
            (value_type, DeValue::String(text)) if value_type.is_text() => self.text(text),
            _ => Err(InvalidValue::new(
                format!("the value is {}", with_article(value.type_str())),
                "the key takes another type",
                format!("write {}", self.expected()),
            )),
        }
    }

    /// Reads a value of this shape from plain text, as given in arguments and the environment.
    ///
    /// # Errors
    ///
    /// Returns why the text does not match.
    pub fn read_plain(&self, text: &str) -> Result<Value, InvalidValue> {
        match self {
            Self::Integer { .. } => self.integer(text, text.parse().ok()),
            Self::Number { .. } => self.number(text),
            Self::Boolean => match text {
                "true" | "1" => Ok(Value::Boolean(true)),
                "false" | "0" => Ok(Value::Boolean(false)),
                _ => Err(self.mismatch(text, "it is neither true nor false")),
            },
            _ => self.text(text),
        }
    }

    /// Whether the values are written as TOML strings.
    fn is_text(&self) -> bool {
        !matches!(
            self,
            Self::Table(_)
                | Self::Entries(_)
                | Self::Integer { .. }
                | Self::Number { .. }
                | Self::Boolean
        )
    }

    fn mismatch(&self, value: &str, reason: &str) -> InvalidValue {
        let problem = format!("the value {value:?} is not accepted");
        InvalidValue::new(problem, reason, format!("write {}", self.expected()))
    }

    fn integer(&self, text: &str, parsed: Option<i64>) -> Result<Value, InvalidValue> {
        let Self::Integer { min, max } = self else {
            return Err(self.mismatch(text, "the key takes another type"));
        };
        match parsed {
            None => Err(self.mismatch(text, "it is not a whole number of 64 bits")),
            Some(n) if n < *min => Err(self.mismatch(text, &format!("it is below {min}"))),
            Some(n) if n > *max => Err(self.mismatch(text, &format!("it is above {max}"))),
            Some(n) => Ok(Value::Integer(n)),
        }
    }

    fn number(&self, text: &str) -> Result<Value, InvalidValue> {
        let Self::Number { above, below } = self else {
            return Err(self.mismatch(text, "the key takes another type"));
        };
        match text.parse::<f64>() {
            Err(_) => Err(self.mismatch(text, "it is not a number")),
            Ok(n) if !n.is_finite() => Err(self.mismatch(text, "it is not a finite number")),
            Ok(n) if n <= *above => Err(self.mismatch(text, &format!("it is not above {above}"))),
            Ok(n) if n >= *below => Err(self.mismatch(text, &format!("it is not below {below}"))),
            Ok(n) => Ok(Value::Float(n)),
        }
    }

    fn text(&self, text: &str) -> Result<Value, InvalidValue> {
        match self {
            Self::Name => {
                check_name(text).map_err(|reason| self.mismatch(&shortened(text), reason))?
            }
            Self::Address | Self::Listener => {
                self.check_address(text)
                    .map_err(|reason| self.mismatch(&shortened(text), reason))?;
            }
            Self::Addresses => {
                for address in text.split(',').filter(|part| !part.is_empty()) {
                    self.check_address(address.trim())
                        .map_err(|reason| self.mismatch(&shortened(text), reason))?;
                }
            }
            Self::FilePath if text.is_empty() => return Err(self.mismatch(text, "it is empty")),
            Self::Choice(words) if !words.contains(&text) => {
                return Err(self.mismatch(&shortened(text), "it is not a known word"));
            }
            Self::Text | Self::FilePath if text.len() > MAX_TEXT_BYTES => {
                return Err(self.mismatch(&shortened(text), "it is too long"));
            }
            _ => {}
        }
        Ok(Value::String(text.to_owned()))
    }

    fn check_address(&self, text: &str) -> Result<(), &'static str> {
        let address: SocketAddr = text.parse().map_err(|_| "it is not `IP:port`")?;
        match address {
            _ if address.port() == 0 && !matches!(self, Self::Listener) => {
                Err("port 0 cannot be reached")
            }
            _ if address.ip().is_multicast() => Err("a multicast address names no machine"),
            _ => Ok(()),
        }
    }
}

/// Checks the characters and the length of a name.
///
/// # Errors
///
/// Returns why the name is not accepted.
pub fn check_name(name: &str) -> Result<(), &'static str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name {
        "" => Err("it is empty"),
        _ if name.len() > MAX_NAME_BYTES => Err("it is too long"),
        _ if !name.chars().all(allowed) => Err("it has other characters"),
        _ => Ok(()),
    }
}

fn shortened(text: &str) -> String {
    const SHOWN_CHARS: usize = 80;
    text.chars().take(SHOWN_CHARS).collect()
}

fn with_article(word: &str) -> String {
    let vowel = word.starts_with(['a', 'e', 'i', 'o', 'u']);
    let article = if vowel { "an" } else { "a" };
    format!("{article} {word}")
}
