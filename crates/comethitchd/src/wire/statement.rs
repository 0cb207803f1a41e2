//! The comment that a client's statement begins with.

use std::ops::Range;

const LONGEST_ID: usize = 64;
/// The forms of statement that hosts take: `%` is a name, `$` a text, `#` a value in hexadecimal digits.
const READ: &str = "SELECT % FROM % WHERE % = $";
const WRITE: &str = "INSERT INTO % ( % , % ) VALUES ( $ , # ) RETURNING %";

/// What the comment says; the statement itself is passed on as it came, but for the value of `d`.
#[derive(Debug, PartialEq, Eq)]
pub struct Comment<'a> {
    pub id: &'a str,
    pub group: &'a str,
    /// For how many milliseconds the client waits, and where that stands in the statement.
    pub wait_ms: u64,
    pub wait_at: Range<usize>,
    pub shard: u16,
    /// The commit that a session's read must see, in milliseconds of Unix time.
    pub after_ms: Option<u64>,
}

/// Reads `/* id=9b1f,c=basket,d=480,cluster=2 */ SELECT …`: the fields in any order, unknown ones let be, and
/// behind them a statement of a form that hosts take.
///
/// ```
/// use comethitchd::wire::statement::comment;
/// let text = b"/* d=480,id=9b1f,cluster=2,c=basket,x=1 */ SELECT data FROM facts WHERE code = 'k'";
/// let comment = comment(text).unwrap();
/// assert_eq!((comment.group, comment.shard, &text[comment.wait_at]), ("basket", 2, &b"480"[..]));
/// ```
pub fn comment(text: &[u8]) -> Result<Comment<'_>, String> {
    let fields = fields(text)?;
    let missing = |name: &str| format!("{name} is missing from the comment");
    let id = fields.id.ok_or_else(|| missing("id"))?;
    let (wait_ms, wait_at) = fields.wait.ok_or_else(|| missing("d"))?;
    let group = fields.group.ok_or_else(|| missing("c"))?;
    let shard = fields.shard.ok_or_else(|| missing("cluster"))?;
    let statement = &text[fields.end..];
    if !follows(statement, READ) && !follows(statement, WRITE) {
        return Err("the statement is none that hosts take".into());
    }
    Ok(Comment { id, group, wait_ms, wait_at, shard, after_ms: fields.after_ms })
}

/// What a comment holds of the fields that are known, whatever statement follows.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    pub id: Option<&'a str>,
    pub group: Option<&'a str>,
    pub wait: Option<(u64, Range<usize>)>,
    pub shard: Option<u16>,
    pub after_ms: Option<u64>,
    /// Where the comment ends.
    pub end: usize,
}

/// Reads the comment that a statement begins with.
pub fn fields(text: &[u8]) -> Result<Fields<'_>, String> {
    let start = text.iter().position(|b| !b.is_ascii_whitespace()).unwrap_or(text.len());
    let body = text[start..].strip_prefix(b"/*").ok_or("the statement does not begin with its comment")?;
    let end = body.windows(2).position(|two| two == b"*/").ok_or("the statement's comment has no end")?;
    let body = std::str::from_utf8(&body[..end]).map_err(|_| "the statement's comment is not UTF-8")?;
    let mut fields = Fields::default();
    let mut at = start + 2;
    for part in body.split(',') {
        let lead = part.len() - part.trim_start().len();
        let (name, value) = part.trim().split_once('=').unwrap_or_default();
        let number = || value.parse::<u64>().map_err(|_| format!("{name} is no number in the comment"));
        match name {
            "id" => fields.id = Some(value),
            "c" => fields.group = Some(value),
            "d" => {
                let from = at + lead + 2;
                fields.wait = Some((number()?, from..from + value.len()));
            }
            "cluster" => {
                let number = number()?;
                fields.shard =
                    Some(u16::try_from(number).map_err(|_| "cluster is too large in the comment")?);
            }
            "after" => fields.after_ms = Some(number()?),
            _ => {}
        }
        at += part.len() + 1;
    }
    fields.end = at + 1;
    let is_id =
        |id: &str| id.len() <= LONGEST_ID && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    fields.id = fields.id.filter(|id| !id.is_empty());
    match fields.id {
        Some(id) if !is_id(id) => Err("id is none in the comment".into()),
        _ => Ok(fields),
    }
}

/// Whether a statement has this form, with any space between its parts.
fn follows(text: &[u8], form: &str) -> bool {
    let within = |text: &[u8], allowed: fn(&u8) -> bool| text.iter().take_while(|b| allowed(b)).count();
    let quoted = |text: &[u8], open: &str, allowed: fn(&u8) -> bool| {
        let inner = text.strip_prefix(open.as_bytes())?;
        let length = within(inner, allowed);
        (inner.get(length) == Some(&b'\'')).then_some(open.len() + length + 1)
    };
    let mut rest = text;
    let fits = form.split(' ').all(|part| {
        rest = rest.trim_ascii_start();
        let length = match part {
            "%" => Some(within(rest, |b| b.is_ascii_alphanumeric() || *b == b'_')),
            "$" => quoted(rest, "'", |b| !b.is_ascii_control() && !b"'\\".contains(b)),
            "#" => quoted(rest, "'\\x", u8::is_ascii_hexdigit),
            word => rest.get(..word.len()).is_some_and(|r| r == word.as_bytes()).then_some(word.len()),
        };
        rest = &rest[length.unwrap_or(0)..];
        length.is_some_and(|length| length > 0)
    });
    fits && rest.trim_ascii().is_empty()
}

/// The session that the first quoted key names, as a number; 0 without one.
pub fn session(text: &[u8]) -> u64 {
    let mut quoted = text.split(|b| *b == b'\'');
    let (_, key) = (quoted.next(), quoted.next());
    key.filter(|_| quoted.next().is_some()).map_or(0, |key| fnv1a(key).max(1))
}

/// The FNV-1a hash of 64 bits.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
