//! Suggests a known word for a misspelled one.

use strsim::levenshtein;

/// Maximum edit distance at which a word still counts as a misspelling.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the word of `known` with the smallest edit distance to `word`, if it is at most 3 and at
/// most half the length of `word`.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::closest_match;
///
/// assert_eq!(closest_match("wieght", ["quota", "weight"]), Some("weight"));
/// assert_eq!(closest_match("colour", ["quota", "weight"]), None);
/// ```
pub fn closest_match<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let limit = MAX_EDIT_DISTANCE.min(word.chars().count() / 2);
    let candidates = known
        .into_iter()
        .map(|other| (levenshtein(word, other), other));
    let close = candidates.filter(|&(distance, _)| distance <= limit);
    close.min().map(|(_, other)| other)
}
