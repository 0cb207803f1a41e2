//! Parses faults of system calls from the settings of `shim/system_calls.c`.

use super::{SystemCallFault, SystemCallFaults};
use std::iter::Peekable;
use std::str::{FromStr, Split};
use thiserror::Error;

/// Why a text cannot be parsed as faults of system calls.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseFaultsError {
    /// A setting that the library does not have, or that is only allowed right after another one.
    #[error("unknown setting of system call faults: {name:?}")]
    UnknownSetting {
        /// Name of the setting.
        name: String,
    },
    /// A setting without a number, or with one out of range.
    #[error("setting of system call faults without a valid number: {setting:?}")]
    InvalidNumber {
        /// The setting.
        setting: String,
    },
    /// A setting that needs a second one right after it.
    #[error("setting of system call faults {name:?} is missing")]
    MissingSetting {
        /// Name of the missing setting.
        name: &'static str,
    },
}

impl TryFrom<String> for SystemCallFaults {
    type Error = ParseFaultsError;

    fn try_from(text: String) -> Result<SystemCallFaults, ParseFaultsError> {
        text.parse()
    }
}

impl FromStr for SystemCallFaults {
    type Err = ParseFaultsError;

    fn from_str(text: &str) -> Result<SystemCallFaults, ParseFaultsError> {
        let mut faults = SystemCallFaults::default();
        let mut settings = Settings { remaining: text.split(',').peekable() };
        while let Some(setting) = settings.remaining.next() {
            match setting.split_once('=') {
                None if setting.is_empty() => {}
                Some(("seed", _)) => faults.seed = Some(number(setting)?),
                _ => faults.faults.push(settings.fault(setting)?),
            }
        }
        Ok(faults)
    }
}

/// The settings that are not parsed yet, each `name=number`.
struct Settings<'a> {
    remaining: Peekable<Split<'a, char>>,
}

impl Settings<'_> {
    /// Parses a fault from its setting, and from the next one if the fault has two settings.
    fn fault(&mut self, setting: &str) -> Result<SystemCallFault, ParseFaultsError> {
        let name = setting.split('=').next().unwrap_or_default();
        Ok(match name {
            "interrupt" => SystemCallFault::InterruptedTransfers { one_in: number(setting)? },
            "short" => SystemCallFault::ShortTransfers { max_bytes: number(setting)? },
            "socket" => SystemCallFault::FailedSockets { one_in: number(setting)? },
            "socket_first" => SystemCallFault::FailedFirstSockets { count: number(setting)? },
            "accept" => SystemCallFault::FailedAccepts { one_in: number(setting)? },
            "connect" => SystemCallFault::FailedConnects { one_in: number(setting)? },
            "wait" => SystemCallFault::InterruptedWaits { one_in: number(setting)? },
            "hold" => SystemCallFault::DelayedWrites {
                one_in: number(setting)?,
                delay_ms: self.required("hold_ms")?,
            },
            "stderr" => SystemCallFault::FailedLogWrites { one_in: number(setting)? },
            "wall_ms" => SystemCallFault::WrongWallClock {
                offset_ms: number(setting)?,
                corrected_after_ms: self.optional("mend_ms")?,
            },
            "step_ms" => SystemCallFault::SteppedWallClock {
                step_ms: number(setting)?,
                interval_ms: self.required("step_every_ms")?,
            },
            "share" => SystemCallFault::LimitedProcessor { one_in: number(setting)? },
            "from_ms" => SystemCallFault::From { ms: number(setting)? },
            "until_ms" => SystemCallFault::Until { ms: number(setting)? },
            _ => return Err(ParseFaultsError::UnknownSetting { name: name.into() }),
        })
    }

    /// Parses the next setting if it has this name.
    fn optional(&mut self, name: &str) -> Result<Option<u32>, ParseFaultsError> {
        let is_named = |setting: &&str| setting.split_once('=').is_some_and(|(key, _)| key == name);
        self.remaining.next_if(is_named).map(number).transpose()
    }

    /// Parses the next setting, which must have this name.
    fn required(&mut self, name: &'static str) -> Result<u32, ParseFaultsError> {
        self.optional(name)?.ok_or(ParseFaultsError::MissingSetting { name })
    }
}

fn number<T: FromStr>(setting: &str) -> Result<T, ParseFaultsError> {
    let number = setting.split_once('=').and_then(|(_, number)| number.parse().ok());
    number.ok_or_else(|| ParseFaultsError::InvalidNumber { setting: setting.into() })
}
