//! Connects the policy of the `comethitch-policy` package to a simulator that speaks a binary protocol on
//! standard input and output.
//!
//! The input is a sequence of frames, each a batch of events. For each of them, the output has one frame of
//! actions.

mod error;
mod event;
mod record;
mod reply;
mod session;

use error::{AdapterError, ShortFrame};
use record::RecordReader;
use session::{HEADER_BYTES, LENGTH_OFFSET, Session};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin());
    match serve(input, BufWriter::new(io::stdout())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comethitch-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    let mut frame = Vec::new();
    while read_frame(&mut input, &mut frame)? {
        let reply = session.reply_to(&frame)?;
        output.write_all(reply).map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// Reads the next complete frame into `frame`. Returns `false` at the end of the input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, AdapterError> {
    frame.clear();
    read_up_to(input, frame, HEADER_BYTES)?;
    if frame.is_empty() {
        return Ok(false);
    }
    if frame.len() < HEADER_BYTES {
        return Err(ShortFrame::Header { found: frame.len(), header: HEADER_BYTES }.into());
    }
    let length = RecordReader(frame).u32(LENGTH_OFFSET).map_err(AdapterError::Header)? as usize;
    if length < HEADER_BYTES {
        return Err(ShortFrame::LengthField { length }.into());
    }
    read_up_to(input, frame, length - HEADER_BYTES)?;
    if frame.len() < length {
        return Err(ShortFrame::Body { found: frame.len(), length }.into());
    }
    Ok(true)
}

fn read_up_to(input: &mut impl Read, frame: &mut Vec<u8>, count: usize) -> Result<(), AdapterError> {
    input.take(count as u64).read_to_end(frame).map_err(AdapterError::Read)?;
    Ok(())
}

#[cfg(test)]
mod tests;
