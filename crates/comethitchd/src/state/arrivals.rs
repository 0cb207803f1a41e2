//! When the bytes of a connection arrived, so that each message on it is timed by its own last byte.
//!
//! A read moves any number of messages into the buffer, and the end of one may come with the beginning of the next.
//! One timestamp for the whole buffer would give a message that waits behind others the time of bytes that came later,
//! and so more time than its client allows.

use comethitch_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Arrivals closer together than this share one record, which keeps the earlier time.
const RESOLUTION: Duration = Duration::from_millis(1);
/// Records of one connection: 1 KiB. Past that the two closest together are merged, so that some messages are timed
/// from slightly earlier, and none from later.
const MAX_RECORDS: usize = 64;

/// All bytes of the stream before `end`, back to the record before this one, had arrived at this time.
#[derive(Clone, Copy)]
struct Arrival {
    end: u64,
    arrived: Timestamp,
}

/// The arrival times of the bytes of one connection that are not consumed yet.
#[derive(Default)]
pub struct Arrivals {
    records: VecDeque<Arrival>,
    /// Bytes of the stream that were read.
    read: u64,
    /// Bytes of the stream that were consumed.
    consumed: u64,
}

impl Arrivals {
    /// Records that this many more bytes were read now, where none of them was seen waiting before.
    pub fn read(&mut self, length: usize, now: Timestamp) {
        self.read += length as u64;
        self.record(self.read, now);
    }

    /// Records that this many bytes wait behind those that were read: they are read later, and arrived by now.
    pub fn waiting(&mut self, length: usize, now: Timestamp) {
        self.record(self.read + length as u64, now);
    }

    /// Consumes bytes that were read, and returns when the last one of them arrived.
    pub fn consume(&mut self, length: usize) -> Option<Timestamp> {
        self.consumed += length as u64;
        let covering = self.records.iter().position(|record| record.end >= self.consumed);
        self.records.drain(..covering.unwrap_or(self.records.len()));
        let arrived = self.records.front().map(|record| record.arrived);
        if self.records.front().is_some_and(|record| record.end == self.consumed) {
            self.records.pop_front();
        }
        arrived
    }

    /// All bytes before `end` have arrived by now.
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
