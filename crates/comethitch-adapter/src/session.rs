//! Dispatches the events of a batch to the routers of their instances, and collects the routers' actions in a
//! reply.

use crate::error::{AdapterError, RecordError, ShortFrame};
use crate::event::{
    self, EndedAttempt, EndpointsChange, EventCode, HealthCheckEnd, InstanceStart, ListDefinition,
    RECORD_BYTES,
};
use crate::record::RecordReader;
use crate::reply::Reply;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{Actions, EndpointUpdate, Router};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Size of a batch's header in bytes: the number of records, the length of the frame, and the time in
/// microseconds.
pub(crate) const HEADER_BYTES: usize = 16;
/// Offset in the header of the number of records.
const COUNT_OFFSET: usize = 0;
/// Offset in the header of the frame's length.
pub(crate) const LENGTH_OFFSET: usize = 4;
/// Offset in the header of the time.
const TIME_OFFSET: usize = 8;

/// The encoded entries of endpoint lists, by the number of the list.
type EndpointLists = BTreeMap<u32, Vec<u8>>;

/// The routers of all instances, which share only the numbered endpoint lists.
#[derive(Default)]
pub(crate) struct Session {
    routers: BTreeMap<u16, Router>,
    endpoint_lists: EndpointLists,
    reply: Reply,
}

impl Session {
    /// Handles the records of a batch in order, and returns the frame of the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the header or a record cannot be decoded. Then there is no reply.
    pub(crate) fn reply_to(&mut self, frame: &[u8]) -> Result<&[u8], AdapterError> {
        let header = RecordReader(frame);
        let count = header.u32(COUNT_OFFSET).map_err(AdapterError::Header)? as usize;
        let tail_start = tail_start(count, frame.len())?;
        let time = header.u64(TIME_OFFSET).map_err(AdapterError::Header)?;
        self.reply.start(Timestamp::from_micros(time));
        let tail = RecordReader(&frame[tail_start..]);
        for (index, record) in frame[HEADER_BYTES..tail_start].chunks_exact(RECORD_BYTES).enumerate() {
            self.handle(RecordReader(record), tail).map_err(|source| {
                let offset = HEADER_BYTES + index * RECORD_BYTES;
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
            _ => self.dispatch(instance, code, record)?,
        }
        Ok(())
    }

    fn define_list(&mut self, definition: ListDefinition) {
        let entries = self.endpoint_lists.entry(definition.list).or_default();
        entries.clear();
        entries.extend_from_slice(definition.entries);
    }

    fn start(&mut self, instance: u16, start: InstanceStart) {
        let out = self.reply.for_instance(instance);
        self.routers.insert(instance, Router::start(start.deployment, start.seed, out));
    }

    /// Passes an event to its router. Events of an instance that is not running are ignored. An instance that
    /// panics is reported as failed and removed.
    fn dispatch(&mut self, instance: u16, code: EventCode, record: RecordReader) -> Result<(), RecordError> {
        let Some(router) = self.routers.get_mut(&instance) else { return Ok(()) };
        let out = self.reply.for_instance(instance);
        let lists = &self.endpoint_lists;
        let handled = catch_unwind(AssertUnwindSafe(|| handle_event(router, code, record, lists, out)));
        handled.unwrap_or_else(|panic| {
            self.reply.instance_failed(panic_message(panic.as_ref()));
            self.routers.remove(&instance);
            Ok(())
        })
    }
}

/// Returns the offset of the tail, which follows the records.
fn tail_start(count: usize, frame_length: usize) -> Result<usize, ShortFrame> {
    let end = count.checked_mul(RECORD_BYTES).and_then(|size| size.checked_add(HEADER_BYTES));
    let end = end.filter(|end| *end <= frame_length);
    end.ok_or(ShortFrame::Records { count, length: frame_length })
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("the decision failed")
}

fn handle_event(
    router: &mut Router, code: EventCode, record: RecordReader, lists: &EndpointLists, out: &mut Reply,
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
    router: &mut Router, record: RecordReader, lists: &EndpointLists, out: &mut Reply,
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
