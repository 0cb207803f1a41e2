//! What is tried: a fleet, its load and its faults, from a JSON file.

use crate::hosts::Cold;
use comethitch_policy::Deployment;
use comethitch_policy::time::Duration;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Who decides where commands go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The decision module, one for each router.
    #[default]
    Module,
    /// A baseline: each read goes to any usable replica, drawn by the power that it truly has at that moment, with no
    /// probes, rooms or further dispatches.
    Perfect,
}

/// Something that goes wrong, or is done, at a time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// So large a part of the replicas is drained and replaced by cold ones, over so many milliseconds.
    Release { part: f64, over_ms: u64 },
    /// So large a part of the routers is killed at once, and starts anew after so long, knowing only the list.
    Herd { part: f64, back_ms: u64 },
    /// So large a part of the hosts becomes slower by this factor.
    Slow { part: f64, factor: f64 },
    /// For so long nothing reaches the logs of so large a part of each group's replicas; then they are level again at once.
    Stall { part: f64, for_ms: u64 },
    /// The primaries of so large a part of the groups die at once; so long after, a replica of each leads in its place.
    Takeover { part: f64, after_ms: u64 },
    /// So large a part of the routers stands still (SIGSTOP) for so long. Real processes alone.
    Stop { part: f64, for_ms: u64 },
    /// For so long, something is wrong with the links between parts of the routers and of the hosts. Routers cut off
    /// both ways hear of changes of the list only afterwards. Real processes alone.
    Links { routers: f64, hosts: f64, way: Way, harm: Harm, for_ms: u64 },
}

/// Which direction of a link is harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    Both,
    ToHosts,
    ToRouters,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Harm {
    /// Nothing passes, and nobody is told.
    Cut,
    /// Each message comes so much later.
    DelayMs(u64),
    /// This part of the messages ends in a broken connection.
    Reset(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_ms: u64,
    pub trouble: Trouble,
}

/// A trial. What is left out of the file is as in [`Trial::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Trial {
    pub seed: u64,
    pub routing: Routing,
    pub routers: u16,
    pub groups: u16,
    /// In each group, beside its primary.
    pub replicas: u16,
    pub seconds: u64,
    /// Cores of the hosts, dealt out in turn.
    pub cores: Vec<u16>,
    /// What a command takes on one core, on the mean.
    pub work_ms: f64,
    /// The part of all replicas' cores that the reads take on the mean.
    pub load: f64,
    /// How unequal routers' traffic is: the standard deviation of its logarithm.
    pub skew: f64,
    /// The part of commands that write.
    pub writes: f64,
    pub target_ms: u64,
    pub timeout_ms: u64,
    /// How old data may be that a read is answered from.
    pub bound_ms: u64,
    /// How far replicas are behind, and how often hosts renew what they report.
    pub lag_ms: u64,
    pub report_ms: u64,
    /// One way between routers and hosts.
    pub net_us: u64,
    /// Of a host that has just started: the part of its power that it has, how long it takes to have all, and how
    /// many times what it can do, sent for how long, pushes it over.
    pub cold_from: f64,
    pub warm_within_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub drain_grace_ms: u64,
    /// How many commands may wait at a host for each of its cores.
    pub queue_per_core: u16,
    /// How many connections a host holds, 0 for any number; more are turned away. Real processes alone.
    pub slots: u32,
    /// So many routers have one name, and one seed for what they draw. Real processes alone.
    pub namesakes: u16,
    /// Whether all hosts have just started as the trial begins.
    pub all_cold: bool,
    pub faults: Vec<Fault>,
    /// Keys of the routers' settings that are other than the trial's own: with a defence out, say. Real processes alone.
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
            all_cold: false,
            faults: Vec::new(),
            settings: BTreeMap::new(),
        }
    }
}

impl Trial {
    /// Reads a file's text. The error names the key.
    ///
    /// ```
    /// use comethitch_lab::trial::Trial;
    /// assert_eq!(Trial::read(r#"{"routers": 7}"#).unwrap().routers, 7);
    /// assert!(Trial::read(r#"{"router": 7}"#).unwrap_err().contains("unknown field `router`"));
    /// let stop = r#"{"faults": [{"at_ms": 1, "trouble": {"stop": {"part": 1, "for_ms": 600001}}}]}"#;
    /// assert!(Trial::read(stop).unwrap_err().starts_with("faults[0]"));
    /// assert!(Trial::read(r#"{"load": 0}"#).unwrap_err().starts_with("load"));
    /// ```
    pub fn read(text: &str) -> Result<Trial, String> {
        let trial: Trial = serde_json::from_str(text).map_err(|error| error.to_string())?;
        trial.check()?;
        Ok(trial)
    }

