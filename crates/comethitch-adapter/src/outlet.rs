//! Writes each act of a decision straight into the reply.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Actions, CommandId, Host, RejectionReason};

const HEADER: usize = 8;
const RECORD: usize = 24;

/// The reply to one batch, as it grows. Its buffers serve every batch.
#[derive(Default)]
pub struct Reply {
    frame: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
    now: Timestamp,
    instance: u16,
}

impl Reply {
    pub fn start(&mut self, now: Timestamp) {
        self.frame.clear();
        self.frame.resize(HEADER, 0);
        self.tail.clear();
        self.count = 0;
        self.now = now;
    }

    /// The acts that follow are this instance's.
    pub fn of(&mut self, instance: u16) -> &mut Reply {
        self.instance = instance;
        self
    }

    pub fn finish(&mut self) -> &[u8] {
        self.frame.extend_from_slice(&self.tail);
        let length = self.frame.len() as u32;
        self.frame[..4].copy_from_slice(&length.to_le_bytes());
        self.frame[4..HEADER].copy_from_slice(&self.count.to_le_bytes());
        &self.frame
    }

    pub fn bail_out(&mut self, text: &str) {
        let (start, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.record(88, &[&start.to_le_bytes(), &length.to_le_bytes()]);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let end = self.frame.len() + RECORD;
        self.frame.push(code);
        self.frame.extend_from_slice(&self.instance.to_le_bytes());
        fields.iter().for_each(|field| self.frame.extend_from_slice(field));
        self.frame.resize(end, 0);
        self.count += 1;
    }
}

fn micros(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Actions for Reply {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn send_attempt(&mut self, cmd: CommandId, host: Host, time_out: Duration) {
        let fields = [&cmd.to_le_bytes()[..], &host.address, &host.port.to_le_bytes(), &micros(time_out)];
        self.record(80, &fields);
    }

    fn cancel_attempt(&mut self, cmd: CommandId, nth: u16) {
        self.record(90, &[&cmd.to_le_bytes(), &nth.to_le_bytes()]);
    }

    fn throttle(&mut self, cmd: CommandId, retry_after: Option<Duration>, _: RejectionReason) {
        self.record(84, &[&cmd.to_le_bytes(), &micros(retry_after.unwrap_or_default())]);
    }

    fn fail(&mut self, cmd: CommandId, _: RejectionReason) {
        self.record(86, &[&cmd.to_le_bytes()]);
    }

    fn check_health(&mut self, host: Host) {
        self.record(81, &[&host.address, &host.port.to_le_bytes()]);
    }

    fn close_idle_connections(&mut self, host: Host) {
        self.record(85, &[&host.address, &host.port.to_le_bytes()]);
    }

    fn wake_after(&mut self, after: Duration) {
        self.record(82, &[&micros(after)]);
    }

    fn watch_endpoints(&mut self) {
        self.record(83, &[&[1]]);
    }
}
