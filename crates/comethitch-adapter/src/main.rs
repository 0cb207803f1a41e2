//! The bench's wire on standard input and output, before the decisions of the `comethitch-policy` package.

mod fields;
mod outlet;
mod session;

use session::Session;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(BufReader::with_capacity(1 << 20, io::stdin()), BufWriter::new(io::stdout())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("comethitch-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut session = Session::default();
    let mut frame = Vec::new();
    while read_frame(&mut input, &mut frame)? {
        let reply = session.reply_to(&frame)?;
        output.write_all(reply).map_err(|e| format!("cannot write the reply: {e}"))?;
        output.flush().map_err(|e| format!("cannot write the reply: {e}"))?;
    }
    Ok(())
}

/// Fills `frame` with the next whole frame; false at the end of the input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.clear();
    read_up_to(input, frame, session::HEADER)?;
    if frame.is_empty() {
        return Ok(false);
    }
    if frame.len() < session::HEADER {
        return Err(format!("short frame: {} bytes of a header of {}", frame.len(), session::HEADER));
    }
    let length = fields::Fields(frame).u32(4)? as usize;
    if length < session::HEADER {
        return Err(format!("short frame: its length field says {length} bytes"));
    }
    read_up_to(input, frame, length - session::HEADER)?;
    match frame.len() == length {
        true => Ok(true),
        false => Err(format!("short frame: {} bytes of {length}", frame.len())),
    }
}

fn read_up_to(input: &mut impl Read, frame: &mut Vec<u8>, count: usize) -> Result<(), String> {
    let read = input.take(count as u64).read_to_end(frame);
    read.map(|_| ()).map_err(|e| format!("cannot read the batch: {e}"))
}

#[cfg(test)]
mod tests;
