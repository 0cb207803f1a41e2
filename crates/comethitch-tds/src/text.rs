//! UTF-16 as TDS carries it: little-endian, and not always well formed.

/// The text of UTF-16 bytes; none if they are not well formed, or of an odd number.
pub fn decoded(bytes: &[u8]) -> Option<String> {
    let (pairs, rest) = bytes.as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    char::decode_utf16(pairs.iter().map(|pair| u16::from_le_bytes(*pair))).collect::<Result<_, _>>().ok()
}

/// The same, with what is not well formed replaced: for messages that are only shown.
pub fn shown(bytes: &[u8]) -> String {
    let pairs = bytes.as_chunks::<2>().0.iter().map(|pair| u16::from_le_bytes(*pair));
    char::decode_utf16(pairs).map(|c| c.unwrap_or(char::REPLACEMENT_CHARACTER)).collect()
}

pub fn put(out: &mut Vec<u8>, text: &str) {
    out.extend(text.encode_utf16().flat_map(u16::to_le_bytes));
}

/// A text behind its length in one byte; cut where that can't tell it.
pub fn put_b(out: &mut Vec<u8>, text: &str) {
    let units = cut(text, usize::from(u8::MAX));
    out.push(units.len() as u8);
    out.extend(units.into_iter().flat_map(u16::to_le_bytes));
}

/// A text behind its length in two bytes; cut where that can't tell it.
pub fn put_us(out: &mut Vec<u8>, text: &str) {
    let units = cut(text, usize::from(u16::MAX) / 2);
    out.extend((units.len() as u16).to_le_bytes());
    out.extend(units.into_iter().flat_map(u16::to_le_bytes));
}

/// At most so many units, and no half of a pair at the end.
fn cut(text: &str, most: usize) -> Vec<u16> {
    let mut units = Vec::new();
    for c in text.chars() {
        if units.len() + c.len_utf16() > most {
            break;
        }
        units.extend_from_slice(c.encode_utf16(&mut [0; 2]));
    }
    units
}
