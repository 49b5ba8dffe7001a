//! Plain text in columns.

use std::fmt;

/// Spaces between two columns.
const GAP: usize = 2;

/// A table of text under a header.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with nothing but its header.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(ToString::to_string).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row of as many cells as the header has.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = vec![0; self.rows[0].len()];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(cell);
                let padding = width + GAP - cell.chars().count();
                line.extend(std::iter::repeat_n(' ', padding));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
