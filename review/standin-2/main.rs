//! Stand-ins and checks of the second review. Usage: `standin CASE RECORD`, from the project's root; `TROUBLE=0` leaves
//! the disruption out. Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

mod cluster;
mod doubled;
mod http;
mod json;
mod pending;
mod record;
mod reserved;
mod setup;
mod starved;
mod worker;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.write(&format!("case {case}, trouble {has_trouble}"));
    let outcome = match case.as_str() {
        "starved" => starved::run(&record, has_trouble),
        "reserved" => reserved::run(&record, has_trouble),
        "doubled" => doubled::run(&record, has_trouble),
        "pending" => pending::run(&record, has_trouble),
        _ => Outcome::NotRun(format!("no case {case}")),
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken(what) => (format!("the rule was broken: {what}"), 1),
        Outcome::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.write(&text);
    println!("{text}");
    ExitCode::from(code)
}
