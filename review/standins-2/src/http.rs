//! HTTP/1.1 messages over TCP, as far as the stand-ins need them.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::TcpStream;

/// The head and the body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|it| it.0 == name);
        found.next().map(|it| &*it.1)
    }

    /// Returns the second word of the first line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status code of a response, or 0.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.first.is_empty() {
                Ok(None)
            } else {
                Err(Error::other("the head was cut off"))
            };
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            line.clone_into(&mut message.first);
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a whole message; `None` if the connection ended before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.to_lowercase().ends_with("chunked"));
    if chunked {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(Error::other)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads the next chunk of a body; `None` after the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::other("the body was cut off"));
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(Error::other)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}
