//! Decodes the records of a batch, each an event, into the types of the policy.
//!
//! A record of [`RECORD_BYTES`] has an event code, the instance that it concerns, and fields whose offsets
//! depend on the code. Each decoding function begins with the offsets that it reads.

use crate::error::RecordError;
use crate::record::RecordReader;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    AttemptEnd, AttemptOutcome, Deployment, Endpoint, Host, Lifecycle, LoadReport, Request, RequestId,
};

/// Size of a record, in bytes.
pub(crate) const RECORD_BYTES: usize = 48;
/// Size of an entry of an endpoint list, in bytes.
pub(crate) const ENTRY_BYTES: usize = 27;

/// Offset of the event code in every record.
const CODE_OFFSET: usize = 0;
/// Offset of the instance in every record except [`EventCode::ListDefined`].
const INSTANCE_OFFSET: usize = 1;

/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;
/// Size of a value in a load report, in bytes.
const REPORT_VALUE_BYTES: usize = 4;

/// The codes of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventCode {
    /// An instance ends.
    InstanceStopped,
    /// A request's client has disconnected.
    ClientDisconnected,
    /// The endpoint list has changed, or is unavailable.
    EndpointsChanged,
    /// A health check has ended.
    HealthChecked,
    /// A request is submitted.
    RequestSubmitted,
    /// The wake-up time that the policy requested is reached.
    Ticked,
    /// An instance starts.
    InstanceStarted,
    /// An endpoint list is assigned a number, for all instances.
    ListDefined,
    /// An attempt has ended.
    AttemptEnded,
    /// A streamed answer has begun. The policy does not need this event.
    StreamOpened,
    /// A message from another instance, which the policy does not use.
    MessageReceived,
}

impl EventCode {
    /// Reads the event code of a record.
    pub(crate) fn of(record: RecordReader) -> Result<EventCode, RecordError> {
        match record.u8(CODE_OFFSET)? {
            16 => Ok(EventCode::InstanceStopped),
            17 => Ok(EventCode::ClientDisconnected),
            18 => Ok(EventCode::EndpointsChanged),
            19 => Ok(EventCode::StreamOpened),
            20 => Ok(EventCode::HealthChecked),
            21 => Ok(EventCode::MessageReceived),
            22 => Ok(EventCode::RequestSubmitted),
            23 => Ok(EventCode::Ticked),
            24 => Ok(EventCode::InstanceStarted),
            25 => Ok(EventCode::ListDefined),
            26 => Ok(EventCode::AttemptEnded),
            _ => Err(RecordError::UnknownEvent),
        }
    }
}

/// Reads the instance that a record concerns.
pub(crate) fn instance(record: RecordReader) -> Result<u16, RecordError> {
    record.u16(INSTANCE_OFFSET)
}

/// The parameters of an instance's start.
pub(crate) struct InstanceStart {
    /// Seed of the random number generator.
    pub seed: u64,
    /// The settings of the deployment.
    pub deployment: Deployment,
}

impl InstanceStart {
    /// Decodes a record of [`EventCode::InstanceStarted`].
    pub(crate) fn decode(record: RecordReader, tail: RecordReader) -> Result<InstanceStart, RecordError> {
        const SEED_OFFSET: usize = 3;
        const DEPLOYMENT_OFFSET: usize = 11;
        let text = tail.slice_referenced_by(record, DEPLOYMENT_OFFSET, 1)?;
        let text = std::str::from_utf8(text).map_err(|_| RecordError::DeploymentNotUtf8)?;
        let deployment = Deployment::parse(text)?;
        Ok(InstanceStart { seed: record.u64(SEED_OFFSET)?, deployment })
    }
}

/// An endpoint list and its number.
pub(crate) struct ListDefinition<'a> {
    /// The number of the list.
    pub list: u32,
    /// The encoded entries, each of [`ENTRY_BYTES`].
    pub entries: &'a [u8],
}

