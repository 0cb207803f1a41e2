//! Splits the JSON stream of a watch at the discovery service into objects and line ends.
//!
//! Only brackets and strings are tracked; [`super::discovery`] validates the objects.

/// A complete item of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum JsonStreamItem {
    /// The text of one object, from its opening to its closing brace.
    Object(Vec<u8>),
    /// The end of a line outside of any object. The discovery service sends empty lines as keep-alives.
    LineEnd,
}

/// Reasons why a stream is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// The stream contains something other than an object at the top level.
    #[error("the response contains something other than JSON objects")]
    NotAnObject,
    /// An object is larger than [`MAX_OBJECT_BYTES`].
    #[error("the response contains a JSON object larger than {MAX_OBJECT_BYTES} bytes")]
    ObjectTooLarge,
}

/// Maximum size of an object: 4 MiB.
pub const MAX_OBJECT_BYTES: usize = 4 << 20;

/// An incremental splitter of a JSON stream. An object may span several lines, and a line may contain several
/// objects.
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
/// assert!(stream.in_object(), "the last object is incomplete");
/// ```
#[derive(Debug, Default)]
pub struct JsonStream {
    /// The received text that is not returned yet.
    text: Vec<u8>,
    /// Offset in `text` of the current item.
    start: usize,
    /// Offset in `text` of the first byte that is not scanned yet.
    position: usize,
    /// Number of open brackets.
    depth: usize,
    in_string: bool,
    /// Whether the previous byte was a backslash within a string.
    escaped: bool,
}

impl JsonStream {
    /// Returns the buffer to append received text to.
    pub fn buffer_mut(&mut self) -> &mut Vec<u8> {
        &mut self.text
    }

    /// Returns whether an object has begun and not ended.
    pub fn in_object(&self) -> bool {
        self.depth > 0
    }

    /// Returns the next complete item, or `None` if more text is needed.
    ///
    /// # Errors
    /// If the stream contains something other than an object at the top level, or an object is too large.
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

    /// Scans one byte, and returns the item that it completes.
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

    /// Discards the text of returned items.
    fn compact(&mut self) {
        self.text.drain(..self.start);
        self.position -= self.start;
        self.start = 0;
    }
}
