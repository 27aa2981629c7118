//! Heads and bodies of HTTP/1.1 messages.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A message whose body has a length.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; none at the end of the channel.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
        let Some(mut message) = Message::read_head(reader)? else {
            return Ok(None);
        };
        message.read_body(reader)?;
        Ok(Some(message))
    }

    /// Returns the length of the body, as the head says it.
    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Reads the body after the head.
    pub fn read_body(&mut self, reader: &mut BufReader<TcpStream>) -> Result<()> {
        self.body = vec![0; self.length()];
        reader.read_exact(&mut self.body)
    }

    /// Reads the head of a message; none at the end of the channel.
    pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
        let mut message = Message::default();
        if reader.read_line(&mut message.line)? == 0 {
            return Ok(None);
        }
        message.line = message.line.trim_end().to_owned();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                return Ok(Some(message));
            };
            let value = value.trim().to_owned();
            message.headers.push((name.to_ascii_lowercase(), value));
        }
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let row = self.headers.iter().find(|it| it.0 == name);
        row.map(|it| it.1.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }
}

/// Opens a channel on which reads end after a time.
pub fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
