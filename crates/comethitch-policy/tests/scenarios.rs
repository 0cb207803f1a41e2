//! Plays every file of `scenarios/`. The notation, a step a line, `#` begins a comment:
//!
//! ```text
//! set KEY=VALUE                a setting other than the base below, before anything else
//! list a primary, b, c warming the complete endpoint list: role, `warming` (started now), `draining` or `removed`
//! pair                         primary a and replica b are listed, a was checked, it is 10ms
//! hosts 600s ahead|behind      the hosts' clock differs by so much from the router's, from now on
//! at 40ms                      the time from the start; ticks that were due before are made
//! checked a,b ok primary -20ms the end of a health check of each, and its report (q9: nine requests wait there)
//! late 200ms                   ticks come so late from now on, as in a busy event loop
//! submit 1 bounded for 600ms   a request of a group, with its client timeout (`after 30ms`: since its write)
//! ended 1.0 reset [finished] [role [position]]   the end of an attempt
//! entries 4                    no more host entries than this are allocated; b17 is a host like b, for many
//! delayed 1.0 may|not          an attempt held up on its way may still be sent now, or may not
//! disconnect 1                 the client went away
//! expect attempt 1 b|c         an action since the last `at`, in this order; a word may list alternatives
//! expect throttle 1 deadline_exceeded   a final answer names the reason, then any Retry-After
//! never throttle 1             no such action since the last `at`; `*` stands for any word
//! atmost 9 attempt * b         no more such actions than this since the last `at`
//! repeat 20 { ... }            on one line, steps parted by `;`, `%` stands for the round's number
//! ```

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    Actions, AttemptEnd, AttemptOutcome, Deployment, Endpoint, EndpointUpdate, Handle, Host, Lifecycle,
    LoadReport, RejectionReason, Request, RequestId, Role, Router,
};
use std::{fs, path::Path};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SEED: u64 = 7;

/// The settings of a request class, as a start message names them; times in milliseconds.
struct ClassSettings {
    name: &'static str,
    consistency: &'static str,
    idempotency: &'static str,
    deduplication_scope: &'static str,
    latency_objective: u64,
    timeout: u64,
}

const fn group(
    name: &'static str, [consistency, idempotency, deduplication_scope]: [&'static str; 3],
    latency_objective: u64, timeout: u64,
) -> ClassSettings {
    ClassSettings { name, consistency, idempotency, deduplication_scope, latency_objective, timeout }
}

const GROUPS: [ClassSettings; 7] = [
    group("bounded", ["bounded", "repeatable", "all"], 250, 600),
    group("fresh", ["fresh", "repeatable", "all"], 250, 750),
    group("mutating", ["write", "once", "all"], 300, 3000),
    group("keyed", ["write", "by_key", "cell"], 1000, 5000),
    group("everywhere", ["write", "by_key", "all"], 1000, 5000),
    group("any", ["any", "repeatable", "all"], 400, 1500),
    group("session", ["session", "repeatable", "all"], 400, 1500),
];

fn base_settings() -> String {
    let mut text = String::from(
        "domain.guards=off\ndomain.tokens=carried\nload_info.names=x0,x1\nsiblings=2\ntick_us=5000\n\
         permissions.cancel=true\npermissions.may_probe=true\npermissions.second_copies=true\n\
         permissions.max_attempts=6\npermissions.retry_after=true\npermissions.max_retry_after_us=2000000\n\
         permissions.connect_timeout_us=250000\nrules.drain_grace_us=1000000\nrules.cold_from=0.2\n\
         rules.warm_within_us=10000000\nrules.fall_multiple=2\nrules.fall_us=1000000\n",
    );
    let consistencies = GROUPS.map(|group| group.consistency).join(",");
    let bounds = GROUPS.map(|group| if group.consistency == "bounded" { "1000000" } else { "0000000" });
    text += &format!("classes.count={}\ndomain.class_read={consistencies}\n", GROUPS.len());
    text += &format!("domain.oldest_data_us={}\n", bounds.join(","));
    for (number, group) in GROUPS.iter().enumerate() {
        let ClassSettings { idempotency, deduplication_scope, latency_objective, timeout, .. } = group;
        text += &format!(
            "classes.{number}.effect={idempotency}\nclasses.{number}.group={deduplication_scope}\n\
             classes.{number}.target_us={latency_objective}000\nclasses.{number}.deadline_us={timeout}000\n\
             classes.{number}.value=3\nclasses.{number}.window_us=2000000\n"
        );
    }
    text
}

