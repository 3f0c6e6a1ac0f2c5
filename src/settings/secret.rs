//! The secret shared by VMs and operators.

use std::fmt;
use std::fs::File;
use std::io::Read;
use std::path::Path;

use subtle::ConstantTimeEq;

use crate::error::{Error, Result};

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Maximum length of a secret, in bytes.
pub const MAX_SECRET_BYTES: usize = 1_024;

/// A shared secret; its `Debug` output does not reveal it.
///
/// # Examples
///
/// ```
/// use chestnutlug::settings::Secret;
///
/// let secret = Secret::new("correct horse battery\n").unwrap();
/// assert!(secret.matches("correct horse battery"));
/// assert!(!secret.matches("correct horse"));
/// assert_eq!(format!("{secret:?}"), "Secret(..)");
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret; surrounding whitespace is trimmed.
    ///
    /// # Errors
    ///
    /// Returns an error if the secret is too short or too long, or contains characters that an HTTP
    /// header cannot carry.
    pub fn new(text: &str) -> Result<Self> {
        let text = text.trim();
        let bounds = MIN_SECRET_BYTES..=MAX_SECRET_BYTES;
        if !bounds.contains(&text.len()) || !text.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
        {
            return Err(Error::Other(format!(
                "the secret must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} printable ASCII \
                 characters"
            )));
        }
        Ok(Self(text.to_owned()))
    }

    /// Reads a secret from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not contain a valid secret.
    pub fn read(path: &Path) -> Result<Self> {
        let context = path.display().to_string();
        let mut text = String::new();
        let file = File::open(path).map_err(Error::io(&context))?;
        // The limit leaves room for line breaks after a secret of maximum length.
        let mut limited = file.take(2 * MAX_SECRET_BYTES as u64);
        limited
            .read_to_string(&mut text)
            .map_err(Error::io(&context))?;
        Self::new(&text).map_err(|error| Error::Other(format!("{context}: {error}")))
    }

    /// Whether `presented` equals the secret, compared in constant time for a given length.
    pub fn matches(&self, presented: &str) -> bool {
        self.0.as_bytes().ct_eq(presented.as_bytes()).into()
    }

    /// Returns the secret in plain text, to authenticate to another process.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
