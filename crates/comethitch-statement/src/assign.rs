//! From a verdict to what the decision module is told: the command group and the group of hosts.
//!
//! A command group allows only so much: one whose reads may go to replicas takes plain reads alone, and one that
//! may be sent again takes nothing that a second run could harm. Rules that would break this are turned down when
//! they are read, and a comment that would is refused, or raised to the group that the rules name.

use crate::lexer::{Lexer, LiteralForm};
use crate::rules::{Bound, Disagreement, KeyRule, Rules, Spread};
use crate::verdict::TableUse;
use crate::{Effect, Verdict};
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandGroup, Consistency, Shard};
use std::fmt;

/// What is read of rules, checked against the command groups of the deployment.
#[derive(Clone, Debug)]
pub struct Assignment {
    groups: Vec<GroupFor>,
    keys: Vec<KeyRule>,
    elsewhere: Option<Shard>,
    raise: bool,
    /// The bounds between bands of cost, in rising order.
    bounds: Vec<Duration>,
    /// What each command group of the deployment may take, in its order.
    allowed: Vec<Allowed>,
    names: Vec<String>,
}

#[derive(Clone, Debug)]
struct GroupFor {
    group: usize,
    effects: Vec<Effect>,
    tables: Option<Vec<String>>,
    from: Option<Duration>,
    below: Option<Duration>,
}

/// The effects that a command group may hold without a rule being broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// Its commands go to primaries alone.
    primary: bool,
    /// None of its commands is sent again that may have run, or their repeats are dropped.
    once: bool,
    /// Its commands' repeats are dropped by a mark that they carry, which a statement of unknown effect has not.
    keyed: bool,
}

impl Allowed {
    fn of(group: &CommandGroup) -> Allowed {
        Allowed {
            primary: group.consistency == Consistency::Write,
            once: group.idempotency != comethitch_policy::Idempotency::Idempotent,
            keyed: group.idempotency == comethitch_policy::Idempotency::Keyed,
        }
    }

    pub fn allows(self, effect: Effect) -> bool {
        match effect {
            Effect::Read => true,
            Effect::LockingRead => self.primary,
            Effect::Write => self.primary && self.once,
            Effect::Session | Effect::Unknown => self.primary && self.once && !self.keyed,
        }
    }
}

/// Why a statement becomes no command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its comment's group may do less than its text does.
    Disagrees { group: String, effect: Effect, why: String },
    /// It concerns a transaction of several statements, which are not carried.
    Transaction,
    /// No rule takes it.
    NoGroup { effect: Effect, why: String },
    /// A table's rows lie by a key, and the statement names none.
    NoKey { table: String, column: String },
    /// Its keys lie in several groups of hosts.
    SeveralHosts { first: Shard, second: Shard },
    /// The comment names one group of hosts, its keys lie in another.
    OtherHosts { told: Shard, found: Shard },
    /// Nothing tells the group of hosts.
    NoHosts,
    /// Its tables are not known, since it could not be parsed, and tables lie by keys.
    NotParsed { why: String },
}

impl Refusal {
    /// The SQLSTATE that a client is told: none of them has run, and none becomes possible by trying again.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Disagrees { .. } => "42809",
            Refusal::NoGroup { .. } | Refusal::Transaction => "0A000",
            Refusal::NoKey { .. } | Refusal::SeveralHosts { .. } | Refusal::NotParsed { .. } => "0A000",
            Refusal::OtherHosts { .. } | Refusal::NoHosts => "22023",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Disagrees { group, effect, why } => {
                write!(
                    f,
                    "the comment says {group:?}, and the statement is of the effect {}: {why}",
                    effect.name()
                )
            }
            Refusal::Transaction => {
                write!(f, "transactions of several statements are not carried: send them as one query")
            }
            Refusal::NoGroup { effect, why } => {
                write!(f, "no rule names a command group for the effect {}", effect.name())?;
                if why.is_empty() { Ok(()) } else { write!(f, ": {why}") }
            }
            Refusal::NoKey { table, column } => {
                write!(f, "{table} lies by {column}, and the statement compares it with no value")
            }
            Refusal::SeveralHosts { first, second } => {
                write!(f, "the statement's keys lie in the groups of hosts {first} and {second}")
            }
            Refusal::OtherHosts { told, found } => {
                write!(f, "the comment says cluster={told}, and the statement's keys lie in {found}")
            }
            Refusal::NoHosts => write!(f, "nothing says which group of hosts the statement is for"),
            Refusal::NotParsed { why } => write!(f, "the statement's tables are not known: {why}"),
        }
    }
}

