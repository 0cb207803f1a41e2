//! UTF-16 text in TDS: little-endian, with or without a length, and not always well formed.

/// Decodes UTF-16 bytes. Returns `None` if they are not well formed.
pub fn decode(bytes: &[u8]) -> Option<String> {
    let (units, rest) = bytes.as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    char::decode_utf16(units.iter().map(|unit| u16::from_le_bytes(*unit))).collect::<Result<_, _>>().ok()
}

/// Decodes UTF-16 bytes, replacing unpaired surrogates with U+FFFD and ignoring an odd last byte. For text
/// that is only displayed, or parsed into a value that is checked.
pub fn decode_lossy(bytes: &[u8]) -> String {
    let units = bytes.as_chunks::<2>().0.iter().map(|unit| u16::from_le_bytes(*unit));
    char::decode_utf16(units).map(|character| character.unwrap_or(char::REPLACEMENT_CHARACTER)).collect()
}

/// Writes text without a length.
pub fn put(out: &mut Vec<u8>, text: &str) {
    out.extend(text.encode_utf16().flat_map(u16::to_le_bytes));
}

/// Writes a `B_VARCHAR`: a one-byte length in code units and the text, truncated to 255 code units.
pub fn put_b_varchar(out: &mut Vec<u8>, text: &str) {
    let units = truncated_units(text, usize::from(u8::MAX));
    out.push(units.len() as u8);
    out.extend(units.into_iter().flat_map(u16::to_le_bytes));
}

/// Writes a `US_VARCHAR`: a two-byte length in code units and the text, truncated to 32767 code units so that
/// its size in bytes also fits in two bytes.
pub fn put_us_varchar(out: &mut Vec<u8>, text: &str) {
    let units = truncated_units(text, usize::from(u16::MAX) / 2);
    out.extend((units.len() as u16).to_le_bytes());
    out.extend(units.into_iter().flat_map(u16::to_le_bytes));
}

/// Returns at most `max_units` code units from the start of a text, without splitting a surrogate pair.
fn truncated_units(text: &str, max_units: usize) -> Vec<u16> {
    let mut units = Vec::new();
    for character in text.chars() {
        if units.len() + character.len_utf16() > max_units {
            break;
        }
        units.extend_from_slice(character.encode_utf16(&mut [0; 2]));
    }
    units
}
