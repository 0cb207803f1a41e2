mod cancelled;
mod crowd;
mod endless;
mod flood;
mod told;

use crate::{Setting, Verdict};
use std::io;

pub fn run(name: &str, setting: &Setting<'_>) -> io::Result<Verdict> {
    match name {
        "cancelled" => cancelled::run(setting),
        "crowd" => crowd::run(setting),
        "endless" => endless::run(setting),
        "flood" => flood::run(setting),
        "told" => told::run(setting),
        _ => Err(io::Error::other(format!("no case {name}"))),
    }
}
