//! What happened in a trial, held against the rules, and what it comes to.

use comethitch_policy::time::{Duration, Timestamp};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Answered,
    Throttled,
    Failed,
}

/// How many breaks of rules are written out; all are counted.
const SHOWN: usize = 20;

#[derive(Debug)]
struct Record {
    /// The first try that this is or repeats, and when it was asked.
    origin: (u64, Timestamp),
    write: bool,
    expiry: Timestamp,
    answer: Option<(Timestamp, Answer)>,
    /// Dispatches that ran, or may have.
    ran: u32,
    /// Its router was killed while it was in hand: nothing is owed.
    void: bool,
}

/// Commands of all routers by a number of their own, hosts by theirs.
#[derive(Debug)]
pub struct Ledger {
    target: Duration,
    /// By how much what is seen from outside may differ from what the router saw.
    slack: Duration,
    /// How long a router may still send to a host after it was told that the host drains.
    grace: Duration,
    /// By router and host: when it was told so.
    told: BTreeMap<(usize, usize), Timestamp>,
    start: Timestamp,
    commands: BTreeMap<u64, Record>,
    broken: Vec<String>,
    breaks: u64,
    cold_most: f64,
    /// By first try: when it was asked, and whether it or a repeat was answered in time.
    in_time: BTreeMap<u64, (Timestamp, bool)>,
    throttled: u64,
    failed: u64,
    answered: u64,
    took: Histogram<u64>,
    pub probes: u64,
    pub connections: u64,
    /// By second and host: reads that came there for each core, where the host was usable throughout.
    loads: BTreeMap<u64, BTreeMap<usize, f64>>,
}

impl Ledger {
    pub fn new(target: Duration, grace: Duration, start: Timestamp) -> Ledger {
        Ledger {
            target,
            slack: Duration::ZERO,
            grace,
            told: BTreeMap::new(),
            start,
            commands: BTreeMap::new(),
            broken: Vec::new(),
            breaks: 0,
            cold_most: 0.0,
            in_time: BTreeMap::new(),
            throttled: 0,
            failed: 0,
            answered: 0,
            took: Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds and digits are allowed"),
            probes: 0,
            connections: 0,
            loads: BTreeMap::new(),
        }
    }

    /// The same for real processes, which are seen from outside and later than they act.
    pub fn with_slack(self, slack: Duration) -> Ledger {
        Ledger { slack, ..self }
    }

    /// The trial begins now, whatever was asked for before.
    pub fn begins(&mut self, start: Timestamp) {
        self.start = start;
    }

    /// Counts a break of a rule.
    pub fn breaks(&mut self, rule: &str, what: String) {
        self.breaks += 1;
        if self.broken.len() < SHOWN {
            self.broken.push(format!("{rule}: {what}"));
        }
    }

    /// So many commands, over what counts as chance, came within a span to a cold host: its most before, and now.
    pub fn crowded(&mut self, host: usize, before: f64, now: f64) {
        self.cold_most = self.cold_most.max(now);
        if before <= 1.0 && now > 1.0 {
            self.breaks("cold", format!("host {host} got {now:.2} times what counts as chance"));
        }
    }

    /// A client asks for the first time, whether or not a router takes it: what nobody takes is not answered in time.
    pub fn asked(&mut self, origin: (u64, Timestamp)) {
        self.in_time.entry(origin.0).or_insert((origin.1, false));
    }

    pub fn taken(&mut self, command: u64, origin: (u64, Timestamp), write: bool, expiry: Timestamp) {
        self.asked(origin);
        let record = Record { origin, write, expiry, answer: None, ran: 0, void: false };
        self.commands.insert(command, record);
    }

    fn sent(&mut self, command: u64, at: Timestamp) {
        let Some(record) = self.commands.get(&command) else { return };
        let answered =
            record.answer.is_some_and(|(told, _)| at > told + self.slack || self.slack == Duration::ZERO);
        let again = record.write && record.ran > 0;
        if answered {
            self.breaks("lost", format!("command {command} was sent on at {at:?}, after its final answer"));
        }
        if again {
            self.breaks("twice", format!("write {command} was sent again at {at:?}, though it may have run"));
        }
    }

    /// A router is told that a host drains; again, if it was before.
    pub fn drains(&mut self, router: usize, host: usize, at: Timestamp) {
        self.told.entry((router, host)).or_insert(at);
    }

    /// A router sent a command to a host.
    pub fn sent_to(&mut self, command: u64, router: usize, host: usize, at: Timestamp) {
        let told = self.told.get(&(router, host));
        if told.is_some_and(|told| at > *told + self.grace + self.slack) {
            let what = format!(
                "command {command} was sent at {at:?} to host {host}, which router {router} knew drains"
            );
            self.breaks("drains", what);
        }
        self.sent(command, at);
    }

