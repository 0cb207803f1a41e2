//! Trials: a fleet, its load and its faults, as read from a JSON file.
//!
//! The words of the file are a stable format: types and fields whose names differ here carry the file's word in a
//! `serde` attribute.

mod faults;

use crate::hosts::ColdStart;
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

/// The longest that a trial, or a fault of it, may take, in milliseconds.
const LONGEST_MS: f64 = 600_000.0;

/// Why a trial is unusable.
#[derive(Debug, Error)]
pub enum TrialError {
    /// Not the JSON of a trial.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A number that is not within its bounds.
    #[error("{key} must be from {least} to {most}, not {value}")]
    OutOfBounds {
        /// The key in the file.
        key: String,
        /// The least allowed value.
        least: f64,
        /// The greatest allowed value.
        most: f64,
        /// The value in the file.
        value: f64,
    },
    /// Hosts without cores.
    #[error("cores must name at least one number of cores, none of them 0")]
    NoCores,
    /// The distribution of traffic over routers does not exist.
    #[error("skew is unusable")]
    Skew,
    /// The routers' settings are refused.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
}

/// Who selects hosts for requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The decision module, one for each router.
    #[default]
    Module,
    /// A baseline: each read goes to any usable replica, drawn by the capacity that it truly has at that moment, with
    /// no health checks, concurrency limits or retries.
    Perfect,
}

/// A trial. What is left out of the file is as in [`Trial::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Trial {
    /// The seed of all random draws.
    pub seed: u64,
    /// Who selects hosts.
    pub routing: Routing,
    /// How many routers.
    pub routers: u16,
    /// How many shards (shards).
    pub groups: u16,
    /// Replicas in each group, beside its primary.
    pub replicas: u16,
    /// How long clients send requests.
    pub seconds: u64,
    /// Cores of the hosts, dealt out in turn.
    pub cores: Vec<u16>,
    /// The mean time of a request on one core.
    pub work_ms: f64,
    /// The mean part of all replicas' cores that the reads take.
    pub load: f64,
    /// How unequal routers' traffic is: the standard deviation of its logarithm.
    pub skew: f64,
    /// The part of requests that write.
    pub writes: f64,
    /// The latency objective.
    pub target_ms: u64,
    /// The clients' timeout.
    pub timeout_ms: u64,
    /// The bound on the staleness of reads.
    pub bound_ms: u64,
    /// The replication lag of replicas.
    pub lag_ms: u64,
    /// How often hosts renew their report.
    pub report_ms: u64,
    /// The mean network delay between routers and hosts, one way, in microseconds.
    pub net_us: u64,
    /// The part of its capacity that a host has as it starts.
    pub cold_from: f64,
    /// How long a host takes to reach its full capacity.
    pub warm_within_ms: u64,
    /// A warming host crashes when it is sent more than this multiple of what it can serve within `fall_ms`.
    pub fall_multiple: f64,
    /// The window of that count.
    pub fall_ms: u64,
    /// How long a router may still send to a host after it was notified that the host drains.
    pub drain_grace_ms: u64,
    /// How many requests may wait at a host for each of its cores.
    pub queue_per_core: u16,
    /// How many connections a host accepts, 0 for any number; more are rejected. Real processes alone.
    pub slots: u32,
    /// How many routers share one name and one random seed. Real processes alone.
    pub namesakes: u16,
    /// Settings of failing system calls (`shim/system_calls.c` lists them), dealt out to the routers in turn; an empty
    /// one leaves a router its own calls. Real processes alone.
    pub system_calls: Vec<String>,
    /// The part of requests whose client closes its connection before it has the answer. Real processes alone.
    pub leave: f64,
    /// How many clients connect to each router at once, in the middle of the trial, and rest until it ends them. Real
    /// processes alone.
    pub crowd: u16,
    /// How many clients send a part of a request and stay, over the trial. Real processes alone.
    pub stalled_clients: u16,
    /// Whether time limits are as close as the lab itself is punctual, in place of a fixed slack. Real processes alone.
    pub sharp: bool,
    /// Whether all hosts have just started as the trial begins.
    pub all_cold: bool,
    /// What goes wrong, or is done, and when.
    pub faults: Vec<Fault>,
    /// Settings of the routers that replace the trial's own, to turn a defence off for example. Real processes alone.
    pub settings: BTreeMap<String, Value>,
}

impl Default for Trial {
    fn default() -> Trial {
        Trial {
            seed: 1,
            routing: Routing::Module,
            routers: 30,
            groups: 2,
            replicas: 12,
            seconds: 20,
            cores: vec![4, 4, 6],
            work_ms: 40.0,
            load: 0.5,
            skew: 0.8,
            writes: 0.05,
            target_ms: 400,
            timeout_ms: 1200,
            bound_ms: 3000,
            lag_ms: 20,
            report_ms: 100,
            net_us: 250,
            cold_from: 0.2,
            warm_within_ms: 10_000,
            fall_multiple: 2.5,
            fall_ms: 1500,
            drain_grace_ms: 2000,
            queue_per_core: 20,
            slots: 0,
            namesakes: 0,
            system_calls: Vec::new(),
            leave: 0.0,
            crowd: 0,
            stalled_clients: 0,
            sharp: false,
            all_cold: false,
            faults: Vec::new(),
            settings: BTreeMap::new(),
        }
    }
}

