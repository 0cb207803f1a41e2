//! What hosts and the ledger read from a request's text: its key, and whether it writes.

/// Verbs that make a request a write.
const WRITE_VERBS: [&str; 3] = ["insert", "update", "delete"];

/// The key of a request: its first text in single quotes, or an empty text.
pub fn key(text: &str) -> &str {
    text.split('\'').nth(1).unwrap_or_default()
}

/// Whether a request writes, by its first verb after any comment. Enough for requests that tests send.
pub fn writes(text: &str) -> bool {
    let without_comment = text.rsplit_once("*/").map_or(text, |(_, rest)| rest).trim_start();
    let lowercase = without_comment.to_ascii_lowercase();
    WRITE_VERBS.iter().any(|verb| lowercase.starts_with(verb))
}