    /// Bounds: a trial of 1,000 routers before 1,000 hosts for ten minutes is the largest.
    pub fn check(&self) -> Result<(), String> {
        let within = |key: &str, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
            true => Ok(()),
            false => Err(format!("{key} must be from {least} to {most}, not {value}")),
        };
        within("routers", self.routers.into(), 1.0, 1000.0)?;
        within("groups", self.groups.into(), 1.0, 100.0)?;
        within("replicas", self.replicas.into(), 1.0, 200.0)?;
        within(
            "groups * (replicas + 1)",
            f64::from(self.groups) * f64::from(self.replicas + 1),
            1.0,
            1000.0,
        )?;
        within("seconds", self.seconds as f64, 1.0, 600.0)?;
        within("work_ms", self.work_ms, 0.1, 10_000.0)?;
        within("load", self.load, 0.01, 3.0)?;
        within("skew", self.skew, 0.0, 3.0)?;
        within("writes", self.writes, 0.0, 1.0)?;
        within("cold_from", self.cold_from, 0.01, 1.0)?;
        within("fall_multiple", self.fall_multiple, 1.0, 100.0)?;
        within("report_ms", self.report_ms as f64, 1.0, 60_000.0)?;
        within("timeout_ms", self.timeout_ms as f64, self.target_ms as f64, 600_000.0)?;
        if self.cores.is_empty() || self.cores.contains(&0) {
            return Err("cores must name at least one number of cores, none of them 0".into());
        }
        for (nth, fault) in self.faults.iter().enumerate() {
            // Ten minutes, as long as a trial may be.
            let lasts = match fault.trouble {
                Trouble::Release { over_ms: ms, .. }
                | Trouble::Herd { back_ms: ms, .. }
                | Trouble::Takeover { after_ms: ms, .. }
                | Trouble::Stop { for_ms: ms, .. }
                | Trouble::Stall { for_ms: ms, .. }
                | Trouble::Links { for_ms: ms, .. } => ms,
                Trouble::Slow { .. } => 0,
            };
            within(&format!("faults[{nth}].at_ms"), fault.at_ms as f64, 0.0, 600_000.0)?;
            within(&format!("faults[{nth}]: its span in ms"), lasts as f64, 0.0, 600_000.0)?;
            match fault.trouble {
                Trouble::Release { part, .. }
                | Trouble::Herd { part, .. }
                | Trouble::Slow { part, .. }
                | Trouble::Stall { part, .. }
                | Trouble::Takeover { part, .. }
                | Trouble::Stop { part, .. } => within(&format!("faults[{nth}].part"), part, 0.0, 1.0)?,
                Trouble::Links { routers, hosts, harm, .. } => {
                    within(&format!("faults[{nth}].routers"), routers, 0.0, 1.0)?;
                    within(&format!("faults[{nth}].hosts"), hosts, 0.0, 1.0)?;
                    match harm {
                        Harm::Reset(part) => within(&format!("faults[{nth}].harm.reset"), part, 0.0, 1.0)?,
                        Harm::DelayMs(ms) => {
                            within(&format!("faults[{nth}].harm.delay_ms"), ms as f64, 0.0, 60_000.0)?;
                        }
                        Harm::Cut => {}
                    }
                }
            }
        }
        Ok(())
    }

    /// What is told of hosts that have just started.
    pub fn cold(&self) -> Cold {
        Cold {
            from: self.cold_from,
            within: Duration::from_millis(self.warm_within_ms),
            multiple: self.fall_multiple,
            span: Duration::from_millis(self.fall_ms),
            work: Duration::from_micros((self.work_ms * 1e3) as u64),
        }
    }

    /// Commands a second of each router's own clients: unequal, and together the load that the trial names.
    pub fn rates(&self, rng: &mut ChaCha8Rng, cores: f64) -> Result<Vec<f64>, String> {
        let unequal = LogNormal::new(0.0, self.skew).map_err(|_| "skew is unusable")?;
        let shares: Vec<f64> = (0..self.routers).map(|_| unequal.sample(rng)).collect();
        let all = self.load * cores / (self.work_ms / 1e3) / (1.0 - self.writes).max(0.01);
        let sum: f64 = shares.iter().sum();
        Ok(shares.into_iter().map(|share| all * share / sum).collect())
    }

    /// What each router is told at its start.
    pub fn deployment(&self) -> Result<Deployment, String> {
        let Trial { routers, target_ms, timeout_ms, bound_ms, .. } = self;
        Deployment::read(&format!(
            "domain.guards=off\ndomain.tokens=carried\nload_info.names=x0,x1,queue\nsiblings={routers}\n\
             tick_us=5000\npermissions.cancel=true\npermissions.may_probe=true\nprices.probe=0.015\n\
             permissions.second_copies=true\npermissions.max_attempts=6\npermissions.connect_timeout_us=250000\n\
             rules.drain_grace_us={}000\nrules.cold_from={}\nrules.warm_within_us={}000\n\
             rules.fall_multiple={}\nrules.fall_us={}000\nclasses.count=2\ndomain.class_read=bounded,write\n\
             domain.oldest_data_us={bound_ms}000,0\nclasses.0.effect=repeatable\nclasses.1.effect=once\n\
             classes.0.target_us={target_ms}000\nclasses.0.deadline_us={timeout_ms}000\nclasses.0.value=1\n\
             classes.1.target_us={target_ms}000\nclasses.1.deadline_us={timeout_ms}000\nclasses.1.value=2\n",
            self.drain_grace_ms, self.cold_from, self.warm_within_ms, self.fall_multiple, self.fall_ms,
        ))
        .map_err(|error| error.to_string())
    }
}