impl<'a> ListDefinition<'a> {
    /// Decodes a record of [`EventCode::ListDefined`].
    pub(crate) fn decode(
        record: RecordReader, tail: RecordReader<'a>,
    ) -> Result<ListDefinition<'a>, RecordError> {
        const LIST_OFFSET: usize = 1;
        const ENTRIES_OFFSET: usize = 5;
        let entries = tail.slice_referenced_by(record, ENTRIES_OFFSET, ENTRY_BYTES)?;
        Ok(ListDefinition { list: record.u32(LIST_OFFSET)?, entries })
    }
}

/// A change of the endpoint list.
pub(crate) enum EndpointsChange {
    /// The endpoint list is unavailable.
    Unavailable,
    /// The endpoint list is updated from the list with this number.
    Listed { list: u32, complete: bool },
}

impl EndpointsChange {
    /// Decodes a record of [`EventCode::EndpointsChanged`].
    pub(crate) fn decode(record: RecordReader) -> Result<EndpointsChange, RecordError> {
        const SCOPE_OFFSET: usize = 3;
        const LIST_OFFSET: usize = 12;
        const PARTIAL: u8 = 0;
        const UNAVAILABLE: u8 = 3;
        match record.u8(SCOPE_OFFSET)? {
            UNAVAILABLE => Ok(EndpointsChange::Unavailable),
            scope @ PARTIAL..UNAVAILABLE => {
                Ok(EndpointsChange::Listed { list: record.u32(LIST_OFFSET)?, complete: scope != PARTIAL })
            }
            scope => Err(RecordError::UnknownListScope(scope)),
        }
    }
}

/// The end of a health check.
pub(crate) struct HealthCheckEnd {
    pub host: Host,
    pub outcome: AttemptOutcome,
    pub report: LoadReport,
}

impl HealthCheckEnd {
    /// Decodes a record of [`EventCode::HealthChecked`].
    pub(crate) fn decode(
        record: RecordReader, deployment: &Deployment,
    ) -> Result<HealthCheckEnd, RecordError> {
        const HOST_OFFSET: usize = 7;
        const OUTCOME_OFFSET: usize = 13;
        const REPORT_OFFSET: usize = 15;
        let report = deployment.parse_report(&report_values(record, REPORT_OFFSET)?);
        Ok(HealthCheckEnd {
            host: record.host(HOST_OFFSET)?,
            outcome: outcome(record.u16(OUTCOME_OFFSET)?)?,
            report,
        })
    }
}

/// Decodes a record of [`EventCode::RequestSubmitted`].
pub(crate) fn request(
    record: RecordReader, deployment: &Deployment, now: Timestamp,
) -> Result<Request, RecordError> {
    const ID_OFFSET: usize = 3;
    const CLASS_OFFSET: usize = 7;
    const SESSION_OFFSET: usize = 11;
    const TIMEOUT_OFFSET: usize = 19;
    const SHARD_OFFSET: usize = 27;
    const SINCE_WRITE_OFFSET: usize = 31;
    let class = usize::from(record.u16(CLASS_OFFSET)?);
    if class >= deployment.classes.len() {
        return Err(RecordError::UnknownRequestClass(class));
    }
    let required_position = since_write(record.f32(SINCE_WRITE_OFFSET)?).map(|since| now - since);
    Ok(Request {
        id: record.u32(ID_OFFSET)?,
        class,
        shard_id: record.f32(SHARD_OFFSET)? as u16,
        session: record.u64(SESSION_OFFSET)?,
        required_position,
        timeout: Duration::from_micros(record.u32(TIMEOUT_OFFSET)?.into()),
    })
}

/// Converts the time since a session's last write from milliseconds. Returns `None` if the session never
/// wrote. The time is rounded down: a later write requires newer data, so that a rounding error never allows
/// a read to miss the write.
fn since_write(milliseconds: f32) -> Option<Duration> {
    let micros = || (f64::from(milliseconds.next_down()) * 1000.0) as u64;
    (milliseconds > 0.0).then(|| Duration::from_micros(micros()))
}

/// Decodes a record of [`EventCode::ClientDisconnected`] into the request whose client has disconnected.
pub(crate) fn disconnected_request(record: RecordReader) -> Result<RequestId, RecordError> {
    const REQUEST_OFFSET: usize = 3;
    record.u32(REQUEST_OFFSET)
}

