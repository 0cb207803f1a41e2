//! Errors of reading and decoding batches, and of writing replies.

use comethitch_policy::DeploymentError;
use std::io;
use thiserror::Error;

/// Errors that stop the adapter: malformed input, or a failure of standard input or output.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read the batch: {0}")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
    /// The input ends within a frame.
    #[error("short frame: {0}")]
    ShortFrame(#[from] ShortFrame),
    /// A field of a frame's header cannot be read.
    #[error(transparent)]
    Header(RecordError),
    /// A record cannot be decoded.
    #[error("record {index} (code {code}, byte {offset}): {source}")]
    Record {
        /// Index of the record in the batch.
        index: usize,
        /// Event code of the record.
        code: u8,
        /// Byte offset of the record in the frame.
        offset: usize,
        /// The decoding error.
        source: RecordError,
    },
}

/// Inconsistent lengths of a frame.
#[derive(Debug, Error)]
pub(crate) enum ShortFrame {
    /// The input ends within the header.
    #[error("the input ends after {found} bytes of a header of {header} bytes")]
    Header {
        /// Number of bytes read.
        found: usize,
        /// Size of a header in bytes.
        header: usize,
    },
    /// The length field is less than the size of the header.
    #[error("its length field is {length}, which is less than the size of a header")]
    LengthField {
        /// Value of the field.
        length: usize,
    },
    /// The input ends within the frame.
    #[error("the input ends after {found} bytes of a frame of {length} bytes")]
    Body {
        /// Number of bytes read.
        found: usize,
        /// Length of the frame in bytes.
        length: usize,
    },
    /// The frame is too short for its records.
    #[error("{count} records do not fit into {length} bytes")]
    Records {
        /// Number of records stated in the header.
        count: usize,
        /// Length of the frame in bytes.
        length: usize,
    },
}

/// Errors of decoding a record.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// A field lies past the end of its record or entry.
    #[error("a field at byte {offset} lies past the end of its record or entry")]
    PastEnd {
        /// Byte offset of the field.
        offset: usize,
    },
    /// A reference to the tail is out of range.
    #[error("offset {start} with length {length} lies outside the tail of {tail} bytes")]
    OutsideTail {
        /// Start of the slice in bytes.
        start: usize,
        /// Number of items in the slice.
        length: usize,
        /// Length of the tail in bytes.
        tail: usize,
    },
    /// The event code is unknown.
    #[error("unknown event code")]
    UnknownEvent,
    /// The deployment is not valid UTF-8.
    #[error("the deployment text is not UTF-8")]
    DeploymentNotUtf8,
    /// The policy rejects the deployment.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// No record has defined the endpoint list with this number.
    #[error("endpoint list {0} is not defined")]
    UnknownList(u32),
    /// The scope of an endpoint update is unknown.
    #[error("unknown endpoint list scope {0}")]
    UnknownListScope(u8),
    /// The lifecycle state of an endpoint is unknown.
    #[error("unknown lifecycle {0} in an endpoint list")]
    UnknownLifecycle(u8),
    /// The deployment has no request class with this index.
    #[error("unknown request class {0}")]
    UnknownRequestClass(usize),
    /// The outcome of an attempt or a health check is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
}
