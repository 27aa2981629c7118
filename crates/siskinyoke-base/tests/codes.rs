//! Checks that `docs/CODES.md` matches the result codes.

use siskinyoke_base::Code;

const CODES_PAGE: &str = include_str!("../../../docs/CODES.md");

/// Columns of the table: code, name, kind, HTTP status, text, what to do.
const COLUMN_COUNT: usize = 6;

#[test]
fn the_page_lists_every_code_with_its_properties() {
    let rows = CODES_PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| code"));
    let rows: Vec<Vec<&str>> = rows.map(cells).collect();
    assert_eq!(
        rows.len(),
        Code::ALL.len(),
        "number of table rows and of codes"
    );
    for (row, code) in rows.iter().zip(Code::ALL) {
        assert_eq!(row.len(), COLUMN_COUNT, "{row:?}");
        let expected = [
            code.number().to_string(),
            format!("{code:?}"),
            code.kind().to_string(),
            code.status().to_string(),
            code.text().to_owned(),
        ];
        assert_eq!(row[..COLUMN_COUNT - 1], expected);
        assert!(
            !row[COLUMN_COUNT - 1].is_empty(),
            "{code}: the column of what to do is empty"
        );
    }
}

#[test]
fn codes_are_in_the_order_of_their_numbers() {
    assert!(Code::ALL.is_sorted_by(|one, next| one.number() < next.number()));
}

fn cells(row: &str) -> Vec<&str> {
    let inner = row.trim_start_matches("| ").trim_end_matches(" |");
    inner.split(" | ").collect()
}
