//! Turns each event of a batch into a call on the router that it concerns, and the decisions into a reply.

use crate::error::{AdapterError, RecordError, ShortFrame};
use crate::event::{
    self, EndedAttempt, EndpointsChange, EventCode, HealthCheckEnd, InstanceStart, ListDefinition,
    RECORD_SIZE,
};
use crate::record::RecordReader;
use crate::reply::Reply;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{Actions, EndpointUpdate, Router};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The length of a batch's header: the number of records, the frame's length, and the time in microseconds.
pub(crate) const HEADER_SIZE: usize = 16;
/// Where the number of records stands in the header.
const COUNT_OFFSET: usize = 0;
/// Where the frame's length stands.
pub(crate) const LENGTH_OFFSET: usize = 4;
/// Where the time stands.
const TIME_OFFSET: usize = 8;

/// Endpoint lists by number, as entries that are not decoded yet.
type Lists = BTreeMap<u32, Vec<u8>>;

/// The routers hosted here, which share nothing but the endpoint lists that the wire numbers.
#[derive(Default)]
pub(crate) struct Session {
    routers: BTreeMap<u16, Router>,
    lists: Lists,
    reply: Reply,
}

impl Session {
    /// Handles all records of a batch in their order; returns the reply's frame.
    ///
    /// # Errors
    /// A record that cannot be read. Nothing is replied then.
    pub(crate) fn reply_to(&mut self, frame: &[u8]) -> Result<&[u8], AdapterError> {
        let header = RecordReader(frame);
        let count = header.u32(COUNT_OFFSET).map_err(AdapterError::Header)? as usize;
        let tail_start = tail_start(count, frame.len())?;
        let time = header.u64(TIME_OFFSET).map_err(AdapterError::Header)?;
        self.reply.start(Timestamp::from_micros(time));
        let tail = RecordReader(&frame[tail_start..]);
        for (index, record) in frame[HEADER_SIZE..tail_start].chunks_exact(RECORD_SIZE).enumerate() {
            self.handle(RecordReader(record), tail).map_err(|source| {
                let offset = HEADER_SIZE + index * RECORD_SIZE;
                AdapterError::Record { index, code: record[0], offset, source }
            })?;
        }
        Ok(self.reply.finish())
    }

    fn handle(&mut self, record: RecordReader, tail: RecordReader) -> Result<(), RecordError> {
        let code = EventCode::of(record)?;
        if code == EventCode::ListDefined {
            self.define_list(ListDefinition::decode(record, tail)?);
            return Ok(());
        }
        let instance = event::instance(record)?;
        match code {
            EventCode::InstanceStarted => self.start(instance, InstanceStart::decode(record, tail)?),
            EventCode::InstanceStopped => _ = self.routers.remove(&instance),
            _ => self.decide(instance, code, record)?,
        }
        Ok(())
    }

    fn define_list(&mut self, definition: ListDefinition) {
        let entries = self.lists.entry(definition.list).or_default();
        entries.clear();
        entries.extend_from_slice(definition.entries);
    }

    fn start(&mut self, instance: u16, start: InstanceStart) {
        let out = self.reply.for_instance(instance);
        self.routers.insert(instance, Router::start(start.deployment, start.seed, out));
    }

    /// Passes an event to its router. Events of an instance that is not running are dropped; an instance that panics
    /// is reported and ends.
    fn decide(&mut self, instance: u16, code: EventCode, record: RecordReader) -> Result<(), RecordError> {
        let Some(router) = self.routers.get_mut(&instance) else { return Ok(()) };
        let out = self.reply.for_instance(instance);
        let decided = catch_unwind(AssertUnwindSafe(|| decide(router, code, record, &self.lists, out)));
        decided.unwrap_or_else(|panic| {
            self.reply.instance_failed(panic_message(panic.as_ref()));
            self.routers.remove(&instance);
            Ok(())
        })
    }
}

/// Where the tail begins, after all records.
fn tail_start(count: usize, frame_length: usize) -> Result<usize, ShortFrame> {
    let end = count.checked_mul(RECORD_SIZE).and_then(|size| size.checked_add(HEADER_SIZE));
    let end = end.filter(|end| *end <= frame_length);
    end.ok_or(ShortFrame::Records { count, length: frame_length })
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("the decision failed")
}

fn decide(
    router: &mut Router, code: EventCode, record: RecordReader, lists: &Lists, out: &mut Reply,
) -> Result<(), RecordError> {
    match code {
        EventCode::ClientDisconnected => client_disconnected(router, record, out),
        EventCode::EndpointsChanged => endpoints_changed(router, record, lists, out),
        EventCode::HealthChecked => health_checked(router, record, out),
        EventCode::RequestSubmitted => request_submitted(router, record, out),
        EventCode::Ticked => {
            router.tick(out);
            Ok(())
        }
        EventCode::AttemptEnded => attempt_ended(router, record, out),
        EventCode::StreamOpened
        | EventCode::MessageReceived
        | EventCode::InstanceStarted
        | EventCode::InstanceStopped
        | EventCode::ListDefined => Ok(()),
    }
}

fn client_disconnected(
    router: &mut Router, record: RecordReader, out: &mut Reply,
) -> Result<(), RecordError> {
    if let Some(handle) = router.handle(event::disconnected_request(record)?) {
        handle.client_disconnected(router, out);
    }
    Ok(())
}

fn endpoints_changed(
    router: &mut Router, record: RecordReader, lists: &Lists, out: &mut Reply,
) -> Result<(), RecordError> {
    match EndpointsChange::decode(record)? {
        EndpointsChange::Unavailable => router.endpoints_unavailable(out),
        EndpointsChange::Listed { list, complete } => {
            let entries = lists.get(&list).ok_or(RecordError::UnknownList(list))?;
            let endpoints = event::endpoints(entries)?;
            router.update_endpoints(&EndpointUpdate { complete, endpoints }, out);
        }
    }
    Ok(())
}

fn health_checked(router: &mut Router, record: RecordReader, out: &mut Reply) -> Result<(), RecordError> {
    let HealthCheckEnd { host, outcome, report } = HealthCheckEnd::decode(record, router.deployment())?;
    router.health_checked(host, outcome, report, out);
    Ok(())
}

fn request_submitted(router: &mut Router, record: RecordReader, out: &mut Reply) -> Result<(), RecordError> {
    let request = event::request(record, router.deployment(), out.now())?;
    router.submit(request, out);
    Ok(())
}

fn attempt_ended(router: &mut Router, record: RecordReader, out: &mut Reply) -> Result<(), RecordError> {
    let EndedAttempt { request, end } = EndedAttempt::decode(record, router.deployment())?;
    if let Some(handle) = router.handle(request) {
        handle.attempt_ended(router, end, out);
    }
    Ok(())
}
