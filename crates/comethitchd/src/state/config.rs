//! The one place where the configuration is read, checked and given defaults.

use crate::wire::discovery::{EndpointList, listing_of};
use comethitch_policy::Deployment;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::{Rules, Secret, StatementAdmission};
use serde_json::Value;
use std::collections::hash_map::RandomState;
use std::fmt::Write;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::Path;

/// Where a router runs, within which limits, and what it knows as it starts.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: usize,
    pub known: EndpointList,
    pub deployment: Deployment,
    /// The command groups' names, in the module's order.
    pub groups: Vec<String>,
    pub zones: Vec<String>,
    /// After this long a host closes an idle connection.
    pub host_idle: Duration,
    /// How statements are judged by their text; none, and comments alone count.
    pub statements: Option<Rules>,
}

/// The fewest descriptors, and the least memory, that a router can work with.
const FEWEST_SOCKETS: u64 = 64;
const LEAST_MEMORY_MB: u64 = 32;

impl Config {
    /// Reads the file; what it lacks of name and addresses is taken from `variable`.
    pub fn load(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown} can't be read: {e}"))?;
        Config::read(&text, variable).map_err(|e| format!("{shown}: {e}"))
    }

    /// What differs in another configuration and can't be changed in a running router.
    pub fn fixed_keys_changed(&self, other: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits.memory_mb", self.memory_mb != other.memory_mb),
            ("limits.sockets", self.sockets != other.sockets),
            (
                "settings.classes",
                self.groups != other.groups || self.deployment.groups != other.deployment.groups,
            ),
            ("settings.dcs", self.zones != other.zones),
            ("settings", self.deployment != other.deployment || self.host_idle != other.host_idle),
        ];
        changed.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect()
    }

    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let all: Value = serde_json::from_str(text).map_err(|e| format!("this is no JSON: {e}"))?;
        let all = Keys(&all);
        let or_variable = |key: &str, name: &str| match all.at(key) {
            Some(_) => all.text(key),
            None => variable(name).ok_or_else(|| format!("{key} is missing, and {name} is not set")),
        };
        let address = |key: &str, name: &str| -> Result<SocketAddr, String> {
            let text = or_variable(key, name)?;
            let wanted = || format!("{key} must be an address with a port, not {text:?}");
            text.parse().map_err(|_| wanted())
        };
        let mut lines = String::new();
        flatten(&mut lines, "", all.at("settings").ok_or("settings is missing")?);
        let deployment = Deployment::read(&lines).map_err(|e| format!("settings.{e}"))?;
        check(&deployment)?;
        let seed = all.text("seed")?;
        let zones = all.names("settings.dcs", None)?;
        let known = match all.at("known") {
            Some(known) => listing_of(known, &zones).map_err(|e| format!("known.{e}"))?,
            None => EndpointList { whole: true, ..EndpointList::default() },
        };
        let groups = all.names("settings.classes", Some("name"))?;
        if groups.is_empty() {
            return Err("settings.classes must name one command group or more".into());
        }
        Ok(Config {
            name: or_variable("name", "RELAY_NAME")?,
            listen: address("listen", "RELAY_LISTEN")?,
            discovery: address("discovery", "RELAY_DISCOVERY")?,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("seed must be up to 16 hexadecimal digits, not {seed:?}"))?,
            memory_mb: all.number("limits.memory_mb", LEAST_MEMORY_MB, Some(192))?,
            sockets: all.number("limits.sockets", FEWEST_SOCKETS, Some(1024))? as usize,
            known,
            deployment,
            groups,
            zones,
            host_idle: Duration::from_micros(all.number(
                "settings.permissions.conn_idle_us",
                1,
                Some(30_000_000),
            )?),
            statements: None,
        })
    }

    /// Adds the operator's rules for statements, checked against this site's command groups and memory.
    pub fn with_statements(self, path: &Path) -> Result<Config, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown} can't be read: {e}"))?;
        self.judging(&text).map_err(|e| format!("{shown}: {e}"))
    }

    /// The same, with the rules as a text.
    pub fn judging(mut self, text: &str) -> Result<Config, String> {
        let rules = read_rules(text)?;
        self.admission_by(rules.clone(), Timestamp::ZERO)?;
        if rules.cache.kib as u64 > self.memory_mb << 10 >> 2 {
            return Err(format!("cache.kib is more than a quarter of {} MB, the limit", self.memory_mb));
        }
        self.statements = Some(rules);
        Ok(self)
    }

    /// The place where statements are judged, if there are rules for it.
    pub fn admission(&self, now: Timestamp) -> Result<Option<StatementAdmission>, String> {
        self.statements.clone().map(|rules| self.admission_by(rules, now)).transpose()
    }

    /// The same by other rules, for the command groups of this site.
    pub fn admission_by(&self, rules: Rules, now: Timestamp) -> Result<StatementAdmission, String> {
        StatementAdmission::new(rules, &self.deployment.groups, &self.groups, secret(), now)
            .map_err(|error| error.to_string())
    }
}