/// Where a statement goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assigned {
    /// The command group, by its place in the deployment.
    pub group: usize,
    pub shard: Shard,
    /// The session, as the hash of the one key that its tables lie by; none where there is no key, or several.
    pub session: Option<u64>,
    /// Its comment named a command group that allows less.
    pub raised: bool,
}

impl Assignment {
    /// Checks rules against a deployment's command groups; an error names the key.
    pub fn new(rules: &Rules, groups: &[CommandGroup], names: &[String]) -> Result<Assignment, String> {
        let allowed: Vec<Allowed> = groups.iter().map(Allowed::of).collect();
        let mut bounds = Vec::new();
        let mut checked = Vec::new();
        for (i, rule) in rules.groups.iter().enumerate() {
            let key = |field: &str| format!("groups.{i}.{field}");
            let group = names.iter().position(|name| *name == rule.group);
            let group =
                group.ok_or_else(|| format!("{} is no command group: {:?}", key("group"), rule.group))?;
            if rule.effects.is_empty() {
                return Err(format!("{} must name an effect", key("effects")));
            }
            if let Some(effect) = rule.effects.iter().find(|effect| !allowed[group].allows(**effect)) {
                let (name, effect) = (&rule.group, effect.name());
                return Err(format!(
                    "{} holds {effect}, and commands of {name:?} may go to replicas or be sent again",
                    key("effects")
                ));
            }
            let span = |field: &str, ms: Option<f64>| match ms {
                Some(ms) if ms > 0.0 && ms < 1e9 => Ok(Some(Duration::from_micros((ms * 1e3) as u64))),
                Some(ms) => Err(format!("{} must be a time above 0, not {ms}", key(field))),
                None => Ok(None),
            };
            let (from, below) = (span("from_ms", rule.from_ms)?, span("below_ms", rule.below_ms)?);
            if let (Some(from), Some(below)) = (from, below)
                && from >= below
            {
                return Err(format!("{} must be above from_ms", key("below_ms")));
            }
            bounds.extend(from.into_iter().chain(below));
            let (effects, tables) = (rule.effects.clone(), rule.tables.clone());
            checked.push(GroupFor { group, effects, tables, from, below });
        }
        if checked.is_empty() {
            return Err("groups must hold a rule".into());
        }
        bounds.sort_unstable();
        bounds.dedup();
        if bounds.len() > 64 {
            return Err("groups must not hold more than 64 bounds of cost".into());
        }
        for (i, rule) in rules.keys.iter().enumerate() {
            check_key(rule).map_err(|why| format!("keys.{i}.{why}"))?;
            let twice =
                rules.keys[..i].iter().flat_map(|rule| &rule.tables).find(|t| rule.tables.contains(t));
            if let Some(table) = twice {
                return Err(format!("keys.{i}.tables names {table:?}, which has a key already"));
            }
        }
        Ok(Assignment {
            groups: checked,
            keys: rules.keys.clone(),
            elsewhere: rules.elsewhere,
            raise: rules.disagreement == Disagreement::Raise,
            bounds,
            allowed,
            names: names.to_vec(),
        })
    }

    /// The bounds between bands of cost, in rising order.
    pub fn bounds(&self) -> &[Duration] {
        &self.bounds
    }