    /// A dispatch came to a host that will run it.
    pub fn may_run(&mut self, command: u64) {
        let Some(record) = self.commands.get_mut(&command) else { return };
        record.ran += 1;
        if record.write && record.ran > 1 {
            self.breaks("twice", format!("write {command} ran twice"));
        }
    }

    /// A dispatch was taken back, or turned away, before it ran.
    pub fn never_ran(&mut self, command: u64) {
        if let Some(record) = self.commands.get_mut(&command) {
            record.ran = record.ran.saturating_sub(1);
        }
    }

    pub fn answered(&mut self, command: u64, at: Timestamp, answer: Answer) {
        let Some(record) = self.commands.get_mut(&command) else { return };
        let (before, late) = (record.answer.replace((at, answer)), at > record.expiry + self.slack);
        let harmful = answer == Answer::Throttled && record.write && record.ran > 0;
        let (origin, expiry) = (record.origin, record.expiry);
        match answer {
            Answer::Answered => {
                self.answered += 1;
                let took = at - origin.1;
                self.took.saturating_record(took.as_micros());
                if took <= self.target {
                    self.in_time.insert(origin.0, (origin.1, true));
                }
            }
            Answer::Throttled => self.throttled += 1,
            Answer::Failed => self.failed += 1,
        }
        if before.is_some() {
            self.breaks("lost", format!("command {command} has two final answers, the second at {at:?}"));
        }
        if late {
            self.breaks("lost", format!("command {command} was answered at {at:?}, its time was {expiry:?}"));
        }
        if harmful {
            self.breaks("twice", format!("write {command} was throttled, though it may have run"));
        }
    }

    /// The router of this command was killed.
    pub fn void(&mut self, command: u64) {
        if let Some(record) = self.commands.get_mut(&command) {
            record.void = true;
        }
    }

    /// A host was usable for the whole of this second.
    pub fn usable(&mut self, second: u64, host: usize) {
        self.loads.entry(second).or_default().entry(host).or_insert(0.0);
    }

    pub fn load(&mut self, second: u64, host: usize, part: f64) {
        *self.loads.entry(second).or_default().entry(host).or_insert(0.0) += part;
    }

    /// Closes the books at the end of a trial.
    pub fn close(mut self, end: Timestamp, usable: &dyn Fn(u64, usize) -> bool) -> Report {
        let owed = |r: &Record| r.answer.is_none() && !r.void && r.expiry < end;
        let lost: Vec<u64> = self.commands.iter().filter(|(_, r)| owed(r)).map(|(id, _)| *id).collect();
        for id in lost {
            self.breaks("lost", format!("command {id} got no final answer"));
        }
        let mut seconds: BTreeMap<u64, Second> = BTreeMap::new();
        for (asked, in_time) in self.in_time.values() {
            let second = seconds.entry((*asked - self.start).as_micros() / 1_000_000).or_default();
            second.asked += 1;
            second.in_time += u64::from(*in_time);
        }
        let mut spread = Vec::new();
        let mut idle: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        for (second, loads) in &self.loads {
            let of: Vec<(usize, f64)> =
                loads.iter().filter(|(host, _)| usable(*second, **host)).map(|(h, l)| (*h, *l)).collect();
            for (host, load) in &of {
                let (now, most) = idle.entry(*host).or_default();
                *now = if *load > 0.0 { 0 } else { *now + 1 };
                *most = (*most).max(*now);
            }
            let mean = of.iter().map(|(_, l)| l).sum::<f64>() / of.len().max(1) as f64;
            if mean > 0.0 {
                let variance = of.iter().map(|(_, l)| (l - mean).powi(2)).sum::<f64>() / of.len() as f64;
                let most = of.iter().map(|(_, l)| *l).fold(0.0, f64::max);
                spread.push((variance.sqrt() / mean, most / mean));
                let second = seconds.entry(*second).or_default();
                (second.variation, second.greatest) = (variance.sqrt() / mean, most / mean);
            }
        }
        let over =
            |pick: fn(&(f64, f64)) -> f64| spread.iter().map(pick).sum::<f64>() / spread.len().max(1) as f64;
        let asked = self.in_time.len() as u64;
        let each = |count: u64| count as f64 / self.answered.max(1) as f64;
        Report {
            asked,
            in_time: self.in_time.values().filter(|(_, yes)| *yes).count() as f64 / asked.max(1) as f64,
            throttled: self.throttled as f64 / self.commands.len().max(1) as f64,
            failed: self.failed as f64 / self.commands.len().max(1) as f64,
            p50_ms: self.took.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: self.took.value_at_quantile(0.99) as f64 / 1e3,
            probes: each(self.probes),
            connections: each(self.connections),
            variation: over(|one| one.0),
            greatest: over(|one| one.1),
            idle: idle.values().map(|(_, most)| *most).max().unwrap_or(0),
            breaks: self.breaks,
            cold_most: self.cold_most,
            broken: self.broken,
            seconds: seconds.into_iter().collect(),
        }
    }
}

