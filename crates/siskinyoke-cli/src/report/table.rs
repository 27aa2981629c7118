//! Plain-text tables for the terminal.

/// Formats a table whose columns are as wide as their widest cell.
pub fn format_table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let headings: Vec<String> = headings.iter().map(|cell| (*cell).to_owned()).collect();
    let mut widths = vec![0; headings.len()];
    for row in std::iter::once(&headings).chain(rows) {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in std::iter::once(&headings).chain(rows) {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
