//! The known word nearest to an unknown one.

use strsim::levenshtein;

/// The most edits at which a word still counts as a misspelling.
const MAX_EDITS: usize = 3;

/// The word of `known` that is the fewest edits away from `word`, where that is near enough.
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
    let limit = MAX_EDITS.min(word.chars().count() / 2);
    let candidates = known
        .into_iter()
        .map(|other| (levenshtein(word, other), other));
    let near = candidates.filter(|&(distance, _)| distance <= limit);
    near.min().map(|(_, other)| other)
}
