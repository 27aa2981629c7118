//! JSON documents, as far as the stand-in of the store reads them, and Base64.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number, as it is written.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Json>),
    /// An object.
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        parse_value(bytes, &mut 0)
    }

    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns the text of a string, or nothing.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    /// Returns the items of an array.
    pub fn items(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => parse_table(bytes, at),
        b'[' => parse_list(bytes, at),
        b'"' => parse_text(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|it| it.is_ascii_alphanumeric() || b"+-.".contains(it))
            {
                *at += 1;
            }
            let word = String::from_utf8_lossy(&bytes[start..*at]).into_owned();
            let numeric = word.starts_with(|it: char| it.is_ascii_digit() || it == '-');
            Some(if numeric {
                Json::Number(word)
            } else {
                Json::Word(word)
            })
        }
    }
}

fn parse_table(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut fields = BTreeMap::new();
    *at += 1;
    loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Table(fields));
            }
            b',' => *at += 1,
            _ => {
                let name = parse_text(bytes, at)?;
                skip_space(bytes, at);
                *at += 1;
                fields.insert(name, parse_value(bytes, at)?);
            }
        }
    }
}

fn parse_list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut items = Vec::new();
    *at += 1;
    loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            b',' => *at += 1,
            _ => items.push(parse_value(bytes, at)?),
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    let mut text = Vec::new();
    *at += 1;
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                // The documents that are read here escape nothing but quotes and slashes.
                text.push(*bytes.get(*at + 1)?);
                *at += 2;
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

/// Encodes bytes as Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit > part.len() {
                '='
            } else {
                DIGITS[index] as char
            });
        }
    }
    text
}
