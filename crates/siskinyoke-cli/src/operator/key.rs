//! `siskinyoke key`: draws a bearer key.

use serde_json::json;

use super::Context;
use super::OperatorError;
use siskinyoke_control::configuration::PageDigest;
use siskinyoke_control::configuration::draw_key;

/// Draws a bearer key and prints it with its digest.
///
/// # Errors
///
/// If the output is closed.
pub fn run(cx: &mut Context<'_>) -> Result<(), OperatorError> {
    let key = draw_key(&mut rand::rng());
    let digest = PageDigest::of(key.as_bytes()).to_string();
    if cx.json {
        return cx.value(&json!({ "key": key, "digest": digest }));
    }
    cx.line(&format!("key     {key}"))?;
    cx.line(&format!("digest  {digest}"))?;
    cx.line("Give the key to its holder and keep only the digest, in the configuration.")
}
