//! Trials: a fleet, its load and its faults, as read from a JSON file.
//!
//! The keys of the file are a stable format. A field or variant whose name differs from its key has the key
//! in a `serde` attribute.

mod faults;

use crate::hosts::SlowStart;
use crate::system_calls::SystemCallFaults;
use comethitch_policy::time::Duration;
use comethitch_policy::{Deployment, DeploymentError};
pub use faults::{Direction, Fault, FaultKind, LinkFault};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum duration of a trial or a fault, in milliseconds.
const MAX_DURATION_MS: f64 = 600_000.0;

/// Why a trial is unusable.
#[derive(Debug, Error)]
pub enum TrialError {
    /// The text is not valid JSON, or not that of a trial.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A number is out of its bounds.
    #[error("{key} must be from {min} to {max}, not {value}")]
    OutOfBounds {
        /// Key in the file.
        key: String,
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
        /// Value in the file.
        value: f64,
    },
    /// A host has no cores.
    #[error("cores must list at least one number of cores, and none of them may be 0")]
    NoCores,
    /// There is no log-normal distribution of traffic with this skew.
    #[error("skew is not a valid standard deviation of a log-normal distribution")]
    Skew,
    /// The policy rejects the routers' settings.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
}

/// Who selects hosts for requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The policy, one instance for each router.
    #[default]
    Module,
    /// A baseline that sends each read to a usable replica, drawn with the hosts' actual capacities as
    /// weights, without health checks, concurrency limits or retries.
    Perfect,
}

/// A trial. Keys that are missing from the file have the values of [`Trial::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Trial {
    /// Seed of all random draws.
    pub seed: u64,
    /// Who selects hosts.
    pub routing: Routing,
    /// Number of routers.
    pub routers: u16,
    /// Number of shards.
    #[serde(rename = "groups")]
    pub shards: u16,
    /// Number of replicas of each shard, besides its primary.
    pub replicas: u16,
    /// How long clients send requests, in seconds.
    pub seconds: u64,
    /// Numbers of cores of the hosts, assigned in turn.
    pub cores: Vec<u16>,
    /// Mean time of a request on one core, in milliseconds.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// Mean utilization of all replicas' cores by reads.
    pub load: f64,
    /// Inequality of the routers' traffic: the standard deviation of the natural logarithm of a router's
    /// traffic.
    pub skew: f64,
    /// Fraction of requests that write.
    #[serde(rename = "writes")]
    pub write_fraction: f64,
    /// Latency objective, in milliseconds.
    #[serde(rename = "target_ms")]
    pub latency_objective_ms: u64,
    /// Timeout of clients, in milliseconds.
    pub timeout_ms: u64,
    /// Bound on the staleness of reads, in milliseconds.
    #[serde(rename = "bound_ms")]
    pub staleness_bound_ms: u64,
    /// Replication lag of replicas, in milliseconds.
    #[serde(rename = "lag_ms")]
    pub replication_lag_ms: u64,
    /// Interval at which hosts renew their load report, in milliseconds.
    #[serde(rename = "report_ms")]
    pub report_interval_ms: u64,
    /// Mean one-way network delay between routers and hosts, in microseconds.
    #[serde(rename = "net_us")]
    pub network_delay_us: u64,
    /// Fraction of its capacity that a host has when it starts.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Length of a host's slow start, in milliseconds.
    #[serde(rename = "warm_within_ms")]
    pub warmup_ms: u64,
    /// A host crashes in slow start if it receives more than this multiple of what it can serve within the
    /// overload window (`fall_ms`).
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the overload window, in milliseconds.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// How long a router may still send to a host after it was notified that the host is draining, in
    /// milliseconds.
    pub drain_grace_ms: u64,
    /// Maximum number of requests queued at a host per core.
    pub queue_per_core: u16,
    /// Maximum number of connections that a host accepts. 0 means no limit. Real processes only.
    #[serde(rename = "slots")]
    pub max_connections_per_host: u32,
    /// Number of routers that share one name and one random seed. Real processes only.
    #[serde(rename = "namesakes")]
    pub routers_sharing_name: u16,
    /// Faults of system calls (settings of `shim/system_calls.c`), assigned to the routers in turn. An empty
    /// text means no faults. Real processes only.
    #[schemars(with = "Vec<String>")]
    pub system_calls: Vec<SystemCallFaults>,
    /// Fraction of requests whose client closes its connection before the answer. Real processes only.
    #[serde(rename = "leave")]
    pub disconnect_probability: f64,
    /// Number of clients that connect to each router at once in the middle of the trial and stay idle. Real
    /// processes only.
    #[serde(rename = "crowd")]
    pub idle_clients: u16,
    /// Number of clients over the trial that send only a part of a request. Real processes only.
    #[serde(rename = "stalled_clients")]
    pub incomplete_requests: u16,
    /// Whether the slack of time limits follows the measured lag of the lab, instead of being fixed. Real
    /// processes only.
    #[serde(rename = "sharp")]
    pub adaptive_slack: bool,
    /// Whether all hosts are in slow start when the trial begins.
    #[serde(rename = "all_cold")]
    pub all_hosts_warming_up: bool,
    /// Faults and planned changes, with their start times.
    pub faults: Vec<Fault>,
    /// Settings of the routers that override those derived from the trial, for example to disable a
    /// protection. Real processes only.
    pub settings: BTreeMap<String, Value>,
}

