//! The answers of the stand-in engine, which a caller can foretell from its own request.

use std::fmt::Write as _;

/// Fewest words of an answer whose length the request leaves open.
const MIN_DEFAULT_WORDS: usize = 8;

/// Span of lengths above the shortest.
const DEFAULT_WORDS_RANGE: usize = 56;

/// Most words of any answer; a draft of a whole week stays below.
const MAX_WORDS: usize = 8192;

/// Bytes that one word is drawn from; it shows them in hexadecimal.
const WORD_BYTES: usize = 2;

/// A whole answer, drawn from the digest of the request's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The name that the answer goes by.
    pub id: String,
    /// Its words; each is one token, and all but the first begin with a space.
    pub words: Vec<String>,
    /// Whether the request's limit set the length.
    pub truncated: bool,
}

impl Completion {
    /// Draws the answer to a content; `limit` sets its length if the request gives one.
    pub fn generate(content: &str, limit: Option<u32>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(content.as_bytes());
        let digest = hasher.finalize();
        let open = MIN_DEFAULT_WORDS + usize::from(digest.as_bytes()[0]) % DEFAULT_WORDS_RANGE;
        let limit = limit.map(|limit| usize::try_from(limit).unwrap_or(MAX_WORDS));
        let count = limit.unwrap_or(open).clamp(1, MAX_WORDS);
        let mut bytes = vec![0; count * WORD_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self {
            id: format!("chatcmpl-{}", &digest.to_hex()[..16]),
            words: bytes
                .chunks(WORD_BYTES)
                .enumerate()
                .map(format_word)
                .collect(),
            truncated: limit.is_some(),
        }
    }

    /// Returns the whole text.
    pub fn text(&self) -> String {
        self.words.concat()
    }
}

fn format_word((place, bytes): (usize, &[u8])) -> String {
    let mut word = String::new();
    if place > 0 {
        word.push(' ');
    }
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(word, "{byte:02x}");
    }
    word
}
