//! The simulator's adapter: reads the text protocol from standard input, runs one dispatcher for each instance named in it,
//! and writes the replies to standard output.

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("indigofold-sim-adapter: {info}")));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("indigofold-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut session = indigofold::wire::Session::new();
    let mut input = std::io::BufReader::with_capacity(1 << 16, std::io::stdin().lock());
    let mut output = std::io::stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(session.finish()?);
        }
        let reply = session.feed(line.trim_end_matches('\n'));
        for warning in session.take_warnings() {
            eprintln!("indigofold-sim-adapter: {warning}");
        }
        if let Some(reply) = reply? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}