impl Default for Trial {
    fn default() -> Trial {
        Trial {
            seed: 1,
            routing: Routing::Module,
            routers: 30,
            shards: 2,
            replicas: 12,
            seconds: 20,
            cores: vec![4, 4, 6],
            mean_work_ms: 40.0,
            load: 0.5,
            skew: 0.8,
            write_fraction: 0.05,
            latency_objective_ms: 400,
            timeout_ms: 1200,
            staleness_bound_ms: 3000,
            replication_lag_ms: 20,
            report_interval_ms: 100,
            network_delay_us: 250,
            initial_capacity: 0.2,
            warmup_ms: 10_000,
            overload_multiple: 2.5,
            overload_window_ms: 1500,
            drain_grace_ms: 2000,
            queue_per_core: 20,
            max_connections_per_host: 0,
            routers_sharing_name: 0,
            system_calls: Vec::new(),
            disconnect_probability: 0.0,
            idle_clients: 0,
            incomplete_requests: 0,
            adaptive_slack: false,
            all_hosts_warming_up: false,
            faults: Vec::new(),
            settings: BTreeMap::new(),
        }
    }
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), TrialError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(TrialError::OutOfBounds { key: key.into(), min, max, value })
}

impl Trial {
    /// Parses and checks a trial from the text of its file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a trial, or if a key is out of bounds; the error names the first
    /// such key.
    ///
    /// ```
    /// use comethitch_lab::trial::Trial;
    /// let error = |text| Trial::read(text).unwrap_err().to_string();
    /// assert_eq!(Trial::read(r#"{"routers": 7}"#).unwrap().routers, 7);
    /// assert!(error(r#"{"router": 7}"#).contains("unknown field `router`"));
    /// let stop = r#"{"faults": [{"at_ms": 1, "trouble": {"stop": {"part": 1, "for_ms": 600001}}}]}"#;
    /// assert!(error(stop).starts_with("faults[0]"));
    /// assert!(error(r#"{"load": 0}"#).starts_with("load"));
    /// ```
    pub fn read(text: &str) -> Result<Trial, TrialError> {
        let trial: Trial = serde_json::from_str(text)?;
        trial.check()?;
        Ok(trial)
    }

    /// Checks that all values are within their bounds: at most 1,000 routers and 4,000 hosts for ten minutes.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first key that is out of bounds.
    pub fn check(&self) -> Result<(), TrialError> {
        self.check_size()?;
        self.check_load()?;
        if self.cores.is_empty() || self.cores.contains(&0) {
            return Err(TrialError::NoCores);
        }
        for (index, fault) in self.faults.iter().enumerate() {
            fault.check(index)?;
        }
        Ok(())
    }

