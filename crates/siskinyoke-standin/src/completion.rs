//! The stand-in engine's completions, which callers can compute from their requests.

use std::fmt::Write as _;

/// Minimum length of a completion whose request sets no limit.
const MIN_DEFAULT_WORDS: usize = 8;

/// Number of possible lengths of a completion whose request sets no limit.
const DEFAULT_WORDS_RANGE: usize = 56;

/// Maximum length of a completion. A draft for a whole week, the longest expected, is shorter.
const MAX_WORDS: usize = 8192;

/// Number of bytes that a word shows in hexadecimal.
const WORD_BYTES: usize = 2;

/// A complete response text, derived from a hash of the request's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The ID of the completion.
    pub id: String,
    /// The words, each of which is one token. All but the first start with a space.
    pub words: Vec<String>,
    /// Whether the request's limit determined the length.
    pub truncated: bool,
}

impl Completion {
    /// Generates the completion for the content of a request. If `limit` is set, it is the length
    /// in words.
    pub fn generate(content: &str, limit: Option<u32>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(content.as_bytes());
        let digest = hasher.finalize();
        let default_length =
            MIN_DEFAULT_WORDS + usize::from(digest.as_bytes()[0]) % DEFAULT_WORDS_RANGE;
        let limit = limit.map(|limit| usize::try_from(limit).unwrap_or(MAX_WORDS));
        let count = limit.unwrap_or(default_length).clamp(1, MAX_WORDS);
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

    /// Returns the complete text.
    pub fn text(&self) -> String {
        self.words.concat()
    }
}

fn format_word((index, bytes): (usize, &[u8])) -> String {
    let mut word = String::new();
    if index > 0 {
        word.push(' ');
    }
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(word, "{byte:02x}");
    }
    word
}
