//! Encoding and decoding of messages.

use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;

use crate::message::{Envelope, PROTOCOL_VERSION};

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CodecError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("the message has {0} bytes; at most {MAX_MESSAGE_BYTES} are allowed")]
    TooLarge(usize),
    /// The sender has another protocol version.
    #[error("the message has version {0}; this process speaks version {PROTOCOL_VERSION}")]
    Version(u16),
    /// The message does not carry the shared secret.
    #[error("the message carries a wrong secret")]
    Secret,
    /// The message is malformed.
    #[error("the message cannot be read: {0}")]
    Malformed(String),
}

/// Encodes `body` with the protocol version and `secret`.
pub(super) fn encode<T: Serialize>(secret: &str, body: T) -> Result<Vec<u8>, CodecError> {
    let envelope = Envelope {
        version: PROTOCOL_VERSION,
        secret: secret.to_owned(),
        body,
    };
    let malformed = |error: postcard::Error| CodecError::Malformed(error.to_string());
    let bytes = postcard::to_stdvec(&envelope).map_err(malformed)?;
    check_size(&bytes)?;
    Ok(bytes)
}

/// Checks the size, the protocol version and the secret of a message, in this order, and decodes
/// its body.
pub(super) fn decode<T: DeserializeOwned>(secret: &str, bytes: &[u8]) -> Result<T, CodecError> {
    check_size(bytes)?;
    let malformed = |error: postcard::Error| CodecError::Malformed(error.to_string());
    // The version is decoded on its own, because the rest may have another layout in other
    // versions.
    let (version, rest) = postcard::take_from_bytes::<u16>(bytes).map_err(malformed)?;
    if version != PROTOCOL_VERSION {
        return Err(CodecError::Version(version));
    }
    let (sent, rest) = postcard::take_from_bytes::<&str>(rest).map_err(malformed)?;
    if !bool::from(sent.as_bytes().ct_eq(secret.as_bytes())) {
        return Err(CodecError::Secret);
    }
    let (body, rest) = postcard::take_from_bytes::<T>(rest).map_err(malformed)?;
    if !rest.is_empty() {
        let reason = format!("{} bytes after the end", rest.len());
        return Err(CodecError::Malformed(reason));
    }
    Ok(body)
}

fn check_size(bytes: &[u8]) -> Result<(), CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(())
}