/// One second of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// First tries asked in it, and how many of them were answered within the target, if by a repeat.
    pub asked: u64,
    pub in_time: u64,
    /// Of the reads that came to usable replicas in it, as in [`Report`].
    pub variation: f64,
    pub greatest: f64,
}

/// What a trial came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// First tries, and the share of them that was answered within the target, repeats counted in.
    pub asked: u64,
    pub in_time: f64,
    /// Of all commands, repeats of clients too.
    pub throttled: f64,
    pub failed: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// For each answered command, over the fleet.
    pub probes: f64,
    pub connections: f64,
    /// Of the reads that came to each usable replica in a second, for its cores: the coefficient of variation, and
    /// the greatest over the mean; means over the seconds.
    pub variation: f64,
    pub greatest: f64,
    /// The most seconds in a row that a usable replica was without a read.
    pub idle: u64,
    pub breaks: u64,
    /// The most commands that a cold host got within a span from all routers together, over the most that counts as
    /// chance: above 1 the rule is broken.
    pub cold_most: f64,
    /// The first few breaks of rules, in words.
    pub broken: Vec<String>,
    /// By number, from the start.
    pub seconds: Vec<(u64, Second)>,
}

impl Report {
    pub const HEAD: &str = "asked,in_time,throttled,failed,p50_ms,p99_ms,probes,connections,variation,greatest,idle_s,breaks,cold_most";

    /// Seconds from a fault at `second` until the share answered in time is back: the first second from which it
    /// stays within `by` of its mean over the five seconds before the fault, for five seconds. `None` if it never is.
    ///
    /// ```
    /// use comethitch_lab::ledger::{Report, Second};
    /// let second = |in_time| Second { asked: 100, in_time, ..Second::default() };
    /// let course = [99, 99, 99, 99, 99, 40, 70, 98, 90, 99, 98, 99, 99, 99];
    /// let seconds = (0..).zip(course.map(second)).collect();
    /// let report = Report { seconds, ..Report::default() };
    /// assert_eq!(report.back_after(5, 0.02), Some(4), "98 came and went again");
    /// ```
    pub fn back_after(&self, second: u64, by: f64) -> Option<u64> {
        let share = |of: &[(u64, Second)]| {
            let (asked, in_time) = of.iter().fold((0, 0), |sum, (_, s)| (sum.0 + s.asked, sum.1 + s.in_time));
            in_time as f64 / asked.max(1) as f64
        };
        let at = self.seconds.iter().position(|(nth, _)| *nth >= second)?;
        let before = share(&self.seconds[at.saturating_sub(5)..at]);
        let well = |one: &(u64, Second)| share(std::slice::from_ref(one)) >= before - by;
        let back = self.seconds[at..].windows(5).position(|five| five.iter().all(well))?;
        Some(back as u64)
    }

    /// Every second of it, as CSV with a head.
    pub fn by_second(&self) -> String {
        let line = |(nth, s): &(u64, Second)| {
            format!("{nth},{},{},{:.3},{:.2}\n", s.asked, s.in_time, s.variation, s.greatest)
        };
        std::iter::once("second,asked,in_time,variation,greatest\n".to_string())
            .chain(self.seconds.iter().map(line))
            .collect()
    }

    /// The figures of [`Report::HEAD`], parted by commas.
    pub fn row(&self) -> String {
        format!(
            "{},{:.4},{:.4},{:.4},{:.1},{:.1},{:.3},{:.3},{:.3},{:.2},{},{},{:.2}",
            self.asked,
            self.in_time,
            self.throttled,
            self.failed,
            self.p50_ms,
            self.p99_ms,
            self.probes,
            self.connections,
            self.variation,
            self.greatest,
            self.idle,
            self.breaks,
            self.cold_most
        )
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let row = self.row();
        for (name, value) in Report::HEAD.split(',').zip(row.split(',')) {
            writeln!(f, "{name:12} {value:>10}")?;
        }
        self.broken.iter().try_for_each(|what| writeln!(f, "BROKEN {what}"))
    }
}

#[cfg(test)]
mod tests;
