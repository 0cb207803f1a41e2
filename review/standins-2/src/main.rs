//! The stand-ins of the second review's cases: `case NAME ROOT FOLDER` runs one case and writes `record.txt`
//! into its folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod client;
mod discovery;
mod guard;
mod host;
mod record;
mod router;
mod wire;

use record::Record;
use std::io;
use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// A case that takes longer than this couldn't run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// What every case is given.
pub struct Setting<'a> {
    pub root: &'a Path,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|argument| argument == "guard") {
        return guard::run();
    }
    let [_, name, root, folder] = &arguments[..] else {
        eprintln!("usage: case NAME ROOT FOLDER");
        exit(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setting = Setting { root: Path::new(root), record: record.clone(), trouble };
    if let Err(error) = guard::start() {
        record.say(format!("the guard: {error}"));
        exit(2);
    }
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        guard::finish();
        eprintln!("the case took too long");
        exit(2);
    });
    record.line(format!("case {name}, disruption: {trouble}"));
    let verdict: io::Result<Verdict> = cases::run(name, &setting);
    let code = match verdict {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            1
        }
        Err(error) => {
            record.say(format!("the case couldn't run: {error}"));
            2
        }
    };
    record.flush();
    guard::finish();
    exit(code);
}
