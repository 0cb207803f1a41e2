//! TDS 7.4, as a host and as a client speak it.

use crate::client::Received;
use crate::engine::{Act, Engine, HostBehavior};
use comethitch_tds::login::{Login, Prelogin, VERSION};
use comethitch_tds::packet::{Assembly, FIRST_SIZE, Kind, put_message, status};
use comethitch_tds::request::{Batch, Call};
use comethitch_tds::token::{Message, Token, Tokens, code, done};
use comethitch_tds::types::Value;
use comethitch_tds::write::{
    Cell, Column, put_change, put_change_bytes, put_columns, put_done, put_login_ack,
    put_message as put_error, put_return_status, put_row,
};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The query that asks a host how it stands.
pub const PROBE: &str = "SELECT rol, posicion_ms FROM estado.replica";
/// The sizes that a host settles on, whatever is asked for: small, so that answers come in several packets.
const SIZE: usize = 512;

fn broken(why: comethitch_tds::MalformedMessage) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.0)
}

fn read(stream: &mut TcpStream) -> io::Result<(Kind, u8, Vec<u8>)> {
    let mut message = Assembly::new(4 << 20);
    while !message.over() {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte)?;
        message.take(&byte).map_err(broken)?;
    }
    let (kind, status) = (message.kind(), message.status());
    Ok((kind.unwrap_or(Kind::Batch), status, message.finish()))
}

fn write(stream: &mut TcpStream, kind: Kind, size: usize, payload: &[u8]) -> io::Result<()> {
    let mut wire = Vec::new();
    put_message(&mut wire, kind, size, payload);
    stream.write_all(&wire)
}

fn rows(value: &str, many: usize) -> Vec<u8> {
    let columns = [("data", Column::LongText)];
    let mut tokens = Vec::new();
    put_columns(&mut tokens, &columns);
    (0..many).for_each(|_| put_row(&mut tokens, &columns, &[Cell::Text(value.into())]));
    tokens
}

/// A row that holds a value of each type.
fn row_of_types() -> Vec<u8> {
    use comethitch_tds::types::code as kind;
    let collation = [9, 4, 0xd0, 0, 0x34];
    let chars = |code: u8, most: u16| [&[code][..], &most.to_le_bytes(), &collation].concat();
    let short = |bytes: &[u8]| [&(bytes.len() as u16).to_le_bytes()[..], bytes].concat();
    let byte = |bytes: &[u8]| [&[bytes.len() as u8][..], bytes].concat();
    let utf16 = |text: &str| text.encode_utf16().flat_map(u16::to_le_bytes).collect::<Vec<u8>>();
    let long = |bytes: &[u8]| {
        let (all, one) = ((bytes.len() as u64).to_le_bytes(), (bytes.len() as u32).to_le_bytes());
        [&all[..], &one, bytes, &[0; 4]].concat()
    };
    let values: Vec<(&str, Vec<u8>, Vec<u8>)> = vec![
        ("tinyint", vec![kind::INT1], vec![200]),
        ("smallint", vec![kind::INT2], (-2_i16).to_le_bytes().to_vec()),
        ("int", vec![kind::INTN, 4], byte(&7_i32.to_le_bytes())),
        ("bigint", vec![kind::INTN, 8], byte(&(1_i64 << 40).to_le_bytes())),
        ("bit", vec![kind::BITN, 1], byte(&[1])),
        ("real", vec![kind::FLTN, 4], byte(&1.5_f32.to_le_bytes())),
        ("float", vec![kind::FLTN, 8], byte(&2.5_f64.to_le_bytes())),
        ("decimal", vec![kind::DECIMALN, 5, 9, 2], byte(&[1, 0x39, 0x30, 0, 0])),
        ("money", vec![kind::MONEYN, 8], byte(&[0, 0, 0, 0, 0x10, 0x27, 0, 0])),
        ("datetime", vec![kind::DATETIMN, 8], byte(&[0; 8])),
        ("date", vec![kind::DATEN], byte(&[1, 0, 0])),
        ("time", vec![kind::TIMEN, 0], byte(&[60, 0, 0])),
        ("datetime2", vec![kind::DATETIME2N, 0], byte(&[60, 0, 0, 1, 0, 0])),
        ("datetimeoffset", vec![kind::DATETIMEOFFSETN, 0], byte(&[60, 0, 0, 1, 0, 0, 0, 0])),
        ("guid", vec![kind::GUID, 16], byte(&[7; 16])),
        ("nvarchar", chars(kind::NVARCHAR, 40), short(&utf16("año"))),
        ("nchar", chars(kind::NCHAR, 6), short(&utf16("abc"))),
        ("varchar", chars(kind::VARCHAR, 40), short(b"abc")),
        ("char", chars(kind::CHAR, 3), short(b"abc")),
        ("varbinary", vec![kind::VARBINARY, 10, 0], short(&[1, 2, 3])),
        ("binary", vec![kind::BINARY, 3, 0], short(&[1, 2, 3])),
        ("nvarchar_max", chars(kind::NVARCHAR, 0xffff), long(&utf16(&"luna".repeat(2_000)))),
        ("varbinary_max", vec![kind::VARBINARY, 0xff, 0xff], long(&[9; 3_000])),
        ("nothing", vec![kind::INTN, 4], byte(&[])),
    ];
    let columns: Vec<(&str, Column)> =
        values.iter().map(|(name, k, _)| (*name, Column::Raw(k.clone()))).collect();
    let cells: Vec<Cell> = values.iter().map(|(_, _, value)| Cell::Raw(value.clone())).collect();
    let mut tokens = Vec::new();
    put_columns(&mut tokens, &columns);
    put_row(&mut tokens, &columns, &cells);
    tokens
}

