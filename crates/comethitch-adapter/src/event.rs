//! Decodes the records of a batch: the events of the wire, as messages of the policy.
//!
//! A record is [`RECORD_SIZE`] bytes: the event code, the instance that it concerns, and fields at offsets that depend
//! on the code. The offsets of each record stand at the head of the function that decodes it.

use crate::error::RecordError;
use crate::record::RecordReader;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    AttemptEnd, AttemptOutcome, Deployment, Endpoint, Host, Lifecycle, LoadReport, Request, RequestId,
};

/// The length of a record.
pub(crate) const RECORD_SIZE: usize = 48;
/// The length of an entry of an endpoint list.
pub(crate) const ENTRY_SIZE: usize = 27;

/// Where every record has its code, and all but [`EventCode::ListDefined`] their instance.
const CODE: usize = 0;
const INSTANCE: usize = 1;

/// The most values of a load report.
const MOST_REPORT_VALUES: usize = 4;
/// The length of one of them.
const REPORT_VALUE_SIZE: usize = 4;

/// The codes of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventCode {
    /// An instance ends.
    InstanceStopped,
    /// A request's client has disconnected.
    ClientDisconnected,
    /// The endpoint list has changed, or cannot be read.
    EndpointsChanged,
    /// A health check has ended.
    HealthChecked,
    /// A request is submitted.
    RequestSubmitted,
    /// The time that the policy asked to be called at has come.
    Ticked,
    /// An instance starts.
    InstanceStarted,
    /// An endpoint list gets a number, for all instances.
    ListDefined,
    /// An attempt has ended.
    AttemptEnded,
    /// The answer of a streamed request has begun. The policy needs no notice of it.
    StreamOpened,
    /// A message from another instance. The policy sends none and reads none.
    MessageReceived,
}

