//! The errors of reading batches and writing replies.

use comethitch_policy::DeploymentError;
use std::io;
use thiserror::Error;

/// Why the adapter stops: the input is malformed, or a stream fails.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// Standard input fails.
    #[error("cannot read the batch: {0}")]
    Read(#[source] io::Error),
    /// Standard output fails.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
    /// The input ends within a frame.
    #[error("short frame: {0}")]
    ShortFrame(#[from] ShortFrame),
    /// A header that is too short.
    #[error(transparent)]
    Header(RecordError),
    /// A record that cannot be read.
    #[error("record {index} (code {code}, byte {offset}): {source}")]
    Record {
        /// Its place in the batch.
        index: usize,
        /// Its event code.
        code: u8,
        /// Where it begins in the frame.
        offset: usize,
        /// What is wrong with it.
        source: RecordError,
    },
}

/// Which length of a frame does not fit.
#[derive(Debug, Error)]
pub(crate) enum ShortFrame {
    /// The input ends within the header.
    #[error("{found} bytes of a header of {header}")]
    Header {
        /// How many bytes came.
        found: usize,
        /// How long a header is.
        header: usize,
    },
    /// The length field is less than the header's length.
    #[error("its length field says {length} bytes")]
    LengthField {
        /// The field's value.
        length: usize,
    },
    /// The input ends before the frame does.
    #[error("{found} bytes of {length}")]
    Body {
        /// How many bytes came.
        found: usize,
        /// How long the frame is.
        length: usize,
    },
    /// More records than the frame has room for.
    #[error("{count} records do not fit into {length} bytes")]
    Records {
        /// How many records the header announces.
        count: usize,
        /// How long the frame is.
        length: usize,
    },
}

/// What is wrong with a record.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// A field past the end of its record or entry.
    #[error("a field at byte {offset} lies past the end")]
    PastEnd {
        /// Where the field begins.
        offset: usize,
    },
    /// A part of the tail that does not exist.
    #[error("offset {start} with length {length} lies outside the tail of {tail} bytes")]
    OutsideTail {
        /// Where the part begins in the tail.
        start: usize,
        /// How many items it has.
        length: usize,
        /// How long the tail is.
        tail: usize,
    },
    /// An event code that the wire does not have.
    #[error("unknown event code")]
    UnknownEvent,
    /// A deployment that is no text.
    #[error("the deployment text is not UTF-8")]
    DeploymentNotUtf8,
    /// A deployment that the policy refuses.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// An endpoint list that no record defined.
    #[error("list {0} was never given")]
    UnknownList(u32),
    /// A scope of an endpoint update that the wire does not have.
    #[error("unknown list scope {0}")]
    UnknownListScope(u8),
    /// A lifecycle that the wire does not have.
    #[error("unknown lifecycle {0} in a list")]
    UnknownLifecycle(u8),
    /// A request class that the deployment does not have.
    #[error("unknown command group {0}")]
    UnknownRequestClass(usize),
    /// An outcome that the wire does not have.
    #[error("unknown ending {0}")]
    UnknownOutcome(u16),
}
