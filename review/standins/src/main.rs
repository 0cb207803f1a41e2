//! Runs one case: `standins CASE RECORD`. Ends with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. With `TROUBLE=0` in the environment, nothing is disrupted.

mod common;
mod foreign;
mod shutdown;
mod stale;

use common::Record;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, path) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = Record::create(&path).and_then(|record| {
        record.line(&format!("case {case}, trouble: {trouble}"));
        let kept = match case.as_str() {
            "foreign" => foreign::run(&record, trouble),
            "stale" => stale::run(&record, trouble),
            "shutdown" => shutdown::run(&record, trouble),
            _ => Err(std::io::Error::other("unknown case")),
        };
        if let Ok(kept) = kept {
            record.say(if kept { "the rule held" } else { "the rule was broken" });
        }
        kept
    });
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    });
}
