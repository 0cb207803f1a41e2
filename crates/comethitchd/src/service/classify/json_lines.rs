//! Reads JSON lines of bounded length, and writes a JSON line for each.

use crate::service::classify::line_classifier::OutputLine;
use std::io::{self, BufRead, BufReader, Read, Write};

/// Maximum length of a line, which is more than a router accepts as a statement. A longer line is skipped with an error.
const MAX_LINE_BYTES: usize = 16 << 20;

/// Writes the output line of each input line; blank lines have none.
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
            OutputLine::Error { error: format!("a line of more than {MAX_LINE_BYTES} bytes") }
        } else if line.trim_ascii().is_empty() {
            continue;
        } else {
            classify(&line)
        };
        serde_json::to_writer(&mut output, &classified)?;
        output.write_all(b"\n")?;
        // An interactive client that sends one line at a time gets each verdict at once.
        if input.buffer().is_empty() {
            output.flush()?;
        }
    }
}
