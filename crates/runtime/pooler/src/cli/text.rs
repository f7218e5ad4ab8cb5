//! Tables of texts that come from elsewhere.

/// Rows of cells, each column as wide as its widest cell.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with this line of names on top, none if it is empty.
    pub(super) fn new(names: &[&str]) -> Table {
        let mut table = Table { rows: Vec::new() };
        if !names.is_empty() {
            table.row(names);
        }
        table
    }

    /// Adds a row below.
    pub(super) fn row(&mut self, cells: &[&str]) {
        self.rows
            .push(cells.iter().map(|cell| clean(cell)).collect());
    }

    /// The whole table, two blanks between columns and none at the ends of lines.
    pub(super) fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let of = |column: usize| self.rows.iter().filter_map(move |row| row.get(column));
        let widths: Vec<usize> = (0..columns)
            .map(|column| {
                of(column)
                    .map(|cell| cell.chars().count())
                    .max()
                    .unwrap_or(0)
            })
            .collect();
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
}

/// The text without what would steer a terminal or end the line.
pub(super) fn clean(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}
