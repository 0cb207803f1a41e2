//! The table of requests in progress, ordered by their ids.

use crate::request_state::RequestState;
use crate::{RequestId, host_table::HostIndex};
use std::collections::BTreeMap;
use std::ops::Index;

/// All requests that have no final answer yet, or have attempts in flight.
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

    /// Returns a request that is in progress.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns a request that is in progress, for changes.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Returns the ids of all requests, in order.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Marks the attempts in flight to a host as in flight at its fault, and returns their number.
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

/// A request that is known to be in progress.
impl Index<RequestId> for RequestTable {
    type Output = RequestState;

    fn index(&self, id: RequestId) -> &RequestState {
        &self.requests[&id]
    }
}
