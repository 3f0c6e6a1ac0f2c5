//! A small HTTP/1.1 server and client for the stand-ins.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    pub query: String,
    pub target: Option<String>,
    pub body: String,
    /// When the connection was opened.
    pub opened: Instant,
}

/// A status with a body; `None` closes the connection without a response.
pub type Response = Option<(u16, String)>;

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let len = headers.iter().find(|(name, _)| name == "content-length");
    let len: usize = len.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned()))
}

pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Request) -> Response + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Response) -> Option<()> {
    let opened = Instant::now();
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let url = words.nth(1)?.to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let target = headers.iter().find(|(name, _)| name == "chestnutlug-target-instance");
        let request = Request {
            path: path.to_owned(),
            query: query.to_owned(),
            target: target.map(|(_, value)| value.clone()),
            body,
            opened,
        };
        let Some((status, body)) = handler(request) else {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return None;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(format!("{head}{body}").as_bytes()).ok()?;
    }
}

/// Sends one request on a new connection; `None` if no response arrives within 3 s.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(3_500))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Chestnutlug-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    writer.write_all(format!("{head}\r\n{body}").as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
