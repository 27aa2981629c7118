//! Self-contained HTML pages.

use std::fmt::Write;

/// The style sheet of the pages.
const STYLE_SHEET: &str = "body{font:15px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.3em .8em;text-align:left;\
border-bottom:1px solid #ddd}.fast{background:#f8c9c4}.slow{background:#fbe6b8}\
.over{background:#eef3fa}svg{max-width:100%;height:auto}";

/// Builds an HTML page that loads no external resources.
#[derive(Debug)]
pub struct Page {
    body: String,
    title: String,
}

impl Page {
    /// Creates a page with a title.
    pub fn new(title: &str) -> Self {
        let title = escape(title);
        let body = format!("<h1>{title}</h1>\n");
        Self { body, title }
    }

    /// Adds a heading.
    pub fn heading(&mut self, text: &str) {
        self.push_line(&format!("<h2>{}</h2>", escape(text)));
    }

    /// Adds a paragraph.
    pub fn paragraph(&mut self, text: &str) {
        self.push_line(&format!("<p>{}</p>", escape(text)));
    }

    /// Adds a table. Each row comes with the CSS class that sets its colour.
    pub fn table(&mut self, headings: &[&str], rows: &[(&str, Vec<String>)]) {
        let cells = |tag: &str, row: &[String]| {
            let cell = |text: &String| format!("<{tag}>{}</{tag}>", escape(text));
            row.iter().map(cell).collect::<String>()
        };
        let headings: Vec<String> = headings.iter().map(|cell| (*cell).to_owned()).collect();
        self.push_line(&format!("<table><tr>{}</tr>", cells("th", &headings)));
        for (class, row) in rows {
            self.push_line(&format!("<tr class=\"{class}\">{}</tr>", cells("td", row)));
        }
        self.push_line("</table>");
    }

    /// Adds an SVG image.
    pub fn svg(&mut self, svg: &str) {
        self.push_line(svg);
    }

    /// Returns the complete page.
    pub fn finish(self) -> String {
        let Self { body, title } = self;
        format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>{title}</title><style>{STYLE_SHEET}</style></head>\n<body>\n{body}</body></html>\n"
        )
    }

    fn push_line(&mut self, html: &str) {
        writeln!(self.body, "{html}").expect("writing to a string never fails");
    }
}

/// Escapes markup characters, so that names in logs cannot inject markup into the page.
fn escape(text: &str) -> String {
    let mut escaped = String::new();
    for char in text.chars() {
        match char {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            _ => escaped.push(char),
        }
    }
    escaped
}
