//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and a client connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    /// The path without the query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>, usize)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some((first.trim_end().to_owned(), headers, length)));
        };
        let value = value.trim().to_owned();
        if name.eq_ignore_ascii_case("content-length") {
            length = value
                .parse()
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        }
        headers.push((name.to_owned(), value));
    }
}

/// Serves requests at `address` until the process ends, and returns the address with its port.
pub fn start_server<H>(address: SocketAddr, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(&Request) -> (u16, String) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve(&stream, &*handler);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    Ok(address)
}

fn serve<H>(stream: &TcpStream, handler: &H) -> io::Result<()>
where
    H: Fn(&Request) -> (u16, String),
{
    let mut reader = BufReader::with_capacity(64 << 10, stream);
    while let Some((first, headers, length)) = head(&mut reader)? {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let (status, answer) = handler(&Request {
            method,
            path,
            query,
            headers,
            body,
        });
        let response = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        (&*stream).write_all(response.as_bytes())?;
    }
    Ok(())
}

/// A client connection that stays open between calls.
pub struct Connection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends a request and returns the status and the body.
    pub fn call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> io::Result<(u16, String)> {
        let result = self.exchange(method, host, path, body, timeout);
        if result.is_err() {
            self.stream = None;
        }
        result
    }

    fn exchange(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> io::Result<(u16, String)> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, timeout)?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut().expect("connected above");
        reader.get_ref().set_read_timeout(Some(timeout))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Chestnutlug-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            timeout.as_millis(),
            body.len()
        );
        reader.get_mut().write_all(request.as_bytes())?;
        let (first, headers, length) =
            head(reader)?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut answer = vec![0; length];
        reader.read_exact(&mut answer)?;
        let closes = headers.iter().any(|(name, value)| {
            name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close")
        });
        if closes {
            self.stream = None;
        }
        Ok((status, String::from_utf8_lossy(&answer).into_owned()))
    }
}