fn error(number: i32, class: u8) -> Vec<u8> {
    let mut tokens = Vec::new();
    put_error(&mut tokens, &Message { number, state: 1, class, text: "no".into() }, "standin");
    put_done(&mut tokens, code::DONE, done::ERROR, 0);
    tokens
}

pub(crate) fn serve(mut stream: TcpStream, engine: &Engine) -> io::Result<()> {
    let (_, _, payload) = read(&mut stream)?;
    Prelogin::read(&payload).map_err(broken)?;
    let mut told = Vec::new();
    Prelogin { version: [16, 0, 0, 0, 0, 0], ..Prelogin::default() }.put(&mut told);
    write(&mut stream, Kind::Answer, FIRST_SIZE, &told)?;
    let (_, _, payload) = read(&mut stream)?;
    // A router's connections are many clients'; one that a client opened itself is its own.
    let shared = Login::read(&payload).map_err(broken)?.application == "comethitch";
    let mut tokens = Vec::new();
    put_change(&mut tokens, 1, "crm", "master");
    put_login_ack(&mut tokens, VERSION, "standin");
    put_change(&mut tokens, 4, &SIZE.to_string(), "4096");
    put_done(&mut tokens, code::DONE, 0, 0);
    write(&mut stream, Kind::Answer, FIRST_SIZE, &tokens)?;
    let (mut used, mut open) = (false, false);
    loop {
        let (kind, status, payload) = read(&mut stream)?;
        let (text, call) = match kind {
            Kind::Rpc => {
                let call = Call::read(&payload).map_err(broken)?;
                (call.statement().unwrap_or("EXEC").to_string(), true)
            }
            _ => (Batch::read(&payload).map_err(broken)?.text, false),
        };
        let mut tokens = Vec::new();
        if status & status::RESET != 0 {
            put_change_bytes(&mut tokens, 18, &[], &[]);
        } else if used && shared {
            // A session that was used is to be made as new: a command without that is turned away.
            write(&mut stream, Kind::Answer, SIZE, &error(50_999, 16))?;
            continue;
        }
        used = true;
        if open {
            engine.mixed(&text);
        }
        if text == PROBE {
            if engine.is_down() {
                return Ok(());
            }
            let columns = [("rol", Column::Text), ("posicion_ms", Column::Integer)];
            let role = if engine.is_primary() { "PRIMARY" } else { "SECONDARY" };
            put_columns(&mut tokens, &columns);
            put_row(
                &mut tokens,
                &columns,
                &[Cell::Text(role.into()), Cell::Integer(engine.position_ms() as i64)],
            );
            put_done(&mut tokens, code::DONE, done::COUNT, 1);
            write(&mut stream, Kind::Answer, SIZE, &tokens)?;
            continue;
        }
        let (step, key) = match engine.met(&text) {
            Act::HostBehavior(step, key) => (step, key),
            Act::Miss => {
                write(&mut stream, Kind::Answer, SIZE, &[tokens, error(3906, 16)].concat())?;
                continue;
            }
            Act::Close => return Ok(()),
        };
        let mut answer = tokens.clone();
        answer.extend(rows(&key, 1));
        let end = |answer: &mut Vec<u8>| match call {
            true => {
                put_done(answer, code::DONE_IN_PROCEDURE, done::MORE | done::COUNT, 1);
                put_return_status(answer, 0);
                put_done(answer, code::DONE_PROCEDURE, 0, 0);
            }
            false => put_done(answer, code::DONE, done::COUNT, 1),
        };
        end(&mut answer);
        let mut whole = Vec::new();
        put_message(&mut whole, Kind::Answer, SIZE, &answer);
        match step {
            HostBehavior::Answer | HostBehavior::AnswerAfter(_) => stream.write_all(&whole)?,
            HostBehavior::LeaveTransactionOpen => {
                open = true;
                put_change_bytes(&mut tokens, 8, &[1; 8], &[]);
                write(&mut stream, Kind::Answer, SIZE, &[tokens, answer].concat())?;
            }
            HostBehavior::AllTypes => {
                tokens.extend(row_of_types());
                end(&mut tokens);
                write(&mut stream, Kind::Answer, SIZE, &tokens)?;
            }
            HostBehavior::Trickle => {
                for byte in whole {
                    stream.write_all(&[byte])?;
                    std::thread::sleep(Duration::from_micros(300));
                }
            }
            HostBehavior::AnswerTwice => {
                end(&mut answer);
                write(&mut stream, Kind::Answer, SIZE, &answer)?;
            }
            HostBehavior::Truncate => {
                stream.write_all(&whole[..whole.len() / 2])?;
                return Ok(());
            }
            HostBehavior::Malformed => write(&mut stream, Kind::Answer, SIZE, &[0x42; 9])?,
            HostBehavior::Overloaded => {
                write(&mut stream, Kind::Answer, SIZE, &[tokens, error(10_928, 16)].concat())?
            }
            HostBehavior::Error => {
                write(&mut stream, Kind::Answer, SIZE, &[tokens, error(50_000, 16)].concat())?
            }
            HostBehavior::TransientError => {
                write(&mut stream, Kind::Answer, SIZE, &[tokens, error(40_501, 16)].concat())?
            }
            HostBehavior::LargeAnswer | HostBehavior::TruncateLargeAnswer => {
                tokens.extend(rows(&"x".repeat(50 << 10), 20));
                let columns = [("data", Column::LongText)];
                put_row(&mut tokens, &columns, &[Cell::Text(key)]);
                end(&mut tokens);
                let mut wire = Vec::new();
                put_message(&mut wire, Kind::Answer, SIZE, &tokens);
                if step == HostBehavior::TruncateLargeAnswer {
                    stream.write_all(&wire[..wire.len() / 4 * 3])?;
                    return Ok(());
                }
                stream.write_all(&wire)?;
            }
            HostBehavior::ResetBefore | HostBehavior::ResetAfter => return Ok(()),
            HostBehavior::Hang | HostBehavior::HangAfter => {
                let _ = stream.read(&mut [0]);
                return Ok(());
            }
        }
    }
}

