//! Bearer keys, of which the configuration holds only digests.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::RngCore;

/// Random bytes in a key; 256 bits cannot be guessed.
const KEY_LEN: usize = 32;

/// What keys begin with, so that a scanner for leaked secrets can find them.
const KEY_PREFIX: &str = "siskin_";

/// Draws a new bearer key.
pub fn draw_key(rng: &mut dyn RngCore) -> String {
    let mut bytes = [0; KEY_LEN];
    rng.fill_bytes(&mut bytes);
    format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
}

/// Returns the digest of a bearer key, as documents hold it in hexadecimal.
pub fn key_digest(key: &str) -> [u8; 32] {
    *blake3::hash(key.as_bytes()).as_bytes()
}
