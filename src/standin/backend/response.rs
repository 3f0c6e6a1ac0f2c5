//! Responses of a stand-in backend server, built so that a caller can check them.

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// Maximum size of a chunk of a streamed response.
const CHUNK_BYTES: usize = 16 * 1024;

/// Difference between a response and the complete response to the caller's request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseMismatch {
    /// The response has the wrong length.
    #[error("{found} bytes instead of {expected}")]
    Length {
        /// Expected length, in bytes.
        expected: usize,
        /// Length of the response, in bytes.
        found: usize,
    },
    /// The response belongs to another request, or was altered.
    #[error("byte {offset} is not of the answer to this request")]
    Content {
        /// Offset of the first wrong byte.
        offset: usize,
    },
}

/// Digest of the body of a request, computed chunk by chunk.
#[derive(Default)]
pub struct BodyDigest {
    hash: Xxh3,
    bytes: u64,
}

impl BodyDigest {
    /// Adds the next chunk.
    pub fn update(&mut self, chunk: &[u8]) {
        self.hash.update(chunk);
        self.bytes += chunk.len() as u64;
    }

    /// First line of the response to the request `request_id`.
    pub fn first_line(&self, request_id: &str) -> String {
        format!("{request_id} {} {:016x}\n", self.bytes, self.hash.digest())
    }
}

/// Chunks of a response: its first line, then `bytes` bytes that repeat that line.
pub fn response_chunks(
    first_line: &str,
    bytes: usize,
) -> impl Iterator<Item = Bytes> + Send + use<> {
    let pattern = first_line.as_bytes().to_vec();
    let first = Bytes::from(pattern.clone());
    let starts = (0..bytes).step_by(CHUNK_BYTES);
    let rest = starts.map(move |start| {
        let end = bytes.min(start + CHUNK_BYTES);
        (start..end)
            .map(|offset| pattern[offset % pattern.len()])
            .collect()
    });
    std::iter::once(first).chain(rest)
}

/// Checks that `response` is the complete response to the request `request_id` with the body
/// `request_body`, in which `response_bytes` bytes were requested after the first line.
///
/// # Errors
///
/// Returns the first difference from the expected response.
///
/// # Examples
///
/// ```
/// use chestnutlug::standin::backend::check_response;
///
/// let response = b"r-1 0 2d06800538d394c2\nr-1";
/// assert!(check_response(response, "r-1", b"", 3).is_ok());
/// assert!(check_response(response, "r-2", b"", 3).is_err());
/// assert!(check_response(response, "r-1", b"", 4).is_err());
/// ```
pub fn check_response(
    response: &[u8],
    request_id: &str,
    request_body: &[u8],
    response_bytes: usize,
) -> Result<(), ResponseMismatch> {
    let mut digest = BodyDigest::default();
    digest.update(request_body);
    let first_line = digest.first_line(request_id);
    let expected = first_line.len() + response_bytes;
    if response.len() != expected {
        let found = response.len();
        return Err(ResponseMismatch::Length { expected, found });
    }
    let expected_bytes = first_line.bytes().cycle();
    match response
        .iter()
        .zip(expected_bytes)
        .position(|(a, b)| *a != b)
    {
        Some(offset) => Err(ResponseMismatch::Content { offset }),
        None => Ok(()),
    }
}
