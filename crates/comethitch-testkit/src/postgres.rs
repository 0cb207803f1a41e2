//! The PostgreSQL protocol, version 3, as a host and as a client speak it.

use crate::client::Received;
use crate::engine::{Act, Engine, HostBehavior};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A message of the protocol.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn read(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// A whole answer of one value, short of the word that the host is ready.
pub fn row(value: &[u8]) -> Vec<u8> {
    let described = message(b'T', &[&[0, 1][..], b"data\0", &[0; 18]].concat());
    let data = message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat());
    [described, data, message(b'C', b"SELECT 1\0")].concat()
}

/// An error of this code.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// What a host does on a connection.
pub(crate) fn serve(mut stream: TcpStream, engine: &Engine) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    stream.read_exact(&mut vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)])?;
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat())?;
    let mut open = false;
    while let (b'Q', body) = read(&mut stream)? {
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        if open {
            engine.mixed(&text);
        }
        if text == "SHOW vitals" {
            if engine.is_down() {
                return Ok(());
            }
            let (ms, primary) = (engine.position_ms(), u8::from(engine.is_primary()));
            let told = format!("x0={}.{:03},x1={primary}", ms / 1000, ms % 1000);
            stream.write_all(&[row(told.as_bytes()), ready()].concat())?;
            continue;
        }
        let (step, key) = match engine.met(&text) {
            Act::HostBehavior(step, key) => (step, key),
            Act::Miss => {
                stream.write_all(&[error("25006"), ready()].concat())?;
                continue;
            }
            Act::Close => return Ok(()),
        };
        let whole = [row(key.as_bytes()), ready()].concat();
        match step {
            HostBehavior::Answer | HostBehavior::AnswerAfter(_) | HostBehavior::AllTypes => {
                stream.write_all(&whole)?
            }
            HostBehavior::LeaveTransactionOpen => {
                open = true;
                stream.write_all(&[row(key.as_bytes()), message(b'Z', b"T")].concat())?;
            }
            HostBehavior::Trickle => {
                for byte in whole {
                    stream.write_all(&[byte])?;
                    std::thread::sleep(Duration::from_micros(300));
                }
            }
            HostBehavior::AnswerTwice => stream.write_all(&[whole, row(b"surplus")].concat())?,
            HostBehavior::Truncate => {
                stream.write_all(&whole[..whole.len() / 2])?;
                return Ok(());
            }
            HostBehavior::Malformed => stream.write_all(&message(b'?', b"nonsense"))?,
            HostBehavior::Overloaded => stream.write_all(&[error("53300"), ready()].concat())?,
            HostBehavior::Error => stream.write_all(&[error("XX000"), ready()].concat())?,
            HostBehavior::TransientError => stream.write_all(&[error("40001"), ready()].concat())?,
            HostBehavior::LargeAnswer | HostBehavior::TruncateLargeAnswer => {
                // One answer of many rows: its description stands once, and its end.
                let one = row(&vec![b'x'; 100 << 10]);
                let (begin, end) = (one.len() - (7 + 4 + (100 << 10)) - 14, one.len() - 14);
                let mut huge = one[..begin].to_vec();
                (0..20).for_each(|_| huge.extend_from_slice(&one[begin..end]));
                let last = row(key.as_bytes());
                huge.extend_from_slice(&last[begin..]);
                huge.extend(ready());
                if step == HostBehavior::TruncateLargeAnswer {
                    stream.write_all(&huge[..huge.len() / 4 * 3])?;
                    return Ok(());
                }
                stream.write_all(&huge)?;
            }
            HostBehavior::ResetBefore | HostBehavior::ResetAfter => return Ok(()),
            HostBehavior::Hang | HostBehavior::HangAfter => {
                let _ = stream.read(&mut [0]);
                return Ok(());
            }
        }
    }
    Ok(())
}

pub(crate) fn open(stream: &mut TcpStream) -> io::Result<()> {
    let body = [&(3u32 << 16).to_be_bytes()[..], b"user\0portal\0database\0crm\0\0"].concat();
    stream.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat())?;
    while read(stream)?.0 != b'Z' {}
    Ok(())
}

pub(crate) fn put(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// The next answer, up to the server's word that it is ready.
pub(crate) fn got(stream: &mut TcpStream) -> Received {
    let mut got = Received::Closed;
    loop {
        let Ok((kind, body)) = read(stream) else { return Received::Closed };
        match kind {
            b'Z' => return got,
            b'D' => {
                got = Received::Answered(
                    String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned(),
                )
            }
            b'C' | b'I' if got == Received::Closed => got = Received::Answered(String::new()),
            b'E' => {
                let code = body.split(|b| *b == 0).find(|field| field.first() == Some(&b'C'));
                let code = String::from_utf8_lossy(code.map_or(&b""[..], |code| &code[1..])).into_owned();
                got = match code.as_str() {
                    "53300" => Received::Throttled,
                    "42601" | "42809" | "0A000" | "22023" | "42710" => Received::Rejected(code),
                    _ => Received::Failed(code),
                };
            }
            _ => {}
        }
    }
}
