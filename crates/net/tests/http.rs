//! Tests of the HTTP server over loopback sockets.

use indigofold_net::http::{HttpOptions, HttpRequest, HttpResponse, HttpServer, serve};
use indigofold_net::runtime;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Time limit for responses, reached only if the test fails.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the loopback address with port 0, which selects a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Handler that returns the request's method, host, path and body.
async fn echo(request: HttpRequest) -> HttpResponse {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    HttpResponse::json(
        200,
        format!(
            "{} {} {} {body}",
            request.method, request.host, request.path
        ),
    )
}

/// Runs a client on a separate thread against a server that echoes, and returns the client's result.
fn with_server<T: Send + 'static>(
    options: HttpOptions,
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    with_running_server(
        options,
        move |address, _| client(address),
        |_| std::future::pending(),
    )
}

/// Like [`with_server`], with an additional task that receives the server's handle. The client starts this task through
/// the channel that it receives.
fn with_running_server<T, F>(
    options: HttpOptions,
    client: impl FnOnce(SocketAddr, futures_channel::oneshot::Sender<()>) -> T + Send + 'static,
    server_task: impl FnOnce(HttpServer) -> F + 'static,
) -> T
where
    T: Send + 'static,
    F: Future<Output = ()> + 'static,
{
    runtime::run(async move {
        let server = serve(loopback(), options, echo)
            .await
            .expect("the server listens on loopback");
        let address = server.local_address();
        let (start, started) = futures_channel::oneshot::channel();
        let (done, finished) = futures_channel::oneshot::channel();
        let client = thread::spawn(move || {
            let result = client(address, start);
            let _ = done.send(());
            result
        });
        runtime::spawn(async move {
            if started.await.is_ok() {
                server_task(server).await;
            }
        });
        let _ = finished.await;
        client.join().expect("the client does not panic")
    })
    .expect("the runtime starts")
}

/// Opens a connection to the server.
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a read timeout can be set");
    stream
}

/// Reads one response: its head in lower case, and the body of the length that the head announces.
fn read_response(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"\r\n\r\n") {
        stream
            .read_exact(&mut byte)
            .expect("a response is received");
        response.push(byte[0]);
    }
    let head = String::from_utf8(response)
        .expect("the head is text")
        .to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|field| field.strip_prefix("content-length: "));
    let mut body = vec![
        0;
        length.map_or(0, |length| length
            .trim()
            .parse()
            .expect("content-length is a number"))
    ];
    stream.read_exact(&mut body).expect("the body is received");
    head + &String::from_utf8(body).expect("the body is text")
}

/// Sends `request` on a new connection and returns all bytes received until the server closes it.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = connect(address);
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("the server closes the connection");
    response
}

/// Handler that returns the number of the request's connection.
async fn connection_number(request: HttpRequest) -> HttpResponse {
    HttpResponse::json(200, request.connection.0.to_string())
}

#[test]
fn requests_name_their_connection() {
    let client = |address| {
        let number = |stream: &mut TcpStream| {
            stream
                .write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                .expect("the connection is open");
            let response = read_response(stream);
            let (_, number) = response.split_once("\r\n\r\n").expect("a body");
            number.to_owned()
        };
        let (mut first, mut second) = (connect(address), connect(address));
        let numbers = [number(&mut first), number(&mut second), number(&mut first)];
        assert_eq!(numbers[0], numbers[2]);
        assert_ne!(numbers[0], numbers[1]);
    };
    runtime::run(async move {
        let server = serve(loopback(), HttpOptions::default(), connection_number)
            .await
            .expect("the server listens on loopback");
        let address = server.local_address();
        let (done, finished) = futures_channel::oneshot::channel();
        let client = thread::spawn(move || {
            client(address);
            let _ = done.send(());
        });
        let _ = finished.await;
        client.join().expect("the client does not panic");
    })
    .expect("the runtime starts");
}