pub(crate) fn open(stream: &mut TcpStream) -> io::Result<()> {
    let mut payload = Vec::new();
    Prelogin::default().put(&mut payload);
    write(stream, Kind::Prelogin, FIRST_SIZE, &payload)?;
    read(stream)?;
    payload.clear();
    Login {
        version: VERSION,
        packet_size: 4096,
        user: "portal".into(),
        database: "crm".into(),
        ..Login::default()
    }
    .put(&mut payload);
    write(stream, Kind::Login, FIRST_SIZE, &payload)?;
    let (_, _, answer) = read(stream)?;
    let mut tokens = Tokens::new();
    let (mut at, mut acknowledged) = (0, false);
    while !tokens.over() {
        let (token, length) = tokens.next(&answer[at..]).map_err(|_| io::ErrorKind::InvalidData)?;
        acknowledged |= matches!(token, Token::LoginAck { .. });
        at += length;
    }
    if acknowledged { Ok(()) } else { Err(io::ErrorKind::PermissionDenied.into()) }
}

pub(crate) fn put(text: &str) -> Vec<u8> {
    let (mut payload, mut wire) = (Vec::new(), Vec::new());
    Batch::put(&mut payload, text);
    put_message(&mut wire, Kind::Batch, 4096, &payload);
    wire
}

/// The attention that calls off what is in hand.
pub fn attention() -> Vec<u8> {
    let mut wire = Vec::new();
    put_message(&mut wire, Kind::Attention, FIRST_SIZE, b"");
    wire
}

/// A call as a message.
pub fn call(payload: &[u8]) -> Vec<u8> {
    let mut wire = Vec::new();
    put_message(&mut wire, Kind::Rpc, 4096, payload);
    wire
}

/// The next answer, and the integers that it gives back.
pub(crate) fn got(stream: &mut TcpStream) -> Received {
    let Ok((Kind::Answer, _, answer)) = read(stream) else { return Received::Closed };
    let (mut tokens, mut at, mut got) = (Tokens::new(), 0, Received::Closed);
    while at < answer.len() {
        let Ok((token, length)) = tokens.next(&answer[at..]) else { return Received::Malformed };
        match token {
            Token::Row => {
                let first = tokens
                    .values(&answer[at..at + length])
                    .and_then(|row| row.first().map(|(k, v)| k.told(*v)));
                if let Some(Value::Text(value)) = first {
                    got = Received::Answered(value);
                }
            }
            Token::Error(message) => {
                got = match message.number {
                    49_918 => Received::Throttled,
                    50_001 => Received::Rejected(message.text),
                    number => Received::Failed(number.to_string()),
                };
            }
            Token::Done { status, .. } if status & done::ATTENTION != 0 => got = Received::Cancelled,
            Token::Done { .. } if got == Received::Closed => got = Received::Answered(String::new()),
            _ => {}
        }
        at += length;
    }
    if tokens.over() { got } else { Received::Malformed }
}
