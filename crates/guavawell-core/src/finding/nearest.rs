//! Finds the known word that is most similar to a mistyped one.

/// Words are similar if their distance is at most the length of the longer word
/// divided by this.
const MAX_DISTANCE_DIVISOR: usize = 2;

/// Returns the word of `known` with the smallest edit distance to `word`, unless
/// that distance is more than half of the longer word's length.
#[must_use]
pub fn nearest_word<'k>(word: &str, known: &[&'k str]) -> Option<&'k str> {
    let scored = known
        .iter()
        .map(|known| (edit_distance(word, known), *known));
    let (distance, nearest) = scored.min()?;
    let longest = word.len().max(nearest.len());
    (distance * MAX_DISTANCE_DIVISOR <= longest).then_some(nearest)
}

/// Optimal string alignment distance in characters: Levenshtein distance in which
/// swapping two adjacent characters counts as one edit.
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
