//! What can be wrong with a message of another process.

use quick_error::quick_error;

quick_error! {
    /// A message that cannot be understood.
    #[derive(Debug)]
    pub enum FormatError {
        /// The bytes are no document, or a field is missing or of another type.
        Json(err: serde_json::Error) {
            display("not the expected document: {err}")
            source(err)
            from()
        }
        /// The text is not JSON with comments.
        Syntax(text: String) {
            display("is not JSON with comments: {text}")
        }
        /// A stored value is not in the encoding that stored values have.
        Encoding(err: base64::DecodeError) {
            display("a stored value is not base64 text: {err}")
            source(err)
            from()
        }
        /// The store no longer has the changes that were asked for.
        Compacted {
            display("the store has forgotten the changes asked for (everything is read anew)")
        }
        /// A field is outside what can work.
        InvalidValue(field: String, hint: &'static str) {
            display("'{field}' cannot be used: {hint}")
        }
        /// A word stands where only certain words may.
        UnknownValue(field: &'static str, word: String) {
            display("{field} is '{word}', which is not known")
        }
    }
}