    /// Where a statement goes, by its verdict and band of cost, and by what its comment told, if it has one.
    /// `values` gives the values of a placeholder.
    pub fn assign(
        &self, verdict: &Verdict, band: u8, told: (Option<usize>, Option<Shard>), values: &dyn Values,
    ) -> Result<Assigned, Refusal> {
        let (told_group, told_shard) = told;
        let (effect, why) = (verdict.effect, verdict.why.to_string());
        if verdict.transaction {
            return Err(Refusal::Transaction);
        }
        let (group, raised) = match told_group {
            Some(group) if self.allowed[group].allows(effect) => (group, false),
            Some(group) if !self.raise => {
                return Err(Refusal::Disagrees { group: self.names[group].clone(), effect, why });
            }
            told => (self.group(verdict, band).ok_or(Refusal::NoGroup { effect, why })?, told.is_some()),
        };
        let (found, session) = self.hosts(verdict, values, told_shard.is_some())?;
        let shard = match (told_shard, found) {
            (Some(told), Some(found)) if told != found => return Err(Refusal::OtherHosts { told, found }),
            (Some(shard), _) | (None, Some(shard)) => shard,
            (None, None) => self.elsewhere.ok_or(Refusal::NoHosts)?,
        };
        Ok(Assigned { group, shard, session, raised })
    }

    fn group(&self, verdict: &Verdict, band: u8) -> Option<usize> {
        let below = |bound: Duration| {
            self.bounds.iter().position(|b| *b == bound).is_some_and(|at| band as usize <= at)
        };
        let fits = |rule: &&GroupFor| {
            let uses = |table: &String| verdict.uses.iter().any(|a_use| *a_use.table == **table);
            // Of a statement that was not parsed any table may be used.
            let tables = rule.tables.as_ref();
            rule.effects.contains(&verdict.effect)
                && tables.is_none_or(|tables| !verdict.parsed || tables.iter().any(uses))
                && rule.from.is_none_or(|from| !below(from))
                && rule.below.is_none_or(below)
        };
        self.groups.iter().find(fits).map(|rule| rule.group)
    }

    /// The group of hosts in which all of the statement's keys lie; none if it uses no table that has one. A
    /// comment that tells it makes up for keys that can't be seen, but not for those that lie elsewhere.
    fn hosts(
        &self, verdict: &Verdict, values: &dyn Values, told: bool,
    ) -> Result<(Option<Shard>, Option<u64>), Refusal> {
        if self.keys.is_empty() {
            return Ok((None, None));
        }
        if !verdict.parsed {
            return if told {
                Ok((None, None))
            } else {
                Err(Refusal::NotParsed { why: verdict.why.to_string() })
            };
        }
        let (mut found, mut sessions) = (None, Vec::new());
        for a_use in &verdict.uses {
            let Some(rule) = self.keys.iter().find(|rule| rule.tables.iter().any(|t| **t == *a_use.table))
            else {
                continue;
            };
            let Some((shards, keys)) = shards(rule, a_use, values) else {
                if told {
                    continue;
                }
                let (table, column) = (a_use.table.to_string(), rule.column.clone());
                return Err(Refusal::NoKey { table, column });
            };
            sessions.extend(keys);
            for shard in shards {
                match found {
                    Some(first) if first != shard => {
                        return Err(Refusal::SeveralHosts { first, second: shard });
                    }
                    _ => found = Some(shard),
                }
            }
        }
        sessions.sort_unstable();
        sessions.dedup();
        let session = if let [one] = sessions[..] { Some(one) } else { None };
        Ok((found, session))
    }
}

fn check_key(rule: &KeyRule) -> Result<(), String> {
    if rule.tables.is_empty() {
        return Err("tables must name a table".into());
    }
    match &rule.spread {
        Spread::Hash(groups) if groups.is_empty() => Err("spread.hash must name a group of hosts".into()),
        Spread::Hash(_) => Ok(()),
        Spread::Range(stretches) => {
            let Some((last, others)) = stretches.split_last() else {
                return Err("spread.range must hold a stretch".into());
            };
            if last.below.is_some() {
                return Err("spread.range must end in a stretch without a bound".into());
            }
            if let Some(i) = others.iter().position(|stretch| stretch.below.is_none()) {
                return Err(format!("spread.range.{i}.below is missing"));
            }
            let rising = |pair: &[crate::rules::Stretch]| match (&pair[0].below, &pair[1].below) {
                (Some(Bound::Number(a)), Some(Bound::Number(b))) => a < b,
                (Some(Bound::Text(a)), Some(Bound::Text(b))) => a < b,
                _ => false,
            };
            match others.windows(2).position(|pair| !rising(pair)) {
                Some(i) => {
                    Err(format!("spread.range.{}.below must be above the one before, and of its kind", i + 1))
                }
                None => Ok(()),
            }
        }
    }
}

