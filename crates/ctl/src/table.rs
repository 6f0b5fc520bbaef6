//! Text tables for the printed reports.

use std::fmt;

/// Text printed between two columns.
const COLUMN_SEPARATOR: &str = "  ";

/// A table with a header row. `Display` pads the cells so that columns are left-aligned.
#[derive(Clone, Debug)]
pub(crate) struct Table<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    /// Creates a table that has only its header row.
    pub(crate) fn new(header: [&str; COLUMNS]) -> Self {
        Table {
            rows: vec![header.map(str::to_owned)],
        }
    }

    /// Appends a row below the others.
    pub(crate) fn push(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row);
    }

    /// Width of the widest cell of a column, in characters.
    fn width(&self, column: usize) -> usize {
        let widths = self.rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    }
}

impl<const COLUMNS: usize> fmt::Display for Table<COLUMNS> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: [usize; COLUMNS] = std::array::from_fn(|column| self.width(column));
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"));
            let cells = cells.collect::<Vec<_>>().join(COLUMN_SEPARATOR);
            writeln!(formatter, "{}", cells.trim_end())?;
        }
        Ok(())
    }
}