fn check_range(key: &str, value: f64, least: f64, most: f64) -> Result<(), TrialError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(TrialError::OutOfBounds { key: key.into(), least, most, value })
}

impl Trial {
    /// Reads the text of a trial's file.
    ///
    /// # Errors
    /// Text that is no trial, or a key out of bounds, which the error names.
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

    /// Checks all bounds: a trial of 1,000 routers and 4,000 hosts for ten minutes is the largest.
    ///
    /// # Errors
    /// The first key that is out of bounds.
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
        let hosts = f64::from(self.groups) * f64::from(self.replicas + 1);
        check_range("routers", self.routers.into(), 1.0, 1000.0)?;
        check_range("groups", self.groups.into(), 1.0, 1000.0)?;
        check_range("replicas", self.replicas.into(), 1.0, 600.0)?;
        check_range("groups * (replicas + 1)", hosts, 1.0, 4000.0)?;
        check_range("seconds", self.seconds as f64, 1.0, 600.0)
    }

    fn check_load(&self) -> Result<(), TrialError> {
        check_range("work_ms", self.work_ms, 0.1, 10_000.0)?;
        check_range("load", self.load, 0.01, 3.0)?;
        check_range("skew", self.skew, 0.0, 3.0)?;
        check_range("writes", self.writes, 0.0, 1.0)?;
        check_range("leave", self.leave, 0.0, 1.0)?;
        check_range("cold_from", self.cold_from, 0.01, 1.0)?;
        check_range("fall_multiple", self.fall_multiple, 1.0, 100.0)?;
        check_range("report_ms", self.report_ms as f64, 1.0, 60_000.0)?;
        check_range("timeout_ms", self.timeout_ms as f64, self.target_ms as f64, LONGEST_MS)
    }

    /// How hosts that have just started behave.
    pub fn cold_start(&self) -> ColdStart {
        ColdStart {
            initial_capacity: self.cold_from,
            warmup: Duration::from_millis(self.warm_within_ms),
            overload_multiple: self.fall_multiple,
            window: Duration::from_millis(self.fall_ms),
            mean_work: Duration::from_micros((self.work_ms * 1e3) as u64),
        }
    }

    /// Requests a second from each router's own clients: unequal, and together the trial's load on this many cores.
    ///
    /// # Errors
    /// A skew that no distribution has.
    pub fn arrival_rates(&self, rng: &mut ChaCha8Rng, cores: f64) -> Result<Vec<f64>, TrialError> {
        let distribution = LogNormal::new(0.0, self.skew).map_err(|_| TrialError::Skew)?;
        let shares: Vec<f64> = (0..self.routers).map(|_| distribution.sample(rng)).collect();
        let total = self.load * cores / (self.work_ms / 1e3) / (1.0 - self.writes).max(0.01);
        let sum: f64 = shares.iter().sum();
        Ok(shares.into_iter().map(|share| total * share / sum).collect())
    }

    /// The settings of each router.
    ///
    /// # Errors
    /// Settings that the decision module refuses.
    pub fn deployment(&self) -> Result<Deployment, TrialError> {
        let Trial { routers, target_ms, timeout_ms, bound_ms, .. } = self;
        let text = format!(
            "domain.guards=off\ndomain.tokens=carried\nload_info.names=x0,x1,queue\nsiblings={routers}\n\
             tick_us=5000\npermissions.cancel=true\npermissions.may_probe=true\nprices.probe=0.015\n\
             permissions.second_copies=true\npermissions.max_attempts=6\npermissions.connect_timeout_us=250000\n\
             rules.drain_grace_us={}000\nrules.cold_from={}\nrules.warm_within_us={}000\n\
             rules.fall_multiple={}\nrules.fall_us={}000\nclasses.count=2\ndomain.class_read=bounded,write\n\
             domain.oldest_data_us={bound_ms}000,0\nclasses.0.effect=repeatable\nclasses.1.effect=once\n\
             classes.0.target_us={target_ms}000\nclasses.0.deadline_us={timeout_ms}000\nclasses.0.value=1\n\
             classes.1.target_us={target_ms}000\nclasses.1.deadline_us={timeout_ms}000\nclasses.1.value=2\n",
            self.drain_grace_ms, self.cold_from, self.warm_within_ms, self.fall_multiple, self.fall_ms,
        );
        Ok(Deployment::read(&text)?)
    }
}