/// The groups of hosts of a use's key, and the hashes of its values; none if it has no key, or one whose value is
/// not known.
fn shards(rule: &KeyRule, a_use: &TableUse, values: &dyn Values) -> Option<(Vec<Shard>, Vec<u64>)> {
    let mut best: Option<(Vec<Shard>, Vec<u64>)> = None;
    for key in a_use.keys.iter().filter(|key| *key.column == *rule.column) {
        let (mut shards, mut hashes) = (Vec::new(), Vec::new());
        for placeholder in &key.placeholders {
            for value in values.of(*placeholder)? {
                shards.push(shard(&rule.spread, &value)?);
                hashes.push(fnv1a(&value).max(1));
            }
        }
        shards.sort_unstable();
        shards.dedup();
        // Of two conditions on one column, both hold: the narrower one says more.
        if best.as_ref().is_none_or(|(best, _)| shards.len() < best.len()) {
            best = Some((shards, hashes));
        }
    }
    best
}

fn shard(spread: &Spread, key: &[u8]) -> Option<Shard> {
    match spread {
        Spread::Hash(groups) => Some(groups[(fnv1a(key) % groups.len() as u64) as usize]),
        Spread::Range(stretches) => {
            let number = || std::str::from_utf8(key).ok()?.trim().parse::<i64>().ok();
            for stretch in stretches {
                let below = match &stretch.below {
                    Some(Bound::Number(bound)) => number()? < *bound,
                    Some(Bound::Text(bound)) => key < bound.as_bytes(),
                    None => true,
                };
                if below {
                    return Some(stretch.hosts);
                }
            }
            None
        }
    }
}

/// The FNV-1a hash of 64 bits: public, so that whoever lays rows out can reckon alike.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Gives the values that stand for a placeholder.
pub trait Values {
    /// The values as texts, or none if one of them is not known.
    fn of(&self, placeholder: u32) -> Option<Vec<Vec<u8>>>;
}

/// Values that came beside a text, by the names of their parameters without a sign, in lower case. What is not
/// known, as a null or a date, has none.
pub type Arguments = [(String, Option<Vec<u8>>)];

/// The values as they stand in the statement's own text, and beside it.
pub struct InText<'a> {
    pub lexer: &'a Lexer,
    pub text: &'a [u8],
    pub arguments: &'a Arguments,
}

impl Values for InText<'_> {
    fn of(&self, placeholder: u32) -> Option<Vec<Vec<u8>>> {
        let literals = self.lexer.literals().iter().filter(|literal| literal.placeholder == placeholder);
        let value = |literal: &crate::lexer::Literal| {
            let text = self.text.get(literal.at.start as usize..literal.at.end as usize)?;
            match literal.form {
                // One number has many notations; only the plainest is taken for a key.
                LiteralForm::Number => {
                    let sign = self.text[..literal.at.start as usize].trim_ascii_end().last();
                    let plain = text.iter().all(u8::is_ascii_digit) && (text.len() == 1 || text[0] != b'0');
                    (plain && !matches!(sign, Some(b'-' | b'+'))).then(|| text.to_vec())
                }
                LiteralForm::Text => {
                    let inner = text.iter().position(|byte| *byte == b'\'').map(|at| &text[at + 1..])?;
                    let inner = inner.strip_suffix(b"'")?;
                    let mut value = Vec::with_capacity(inner.len());
                    let mut bytes = inner.iter().peekable();
                    while let Some(byte) = bytes.next() {
                        value.push(*byte);
                        if *byte == b'\'' {
                            bytes.next();
                        }
                    }
                    Some(value)
                }
                LiteralForm::Parameter => {
                    let name = std::str::from_utf8(text).ok()?.trim_start_matches(['@', '$']).to_lowercase();
                    self.arguments.iter().find(|(known, _)| *known == name)?.1.clone()
                }
                LiteralForm::Special => None,
            }
        };
        let values: Option<Vec<Vec<u8>>> = literals.map(value).collect();
        values.filter(|values| !values.is_empty())
    }
}
