//! The page of result codes says what the code does.

use siskinyoke_base::Code;

/// The page.
const CODES_PAGE: &str = include_str!("../../../docs/CODES.md");

/// Fields of a row: code, name, kind, HTTP status, text, what to do.
const COLUMN_COUNT: usize = 6;

#[test]
fn the_page_lists_every_code_as_it_is() {
    let rows = CODES_PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| code"));
    let rows: Vec<Vec<&str>> = rows.map(fields).collect();
    assert_eq!(rows.len(), Code::ALL.len(), "rows and codes");
    for (row, code) in rows.iter().zip(Code::ALL) {
        assert_eq!(row.len(), COLUMN_COUNT, "{row:?}");
        let wanted = [
            code.number().to_string(),
            format!("{code:?}"),
            code.kind().to_string(),
            code.status().to_string(),
            code.text().to_owned(),
        ];
        assert_eq!(row[..COLUMN_COUNT - 1], wanted);
        assert!(!row[COLUMN_COUNT - 1].is_empty(), "{code}: nothing to do");
    }
}

#[test]
fn codes_are_in_the_order_of_their_numbers() {
    assert!(Code::ALL.is_sorted_by(|one, next| one.number() < next.number()));
}

fn fields(row: &str) -> Vec<&str> {
    let inner = row.trim_start_matches("| ").trim_end_matches(" |");
    inner.split(" | ").collect()
}
