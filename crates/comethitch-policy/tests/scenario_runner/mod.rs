//! Runs the steps of a scenario against a router.

mod base_settings;
mod notation;
mod recorded_actions;
mod step_error;

use base_settings::{CLASSES, base_settings};
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    AttemptEnd, AttemptOutcome, Deployment, EndpointUpdate, Handle, LoadReport, Request, RequestId, Role,
    Router,
};
use notation::{AttemptId, matches};
use recorded_actions::RecordedActions;
pub(crate) use step_error::StepError;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SEED: u64 = 7;

/// The result of a step.
pub(crate) type StepResult = Result<(), StepError>;

/// The difference between the hosts' clock and the router's.
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
            other => panic!("no direction {other:?}"),
        }
    }

    /// Returns the time at the hosts at `time` on the router's clock.
    fn host_time(self, time: Timestamp) -> Timestamp {
        time + self.ahead - self.behind
    }
}

/// A scenario that is being played. Its router starts with the first step that needs it.
pub(crate) struct Scenario {
    settings: String,
    router: Option<Router>,
    out: RecordedActions,
    /// Number of actions at the last `at`.
    actions_before: usize,
    /// Number of actions that `expect` has consumed.
    actions_read: usize,
    host_clock: HostClockOffset,
}

impl Scenario {
    pub(crate) fn new() -> Scenario {
        Scenario {
            settings: base_settings(),
            router: None,
            out: RecordedActions::at(START),
            actions_before: 0,
            actions_read: 0,
            host_clock: HostClockOffset::default(),
        }
    }

    /// Returns a digest of all actions so far, with their times.
    pub(crate) fn digest(&self) -> u64 {
        self.out.digest
    }

