//! The server side of a PostgreSQL connection: encodes what a scripted host sends.

use super::{
    TransactionStatus, command_complete, data_row, error, message, message_type, one_row_answer,
    read_message, ready_for_query, row_description,
};
use crate::connection::{ServerError, ServerProtocol, serve_requests};
use crate::engine::Engine;
use crate::error::ConnectionError;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Length of the value in each filler row of a large answer, in bytes.
const LARGE_ROW_BYTES: usize = 100 << 10;
/// Number of filler rows of a large answer.
const LARGE_ROW_COUNT: usize = 20;

struct PostgresServer {
    stream: TcpStream,
}

/// Accepts the client without a password and serves its requests.
pub(crate) fn serve(mut stream: TcpStream, engine: &Engine) -> Result<(), ConnectionError> {
    read_startup_message(&mut stream)?;
    let authentication_ok = message(message_type::AUTHENTICATION, &[0; 4]);
    stream.write_all(&then_ready(authentication_ok))?;
    serve_requests(PostgresServer { stream }, engine)
}

fn read_startup_message(stream: &mut TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let body_length = (u32::from_be_bytes(length) as usize).saturating_sub(4);
    stream.read_exact(&mut vec![0; body_length])
}

fn then_ready(answer: Vec<u8>) -> Vec<u8> {
    [answer, ready_for_query(TransactionStatus::Idle)].concat()
}

fn sqlstate(error: ServerError) -> &'static str {
    match error {
        ServerError::ReadOnly => "25006",
        ServerError::Overloaded => "53300",
        ServerError::Internal => "XX000",
        ServerError::Transient => "40001",
    }
}

impl ServerProtocol for PostgresServer {
    const HEALTH_CHECK: &'static str = "SHOW vitals";

    fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    fn read_request(&mut self) -> Result<Option<String>, ConnectionError> {
        let message = read_message(&mut self.stream)?;
        if message.message_type != message_type::QUERY {
            return Ok(None);
        }
        let text = message.body.strip_suffix(b"\0").unwrap_or(&message.body);
        Ok(Some(String::from_utf8_lossy(text).into_owned()))
    }

    fn answer_without_effect(&self, text: &str) -> Option<Vec<u8>> {
        super::answer_without_effect(text).map(then_ready)
    }

    fn load_report(&self, position_ms: u64, is_primary: bool) -> Vec<u8> {
        let primary = u8::from(is_primary);
        let report = format!("x0={}.{:03},x1={primary}", position_ms / 1000, position_ms % 1000);
        then_ready(one_row_answer(report.as_bytes()))
    }

    fn answer(&self, key: &str) -> Vec<u8> {
        then_ready(one_row_answer(key.as_bytes()))
    }

    fn answer_in_transaction(&self, key: &str) -> Vec<u8> {
        [one_row_answer(key.as_bytes()), ready_for_query(TransactionStatus::InTransaction)].concat()
    }

    fn answer_with_extra_bytes(&self, key: &str) -> Vec<u8> {
        [self.answer(key), one_row_answer(b"surplus")].concat()
    }

    fn answer_of_all_types(&self, key: &str) -> Vec<u8> {
        // PostgreSQL hosts send every column as text.
        self.answer(key)
    }

    fn large_answer(&self, key: &str) -> Vec<u8> {
        let mut answer = row_description();
        answer.extend(data_row(&[b'x'; LARGE_ROW_BYTES]).repeat(LARGE_ROW_COUNT));
        answer.extend(data_row(key.as_bytes()));
        answer.extend(command_complete());
        then_ready(answer)
    }

    fn malformed_answer(&self) -> Vec<u8> {
        message(b'?', b"nonsense")
    }

    fn error(&self, server_error: ServerError) -> Vec<u8> {
        then_ready(error(sqlstate(server_error)))
    }
}
