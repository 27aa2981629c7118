//! The command `shares`, against a stand-in for an instance's page.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

const PAGE: &str = r#"[{"service":"lm","tier":1,"organisation":"press","used_slots":30.25,
"share_slots":12.0,"above_share":true},{"service":"lm","tier":0,"organisation":null,
"used_slots":1.0,"share_slots":null,"above_share":false}]"#;

// Serves one request with this page.
fn serve(page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let length = stream.read(&mut head).unwrap();
        assert!(head[..length].starts_with(b"GET /shares "));
        let length = page.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{page}"
        )
        .unwrap();
    });
    address
}

fn run(pages: &[String]) -> (bool, String) {
    let program = env!("CARGO_BIN_EXE_siskinyoke");
    let output = Command::new(program).arg("shares").args(pages).output();
    let output = output.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

// Guards against an instance that does not respond and hides what the others list.
#[test]
fn shares_of_the_responding_instances_are_listed() {
    let pages = [serve(PAGE).to_string(), "127.0.0.1:1".to_owned()];
    let (success, text) = run(&pages);
    assert!(success, "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert!(
        lines[1].contains("press") && lines[1].contains("30.2"),
        "{text}"
    );
    assert!(
        lines[1].ends_with("yes") && lines[2].contains("all"),
        "{text}"
    );
    assert!(lines[3].starts_with("127.0.0.1:1: "), "{text}");
}

#[test]
fn a_page_that_cannot_be_read_is_an_error_with_a_hint() {
    let (success, text) = run(&[serve("<html>").to_string()]);
    assert!(!success && text.contains("hint:"), "{text}");
}
