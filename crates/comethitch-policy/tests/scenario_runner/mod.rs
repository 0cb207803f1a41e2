//! Runs the steps of a scenario against a router.

mod base_settings;
mod notation;
mod recorded_actions;
mod step_error;

use base_settings::{CLASSES, base_settings};
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    AttemptEnd, AttemptOutcome, Deployment, EndpointUpdate, Handle, LoadReport, Request, RequestId, Role,
    Router, UnconfirmedAnswer,
};
use notation::{AttemptId, matches};
use recorded_actions::RecordedActions;
pub(crate) use step_error::StepError;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SEED: u64 = 7;

/// The result of a step.
pub(crate) type StepResult = Result<(), StepError>;

/// The offset of the hosts' clocks from the router's clock. At most one of the fields is not zero.
#[derive(Clone, Copy, Default)]
struct HostClockOffset {
    ahead: Duration,
    behind: Duration,
}

impl HostClockOffset {
    /// Parses an offset such as `600s ahead`.
    fn parse(duration: &str, direction: &str) -> HostClockOffset {
        let duration = notation::duration(duration);
        match direction {
            "ahead" => HostClockOffset { ahead: duration, behind: Duration::ZERO },
            "behind" => HostClockOffset { ahead: Duration::ZERO, behind: duration },
            other => panic!("the direction of a clock offset is neither `ahead` nor `behind`: {other:?}"),
        }
    }

    /// Converts a time on the router's clock to the time on the hosts' clocks.
    fn host_time(self, time: Timestamp) -> Timestamp {
        time + self.ahead - self.behind
    }
}

/// A scenario that is being run. The router is started by the first step that needs it.
pub(crate) struct Scenario {
    settings: String,
    router: Option<Router>,
    recorded: RecordedActions,
    /// Number of actions recorded before the last `at` step.
    actions_before: usize,
    /// Number of actions up to and including the last one that an `expect` step matched.
    actions_matched: usize,
    host_clock: HostClockOffset,
}

impl Scenario {
    pub(crate) fn new() -> Scenario {
        Scenario {
            settings: base_settings(),
            router: None,
            recorded: RecordedActions::at(START),
            actions_before: 0,
            actions_matched: 0,
            host_clock: HostClockOffset::default(),
        }
    }

    /// Returns a digest of all actions so far and their times.
    pub(crate) fn digest(&self) -> u64 {
        self.recorded.digest
    }

