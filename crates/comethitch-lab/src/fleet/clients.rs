//! Clients of a simulated fleet: they send requests to routers, receive final answers, and retry throttled
//! requests.

use super::Fleet;
use super::events::Event;
use super::routers::RequestInFlight;
use crate::clients::{ClientRequest, MAX_RETRIES, MIN_REQUESTS_PER_SECOND, RETRY_DELAY};
use crate::ledger::{Answer, Operation};
use crate::trial::Routing;
use comethitch_policy::time::Duration;
use comethitch_policy::{Request, RequestId};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

impl Fleet<'_> {
    /// Draws and schedules the arrival of the next request of a router's own clients.
    pub(super) fn schedule_next_request(&mut self, router: usize) {
        let rate = self.routers[router].arrival_rate.max(MIN_REQUESTS_PER_SECOND);
        let seconds = Exp::new(rate).expect("the rate is above 0").sample(&mut self.rng);
        let interval = Duration::from_micros((seconds * 1e6) as u64);
        self.events.push(self.now + interval, Event::RequestArrives { router });
    }

    /// Starts a new operation of a client, and schedules the next one.
    pub(super) fn request_arrives(&mut self, router: usize) {
        self.schedule_next_request(router);
        let shard = self.rng.random_range(0..self.trial.shards);
        let write = self.rng.random_bool(self.trial.write_fraction);
        let operation = Operation { id: self.next_number(), sent_at: self.now };
        self.ledger.operation_started(operation);
        self.submit(router, ClientRequest { operation, shard, write }, 0);
    }

    /// Submits a request to the clients' own router, or to a random running one if their own does not run.
    pub(super) fn submit(&mut self, own_router: usize, request: ClientRequest, retries: u8) {
        let Some(router) = self.running_router(own_router) else { return };
        let number = self.next_number();
        let timeout = Duration::from_millis(self.trial.timeout_ms);
        let deadline = self.now + timeout;
        self.ledger.request_received(number, router, request.operation, request.write, deadline);
        let id = self.routers[router].add_request(RequestInFlight::new(number, request, retries));
        if self.trial.routing == Routing::Perfect {
            self.submit_to_baseline(router, id, request);
            return;
        }
        let request = Request {
            id,
            class: usize::from(request.write),
            shard_id: request.shard,
            session: 0,
            required_position: None,
            timeout,
        };
        self.call_policy(router, |router, out| _ = router.submit(request, out));
    }

    fn running_router(&mut self, own_router: usize) -> Option<usize> {
        if self.routers[own_router].is_running() {
            return Some(own_router);
        }
        let running: Vec<usize> =
            (0..self.routers.len()).filter(|router| self.routers[*router].is_running()).collect();
        if running.is_empty() {
            return None;
        }
        Some(running[self.rng.random_range(0..running.len())])
    }

    /// Passes a final answer that the router gives itself, throttled or failed, to the client.
    pub(super) fn reject(&mut self, router: usize, id: RequestId, answer: Answer) {
        let Some(in_flight) = self.routers[router].requests.get_mut(&id) else { return };
        in_flight.finished = true;
        let RequestInFlight { number, request, retries, .. } = *in_flight;
        self.ledger.answer_received(number, self.now, answer);
        if answer == Answer::Throttled && retries < MAX_RETRIES {
            let retry = Event::ClientRetries { router, request, retries: retries + 1 };
            self.events.push(self.now + RETRY_DELAY, retry);
        }
        self.routers[router].remove_if_complete(id);
    }
}
