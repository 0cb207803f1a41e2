mod cancelled;
mod endless;
mod flood;
mod gone;
mod told;

use crate::{Setting, Verdict};
use std::io;

pub fn run(name: &str, setting: &Setting<'_>) -> io::Result<Verdict> {
    match name {
        "cancelled" => cancelled::run(setting),
        "endless" => endless::run(setting),
        "flood" => flood::run(setting),
        "gone" => gone::run(setting),
        "told" => told::run(setting),
        _ => Err(io::Error::other(format!("no case {name}"))),
    }
}
