//! Splits a stream of JSON text into objects and line ends, as the watch of discovery's endpoint list needs it.
//!
//! Only brackets and quotes are looked at: whether an object is valid JSON shows once [`super::discovery`] parses it.

/// A complete item of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum JsonStreamItem {
    /// The text of one object, from its opening to its closing brace.
    Object(Vec<u8>),
    /// The end of a line outside of any object: a keep-alive.
    LineEnd,
}

/// Why a stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// Something other than an object stands at the top level.
    #[error("the list is no JSON object")]
    NotAnObject,
    /// An object is larger than 4 MiB.
    #[error("it sends an object without end")]
    ObjectTooLarge,
}

/// The largest object that is buffered.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// An incremental splitter. It doesn't matter how objects are laid out: one may be indented over many lines, or two
/// share a line.
///
/// ```
/// use comethitchd::wire::json_stream::{JsonStream, JsonStreamItem};
/// let mut stream = JsonStream::default();
/// stream.buffer_mut().extend(b"{\n  \"a\": [\"}\"]\n}\n\n{");
/// let object = JsonStreamItem::Object(b"{\n  \"a\": [\"}\"]\n}".to_vec());
/// assert_eq!(stream.next_item(), Ok(Some(object)));
/// assert_eq!(stream.next_item(), Ok(Some(JsonStreamItem::LineEnd)));
/// assert_eq!(stream.next_item(), Ok(Some(JsonStreamItem::LineEnd)));
/// assert_eq!(stream.next_item(), Ok(None));
/// assert!(stream.in_object(), "an object has begun");
/// ```
#[derive(Debug, Default)]
pub struct JsonStream {
    text: Vec<u8>,
    /// Where the item that is being read begins in `text`.
    start: usize,
    /// The first byte of `text` that is not scanned yet.
    position: usize,
    /// How many brackets are open.
    depth: usize,
    in_string: bool,
    /// The byte before was a backslash within a string.
    escaped: bool,
}

impl JsonStream {
    /// The buffer at whose end received text is appended.
    pub fn buffer_mut(&mut self) -> &mut Vec<u8> {
        &mut self.text
    }

    /// Whether an object has begun and not ended.
    pub fn in_object(&self) -> bool {
        self.depth > 0
    }

    /// Returns the next complete item, or none if more text must be appended first.
    ///
    /// # Errors
    /// If something other than an object stands at the top level, or an object is too large.
    pub fn next_item(&mut self) -> Result<Option<JsonStreamItem>, JsonStreamError> {
        while let Some(byte) = self.text.get(self.position).copied() {
            self.position += 1;
            if let Some(item) = self.scan(byte)? {
                self.start = self.position;
                return Ok(Some(item));
            }
        }
        self.compact();
        if self.text.len() > MAX_OBJECT_BYTES {
            return Err(JsonStreamError::ObjectTooLarge);
        }
        Ok(None)
    }

    /// Takes in one byte, and returns the item that ends with it.
    fn scan(&mut self, byte: u8) -> Result<Option<JsonStreamItem>, JsonStreamError> {
        if self.in_string {
            self.scan_string(byte);
            return Ok(None);
        }
        if self.in_object() {
            return Ok(self.scan_object(byte));
        }
        match byte {
            b'{' => self.depth += 1,
            b'\n' => return Ok(Some(JsonStreamItem::LineEnd)),
            byte if byte.is_ascii_whitespace() => self.start = self.position,
            _ => return Err(JsonStreamError::NotAnObject),
        }
        Ok(None)
    }

    fn scan_string(&mut self, byte: u8) {
        self.in_string = self.escaped || byte != b'"';
        self.escaped = !self.escaped && byte == b'\\';
    }

    fn scan_object(&mut self, byte: u8) -> Option<JsonStreamItem> {
        match byte {
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            b'"' => self.in_string = true,
            _ => {}
        }
        let ended = !self.in_object();
        ended.then(|| JsonStreamItem::Object(self.text[self.start..self.position].to_vec()))
    }

    /// Drops the text of items that were returned.
    fn compact(&mut self) {
        self.text.drain(..self.start);
        self.position -= self.start;
        self.start = 0;
    }
}
