//! Clients of a simulated fleet: commands arrive at routers, are retried after a throttle, and get final answers.

use super::Fleet;
use super::events::Event;
use super::routers::CommandInFlight;
use crate::clients::{ClientCommand, LEAST_RATE, MAX_RETRIES, RETRY_DELAY};
use crate::ledger::{Answer, Request};
use crate::trial::Routing;
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandId, CommandRequest};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

impl Fleet<'_> {
    /// Draws when the next command of a router's own clients arrives.
    pub(super) fn schedule_next_command(&mut self, router: usize) {
        let rate = self.routers[router].arrival_rate.max(LEAST_RATE);
        let seconds = Exp::new(rate).expect("the rate is above 0").sample(&mut self.rng);
        let interval = Duration::from_micros((seconds * 1e6) as u64);
        self.events.push(self.now + interval, Event::CommandArrives { router });
    }

    pub(super) fn command_arrives(&mut self, router: usize) {
        self.schedule_next_command(router);
        let shard = self.rng.random_range(0..self.trial.groups);
        let write = self.rng.random_bool(self.trial.writes);
        let request = Request { id: self.next_number(), sent_at: self.now };
        self.ledger.request_sent(request);
        self.submit(router, ClientCommand { request, shard, write }, 0);
    }

    /// Submits a command to a router, or to any other that runs if this one does not.
    pub(super) fn submit(&mut self, own_router: usize, command: ClientCommand, retries: u8) {
        let Some(router) = self.running_router(own_router) else { return };
        let number = self.next_number();
        let timeout = Duration::from_millis(self.trial.timeout_ms);
        let deadline = self.now + timeout;
        self.ledger.command_received(number, router, command.request, command.write, deadline);
        let id = self.routers[router].add_command(CommandInFlight::new(number, command, retries));
        if self.trial.routing == Routing::Perfect {
            self.submit_to_baseline(router, id, command);
            return;
        }
        let request = CommandRequest {
            id,
            group: usize::from(command.write),
            shard: command.shard,
            session: 0,
            after: None,
            timeout,
        };
        self.call(router, |router, out| _ = router.submit(request, out));
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

    /// A client receives a final answer other than of an attempt: throttled or failed.
    pub(super) fn reject(&mut self, router: usize, id: CommandId, answer: Answer) {
        let Some(in_flight) = self.routers[router].commands.get_mut(&id) else { return };
        in_flight.finished = true;
        let CommandInFlight { number, command, retries, .. } = *in_flight;
        self.ledger.answer_received(number, self.now, answer);
        if answer == Answer::Throttled && retries < MAX_RETRIES {
            let retry = Event::ClientRetries { router, command, retries: retries + 1 };
            self.events.push(self.now + RETRY_DELAY, retry);
        }
        self.routers[router].forget_if_complete(id);
    }
}
