//! Reads JSON lines of limited length, and writes a JSON line for each.

use crate::service::classify::line_classifier::OutputLine;
use std::io::{self, BufRead, BufReader, Read, Write};

/// Maximum length of an input line, which exceeds the maximum length of a statement that a router accepts. A
/// longer line is skipped, and its output line is an error.
const MAX_LINE_BYTES: usize = 16 << 20;

/// Writes an output line for each input line that is not blank.
pub(super) fn classify_lines<R: Read>(
    mut input: BufReader<R>, mut output: impl Write, mut classify: impl FnMut(&[u8]) -> OutputLine,
) -> io::Result<()> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = (&mut input).take(MAX_LINE_BYTES as u64 + 1).read_until(b'\n', &mut line)?;
        if length == 0 {
            return output.flush();
        }
        let classified = if line.len() > MAX_LINE_BYTES && line.last() != Some(&b'\n') {
            input.skip_until(b'\n')?;
            OutputLine::Error { error: format!("line is longer than {MAX_LINE_BYTES} bytes") }
        } else if line.trim_ascii().is_empty() {
            continue;
        } else {
            classify(&line)
        };
        serde_json::to_writer(&mut output, &classified)?;
        output.write_all(b"\n")?;
        // Flushed once no input is buffered, so that a client that waits for each verdict receives it at
        // once.
        if input.buffer().is_empty() {
            output.flush()?;
        }
    }
}
