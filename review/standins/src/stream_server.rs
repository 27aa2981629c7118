//! A sound server of streams, which may fall silent for a while and may end its answers with the
//! channel.

use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::record::Record;

/// How many events a stream has.
pub const EVENTS: u32 = 20;

/// A server of streams.
#[derive(Debug, Clone)]
pub struct StreamServer {
    /// Its id in the store.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    // The event after which a stream is silent, and for how long.
    silence: Option<(u32, Duration)>,
    // The pause before each event.
    pause: Duration,
    // Whether answers come in chunks; they end with the channel otherwise.
    chunked: bool,
    record: Record,
}

impl StreamServer {
    /// Starts a server, which makes an event after each pause.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(
        id: &str,
        pause: Duration,
        silence: Option<(u32, Duration)>,
        chunked: bool,
        record: &Record,
    ) -> StreamServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = StreamServer {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            silence,
            pause,
            chunked,
            record: record.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str) -> String {
        let address = self.address;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"a\",\"Version\":\"1\",\
             \"Slots\":4,\"State\":\"ready\",\"ColdRemainingMs\":0,\"SeqNo\":1}}"
        )
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader)? {
            let server_id = &self.id;
            if request.word(1).ends_with("/healthz") || request.word(1) == "/api/report" {
                let head = format!("Siskinyoke-Instance-Id: {server_id}\r\nContent-Length: 0");
                out.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes())?;
                continue;
            }
            let id = request.header("siskinyoke-request-id").unwrap_or("");
            let after = request.header("last-event-id");
            let after: u32 = after.and_then(|it| it.parse().ok()).unwrap_or(0);
            self.record
                .add(&format!("{server_id} runs {id} after event {after}"));
            let result = self.write_stream(&mut out, id, after);
            self.record
                .add(&format!("{server_id} ends {id}: {result:?}"));
            result?;
            if !self.chunked {
                // The end of the channel is the end of the answer; nothing is reset.
                return Ok(());
            }
        }
        Ok(())
    }

    fn write_stream(&self, out: &mut TcpStream, id: &str, after: u32) -> Result<()> {
        let server_id = &self.id;
        let framing = if self.chunked {
            "Transfer-Encoding: chunked\r\n"
        } else {
            "Connection: close\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nSiskinyoke-Request-Id: {id}\r\n\
             Siskinyoke-Response-Seal: {server_id}.{id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        );
        out.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            thread::sleep(self.pause);
            let event = format!("id: {number}\ndata: part {number} of {EVENTS}\n\n");
            if self.chunked {
                let length = event.len();
                out.write_all(format!("{length:x}\r\n{event}\r\n").as_bytes())?;
            } else {
                out.write_all(event.as_bytes())?;
            }
            match self.silence {
                Some((event, span)) if event == number => thread::sleep(span),
                _ => {}
            }
        }
        if self.chunked {
            out.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