    /// Runs one step.
    pub(crate) fn step(&mut self, line: &str) -> StepResult {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["set", setting] => self.set(setting),
            ["list", ..] => self.list(line.trim_start_matches("list")),
            ["pair"] => self.pair()?,
            ["hosts", offset, direction] => self.host_clock = HostClockOffset::parse(offset, direction),
            ["late", lag] => self.out.event_loop_lag = notation::duration(lag),
            ["at", time] => self.advance(START + notation::duration(time)),
            ["checked", hosts, outcome, report @ ..] => self.check_health(hosts, outcome, report),
            ["submit", id, class, "for", timeout, rest @ ..] => self.submit(id, class, timeout, rest),
            ["ended", attempt, outcome, trailer @ ..] => self.end(attempt, outcome, trailer)?,
            ["delayed", attempt, expected] => self.check_delayed(attempt, *expected == "may")?,
            ["entries", max] => self.check_entries(notation::number(max))?,
            ["disconnect", id] => self.disconnect(notation::number(id))?,
            ["expect", pattern @ ..] => self.expect(pattern)?,
            ["never", pattern @ ..] => self.expect_none(pattern)?,
            ["atmost", max, pattern @ ..] => self.expect_at_most(notation::number(max), pattern)?,
            ["repeat", times, "{", .., "}"] => self.repeat(notation::number(times), line)?,
            _ => panic!("no such step: {line:?}"),
        }
        Ok(())
    }

    fn router(&mut self) -> (&mut Router, &mut RecordedActions) {
        let router = self.router.get_or_insert_with(|| {
            let deployment = Deployment::read(&self.settings).expect("valid settings");
            Router::start(deployment, SEED, &mut self.out)
        });
        (router, &mut self.out)
    }

    fn request(&mut self, id: RequestId) -> Result<(Handle, &mut Router, &mut RecordedActions), StepError> {
        let (router, out) = self.router();
        let handle = router.handle(id).ok_or(StepError::UnknownRequest)?;
        Ok((handle, router, out))
    }

    fn load_report(&self, words: &[&str]) -> LoadReport {
        let role = words.iter().find_map(|word| match *word {
            "primary" => Some(Role::Primary),
            "replica" => Some(Role::Replica),
            _ => None,
        });
        let age = words.iter().find(|word| word.starts_with('-'));
        let now = self.host_clock.host_time(self.out.now);
        let position = age.map(|word| now - notation::duration(word));
        let queue = words.iter().find_map(|word| word.strip_prefix('q')?.parse().ok());
        LoadReport { role, position, queue }
    }

    fn set(&mut self, setting: &str) {
        let key = setting.split('=').next().expect("a key").to_owned() + "=";
        let others = self.settings.lines().filter(|line| !line.starts_with(&key));
        self.settings = others.fold(format!("{setting}\n"), |text, line| text + line + "\n");
    }

    fn list(&mut self, entries: &str) {
        let now = self.host_clock.host_time(self.out.now);
        let endpoints = entries.split(',').map(|entry| notation::endpoint(entry, now)).collect();
        let (router, out) = self.router();
        router.update_endpoints(&EndpointUpdate { complete: true, endpoints }, out);
    }

    fn pair(&mut self) -> StepResult {
        for step in ["list a primary, b", "checked a ok primary -50ms", "at 10ms"] {
            self.step(step)?;
        }
        Ok(())
    }

    fn advance(&mut self, time: Timestamp) {
        self.actions_before = self.out.actions.len();
        self.actions_read = self.actions_before;
        let (router, out) = self.router();
        while let Some(tick) = out.next_tick(time) {
            out.now = tick;
            router.tick(out);
        }
        out.now = time;
    }

    fn check_health(&mut self, hosts: &str, outcome: &str, report: &[&str]) {
        let outcome = notation::outcome(outcome);
        let report = self.load_report(report);
        let (router, out) = self.router();
        for name in hosts.split(',') {
            router.health_checked(notation::host(name), outcome, report, out);
        }
    }

    fn submit(&mut self, id: &str, class: &str, timeout: &str, rest: &[&str]) {
        let host_clock = self.host_clock;
        let (router, out) = self.router();
        let written_at = |age: &&str| host_clock.host_time(out.now) - notation::duration(age);
        let request = Request {
            id: notation::number(id),
            class: CLASSES.iter().position(|other| other.name == class).expect("a request class"),
            shard_id: 0,
            session: 1,
            after: rest.last().map(written_at),
            timeout: notation::duration(timeout),
        };
        router.submit(request, out);
    }

    fn end(&mut self, attempt: &str, outcome: &str, trailer: &[&str]) -> StepResult {
        let AttemptId { request, attempt } = AttemptId::parse(attempt);
        let outcome: AttemptOutcome = notation::outcome(outcome);
        let request_finished = trailer.contains(&"finished");
        let trailer = self.load_report(trailer);
        let report = LoadReport::default();
        let (handle, router, out) = self.request(request)?;
        handle.attempt_ended(router, AttemptEnd { attempt, outcome, request_finished, trailer, report }, out);
        Ok(())
    }

    fn check_delayed(&mut self, attempt: &str, may_be_sent: bool) -> StepResult {
        let AttemptId { request, attempt } = AttemptId::parse(attempt);
        let (handle, router, out) = self.request(request)?;
        match handle.check_send(router, attempt, out.now) {
            Ok(()) if !may_be_sent => Err(StepError::SendAllowed),
            Err(refusal) if may_be_sent => Err(StepError::SendRefused(refusal)),
            _ => Ok(()),
        }
    }

    fn check_entries(&mut self, max: usize) -> StepResult {
        let allocated = self.router().0.host_entries();
        if allocated <= max { Ok(()) } else { Err(StepError::TooManyEntries { allocated }) }
    }

    fn disconnect(&mut self, id: RequestId) -> StepResult {
        let (handle, router, out) = self.request(id)?;
        handle.client_disconnected(router, out);
        Ok(())
    }

    fn expect(&mut self, pattern: &[&str]) -> StepResult {
        let unread = &self.out.actions[self.actions_read..];
        let found = unread.iter().position(|action| matches(action, pattern));
        self.actions_read += found.ok_or_else(|| StepError::NotSeen { unread: unread.to_vec() })? + 1;
        Ok(())
    }

    fn expect_none(&self, pattern: &[&str]) -> StepResult {
        let mut actions = self.out.actions[self.actions_before..].iter();
        let seen = actions.find(|action| matches(action, pattern));
        seen.map_or(Ok(()), |action| Err(StepError::Seen { action: action.clone() }))
    }

    fn expect_at_most(&self, max: usize, pattern: &[&str]) -> StepResult {
        let actions = self.out.actions[self.actions_before..].iter();
        let count = actions.filter(|action| matches(action, pattern)).count();
        if count <= max { Ok(()) } else { Err(StepError::SeenTooOften { count }) }
    }

    fn repeat(&mut self, times: u32, line: &str) -> StepResult {
        let steps = &line[line.find('{').expect("{") + 1..line.rfind('}').expect("}")];
        for round in 1..=times {
            for step in steps.split(';') {
                self.step(&step.replace('%', &round.to_string()))?;
            }
        }
        Ok(())
    }
}
