//! Plays every file of `scenarios/`. The notation, a step a line, `#` begins a comment:
//!
//! ```text
//! set KEY=VALUE                a setting other than the base below, before anything else
//! list a primary, b, c cold    the list, whole: role, `cold` (started now), `draining` or `gone`
//! pair                         primary a and replica b are listed, a was probed, it is 10ms
//! at 40ms                      the time from the start; what was to be woken before is woken
//! probed a,b ok primary -20ms  the end of a probe of each, and what the host says of itself (q9: nine wait there)
//! take 1 bounded for 600ms     a command of a group, with its client timeout (`after 30ms`: since its write)
//! ended 1.0 reset [over] [role [position]]   the end of a dispatch
//! places 4                     places for hosts are held, no more: a letter and a number, as b17, is one too
//! held 1.0 may|not             a dispatch held up on its way may still go now, or may not
//! left 1                       the client went away
//! expect dispatch 1 b|c        an act since the last `at`, in this order; a word may list alternatives
//! expect throttle 1 deadline_exceeded    a final answer names the check that gave the command up, then any advice
//! never throttle 1             no such act since the last `at`; `*` stands for any word
//! atmost 9 dispatch * b        no more such acts than this since the last `at`
//! repeat 20 { ... }            on one line, steps parted by `;`, `%` stands for the round's number
//! ```

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    Actions, AttemptEnd, AttemptOutcome, CommandId, CommandRequest, Deployment, Endpoint, EndpointUpdate,
    Host, HostReport, Lifecycle, RejectionReason, Role, Router,
};
use std::{fs, path::Path};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Name, need, effect, reach, response target and client timeout in milliseconds.
type Group = (&'static str, &'static str, &'static str, &'static str, u64, u64);

const GROUPS: [Group; 7] = [
    ("bounded", "bounded", "repeatable", "all", 250, 600),
    ("fresh", "fresh", "repeatable", "all", 250, 750),
    ("mutating", "write", "once", "all", 300, 3000),
    ("keyed", "write", "by_key", "cell", 1000, 5000),
    ("everywhere", "write", "by_key", "all", 1000, 5000),
    ("any", "any", "repeatable", "all", 400, 1500),
    ("session", "session", "repeatable", "all", 400, 1500),
];

fn base() -> String {
    let mut text = String::from(
        "domain.guards=off\ndomain.tokens=carried\nload_info.names=x0,x1\nsiblings=2\ntick_us=5000\n\
         permissions.cancel=true\npermissions.may_probe=true\npermissions.second_copies=true\n\
         permissions.max_attempts=6\npermissions.retry_after=true\npermissions.max_retry_after_us=2000000\n\
         permissions.connect_timeout_us=250000\nrules.drain_grace_us=1000000\nrules.cold_from=0.2\n\
         rules.warm_within_us=10000000\nrules.fall_multiple=2\nrules.fall_us=1000000\n",
    );
    let column = |pick: fn(&Group) -> String| GROUPS.map(|g| pick(&g)).join(",");
    text += &format!("classes.count={}\ndomain.class_read={}\n", GROUPS.len(), column(|g| g.1.into()));
    text += &format!(
        "domain.oldest_data_us={}\n",
        column(|g| u64::from(g.1 == "bounded").to_string() + "000000")
    );
    for (i, (_, _, effect, reach, target, timeout)) in GROUPS.iter().enumerate() {
        text += &format!(
            "classes.{i}.effect={effect}\nclasses.{i}.group={reach}\nclasses.{i}.target_us={target}000\n\
             classes.{i}.deadline_us={timeout}000\nclasses.{i}.value=3\nclasses.{i}.window_us=2000000\n"
        );
    }
    text
}

#[derive(Default)]
struct Acts {
    now: Timestamp,
    said: Vec<String>,
    wakes: Vec<Timestamp>,
    /// A digest of all acts in their order, so that two texts of the module can be compared to the byte.
    digest: u64,
}