/// The end of an attempt, and its request.
pub(crate) struct EndedAttempt {
    pub request: RequestId,
    pub end: AttemptEnd,
}

impl EndedAttempt {
    /// Decodes a record of [`EventCode::AttemptEnded`].
    pub(crate) fn decode(record: RecordReader, deployment: &Deployment) -> Result<EndedAttempt, RecordError> {
        const REQUEST_OFFSET: usize = 3;
        const ATTEMPT_OFFSET: usize = 7;
        const REQUEST_FINISHED_OFFSET: usize = 19;
        const OUTCOME_OFFSET: usize = 20;
        const TRAILER_OFFSET: usize = 22;
        const REPORT_OFFSET: usize = 26;
        let end = AttemptEnd {
            attempt: record.u16(ATTEMPT_OFFSET)?,
            outcome: outcome(record.u16(OUTCOME_OFFSET)?)?,
            request_finished: record.u8(REQUEST_FINISHED_OFFSET)? != 0,
            trailer: deployment.parse_trailer(record.u32(TRAILER_OFFSET)?),
            report: deployment.parse_report(&report_values(record, REPORT_OFFSET)?),
        };
        Ok(EndedAttempt { request: record.u32(REQUEST_OFFSET)?, end })
    }
}

/// Decodes the entries of an endpoint list.
pub(crate) fn endpoints(entries: &[u8]) -> Result<Vec<Endpoint>, RecordError> {
    entries.chunks_exact(ENTRY_BYTES).map(|entry| endpoint(RecordReader(entry))).collect()
}

fn endpoint(entry: RecordReader) -> Result<Endpoint, RecordError> {
    const HOST_OFFSET: usize = 0;
    const ZONE_OFFSET: usize = 6;
    const SHARD_OFFSET: usize = 8;
    const LIFECYCLE_OFFSET: usize = 10;
    const IS_PRIMARY_OFFSET: usize = 11;
    const CAPACITY_OFFSET: usize = 15;
    const STARTED_OFFSET: usize = 19;
    let lifecycle = lifecycle(entry.u8(LIFECYCLE_OFFSET)?)?;
    let started = entry.u64(STARTED_OFFSET)?;
    Ok(Endpoint {
        host: entry.host(HOST_OFFSET)?,
        zone: entry.u8(ZONE_OFFSET)?,
        shard_id: entry.u16(SHARD_OFFSET)?,
        lifecycle,
        is_primary: entry.f32(IS_PRIMARY_OFFSET)? >= 0.5,
        capacity: f64::from(entry.f32(CAPACITY_OFFSET)?),
        started: (started > 0).then_some(Timestamp::from_micros(started)),
    })
}

fn lifecycle(code: u8) -> Result<Lifecycle, RecordError> {
    match code {
        0 => Ok(Lifecycle::Draining),
        1 => Ok(Lifecycle::Ready),
        2 => Ok(Lifecycle::Removed),
        other => Err(RecordError::UnknownLifecycle(other)),
    }
}

/// Decodes the values of a load report, which are preceded by their number.
fn report_values(record: RecordReader, offset: usize) -> Result<Vec<f32>, RecordError> {
    let count = usize::from(record.u8(offset)?).min(MAX_REPORT_VALUES);
    let first = offset + 1;
    (0..count).map(|index| record.f32(first + REPORT_VALUE_BYTES * index)).collect()
}

fn outcome(code: u16) -> Result<AttemptOutcome, RecordError> {
    match code {
        0 => Ok(AttemptOutcome::Answered),
        1 => Ok(AttemptOutcome::Error),
        2 => Ok(AttemptOutcome::Overloaded),
        3 => Ok(AttemptOutcome::TimedOut),
        4 => Ok(AttemptOutcome::ConnectionFailed),
        5 => Ok(AttemptOutcome::ConnectionReset),
        6 => Ok(AttemptOutcome::Cancelled),
        7 => Ok(AttemptOutcome::NotSent),
        8 => Ok(AttemptOutcome::NotPrimary),
        other => Err(RecordError::UnknownOutcome(other)),
    }
}
