//! The nearest known word to a misspelt one.

/// Words further apart than this share of their length are not near.
const NEAR_SHARE: usize = 2;

/// The word of `known` with the fewest edits from `word`, if it is near.
#[must_use]
pub fn nearest_word<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let scored = known
        .iter()
        .map(|known| (edit_distance(word, known), *known));
    let (distance, nearest) = scored.min()?;
    let longest = word.len().max(nearest.len());
    (distance * NEAR_SHARE <= longest).then_some(nearest)
}

/// The Levenshtein distance between two words, in bytes.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_byte) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right_byte) in right.bytes().enumerate() {
            let substituted = diagonal + usize::from(left_byte != right_byte);
            diagonal = row[column + 1];
            let inserted = row[column] + 1;
            let deleted = diagonal + 1;
            row[column + 1] = substituted.min(inserted).min(deleted);
        }
    }
    row[right.len()]
}
