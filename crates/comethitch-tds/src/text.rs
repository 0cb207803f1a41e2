//! UTF-16 text as TDS carries it: little-endian, in fields with or without a length, and not always well formed.

/// Decodes UTF-16 bytes; none if they are not well formed, or of an odd number.
pub fn decode(bytes: &[u8]) -> Option<String> {
    let (units, rest) = bytes.as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    char::decode_utf16(units.iter().map(|unit| u16::from_le_bytes(*unit))).collect::<Result<_, _>>().ok()
}

/// Decodes UTF-16 bytes and replaces what is not well formed: for messages that are only shown.
pub fn decode_lossy(bytes: &[u8]) -> String {
    let units = bytes.as_chunks::<2>().0.iter().map(|unit| u16::from_le_bytes(*unit));
    char::decode_utf16(units).map(|character| character.unwrap_or(char::REPLACEMENT_CHARACTER)).collect()
}

/// Writes a text without a length.
pub fn put(out: &mut Vec<u8>, text: &str) {
    out.extend(text.encode_utf16().flat_map(u16::to_le_bytes));
}

/// Writes a `B_VARCHAR`: a text behind its length in one byte, truncated to what that length can state.
pub fn put_b_varchar(out: &mut Vec<u8>, text: &str) {
    let units = truncated_units(text, usize::from(u8::MAX));
    out.push(units.len() as u8);
    out.extend(units.into_iter().flat_map(u16::to_le_bytes));
}

/// Writes a `US_VARCHAR`: a text behind its length in two bytes, truncated so that its bytes fit such a length too.
pub fn put_us_varchar(out: &mut Vec<u8>, text: &str) {
    let units = truncated_units(text, usize::from(u16::MAX) / 2);
    out.extend((units.len() as u16).to_le_bytes());
    out.extend(units.into_iter().flat_map(u16::to_le_bytes));
}

/// The first code units of a text, without half of a surrogate pair at the end.
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