#[test]
fn requests_of_one_connection_are_answered_in_order() {
    with_server(HttpOptions::default(), |address| {
        let mut stream = connect(address);
        for path in ["/a", "/b?x=1"] {
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: Ficu.example:80\r\nContent-Length: 2\r\n\r\nhi"
            );
            stream
                .write_all(request.as_bytes())
                .expect("the connection is open");
            let response = read_response(&mut stream);
            let path = path.trim_end_matches("?x=1");
            assert!(response.starts_with("http/1.1 200"), "{response}");
            assert!(
                response.ends_with(&format!("POST ficu.example {path} hi")),
                "{response}"
            );
            assert!(
                response.contains("content-type: application/json"),
                "{response}"
            );
        }
    });
}

#[rstest]
#[case::no_http("nonsense\r\n\r\n", "400")]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
    "400"
)]
#[case::long_body(
    "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 9\r\n\r\n123456789",
    "413"
)]
#[case::long_chunk(
    "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n",
    "413"
)]
#[case::long_body_announced(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\nExpect: 100-continue\r\n\r\n",
    "413"
)]
fn invalid_requests_are_rejected(#[case] request: &'static str, #[case] status: &'static str) {
    let options = HttpOptions {
        max_body_bytes: 8,
        ..HttpOptions::default()
    };
    let response = with_server(options, move |address| exchange(address, request));
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{response}"
    );
}

#[test]
fn a_head_above_the_limit_is_rejected() {
    let request = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    let response = with_server(HttpOptions::default(), move |address| {
        exchange(address, &request)
    });
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
}

/// The head has 1,000 bytes. The HTTP library's own limit is at least 8,192 bytes, so the server must enforce the exact
/// limit itself.
#[rstest]
#[case::at_the_limit(1_000, "200")]
#[case::above_the_limit(999, "431")]
fn the_limit_of_a_head_is_exact(#[case] max_header_bytes: usize, #[case] status: &'static str) {
    let fixed = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX: \r\n";
    let padding = "x".repeat(1_000 - fixed.len());
    let request = format!("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX: {padding}\r\n\r\n");
    let options = HttpOptions {
        max_header_bytes,
        ..HttpOptions::default()
    };
    let response = with_server(options, move |address| exchange(address, &request));
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{response}"
    );
}

#[rstest]
#[case::idle("")]
#[case::within_the_head("GET / HTTP/1.1\r\nHo")]
#[case::within_the_body("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n123")]
fn a_connection_beyond_a_time_limit_is_closed(#[case] request: &'static str) {
    let time_limit = Duration::from_millis(50);
    let options = HttpOptions {
        header_timeout: time_limit,
        idle_timeout: time_limit,
        ..HttpOptions::default()
    };
    let response = with_server(options, move |address| exchange(address, request));
    assert_eq!(response, "");
}

#[test]
fn a_request_sent_during_the_shutdown_is_served() {
    let idle_grace = Duration::from_secs(1);
    let request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    with_running_server(
        HttpOptions::default(),
        move |address, begin_shutdown| {
            let (mut first, mut second) = (connect(address), connect(address));
            first.write_all(request).expect("the connection is open");
            assert!(!read_response(&mut first).contains("connection: close"));
            begin_shutdown.send(()).expect("the server runs");
            // The shutdown has begun once a response announces the end of its connection.
            while !{
                let mut other = connect(address);
                other.write_all(request).expect("the connection is open");
                read_response(&mut other).contains("connection: close")
            } {}
            first
                .write_all(request)
                .expect("the connection is still open");
            assert!(read_response(&mut first).contains("connection: close"));
            assert_eq!(
                first
                    .read(&mut [0])
                    .expect("the server closes the connection"),
                0
            );
            assert_eq!(
                second
                    .read(&mut [0])
                    .expect("the server closes the idle connection"),
                0
            );
        },
        move |server| async move {
            server.shutdown(idle_grace, TIMEOUT).await;
            assert_eq!(server.open_connections(), 0);
        },
    );
}
