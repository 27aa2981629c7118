//! Self-contained HTML pages.

use std::fmt::Write;

const STYLE: &str = "body{font:15px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.3em .8em;text-align:left;\
border-bottom:1px solid #ddd}.fast{background:#f8c9c4}.slow{background:#fbe6b8}\
.over{background:#eef3fa}svg{max-width:100%;height:auto}";

/// Builds one page, which loads nothing from anywhere.
#[derive(Debug)]
pub struct Page {
    body: String,
    title: String,
}

impl Page {
    /// Begins a page.
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

    /// Adds a table; each row comes with the class that colours it.
    pub fn table(&mut self, head: &[&str], rows: &[(&str, Vec<String>)]) {
        let cells = |tag: &str, row: &[String]| {
            let cell = |text: &String| format!("<{tag}>{}</{tag}>", escape(text));
            row.iter().map(cell).collect::<String>()
        };
        let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
        self.push_line(&format!("<table><tr>{}</tr>", cells("th", &head)));
        for (class, row) in rows {
            self.push_line(&format!("<tr class=\"{class}\">{}</tr>", cells("td", row)));
        }
        self.push_line("</table>");
    }

    /// Adds a drawing.
    pub fn svg(&mut self, svg: &str) {
        self.push_line(svg);
    }

    /// Returns the whole page.
    pub fn finish(self) -> String {
        let Self { body, title } = self;
        format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>{title}</title><style>{STYLE}</style></head>\n<body>\n{body}</body></html>\n"
        )
    }

    fn push_line(&mut self, html: &str) {
        writeln!(self.body, "{html}").expect("a string takes all");
    }
}

/// Guards against a name that holds markup: it would be read as a part of the page.
fn escape(text: &str) -> String {
    let mut safe = String::new();
    for char in text.chars() {
        match char {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            _ => safe.push(char),
        }
    }
    safe
}
