//! Which rows a report contains where there are more than fit.

/// Selects the rows of a report: the first ones, which matter most, and the others in turn, so that
/// several reports together contain them all.
#[derive(Debug, Default)]
pub(crate) struct ReportTurns {
    // How many of the other rows were selected so far.
    selected: usize,
}

impl ReportTurns {
    /// Returns at most `limit` rows, half of them the first ones.
    pub(crate) fn select<T>(&mut self, mut rows: Vec<T>, limit: usize) -> Vec<T> {
        if rows.len() <= limit {
            return rows;
        }
        let mut others = rows.split_off(limit / 2);
        let start = self.selected % others.len();
        others.rotate_left(start);
        others.truncate(limit - rows.len());
        self.selected = start + others.len();
        rows.extend(others);
        rows
    }
}
