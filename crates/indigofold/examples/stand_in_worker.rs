//! A minimal peer to try the program with: a discovery service that lists one machine, and that machine's job worker, in one
//! process.
//!
//!     cargo run --example stand_in_worker                                      (in one terminal)
//!     GW_CONFIG=examples/config.json cargo run                     (in another)
//!     curl -i -d '' -H 'X-Trace-Id: a-1' http://127.0.0.1:8443/reserve/kit-7
//!
//! The job worker accepts each job, reports its start, waits for a tenth of a second and reports its result.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

const SCHEDULER: &str = "127.0.0.1:8443";
const DISCOVERY: &str = "127.0.0.1:8500";
const WORKER: &str = "127.0.0.1:9001";

/// Reads one request including its body. Returns the request line and the job id; `None` at the end of the connection.
fn read_request(from: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut request_line, mut trace, mut length) = (String::new(), String::new(), 0);
    from.read_line(&mut request_line).ok().filter(|n| *n > 0)?;
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("X-Trace-Id") => {
                trace = value.to_string();
            }
            Some((name, value)) if name.eq_ignore_ascii_case("Content-Length") => {
                length = value.parse().ok()?;
            }
            Some(_) => {}
            None => break,
        }
    }
    from.read_exact(&mut vec![0; length]).ok()?;
    Some((request_line, trace))
}

fn answer(to: &mut TcpStream, status: &str, body: &str) {
    let _ = write!(
        to,
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
}

/// Serves each connection in a thread of its own.
fn serve(address: &str, handler: fn(String, String, &mut TcpStream)) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
    for stream in listener.incoming().flatten() {
        spawn(move || {
            let Ok(mut to) = stream.try_clone() else {
                return;
            };
            let mut from = BufReader::new(stream);
            while let Some((request_line, trace)) = read_request(&mut from) {
                handler(request_line, trace, &mut to);
            }
        });
    }
}

/// Answers a call for the machine list. The list never changes, so a call for changes waits and returns none.
fn discovery(request_line: String, _: String, to: &mut TcpStream) {
    if let Some(wait) = request_line
        .split("wait=")
        .nth(1)
        .and_then(|w| w.split(' ').next()?.parse().ok())
    {
        sleep(Duration::from_millis(wait));
        return answer(to, "200 OK", r#"{"seq":1,"whole":false,"hosts":[]}"#);
    }
    let host = r#"{"host":"toy-1","site":"north","class":"big","block":0,"health":"Ready","share":1.0,"born_ms":0"#;
    answer(
        to,
        "200 OK",
        &format!(r#"{{"seq":1,"whole":true,"hosts":[{host},"dial":"{WORKER}"}}]}}"#),
    );
}

fn worker(request_line: String, trace: String, to: &mut TcpStream) {
    if !request_line.starts_with("POST ") {
        return answer(to, "404 Not Found", "");
    }
    println!("{trace}: {}", request_line.trim_end());
    answer(to, "202 Accepted", "");
    spawn(move || {
        report(&trace, r#""state":"started""#);
        sleep(Duration::from_millis(100));
        report(&trace, r#""state":"done","result":"one kit held\n""#);
    });
}

fn report(trace: &str, state: &str) {
    let body = format!(r#"{{"id":"{trace}","from":"toy-1",{state}}}"#);
    let head = format!(
        "POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let sent = TcpStream::connect(SCHEDULER).and_then(|mut link| {
        link.write_all((head + &body).as_bytes())?;
        link.read_to_end(&mut Vec::new())
    });
    if let Err(error) = sent {
        println!("{trace}: the report to {SCHEDULER} failed: {error}");
    }
}

fn main() {
    println!("discovery at {DISCOVERY}, a job worker at {WORKER}");
    spawn(|| serve(DISCOVERY, discovery));
    serve(WORKER, worker);
}
