//! Writes the reply to a batch: one record for each action of the policy, in order.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Actions, Host, RejectionReason, RequestId};

/// Size of a reply's header in bytes: the length of the frame, and the number of records.
const HEADER_BYTES: usize = 8;
/// Size of a record, in bytes.
const RECORD_BYTES: usize = 24;
/// Offset in the header of the number of records.
const COUNT_OFFSET: usize = 4;
/// The scope in a record of [`ActionCode::WatchEndpoints`]: all changes of the endpoint list.
const WATCH_ALL: u8 = 1;

/// The codes of the records in a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum ActionCode {
    SendAttempt = 80,
    CheckHealth = 81,
    WakeAfter = 82,
    WatchEndpoints = 83,
    Throttle = 84,
    CloseIdleConnections = 85,
    Fail = 86,
    InstanceFailed = 88,
    CancelAttempt = 90,
}

/// The reply to one batch while it is being written. The buffers are reused for every batch.
#[derive(Default)]
pub(crate) struct Reply {
    frame: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
    now: Timestamp,
    instance: u16,
}

impl Reply {
    /// Begins the reply to a batch whose events happen at `now`.
    pub(crate) fn start(&mut self, now: Timestamp) {
        self.frame.clear();
        self.frame.resize(HEADER_BYTES, 0);
        self.tail.clear();
        self.count = 0;
        self.now = now;
    }

    /// Sets the instance that the following actions belong to.
    pub(crate) fn for_instance(&mut self, instance: u16) -> &mut Reply {
        self.instance = instance;
        self
    }

    /// Completes the header and the tail, and returns the frame.
    pub(crate) fn finish(&mut self) -> &[u8] {
        self.frame.extend_from_slice(&self.tail);
        let length = self.frame.len() as u32;
        self.frame[..COUNT_OFFSET].copy_from_slice(&length.to_le_bytes());
        self.frame[COUNT_OFFSET..HEADER_BYTES].copy_from_slice(&self.count.to_le_bytes());
        &self.frame
    }

    /// Adds a record that the current instance has failed and accepts no more events. The message is in the
    /// tail.
    pub(crate) fn instance_failed(&mut self, message: &str) {
        let start = self.tail.len() as u32;
        let length = message.len() as u32;
        self.tail.extend_from_slice(message.as_bytes());
        self.record(ActionCode::InstanceFailed, &[&start.to_le_bytes(), &length.to_le_bytes()]);
    }

    fn record(&mut self, code: ActionCode, fields: &[&[u8]]) {
        let end = self.frame.len() + RECORD_BYTES;
        self.frame.push(code as u8);
        self.frame.extend_from_slice(&self.instance.to_le_bytes());
        fields.iter().for_each(|field| self.frame.extend_from_slice(field));
        self.frame.resize(end, 0);
        self.count += 1;
    }

    fn host_record(&mut self, code: ActionCode, host: Host) {
        self.record(code, &[&host.address, &host.port.to_le_bytes()]);
    }
}

/// Encodes a duration in microseconds. Longer durations are encoded as the maximum value.
fn encode_micros(duration: Duration) -> [u8; 4] {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Actions for Reply {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn send_attempt(&mut self, request: RequestId, host: Host, timeout: Duration) {
        let fields =
            [&request.to_le_bytes()[..], &host.address, &host.port.to_le_bytes(), &encode_micros(timeout)];
        self.record(ActionCode::SendAttempt, &fields);
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: u16) {
        self.record(ActionCode::CancelAttempt, &[&request.to_le_bytes(), &attempt.to_le_bytes()]);
    }

    fn throttle(&mut self, request: RequestId, retry_after: Option<Duration>, _: RejectionReason) {
        let retry_after = encode_micros(retry_after.unwrap_or_default());
        self.record(ActionCode::Throttle, &[&request.to_le_bytes(), &retry_after]);
    }

    fn fail(&mut self, request: RequestId, _: RejectionReason) {
        self.record(ActionCode::Fail, &[&request.to_le_bytes()]);
    }

    fn check_health(&mut self, host: Host) {
        self.host_record(ActionCode::CheckHealth, host);
    }

    fn close_idle_connections(&mut self, host: Host) {
        self.host_record(ActionCode::CloseIdleConnections, host);
    }

    fn wake_after(&mut self, delay: Duration) {
        self.record(ActionCode::WakeAfter, &[&encode_micros(delay)]);
    }

    fn watch_endpoints(&mut self) {
        self.record(ActionCode::WatchEndpoints, &[&[WATCH_ALL]]);
    }
}