    /// Runs one step.
    pub(crate) fn step(&mut self, line: &str) -> StepResult {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["set", setting] => self.set(setting),
            ["list", ..] => self.list(line.trim_start_matches("list")),
            ["primary_and_replica"] => self.start_primary_and_replica()?,
            ["host_clock", offset, direction] => self.host_clock = HostClockOffset::parse(offset, direction),
            ["event_loop_lag", lag] => self.recorded.event_loop_lag = notation::duration(lag),
            ["at", time] => self.advance(START + notation::duration(time)),
            ["health_checked", hosts, outcome, report @ ..] => {
                self.report_health_check(hosts, outcome, report);
            }
            ["submit", id, class, "timeout", timeout, rest @ ..] => self.submit(id, class, timeout, rest),
            ["attempt_ended", attempt, outcome, trailer @ ..] => {
                self.end_attempt(attempt, outcome, trailer)?;
            }
            ["unconfirmed_answer", host, request, outcome, contents @ ..] => {
                self.report_unconfirmed_answer(host, request, outcome, contents);
            }
            ["check_send", attempt, expected] => self.check_send(attempt, *expected == "allowed")?,
            ["max_host_entries", max] => self.check_host_entries(notation::number(max))?,
            ["disconnect", id] => self.disconnect(notation::number(id))?,
            ["shut_down"] => self.shut_down(),
            ["expect", pattern @ ..] => self.expect(pattern)?,
            ["expect_none", pattern @ ..] => self.expect_none(pattern)?,
            ["expect_at_most", max, pattern @ ..] => self.expect_at_most(notation::number(max), pattern)?,
            ["repeat", times, "{", .., "}"] => self.repeat(notation::number(times), line)?,
            _ => panic!("unknown step: {line:?}"),
        }
        Ok(())
    }

    fn router(&mut self) -> (&mut Router, &mut RecordedActions) {
        let router = self.router.get_or_insert_with(|| {
            let deployment =
                Deployment::parse(&self.settings).expect("the settings of the scenario are valid");
            Router::start(deployment, SEED, &mut self.recorded)
        });
        (router, &mut self.recorded)
    }

    fn request(&mut self, id: RequestId) -> Result<(Handle, &mut Router, &mut RecordedActions), StepError> {
        let (router, recorded) = self.router();
        let handle = router.handle(id).ok_or(StepError::UnknownRequest)?;
        Ok((handle, router, recorded))
    }

    fn load_report(&self, words: &[&str]) -> LoadReport {
        let role = words.iter().find_map(|word| match *word {
            "primary" => Some(Role::Primary),
            "replica" => Some(Role::Replica),
            _ => None,
        });
        let age = words.iter().find(|word| word.starts_with('-'));
        let now = self.host_clock.host_time(self.recorded.now);
        let position = age.map(|word| now - notation::duration(word));
        let queue_length = words.iter().find_map(|word| word.strip_prefix('q')?.parse().ok());
        LoadReport { role, position, queue_length }
    }

    fn set(&mut self, setting: &str) {
        let key = setting.split('=').next().expect("a setting begins with its key").to_owned() + "=";
        let others = self.settings.lines().filter(|line| !line.starts_with(&key));
        self.settings = others.fold(format!("{setting}\n"), |text, line| text + line + "\n");
    }

    fn list(&mut self, entries: &str) {
        let now = self.host_clock.host_time(self.recorded.now);
        let endpoints = entries.split(',').map(|entry| notation::endpoint(entry, now)).collect();
        let (router, recorded) = self.router();
        router.update_endpoints(&EndpointUpdate { complete: true, endpoints }, recorded);
    }

    fn start_primary_and_replica(&mut self) -> StepResult {
        for step in ["list a primary, b", "health_checked a ok primary -50ms", "at 10ms"] {
            self.step(step)?;
        }
        Ok(())
    }

    fn advance(&mut self, time: Timestamp) {
        self.actions_before = self.recorded.actions.len();
        self.actions_matched = self.actions_before;
        let (router, recorded) = self.router();
        while let Some(tick) = recorded.next_tick(time) {
            recorded.now = tick;
            router.tick(recorded);
        }
        recorded.now = time;
    }

    fn report_health_check(&mut self, hosts: &str, outcome: &str, report: &[&str]) {
        let outcome = notation::outcome(outcome);
        let report = self.load_report(report);
        let (router, recorded) = self.router();
        for name in hosts.split(',') {
            router.health_checked(notation::host(name), outcome, report, recorded);
        }
    }

    fn submit(&mut self, id: &str, class: &str, timeout: &str, rest: &[&str]) {
        let host_clock = self.host_clock;
        let (router, recorded) = self.router();
        let written_at = |age: &&str| host_clock.host_time(recorded.now) - notation::duration(age);
        let request = Request {
            id: notation::number(id),
            class: CLASSES.iter().position(|other| other.name == class).expect("a known request class"),
            shard_id: 0,
            session: 1,
            required_position: rest.last().map(written_at),
            timeout: notation::duration(timeout),
        };
        router.submit(request, recorded);
    }

    fn end_attempt(&mut self, attempt: &str, outcome: &str, trailer: &[&str]) -> StepResult {
        let AttemptId { request, attempt } = AttemptId::parse(attempt);
        let outcome: AttemptOutcome = notation::outcome(outcome);
        let request_finished = trailer.contains(&"finished");
        let trailer = self.load_report(trailer);
        let report = LoadReport::default();
        let (handle, router, recorded) = self.request(request)?;
        handle.attempt_ended(
            router,
            AttemptEnd { attempt, outcome, request_finished, trailer, report },
            recorded,
        );
        Ok(())
    }

    fn report_unconfirmed_answer(&mut self, host: &str, request: &str, outcome: &str, contents: &[&str]) {
        let contents = self.load_report(contents);
        let request = (request != "health_check").then(|| notation::number(request));
        let (trailer, report) = match request {
            Some(_) => (contents, LoadReport::default()),
            None => (LoadReport::default(), contents),
        };
        let host = notation::host(host);
        let answer =
            UnconfirmedAnswer { host, request, outcome: notation::outcome(outcome), trailer, report };
        let (router, recorded) = self.router();
        router.unconfirmed_answer(&answer, recorded);
    }

    fn check_send(&mut self, attempt: &str, expects_allowed: bool) -> StepResult {
        let AttemptId { request, attempt } = AttemptId::parse(attempt);
        let (handle, router, recorded) = self.request(request)?;
        match handle.check_send(router, attempt, recorded.now) {
            Ok(()) if !expects_allowed => Err(StepError::SendAllowed),
            Err(refusal) if expects_allowed => Err(StepError::SendRefused(refusal)),
            _ => Ok(()),
        }
    }

    fn check_host_entries(&mut self, max: usize) -> StepResult {
        let allocated = self.router().0.host_entries();
        if allocated <= max { Ok(()) } else { Err(StepError::TooManyHostEntries { allocated }) }
    }

    fn disconnect(&mut self, id: RequestId) -> StepResult {
        let (handle, router, recorded) = self.request(id)?;
        handle.client_disconnected(router, recorded);
        Ok(())
    }

    fn shut_down(&mut self) {
        let (router, recorded) = self.router();
        router.shut_down(recorded);
    }

    fn expect(&mut self, pattern: &[&str]) -> StepResult {
        let unmatched = &self.recorded.actions[self.actions_matched..];
        let found = unmatched.iter().position(|action| matches(action, pattern));
        self.actions_matched +=
            found.ok_or_else(|| StepError::NoMatch { unmatched: unmatched.to_vec() })? + 1;
        Ok(())
    }

    fn expect_none(&self, pattern: &[&str]) -> StepResult {
        let mut actions = self.recorded.actions[self.actions_before..].iter();
        let unexpected = actions.find(|action| matches(action, pattern));
        unexpected.map_or(Ok(()), |action| Err(StepError::UnexpectedMatch { action: action.clone() }))
    }

    fn expect_at_most(&self, max: usize, pattern: &[&str]) -> StepResult {
        let actions = self.recorded.actions[self.actions_before..].iter();
        let count = actions.filter(|action| matches(action, pattern)).count();
        if count <= max { Ok(()) } else { Err(StepError::TooManyMatches { count }) }
    }

    fn repeat(&mut self, times: u32, line: &str) -> StepResult {
        let steps = &line[line.find('{').expect("repeated steps begin with {") + 1
            ..line.rfind('}').expect("repeated steps end with }")];
        for round in 1..=times {
            for step in steps.split(';') {
                self.step(&step.replace('%', &round.to_string()))?;
            }
        }
        Ok(())
    }
}
