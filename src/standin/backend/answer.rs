//! The answers of a stand-in backend server, made so that a caller can check them.

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// The largest piece of a streamed answer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Why an answer is not whole or not the caller's own.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// The answer is shorter or longer than it should be.
    #[error("{found} bytes instead of {expected}")]
    Length {
        /// The length that it should have.
        expected: usize,
        /// The length that it has.
        found: usize,
    },
    /// The answer is to another request, or was changed.
    #[error("byte {at} is not of the answer to this request")]
    Content {
        /// The first wrong byte.
        at: usize,
    },
}

/// A digest of a request's body, to be computed piece by piece.
#[derive(Default)]
pub struct Digest {
    hash: Xxh3,
    bytes: u64,
}

impl Digest {
    /// Adds a piece.
    pub fn update(&mut self, piece: &[u8]) {
        self.hash.update(piece);
        self.bytes += piece.len() as u64;
    }

    /// The line that begins the answer to `request`.
    pub fn line(&self, request: &str) -> String {
        format!("{request} {} {:016x}\n", self.bytes, self.hash.digest())
    }
}

/// The pieces of an answer: its first line, then `bytes` bytes that repeat that line.
pub fn pieces(line: &str, bytes: usize) -> impl Iterator<Item = Bytes> + Send + use<> {
    let pattern = line.as_bytes().to_vec();
    let first = Bytes::from(pattern.clone());
    let starts = (0..bytes).step_by(CHUNK_BYTES);
    let rest = starts.map(move |start| {
        let end = bytes.min(start + CHUNK_BYTES);
        (start..end).map(|at| pattern[at % pattern.len()]).collect()
    });
    std::iter::once(first).chain(rest)
}

/// Checks that `answer` is the whole answer to `request` with the body `sent`, asked for with
/// `answer_bytes`.
///
/// # Errors
///
/// Returns what is wrong with the answer.
///
/// # Examples
///
/// ```
/// use chestnutlug::standin::backend::check_response;
///
/// let answer = b"r-1 0 2d06800538d394c2\nr-1";
/// assert!(check_response(answer, "r-1", b"", 3).is_ok());
/// assert!(check_response(answer, "r-2", b"", 3).is_err());
/// assert!(check_response(answer, "r-1", b"", 4).is_err());
/// ```
pub fn check_response(
    answer: &[u8],
    request: &str,
    sent: &[u8],
    answer_bytes: usize,
) -> Result<(), AnswerError> {
    let mut digest = Digest::default();
    digest.update(sent);
    let line = digest.line(request);
    let expected = line.len() + answer_bytes;
    if answer.len() != expected {
        let found = answer.len();
        return Err(AnswerError::Length { expected, found });
    }
    let wanted = line.bytes().cycle();
    match answer.iter().zip(wanted).position(|(a, b)| *a != b) {
        Some(at) => Err(AnswerError::Content { at }),
        None => Ok(()),
    }
}
