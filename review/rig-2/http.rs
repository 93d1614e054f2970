//! HTTP/1.1 messages on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    /// First line.
    pub first: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the message was reached.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a request or a response; `None` if the connection ends before its head.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut message = Message {
        first: line.trim_end().to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        is_complete: true,
    };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    if message.header("transfer-encoding").ends_with("chunked") {
        message.is_complete = read_chunks(reader, &mut message.body).is_some();
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        message.is_complete = reader.read_exact(&mut message.body).is_ok();
    }
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(to: SocketAddr, head: &str, body: &str, limit: Duration) -> Option<Message> {
    let mut tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    tcp.set_read_timeout(Some(limit)).ok()?;
    tcp.set_nodelay(true).ok()?;
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    tcp.write_all(text.as_bytes()).ok()?;
    read(&mut BufReader::new(tcp))
}
