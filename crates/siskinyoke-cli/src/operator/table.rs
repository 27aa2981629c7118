//! Plain tables on a terminal.

use super::Context;
use super::OperatorError;

/// Prints rows in columns as wide as their widest cell.
///
/// # Errors
///
/// If the output is closed.
pub fn print(
    cx: &mut Context<'_>,
    head: &[&str],
    rows: &[Vec<String>],
) -> Result<(), OperatorError> {
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    for row in std::iter::once(&head).chain(rows) {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        cx.line(cells.join("  ").trim_end())?;
    }
    Ok(())
}
