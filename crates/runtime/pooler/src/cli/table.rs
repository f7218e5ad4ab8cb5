//! Tables of texts from elsewhere, safe to print on a terminal.

/// Rows of cells, each column as wide as its widest cell.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with this line of column names on top; without it if there are none.
    pub(super) fn new(column_names: &[&str]) -> Table {
        let mut table = Table { rows: Vec::new() };
        if !column_names.is_empty() {
            table.add_row(column_names);
        }
        table
    }

    /// Adds a row below.
    pub(super) fn add_row(&mut self, cells: &[&str]) {
        self.rows.push(
            cells
                .iter()
                .map(|cell| without_control_chars(cell))
                .collect(),
        );
    }

    /// The table as text, two blanks between columns and none at the ends of lines.
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

    /// The width of each column, in characters.
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

/// The text with `?` for each control character, so that it neither ends the line nor controls the
/// terminal.
pub(super) fn without_control_chars(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}