impl Acts {
    /// Adds an act, as numbers, to the digest (FNV-1a).
    fn digest(&mut self, act: [u64; 4]) {
        for byte in act.into_iter().chain([self.now.as_micros()]).flat_map(u64::to_le_bytes) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

impl Actions for Acts {
    fn now(&self) -> Timestamp {
        self.now
    }
    fn send_attempt(&mut self, cmd: CommandId, host: Host, time_out: Duration) {
        self.digest([80, cmd.into(), host.number(), time_out.as_micros()]);
        self.said.push(format!("dispatch {cmd} {}", name(host)));
    }
    fn cancel_attempt(&mut self, cmd: CommandId, nth: u16) {
        self.digest([90, cmd.into(), nth.into(), 0]);
        self.said.push(format!("cancel {cmd}.{nth}"));
    }
    fn throttle(&mut self, cmd: CommandId, retry_after: Option<Duration>, reason: RejectionReason) {
        self.digest([84, cmd.into(), retry_after.map_or(0, |after| after.as_micros() + 1), 0]);
        let advice =
            retry_after.map_or("now".into(), |after| format!("later {}ms", after.as_micros() / 1000));
        self.said.push(format!("throttle {cmd} {} {advice}", reason.name()));
    }
    fn fail(&mut self, cmd: CommandId, reason: RejectionReason) {
        self.digest([86, cmd.into(), 0, 0]);
        self.said.push(format!("fail {cmd} {}", reason.name()));
    }
    fn check_health(&mut self, host: Host) {
        self.digest([81, host.number(), 0, 0]);
        self.said.push(format!("probe {}", name(host)));
    }
    fn close_idle_connections(&mut self, host: Host) {
        self.digest([85, host.number(), 0, 0]);
        self.said.push(format!("close {}", name(host)));
    }
    fn wake_after(&mut self, after: Duration) {
        self.digest([82, after.as_micros(), 0, 0]);
        self.wakes.push(self.now + after);
    }
    fn watch_endpoints(&mut self) {
        self.digest([83, 0, 0, 0]);
        self.said.push("subscribe".into());
    }
}

fn host(name: &str) -> Host {
    let (letter, number) = name.split_at(1);
    Host { address: [10, 0, 0, letter.as_bytes()[0]], port: 9000 + number.parse().unwrap_or(0) }
}

fn name(host: Host) -> char {
    char::from(host.address[3])
}

fn span(word: &str) -> Duration {
    let word = word.trim_start_matches('-');
    match word.strip_suffix("ms") {
        Some(ms) => Duration::from_micros(ms.parse::<u64>().expect("milliseconds") * 1000),
        None => Duration::from_micros(
            word.strip_suffix('s').expect("a span in ms or s").parse::<u64>().expect("seconds") * 1_000_000,
        ),
    }
}

/// The command and the dispatch that `1.0` names.
fn numbers(which: &str) -> (CommandId, u16) {
    let (id, nth) = which.split_once('.').expect("command and dispatch");
    (id.parse().expect("an id"), nth.parse().expect("a dispatch"))
}

fn ending(word: &str) -> AttemptOutcome {
    match word {
        "ok" => AttemptOutcome::Answered,
        "error" => AttemptOutcome::Error,
        "full" => AttemptOutcome::Overloaded,
        "noslot" => AttemptOutcome::NoConnectionSlot,
        "timeout" => AttemptOutcome::TimedOut,
        "unconnected" => AttemptOutcome::ConnectionFailed,
        "reset" => AttemptOutcome::ConnectionReset,
        "cancelled" => AttemptOutcome::Cancelled,
        "moot" => AttemptOutcome::NotSent,
        "miss" => AttemptOutcome::NotPrimary,
        other => panic!("no ending {other:?}"),
    }
}

struct Play {
    deployment: String,
    router: Option<Router>,
    acts: Acts,
    /// Where in what was said the last `at` stands, and how far `expect` has read.
    since: usize,
    read: usize,
}

impl Play {
    fn router(&mut self) -> (&mut Router, &mut Acts) {
        if self.router.is_none() {
            let deployment = Deployment::read(&self.deployment).expect("a deployment");
            self.router = Some(Router::start(deployment, 7, &mut self.acts));
        }
        (self.router.as_mut().expect("just started"), &mut self.acts)
    }

    fn standing(&self, words: &[&str]) -> HostReport {
        let role = words.iter().find_map(|word| match *word {
            "primary" => Some(Role::Primary),
            "replica" => Some(Role::Replica),
            _ => None,
        });
        let back = words.iter().find(|word| word.starts_with('-'));
        let queue = words.iter().find_map(|word| word.strip_prefix('q')?.parse().ok());
        HostReport { role, position: back.map(|word| self.acts.now - span(word)), queue }
    }

    fn until(&mut self, time: Timestamp) {
        let (router, acts) = self.router();
        while let Some(at) = acts.wakes.iter().copied().filter(|at| *at <= time).min() {
            acts.wakes.retain(|wake| *wake != at);
            acts.now = at;
            router.tick(acts);
        }
        acts.now = time;
    }

    fn step(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["set", setting] => {
                let key = setting.split('=').next().expect("a key").to_owned() + "=";
                self.deployment = self
                    .deployment
                    .lines()
                    .filter(|l| !l.starts_with(&key))
                    .fold(format!("{setting}\n"), |text, line| text + line + "\n");
            }
            ["list", ..] => {
                let started = self.acts.now;
                let mut update = EndpointUpdate { complete: true, endpoints: Vec::new() };
                for entry in line.trim_start_matches("list").split(',') {
                    let words: Vec<&str> = entry.split_whitespace().collect();
                    let lifecycle = match () {
                        () if words.contains(&"draining") => Lifecycle::Draining,
                        () if words.contains(&"gone") => Lifecycle::Removed,
                        () => Lifecycle::Ready,
                    };
                    let cold = words.contains(&"cold").then_some(started);
                    update.endpoints.push(Endpoint {
                        host: host(words[0]),
                        zone: 0,
                        shard: 0,
                        lifecycle,
                        is_primary: words.contains(&"primary"),
                        capacity: 4.0,
                        started: cold,
                    });
                }
                let (router, acts) = self.router();
                router.update_endpoints(&update, acts);
            }
            ["pair"] => {
                for step in ["list a primary, b", "probed a ok primary -50ms", "at 10ms"] {
                    self.step(step)?;
                }
            }
            ["at", time] => {
                self.since = self.acts.said.len();
                self.read = self.since;
                self.until(START + span(time));
            }
            ["probed", at, end, told @ ..] => {
                let told = self.standing(told);
                let (router, acts) = self.router();
                at.split(',').for_each(|at| router.health_checked(host(at), ending(end), told, acts));
            }
            ["take", id, group, "for", time, rest @ ..] => {
                let group = GROUPS.iter().position(|g| g.0 == *group).expect("a command group");
                let since = rest.last().map(|word| span(word));
                let id = id.parse().expect("an id");
                let (router, acts) = self.router();
                let timeout = span(time);
                router.submit(
                    CommandRequest { id, group, shard: 0, session: 1, since_write: since, timeout },
                    acts,
                );
            }
            ["ended", which, end, told @ ..] => {
                let (id, nth) = numbers(which);
                let end = AttemptEnd {
                    attempt: nth,
                    outcome: ending(end),
                    command_finished: told.contains(&"over"),
                    note: self.standing(told),
                    report: HostReport::default(),
                };
                let (router, acts) = self.router();
                let handle = router.handle(id).ok_or("no such command is known")?;
                handle.attempt_ended(router, end, acts);
            }
            ["held", which, wanted] => {
                let (id, nth) = numbers(which);
                let (router, acts) = self.router();
                let handle = router.handle(id).ok_or("no such command is known")?;
                let may = handle.may_still_send(router, nth, acts.now);
                if may != (*wanted == "may") {
                    return Err(format!("may go: {may}"));
                }
            }
            ["places", most] => {
                let held = self.router().0.host_entries();
                if held > most.parse().expect("a count") {
                    return Err(format!("{held} places are held"));
                }
            }
            ["left", id] => {
                let (router, acts) = self.router();
                let handle = router.handle(id.parse().expect("an id")).ok_or("no such command is known")?;
                handle.client_disconnected(router, acts);
            }
            ["expect", wanted @ ..] => {
                let found = self.acts.said[self.read..].iter().position(|act| matches(act, wanted));
                let said = || format!("not seen: {:?}", &self.acts.said[self.read..]);
                self.read += found.ok_or_else(said)? + 1;
            }
            ["never", unwanted @ ..] => {
                if let Some(act) = self.acts.said[self.since..].iter().find(|act| matches(act, unwanted)) {
                    return Err(format!("seen: {act}"));
                }
            }
            ["atmost", most, wanted @ ..] => {
                let seen = self.acts.said[self.since..].iter().filter(|act| matches(act, wanted)).count();
                if seen > most.parse().expect("a count") {
                    return Err(format!("seen {seen} times"));
                }
            }
            ["repeat", times, "{", .., "}"] => {
                let steps = &line[line.find('{').expect("{") + 1..line.rfind('}').expect("}")];
                for round in 1..=times.parse::<u32>().expect("times") {
                    for step in steps.split(';') {
                        self.step(&step.replace('%', &round.to_string()))?;
                    }
                }
            }
            _ => panic!("no such step: {line:?}"),
        }
        Ok(())
    }
}

fn matches(act: &str, wanted: &[&str]) -> bool {
    let words: Vec<&str> = act.split_whitespace().collect();
    wanted.len() <= words.len()
        && wanted.iter().zip(words).all(|(want, word)| want.split('|').any(|w| w == "*" || w == word))
}

#[test]
fn every_scenario_plays_out() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> =
        fs::read_dir(folder).expect("the folder").map(|f| f.expect("a file").path()).collect();
    files.sort();
    let (mut failures, mut digest) = (Vec::new(), 0_u64);
    for file in &files {
        let text = fs::read_to_string(file).expect("a scenario");
        let mut play = Play { deployment: base(), router: None, acts: Acts::default(), since: 0, read: 0 };
        play.acts.now = START;
        for (number, line) in text.lines().enumerate() {
            let step = line.split('#').next().unwrap_or_default();
            if let Err(why) = play.step(step) {
                failures.push(format!("{}:{}: {line}: {why}", file.display(), number + 1));
                break;
            }
        }
        digest = digest.rotate_left(7) ^ play.acts.digest;
    }
    // Shown with --nocapture: the same for two texts that decide alike.
    println!("digest of {} scenarios: {digest:016x}", files.len());
    assert!(!files.is_empty() && failures.is_empty(), "{}", failures.join("\n"));
}
