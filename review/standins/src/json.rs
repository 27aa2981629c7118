//! A small reader and writer of JSON, and of base64.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    /// `null`.
    Null,
    /// A truth value.
    Bool(bool),
    /// A number; whole numbers up to 2^53 are exact.
    Number(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// Named values.
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a value.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    /// Returns the value with a name.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(rows) => rows.get(name),
            _ => None,
        }
    }

    /// Returns the text, if it is one.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the whole number, if it is one.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the items of a list; none if it is no list.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => write!(f, "{}", quoted(text)),
            Json::List(items) => {
                let items: Vec<_> = items.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Object(rows) => {
                let rows = rows.iter();
                let rows: Vec<_> = rows
                    .map(|row| format!("{}:{}", quoted(row.0), row.1))
                    .collect();
                write!(f, "{{{}}}", rows.join(","))
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            let mut rows = BTreeMap::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        skip(bytes, at);
                        *at += 1;
                        rows.insert(name, value(bytes, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Object(rows))
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(at, 4, Json::Bool(true)),
        b'f' => word(at, 5, Json::Bool(false)),
        b'n' => word(at, 4, Json::Null),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|it| b"+-.eE0123456789".contains(it))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(at: &mut usize, length: usize, value: Json) -> Option<Json> {
    *at += length;
    Some(value)
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b'r' => out.push(b'\r'),
                    b't' => out.push(b'\t'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        out.extend(char::from_u32(code)?.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => out.push(byte),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                let symbol = (bits >> (18 - 6 * index)) & 63;
                out.push(char::from(ALPHABET[symbol as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
