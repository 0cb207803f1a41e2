//! The table of requests in progress, ordered by their ids.

use crate::request_state::RequestState;
use crate::{RequestId, host_table::HostIndex};
use std::collections::BTreeMap;
use std::ops::Index;

/// All requests that have no final answer yet or have an attempt in flight.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

impl RequestTable {
    /// Adds a submitted request.
    pub(crate) fn insert(&mut self, id: RequestId, request: RequestState) {
        self.requests.insert(id, request);
    }

    /// Removes and returns a request.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        self.requests.remove(&id)
    }

    /// Returns a request, or `None` if it is not in progress.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns a mutable reference to a request, or `None` if it is not in progress.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Returns the ids of all requests in ascending order.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Sets `in_flight_at_fault` of the attempts that are in flight to a host, and returns their number.
    pub(crate) fn mark_in_flight_at_fault(&mut self, host: HostIndex) -> u32 {
        let mut in_flight = 0;
        let attempts = self.requests.values_mut().flat_map(|request| &mut request.attempts);
        for attempt in attempts.filter(|attempt| attempt.host == host) {
            attempt.in_flight_at_fault = attempt.outcome.is_none();
            in_flight += u32::from(attempt.in_flight_at_fault);
        }
        in_flight
    }
}

/// Looks up a request that must be in progress.
impl Index<RequestId> for RequestTable {
    type Output = RequestState;

    fn index(&self, id: RequestId) -> &RequestState {
        &self.requests[&id]
    }
}
