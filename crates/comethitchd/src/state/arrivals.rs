//! Arrival times of the bytes received on a connection. The timeout of each message counts from the arrival
//! of the message's last byte.
//!
//! One read may return several messages and a part of the next. With a single timestamp for the whole buffer,
//! a message that is queued behind others would get the arrival time of later bytes, and so more time than
//! its client allows.

use comethitch_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Bytes that arrive within this time after the latest record are added to it, and so get its earlier time.
const RESOLUTION: Duration = Duration::from_millis(1);
/// Maximum number of records per connection, which take 1 KiB of memory. At the maximum, the two records
/// closest in time are merged, which makes some arrival times slightly earlier and none later.
const MAX_RECORDS: usize = 64;

/// The arrival time of the bytes between the end of the previous record and the end of this one.
#[derive(Clone, Copy)]
struct Arrival {
    /// Offset of the record's end in the stream.
    end: u64,
    arrived: Timestamp,
}

/// The arrival times of the bytes of a connection that are not consumed yet.
#[derive(Default)]
pub struct Arrivals {
    records: VecDeque<Arrival>,
    bytes_read: u64,
    bytes_consumed: u64,
}

impl Arrivals {
    /// Records that `length` more bytes were read now. Bytes that were recorded as waiting keep their earlier
    /// time.
    pub fn record_read(&mut self, length: usize, now: Timestamp) {
        self.bytes_read += length as u64;
        self.record(self.bytes_read, now);
    }

    /// Records that `length` bytes that are not read yet have arrived by now.
    pub fn record_waiting(&mut self, length: usize, now: Timestamp) {
        self.record(self.bytes_read + length as u64, now);
    }

    /// Consumes `length` bytes that were read. Returns when the last of them arrived, or `None` if that is
    /// not recorded.
    pub fn consume(&mut self, length: usize) -> Option<Timestamp> {
        self.bytes_consumed += length as u64;
        let covering = self.records.iter().position(|record| record.end >= self.bytes_consumed);
        self.records.drain(..covering.unwrap_or(self.records.len()));
        let arrived = self.records.front().map(|record| record.arrived);
        if self.records.front().is_some_and(|record| record.end == self.bytes_consumed) {
            self.records.pop_front();
        }
        arrived
    }

    /// Records that all bytes before `end` have arrived by now.
    fn record(&mut self, end: u64, now: Timestamp) {
        match self.records.back_mut() {
            Some(last) if end <= last.end => return,
            Some(last) if now - last.arrived < RESOLUTION => {
                last.end = end;
                return;
            }
            _ => {}
        }
        if self.records.len() == MAX_RECORDS {
            self.merge_closest();
        }
        self.records.push_back(Arrival { end, arrived: now });
    }

    /// Merges the two adjacent records that are closest in time.
    fn merge_closest(&mut self) {
        let gap = |nth: &usize| self.records[nth + 1].arrived - self.records[*nth].arrived;
        if let Some(nth) = (0..self.records.len() - 1).min_by_key(gap) {
            let later = self.records.remove(nth + 1);
            self.records[nth].end = later.map_or(self.records[nth].end, |later| later.end);
        }
    }
}

#[cfg(test)]
mod tests;
