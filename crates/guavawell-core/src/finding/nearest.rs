//! The nearest known word to a mistyped one.

/// Words further apart than this share of their length are not near.
const MAX_DISTANCE_DIVISOR: usize = 2;

/// The word of `known` with the fewest edits from `word`, if it is near.
#[must_use]
pub fn nearest_word<'k>(word: &str, known: &[&'k str]) -> Option<&'k str> {
    let scored = known
        .iter()
        .map(|known| (edit_distance(word, known), *known));
    let (distance, nearest) = scored.min()?;
    let longest = word.len().max(nearest.len());
    (distance * MAX_DISTANCE_DIVISOR <= longest).then_some(nearest)
}

/// Levenshtein distance in characters, where a swap of two neighbours counts
/// as one edit (optimal string alignment).
fn edit_distance(left: &str, right: &str) -> usize {
    let left: Vec<char> = left.chars().collect();
    let right: Vec<char> = right.chars().collect();
    let mut two_rows_above: Vec<usize> = Vec::new();
    let mut row_above: Vec<usize> = (0..=right.len()).collect();
    for row in 1..=left.len() {
        let mut current = vec![row];
        for column in 1..=right.len() {
            let same = left[row - 1] == right[column - 1];
            let replaced = row_above[column - 1] + usize::from(!same);
            let mut best = replaced
                .min(row_above[column] + 1)
                .min(current[column - 1] + 1);
            let swapped = row > 1
                && column > 1
                && left[row - 1] == right[column - 2]
                && left[row - 2] == right[column - 1];
            if swapped {
                best = best.min(two_rows_above[column - 2] + 1);
            }
            current.push(best);
        }
        two_rows_above = std::mem::replace(&mut row_above, current);
    }
    row_above[right.len()]
}