impl EventCode {
    /// The code of a record.
    pub(crate) fn of(record: RecordReader) -> Result<EventCode, RecordError> {
        match record.u8(CODE)? {
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

/// The instance that a record concerns.
pub(crate) fn instance(record: RecordReader) -> Result<u16, RecordError> {
    record.u16(INSTANCE)
}

/// An instance's seed and deployment.
pub(crate) struct InstanceStart {
    /// The seed of its random draws.
    pub seed: u64,
    /// Its settings.
    pub deployment: Deployment,
}

impl InstanceStart {
    /// Decodes a record of [`EventCode::InstanceStarted`].
    pub(crate) fn decode(record: RecordReader, tail: RecordReader) -> Result<InstanceStart, RecordError> {
        const SEED: usize = 3;
        const DEPLOYMENT: usize = 11;
        let text = tail.part_named_by(record, DEPLOYMENT, 1)?;
        let text = std::str::from_utf8(text).map_err(|_| RecordError::DeploymentNotUtf8)?;
        let deployment = Deployment::read(text)?;
        Ok(InstanceStart { seed: record.u64(SEED)?, deployment })
    }
}

/// An endpoint list and its number.
pub(crate) struct ListDefinition<'a> {
    /// The number.
    pub list: u32,
    /// Entries of [`ENTRY_SIZE`] bytes.
    pub entries: &'a [u8],
}

impl<'a> ListDefinition<'a> {
    /// Decodes a record of [`EventCode::ListDefined`].
    pub(crate) fn decode(
        record: RecordReader, tail: RecordReader<'a>,
    ) -> Result<ListDefinition<'a>, RecordError> {
        const LIST: usize = 1;
        const ENTRIES: usize = 5;
        let entries = tail.part_named_by(record, ENTRIES, ENTRY_SIZE)?;
        Ok(ListDefinition { list: record.u32(LIST)?, entries })
    }
}

/// A change of the endpoint list.
pub(crate) enum EndpointsChange {
    /// The list cannot be read.
    Unavailable,
    /// The list with this number.
    Listed { list: u32, complete: bool },
}

impl EndpointsChange {
    /// Decodes a record of [`EventCode::EndpointsChanged`].
    pub(crate) fn decode(record: RecordReader) -> Result<EndpointsChange, RecordError> {
        const SCOPE: usize = 3;
        const LIST: usize = 12;
        const PARTIAL: u8 = 0;
        const UNAVAILABLE: u8 = 3;
        match record.u8(SCOPE)? {
            UNAVAILABLE => Ok(EndpointsChange::Unavailable),
            scope @ PARTIAL..UNAVAILABLE => {
                Ok(EndpointsChange::Listed { list: record.u32(LIST)?, complete: scope != PARTIAL })
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
        const HOST: usize = 7;
        const OUTCOME: usize = 13;
        const REPORT: usize = 15;
        let report = deployment.parse_report(&report_values(record, REPORT)?);
        Ok(HealthCheckEnd { host: record.host(HOST)?, outcome: outcome(record.u16(OUTCOME)?)?, report })
    }
}

/// Decodes a record of [`EventCode::RequestSubmitted`].
pub(crate) fn request(
    record: RecordReader, deployment: &Deployment, now: Timestamp,
) -> Result<Request, RecordError> {
    const ID: usize = 3;
    const GROUP: usize = 7;
    const SESSION: usize = 11;
    const TIMEOUT: usize = 19;
    const SHARD: usize = 27;
    const SINCE_WRITE: usize = 31;
    let group = usize::from(record.u16(GROUP)?);
    if group >= deployment.classes.len() {
        return Err(RecordError::UnknownRequestClass(group));
    }
    let after = since_write(record.f32(SINCE_WRITE)?).map(|since| now - since);
    Ok(Request {
        id: record.u32(ID)?,
        class: group,
        shard_id: record.f32(SHARD)? as u16,
        session: record.u64(SESSION)?,
        after,
        timeout: Duration::from_micros(record.u32(TIMEOUT)?.into()),
    })
}

/// How long ago a session last wrote, from milliseconds; `None` if never. Rounded down: a write that looks later than
/// it was asks for newer data, never for older.
fn since_write(milliseconds: f32) -> Option<Duration> {
    let micros = || (f64::from(milliseconds.next_down()) * 1000.0) as u64;
    (milliseconds > 0.0).then(|| Duration::from_micros(micros()))
}

/// The request whose client has disconnected, in a record of [`EventCode::ClientDisconnected`].
pub(crate) fn disconnected_request(record: RecordReader) -> Result<RequestId, RecordError> {
    const COMMAND: usize = 3;
    record.u32(COMMAND)
}

/// The end of an attempt, and its request.
pub(crate) struct EndedAttempt {
    pub request: RequestId,
    pub end: AttemptEnd,
}

impl EndedAttempt {
    /// Decodes a record of [`EventCode::AttemptEnded`].
    pub(crate) fn decode(record: RecordReader, deployment: &Deployment) -> Result<EndedAttempt, RecordError> {
        const COMMAND: usize = 3;
        const ATTEMPT: usize = 7;
        const COMMAND_FINISHED: usize = 19;
        const OUTCOME: usize = 20;
        const NOTE: usize = 22;
        const REPORT: usize = 26;
        let end = AttemptEnd {
            attempt: record.u16(ATTEMPT)?,
            outcome: outcome(record.u16(OUTCOME)?)?,
            request_finished: record.u8(COMMAND_FINISHED)? != 0,
            trailer: deployment.parse_trailer(record.u32(NOTE)?),
            report: deployment.parse_report(&report_values(record, REPORT)?),
        };
        Ok(EndedAttempt { request: record.u32(COMMAND)?, end })
    }
}

/// Decodes the entries of an endpoint list.
pub(crate) fn endpoints(entries: &[u8]) -> Result<Vec<Endpoint>, RecordError> {
    entries.chunks_exact(ENTRY_SIZE).map(|entry| endpoint(RecordReader(entry))).collect()
}

fn endpoint(entry: RecordReader) -> Result<Endpoint, RecordError> {
    const HOST: usize = 0;
    const ZONE: usize = 6;
    const SHARD: usize = 8;
    const LIFECYCLE: usize = 10;
    const IS_PRIMARY: usize = 11;
    const CAPACITY: usize = 15;
    const STARTED: usize = 19;
    let lifecycle = lifecycle(entry.u8(LIFECYCLE)?)?;
    let started = entry.u64(STARTED)?;
    Ok(Endpoint {
        host: entry.host(HOST)?,
        zone: entry.u8(ZONE)?,
        shard_id: entry.u16(SHARD)?,
        lifecycle,
        is_primary: entry.f32(IS_PRIMARY)? >= 0.5,
        capacity: f64::from(entry.f32(CAPACITY)?),
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

/// The values of a load report: their number, and then the values.
fn report_values(record: RecordReader, offset: usize) -> Result<Vec<f32>, RecordError> {
    let count = usize::from(record.u8(offset)?).min(MOST_REPORT_VALUES);
    let first = offset + 1;
    (0..count).map(|index| record.f32(first + REPORT_VALUE_SIZE * index)).collect()
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
