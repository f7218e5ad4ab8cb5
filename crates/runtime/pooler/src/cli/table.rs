//! Tables of texts received from other machines, made safe to print on a terminal.

/// Rows of cells, each column as wide as its widest cell.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column names as its first row, or without a first row if there
    /// are no names.
    pub(super) fn new(column_names: &[&str]) -> Table {
        let mut table = Table { rows: Vec::new() };
        if !column_names.is_empty() {
            table.add_row(column_names);
        }
        table
    }

    /// Adds a row at the end.
    pub(super) fn add_row(&mut self, cells: &[&str]) {
        self.rows.push(
            cells
                .iter()
                .map(|cell| without_control_chars(cell))
                .collect(),
        );
    }

    /// Returns the table as text, with two spaces between columns and no spaces at the ends of
    /// lines.
    pub(super) fn text(&self) -> String {
        let widths = self.column_widths();
        let line = |row: &Vec<String>| {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            cells.join("  ").trim_end().to_owned() + "\n"
        };
        self.rows.iter().map(line).collect()
    }

    /// Returns the width of each column, in characters.
    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| {
                self.rows
                    .iter()
                    .filter_map(|row| row.get(column))
                    .map(|cell| cell.chars().count())
                    .max()
                    .unwrap_or(0)
            })
            .collect()
    }
}

/// Replaces each control character by `?`, so that the text neither ends the line nor controls the
/// terminal.
pub(super) fn without_control_chars(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}
