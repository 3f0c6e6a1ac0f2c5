//! A small HTTP/1.1 server and client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Req {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A query parameter, percent-decoded; empty if it is absent.
    pub fn param(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let value = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next();
        let bytes = value.unwrap_or("").as_bytes();
        let mut out = Vec::new();
        let mut i = 0;
        while i < bytes.len() {
            if bytes[i] == b'%' && i + 2 < bytes.len() {
                let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                i += 3;
            } else {
                out.push(bytes[i]);
                i += 1;
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Serves `listener`. A handler that returns `None` closes the connection without a response.
pub fn serve(
    listener: TcpListener,
    handler: Arc<dyn Fn(Req) -> Option<(u16, String)> + Send + Sync>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let spawned = std::thread::Builder::new().stack_size(256 << 10);
            let _ = spawned.spawn(move || connection(stream, &*handler));
        }
    });
}

fn connection(stream: TcpStream, handler: &dyn Fn(Req) -> Option<(u16, String)>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (line, headers, body) = read_message(&mut reader, true)?;
        let mut parts = line.split(' ');
        let target = parts.nth(1)?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let req = Req {
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let (status, body) = handler(req)?;
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes()).ok()?;
    }
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>, request: bool) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        let (key, value) = header.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let mut body = Vec::new();
    match length {
        Some((_, length)) => {
            body = vec![0; length.parse().ok()?];
            reader.read_exact(&mut body).ok()?;
        }
        None if request => {}
        None => {
            reader.read_to_end(&mut body).ok()?;
        }
    }
    Some((line.trim_end().to_owned(), headers, body))
}

/// Sends one request on a new connection. `None` if no complete response arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Chestnutlug-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let (line, _, body) = read_message(&mut BufReader::new(stream), false)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
