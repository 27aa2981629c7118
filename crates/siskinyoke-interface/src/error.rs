//! Errors in documents and messages of other processes.

use quick_error::quick_error;

quick_error! {
    /// A document or message that cannot be decoded.
    #[derive(Debug)]
    pub enum FormatError {
        /// The bytes are not JSON, or a field is missing, unknown or of the wrong type.
        Json(err: serde_json::Error) {
            display("unexpected document format: {err}")
            source(err)
            from()
        }
        /// The text is not valid JSON with comments.
        Syntax(text: String) {
            display("document is not valid JSON with comments: {text}")
        }
        /// A stored key or value is not valid base64.
        Encoding(err: base64::DecodeError) {
            display("stored data is not valid base64: {err}")
            source(err)
            from()
        }
        /// The store has compacted the requested revision.
        Compacted {
            display("the store has compacted the requested revision; a full read is needed")
        }
        /// Another page follows, but it is not known where it begins.
        NoNextPage {
            display("the store does not say where the next page begins")
        }
        /// The value of a field is invalid.
        InvalidValue(field: String, hint: &'static str) {
            display("'{field}' cannot be used: {hint}")
        }
        /// The value of a field is none of the defined ones.
        UnknownValue(field: &'static str, value: String) {
            display("{field} has the unknown value '{value}'")
        }
    }
}
