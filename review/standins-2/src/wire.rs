//! The parts of version 3 of the PostgreSQL wire protocol that the stand-ins need.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// A message: its type and its body.
pub type Message = (u8, Vec<u8>);

pub fn read_exact(stream: &mut TcpStream, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn length_of(bytes: &[u8]) -> io::Result<usize> {
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    if !(4..=1 << 24).contains(&length) {
        return Err(ErrorKind::InvalidData.into());
    }
    Ok(length - 4)
}

/// Reads a message that has no type, such as the startup message.
pub fn read_startup(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = length_of(&read_exact(stream, 4)?)?;
    read_exact(stream, length)
}

pub fn read_message(stream: &mut TcpStream) -> io::Result<Message> {
    let head = read_exact(stream, 5)?;
    let length = length_of(&head[1..])?;
    Ok((head[0], read_exact(stream, length)?))
}

pub fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

pub fn startup() -> Vec<u8> {
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    body.extend(b"user\0portal\0database\0crm\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// A request to cancel the query of a session, as its `BackendKeyData` names it.
pub fn cancel_request(key_data: &[u8]) -> Vec<u8> {
    let mut out = 16_u32.to_be_bytes().to_vec();
    out.extend(80_877_102_u32.to_be_bytes());
    out.extend(key_data);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    let mut out = Vec::new();
    put(&mut out, b'Q', &body);
    out
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', b"I");
}

pub fn put_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn put_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', format!("{tag}\0").as_bytes());
}

pub fn put_error(out: &mut Vec<u8>, code: &str, text: &str) {
    put(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
}

/// Appends a row of one column.
pub fn put_row(out: &mut Vec<u8>, value: &[u8]) {
    let mut description = vec![0, 1];
    description.extend(b"data\0");
    description.extend([0; 4]);
    description.extend([0; 2]);
    description.extend(17_u32.to_be_bytes());
    description.extend((-1_i16).to_be_bytes());
    description.extend((-1_i32).to_be_bytes());
    description.extend([0, 1]);
    put(out, b'T', &description);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    put(out, b'D', &row);
}

/// The SQLSTATE of an `ErrorResponse`.
pub fn error_code(body: &[u8]) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let code = fields.find(|field| field.first() == Some(&b'C'));
    code.map(|code| String::from_utf8_lossy(&code[1..]).into_owned()).unwrap_or_default()
}

/// The value of a field of the comment at the start of a statement.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.split_once("/*")?.1.split_once("*/")?.0;
    let mut fields = comment.split(',').filter_map(|field| field.trim().split_once('='));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value)
}
