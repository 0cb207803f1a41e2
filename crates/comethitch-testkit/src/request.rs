//! Derives the key of a request, and whether it is a write, from its text.

/// First words of statements that write, in lower case.
const WRITE_VERBS: [&str; 3] = ["insert", "update", "delete"];

/// Returns the key of a request, which is its first text in single quotes, or an empty string if it has none.
/// Tests give each request a unique key, and hosts answer with it.
pub fn request_key(text: &str) -> &str {
    text.split('\'').nth(1).unwrap_or_default()
}

/// Returns whether a request is a write, judged by the first word after its last comment. Recognizes only the
/// statements that tests send.
pub fn is_write(text: &str) -> bool {
    let without_comment = text.rsplit_once("*/").map_or(text, |(_, rest)| rest).trim_start();
    let lowercase = without_comment.to_ascii_lowercase();
    WRITE_VERBS.iter().any(|verb| lowercase.starts_with(verb))
}