/// Records actions as text, and digests them so that two versions of the policy can be compared to the bit.
#[derive(Default)]
struct RecordedActions {
    now: Timestamp,
    actions: Vec<String>,
    ticks: Vec<Timestamp>,
    /// By how much ticks come late.
    lateness: Duration,
    digest: u64,
}

impl RecordedActions {
    /// Adds an action, as numbers, to the digest (FNV-1a).
    fn digest(&mut self, action: [u64; 4]) {
        for byte in action.into_iter().chain([self.now.as_micros()]).flat_map(u64::to_le_bytes) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

impl Actions for RecordedActions {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn send_attempt(&mut self, request: RequestId, host: Host, timeout: Duration) {
        self.digest([80, request.into(), host.number(), timeout.as_micros()]);
        self.actions.push(format!("attempt {request} {}", name(host)));
    }

    fn cancel_attempt(&mut self, request: RequestId, nth: u16) {
        self.digest([90, request.into(), nth.into(), 0]);
        self.actions.push(format!("cancel {request}.{nth}"));
    }

    fn throttle(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectionReason) {
        self.digest([84, request.into(), retry_after.map_or(0, |after| after.as_micros() + 1), 0]);
        let advice =
            retry_after.map_or("now".into(), |after| format!("later {}ms", after.as_micros() / 1000));
        self.actions.push(format!("throttle {request} {} {advice}", reason.name()));
    }

    fn fail(&mut self, request: RequestId, reason: RejectionReason) {
        self.digest([86, request.into(), 0, 0]);
        self.actions.push(format!("fail {request} {}", reason.name()));
    }

    fn check_health(&mut self, host: Host) {
        self.digest([81, host.number(), 0, 0]);
        self.actions.push(format!("check {}", name(host)));
    }

    fn close_idle_connections(&mut self, host: Host) {
        self.digest([85, host.number(), 0, 0]);
        self.actions.push(format!("close {}", name(host)));
    }

    fn wake_after(&mut self, delay: Duration) {
        self.digest([82, delay.as_micros(), 0, 0]);
        self.ticks.push(self.now + delay + self.lateness);
    }

    fn watch_endpoints(&mut self) {
        self.digest([83, 0, 0, 0]);
        self.actions.push("watch".into());
    }
}

fn host(name: &str) -> Host {
    let (letter, number) = name.split_at(1);
    Host { address: [10, 0, 0, letter.as_bytes()[0]], port: 9000 + number.parse().unwrap_or(0) }
}

fn name(host: Host) -> char {
    char::from(host.address[3])
}

fn duration(word: &str) -> Duration {
    let word = word.trim_start_matches('-');
    if let Some(millis) = word.strip_suffix("ms") {
        return Duration::from_millis(millis.parse().expect("milliseconds"));
    }
    let seconds = word.strip_suffix('s').expect("a duration in ms or s");
    Duration::from_secs(seconds.parse().expect("seconds"))
}

/// The request and the attempt that `1.0` names.
fn attempt(which: &str) -> (RequestId, u16) {
    let (id, nth) = which.split_once('.').expect("command and attempt");
    (id.parse().expect("an id"), nth.parse().expect("an attempt"))
}

fn outcome(word: &str) -> AttemptOutcome {
    match word {
        "ok" => AttemptOutcome::Answered,
        "error" => AttemptOutcome::Error,
        "overloaded" => AttemptOutcome::Overloaded,
        "noslot" => AttemptOutcome::NoConnectionSlot,
        "timeout" => AttemptOutcome::TimedOut,
        "unconnected" => AttemptOutcome::ConnectionFailed,
        "reset" => AttemptOutcome::ConnectionReset,
        "cancelled" => AttemptOutcome::Cancelled,
        "unsent" => AttemptOutcome::NotSent,
        "notprimary" => AttemptOutcome::NotPrimary,
        other => panic!("no outcome {other:?}"),
    }
}

fn endpoint(entry: &str, now: Timestamp) -> Endpoint {
    let words: Vec<&str> = entry.split_whitespace().collect();
    let lifecycle = if words.contains(&"draining") {
        Lifecycle::Draining
    } else if words.contains(&"removed") {
        Lifecycle::Removed
    } else {
        Lifecycle::Ready
    };
    Endpoint {
        host: host(words[0]),
        zone: 0,
        shard_id: 0,
        lifecycle,
        is_primary: words.contains(&"primary"),
        capacity: 4.0,
        started: words.contains(&"warming").then_some(now),
    }
}

/// A scenario as it is played. The router starts with the first step that needs it.
struct Scenario {
    settings: String,
    router: Option<Router>,
    out: RecordedActions,
    /// How many actions there were at the last `at`.
    since: usize,
    /// How far `expect` has read.
    read: usize,
    hosts: HostTime,
}

/// How the hosts' clock differs from the router's.
#[derive(Clone, Copy, Default)]
struct HostTime {
    ahead: Duration,
    behind: Duration,
}

impl HostTime {
    /// The difference that `600s ahead` names.
    fn read(span: &str, direction: &str) -> HostTime {
        match direction {
            "ahead" => HostTime { ahead: duration(span), behind: Duration::ZERO },
            "behind" => HostTime { ahead: Duration::ZERO, behind: duration(span) },
            other => panic!("no direction {other:?}"),
        }
    }

    /// What a time of the router's is at the hosts.
    fn at(self, time: Timestamp) -> Timestamp {
        time + self.ahead - self.behind
    }
}

impl Scenario {
    fn new() -> Scenario {
        let out = RecordedActions { now: START, ..RecordedActions::default() };
        Scenario {
            settings: base_settings(),
            router: None,
            out,
            since: 0,
            read: 0,
            hosts: HostTime::default(),
        }
    }

    fn router(&mut self) -> (&mut Router, &mut RecordedActions) {
        if self.router.is_none() {
            let deployment = Deployment::read(&self.settings).expect("a deployment");
            self.router = Some(Router::start(deployment, SEED, &mut self.out));
        }
        (self.router.as_mut().expect("just started"), &mut self.out)
    }

    fn request(&mut self, id: RequestId) -> Result<(Handle, &mut Router, &mut RecordedActions), String> {
        let (router, out) = self.router();
        let handle = router.handle(id).ok_or("no such command is known")?;
        Ok((handle, router, out))
    }

    fn report(&self, words: &[&str]) -> LoadReport {
        let role = words.iter().find_map(|word| match *word {
            "primary" => Some(Role::Primary),
            "replica" => Some(Role::Replica),
            _ => None,
        });
        let age = words.iter().find(|word| word.starts_with('-'));
        let queue = words.iter().find_map(|word| word.strip_prefix('q')?.parse().ok());
        LoadReport { role, position: age.map(|word| self.hosts.at(self.out.now) - duration(word)), queue }
    }

    fn step(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["set", setting] => self.set(setting),
            ["list", ..] => self.list(line.trim_start_matches("list")),
            ["pair"] => self.pair()?,
            ["hosts", span, direction] => self.hosts = HostTime::read(span, direction),
            ["late", span] => self.out.lateness = duration(span),
            ["at", time] => self.advance(START + duration(time)),
            ["checked", hosts, end, report @ ..] => self.check_health(hosts, outcome(end), report),
            ["submit", id, group, "for", timeout, rest @ ..] => self.submit(id, group, timeout, rest),
            ["ended", which, end, trailer @ ..] => self.end(attempt(which), outcome(end), trailer)?,
            ["delayed", which, wanted] => self.check_delayed(attempt(which), *wanted == "may")?,
            ["entries", most] => self.check_entries(most.parse().expect("a count"))?,
            ["disconnect", id] => {
                let (handle, router, out) = self.request(id.parse().expect("an id"))?;
                handle.client_disconnected(router, out);
            }
            ["expect", wanted @ ..] => self.expect(wanted)?,
            ["never", unwanted @ ..] => self.expect_none(unwanted)?,
            ["atmost", most, wanted @ ..] => self.expect_at_most(most.parse().expect("a count"), wanted)?,
            ["repeat", times, "{", .., "}"] => self.repeat(times.parse().expect("times"), line)?,
            _ => panic!("no such step: {line:?}"),
        }
        Ok(())
    }

    fn set(&mut self, setting: &str) {
        let key = setting.split('=').next().expect("a key").to_owned() + "=";
        let others = self.settings.lines().filter(|line| !line.starts_with(&key));
        self.settings = others.fold(format!("{setting}\n"), |text, line| text + line + "\n");
    }

    fn list(&mut self, entries: &str) {
        let now = self.hosts.at(self.out.now);
        let endpoints = entries.split(',').map(|entry| endpoint(entry, now)).collect();
        let (router, out) = self.router();
        router.update_endpoints(&EndpointUpdate { complete: true, endpoints }, out);
    }

    fn pair(&mut self) -> Result<(), String> {
        for step in ["list a primary, b", "checked a ok primary -50ms", "at 10ms"] {
            self.step(step)?;
        }
        Ok(())
    }

    /// Makes the ticks that are due until then.
    fn advance(&mut self, time: Timestamp) {
        self.since = self.out.actions.len();
        self.read = self.since;
        let (router, out) = self.router();
        while let Some(tick) = out.ticks.iter().copied().filter(|tick| *tick <= time).min() {
            out.ticks.retain(|other| *other != tick);
            out.now = tick;
            router.tick(out);
        }
        out.now = time;
    }

    fn check_health(&mut self, hosts: &str, outcome: AttemptOutcome, report: &[&str]) {
        let report = self.report(report);
        let (router, out) = self.router();
        hosts.split(',').for_each(|name| router.health_checked(host(name), outcome, report, out));
    }

    fn submit(&mut self, id: &str, group: &str, timeout: &str, rest: &[&str]) {
        let hosts = self.hosts;
        let (router, out) = self.router();
        let request = Request {
            id: id.parse().expect("an id"),
            class: GROUPS.iter().position(|other| other.name == group).expect("a command group"),
            shard_id: 0,
            session: 1,
            after: rest.last().map(|word| hosts.at(out.now) - duration(word)),
            timeout: duration(timeout),
        };
        router.submit(request, out);
    }

    fn end(
        &mut self, (id, attempt): (RequestId, u16), outcome: AttemptOutcome, trailer: &[&str],
    ) -> Result<(), String> {
        let request_finished = trailer.contains(&"finished");
        let trailer = self.report(trailer);
        let (handle, router, out) = self.request(id)?;
        let report = LoadReport::default();
        handle.attempt_ended(router, AttemptEnd { attempt, outcome, request_finished, trailer, report }, out);
        Ok(())
    }

    fn check_delayed(&mut self, (id, attempt): (RequestId, u16), wanted: bool) -> Result<(), String> {
        let (handle, router, out) = self.request(id)?;
        let may_send = handle.check_send(router, attempt, out.now);
        if may_send.is_ok() == wanted { Ok(()) } else { Err(format!("may be sent: {may_send:?}")) }
    }

    fn check_entries(&mut self, most: usize) -> Result<(), String> {
        let allocated = self.router().0.host_entries();
        if allocated <= most { Ok(()) } else { Err(format!("{allocated} entries are allocated")) }
    }

    fn expect(&mut self, wanted: &[&str]) -> Result<(), String> {
        let unread = &self.out.actions[self.read..];
        let found = unread.iter().position(|action| matches(action, wanted));
        self.read += found.ok_or_else(|| format!("not seen: {unread:?}"))? + 1;
        Ok(())
    }

    fn expect_none(&self, unwanted: &[&str]) -> Result<(), String> {
        let seen = self.out.actions[self.since..].iter().find(|action| matches(action, unwanted));
        seen.map_or(Ok(()), |action| Err(format!("seen: {action}")))
    }

    fn expect_at_most(&self, most: usize, wanted: &[&str]) -> Result<(), String> {
        let seen = self.out.actions[self.since..].iter().filter(|action| matches(action, wanted)).count();
        if seen <= most { Ok(()) } else { Err(format!("seen {seen} times")) }
    }

    fn repeat(&mut self, times: u32, line: &str) -> Result<(), String> {
        let steps = &line[line.find('{').expect("{") + 1..line.rfind('}').expect("}")];
        for round in 1..=times {
            for step in steps.split(';') {
                self.step(&step.replace('%', &round.to_string()))?;
            }
        }
        Ok(())
    }
}

fn matches(action: &str, wanted: &[&str]) -> bool {
    let words: Vec<&str> = action.split_whitespace().collect();
    let is_alternative = |want: &str, word: &str| want.split('|').any(|one| one == "*" || one == word);
    wanted.len() <= words.len() && wanted.iter().zip(words).all(|(want, word)| is_alternative(want, word))
}

#[test]
fn every_scenario_plays_out() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> =
        fs::read_dir(folder).expect("the folder").map(|file| file.expect("a file").path()).collect();
    files.sort();
    let mut failures = Vec::new();
    let mut digest = 0_u64;
    for file in &files {
        let text = fs::read_to_string(file).expect("a scenario");
        let mut scenario = Scenario::new();
        for (number, line) in text.lines().enumerate() {
            let step = line.split('#').next().unwrap_or_default();
            if let Err(why) = scenario.step(step) {
                failures.push(format!("{}:{}: {line}: {why}", file.display(), number + 1));
                break;
            }
        }
        digest = digest.rotate_left(7) ^ scenario.out.digest;
    }
    // Shown with --nocapture: the same for two versions of the policy that decide alike.
    println!("digest of {} scenarios: {digest:016x}", files.len());
    assert!(!files.is_empty() && failures.is_empty(), "{}", failures.join("\n"));
}