    fn check_size(&self) -> Result<(), TrialError> {
        let hosts = f64::from(self.shards) * f64::from(self.replicas + 1);
        check_range("routers", self.routers.into(), 1.0, 1000.0)?;
        check_range("groups", self.shards.into(), 1.0, 1000.0)?;
        check_range("replicas", self.replicas.into(), 1.0, 600.0)?;
        check_range("groups * (replicas + 1)", hosts, 1.0, 4000.0)?;
        check_range("seconds", self.seconds as f64, 1.0, 600.0)
    }

    fn check_load(&self) -> Result<(), TrialError> {
        check_range("work_ms", self.mean_work_ms, 0.1, 10_000.0)?;
        check_range("load", self.load, 0.01, 3.0)?;
        check_range("skew", self.skew, 0.0, 3.0)?;
        check_range("writes", self.write_fraction, 0.0, 1.0)?;
        check_range("leave", self.disconnect_probability, 0.0, 1.0)?;
        check_range("cold_from", self.initial_capacity, 0.01, 1.0)?;
        check_range("fall_multiple", self.overload_multiple, 1.0, 100.0)?;
        check_range("report_ms", self.report_interval_ms as f64, 1.0, 60_000.0)?;
        check_range("timeout_ms", self.timeout_ms as f64, self.latency_objective_ms as f64, MAX_DURATION_MS)
    }

    /// Returns how hosts behave in slow start.
    pub fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.initial_capacity,
            warmup: Duration::from_millis(self.warmup_ms),
            overload_multiple: self.overload_multiple,
            window: Duration::from_millis(self.overload_window_ms),
            mean_work: Duration::from_micros((self.mean_work_ms * 1e3) as u64),
        }
    }

    /// Draws the rates of the routers' clients, in requests per second. Their reads add up to the trial's
    /// load on this many cores.
    ///
    /// # Errors
    ///
    /// Returns [`TrialError::Skew`] if there is no distribution with the trial's skew.
    pub fn arrival_rates(&self, rng: &mut ChaCha8Rng, cores: f64) -> Result<Vec<f64>, TrialError> {
        let distribution = LogNormal::new(0.0, self.skew).map_err(|_| TrialError::Skew)?;
        let weights: Vec<f64> = (0..self.routers).map(|_| distribution.sample(rng)).collect();
        let total = self.load * cores / (self.mean_work_ms / 1e3) / (1.0 - self.write_fraction).max(0.01);
        let sum: f64 = weights.iter().sum();
        Ok(weights.into_iter().map(|weight| total * weight / sum).collect())
    }

    /// Returns the settings of each router in simulated time.
    ///
    /// # Errors
    ///
    /// Returns an error if the policy rejects the settings.
    pub fn deployment(&self) -> Result<Deployment, TrialError> {
        let Trial { routers, latency_objective_ms, timeout_ms, staleness_bound_ms, .. } = self;
        let text = format!(
            "domain.guards=off\ndomain.tokens=carried\nload_info.names=x0,x1,queue\nsiblings={routers}\n\
             tick_us=5000\npermissions.cancel=true\npermissions.may_probe=true\nprices.probe=0.015\n\
             permissions.second_copies=true\npermissions.max_attempts=6\npermissions.connect_timeout_us=250000\n\
             rules.drain_grace_us={}000\nrules.cold_from={}\nrules.warm_within_us={}000\n\
             rules.fall_multiple={}\nrules.fall_us={}000\nclasses.count=2\ndomain.class_read=bounded,write\n\
             domain.oldest_data_us={staleness_bound_ms}000,0\nclasses.0.effect=repeatable\nclasses.1.effect=once\n\
             classes.0.target_us={latency_objective_ms}000\nclasses.0.deadline_us={timeout_ms}000\nclasses.0.value=1\n\
             classes.1.target_us={latency_objective_ms}000\nclasses.1.deadline_us={timeout_ms}000\nclasses.1.value=2\n",
            self.drain_grace_ms,
            self.initial_capacity,
            self.warmup_ms,
            self.overload_multiple,
            self.overload_window_ms,
        );
        Ok(Deployment::parse(&text)?)
    }
}
