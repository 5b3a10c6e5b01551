//! A stand-in of the registry: answers each report with 204 and keeps the last state of each server.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    pub states: Arc<Mutex<HashMap<String, String>>>,
}

impl Registry {
    pub fn start() -> Registry {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let registry = Registry { address: listener.local_addr().unwrap(), states: Arc::default() };
        let states = registry.states.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let states = states.clone();
                std::thread::spawn(move || serve(&stream, &states));
            }
        });
        registry
    }
}

fn serve(stream: &TcpStream, states: &Mutex<HashMap<String, String>>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut head = String::new();
        reader.read_line(&mut head).ok().filter(|n| *n > 0)?;
        let name = head.split(['/', ' ']).nth(4).unwrap_or_default().to_string();
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
            if line.trim().is_empty() {
                break;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        states.lock().unwrap().insert(name, body);
        (&*stream).write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").ok()?;
    }
}
