//! Operations of clients, and whether they were answered within the latency objective.

use super::report::Second;
use comethitch_policy::time::Timestamp;
use std::collections::BTreeMap;

/// A unit of work of a client. It is sent as one request, or as several if the client retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Number of the operation, unique over all clients.
    pub id: u64,
    /// When the client sent the first request.
    pub sent_at: Timestamp,
}

#[derive(Debug)]
struct OperationRecord {
    sent_at: Timestamp,
    /// Whether one of its requests was answered within the latency objective.
    in_time: bool,
}

/// All operations of a trial, by their number.
#[derive(Debug, Default)]
pub(super) struct Operations {
    records: BTreeMap<u64, OperationRecord>,
}

impl Operations {
    /// Adds an operation, unless it is known already.
    pub(super) fn start(&mut self, operation: Operation) {
        let record = OperationRecord { sent_at: operation.sent_at, in_time: false };
        self.records.entry(operation.id).or_insert(record);
    }

    /// Marks an operation as answered within the latency objective.
    pub(super) fn mark_in_time(&mut self, operation: Operation) {
        let record = OperationRecord { sent_at: operation.sent_at, in_time: true };
        self.records.insert(operation.id, record);
    }

    /// Returns the number of operations.
    pub(super) fn count(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns the fraction of operations answered within the latency objective.
    pub(super) fn in_time_fraction(&self) -> f64 {
        let in_time = self.records.values().filter(|operation| operation.in_time).count();
        in_time as f64 / self.count().max(1) as f64
    }

    /// Returns the numbers of operations in each second since `start`. The fields of the hosts' load are 0.
    pub(super) fn by_second(&self, start: Timestamp) -> BTreeMap<u64, Second> {
        let mut seconds: BTreeMap<u64, Second> = BTreeMap::new();
        for operation in self.records.values() {
            let second = (operation.sent_at - start).as_micros() / 1_000_000;
            let entry = seconds.entry(second).or_default();
            entry.operations += 1;
            entry.in_time += u64::from(operation.in_time);
        }
        seconds
    }
}