/// Reads rules for statements; an error names the key.
pub fn read_rules(text: &str) -> Result<Rules, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let rules =
        serde_path_to_error::deserialize(&mut reader).map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
    reader.end().map_err(|e| format!("behind the rules: {e}"))?;
    Ok(rules)
}

/// A secret from the system's own random numbers, drawn anew at each call.
pub fn secret() -> Secret {
    let draw = || RandomState::new().build_hasher().finish().to_le_bytes();
    let mut secret = [0; 16];
    let (first, second) = secret.split_at_mut(8);
    first.copy_from_slice(&draw());
    second.copy_from_slice(&draw());
    Secret(secret)
}

/// Checks the ranges of what the module works with.
fn check(deployment: &Deployment) -> Result<(), String> {
    let mut spans = vec![
        ("tick_us".to_string(), deployment.tick),
        ("permissions.connect_timeout_us".into(), deployment.connect_timeout),
        ("rules.fall_us".into(), deployment.slow_start.window),
    ];
    for (i, group) in deployment.groups.iter().enumerate() {
        spans.push((format!("classes.{i}.target_us"), group.latency_objective));
        spans.push((format!("classes.{i}.deadline_us"), group.timeout));
    }
    if let Some((key, _)) = spans.iter().find(|(_, span)| *span == Duration::ZERO) {
        return Err(format!("settings.{key} must be 1 or more"));
    }
    if !(0.0..=1.0).contains(&deployment.slow_start.initial_capacity) {
        return Err(format!(
            "settings.rules.cold_from must be 0 to 1, not {}",
            deployment.slow_start.initial_capacity
        ));
    }
    match deployment.max_attempts {
        0 => Err("settings.permissions.max_attempts must be 1 or more".into()),
        _ => Ok(()),
    }
}

/// A JSON object whose values are named by paths.
struct Keys<'a>(&'a Value);

impl<'a> Keys<'a> {
    fn at(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.0, |value, key| value.get(key)).filter(|value| !value.is_null())
    }

    fn text(&self, path: &str) -> Result<String, String> {
        let value = self.at(path).ok_or_else(|| format!("{path} is missing"))?;
        value.as_str().map(String::from).ok_or_else(|| format!("{path} must be a text, not {value}"))
    }

    fn number(&self, path: &str, least: u64, otherwise: Option<u64>) -> Result<u64, String> {
        let Some(value) = self.at(path) else {
            return otherwise.ok_or_else(|| format!("{path} is missing"));
        };
        let wanted = || format!("{path} must be a whole number of {least} or more, not {value}");
        value.as_u64().filter(|number| *number >= least).ok_or_else(wanted)
    }

    /// A list of texts, or of objects that each hold one under `key`.
    fn names(&self, path: &str, key: Option<&str>) -> Result<Vec<String>, String> {
        let list = self.at(path).ok_or_else(|| format!("{path} is missing"))?;
        let list = list.as_array().ok_or_else(|| format!("{path} must be a list"))?;
        let name = |(i, item): (usize, &Value)| {
            let (value, dot) = match key {
                Some(key) => (&item[key], format!(".{key}")),
                None => (item, String::new()),
            };
            value.as_str().map(String::from).ok_or_else(|| format!("{path}.{i}{dot} must be a text"))
        };
        list.iter().enumerate().map(name).collect()
    }
}

/// Nested JSON as the lines that the module's own reader takes: `a.b=value`, plain lists joined by commas,
/// lists of objects numbered, with their length under `count`.
fn flatten(lines: &mut String, path: &str, value: &Value) {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let plain = |value: &Value| match value {
        Value::String(text) => text.replace([' ', ',', '\n'], "_"),
        other => other.to_string(),
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(lines, &below(key), value)),
        Value::Array(items) if items.first().is_some_and(Value::is_object) => {
            let _ = writeln!(lines, "{}={}", below("count"), items.len());
            items.iter().enumerate().for_each(|(i, item)| flatten(lines, &below(&i.to_string()), item));
        }
        Value::Array(items) => {
            let joined = items.iter().map(plain).collect::<Vec<_>>().join(",");
            let _ = writeln!(lines, "{path}={joined}");
        }
        value => {
            let _ = writeln!(lines, "{path}={}", plain(value));
        }
    }
}
