//! One end of a connection, line by line, played by hand.

use crate::PATIENCE;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

pub fn local() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub struct Peer(pub BufReader<TcpStream>);

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Peer(BufReader::new(stream))
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        Peer::new(listener.accept().expect("a connection").0)
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// The next line, or nothing at the end.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line in time");
        line.trim_end().to_string()
    }

    /// So many bytes.
    pub fn bytes(&mut self, len: usize) -> Vec<u8> {
        let mut bytes = vec![0; len];
        self.0.read_exact(&mut bytes).expect("as many bytes");
        bytes
    }

    /// The next command to an engine; questions for the gauges are answered on the way, as long as patience
    /// lasts.
    pub fn command(&mut self) -> String {
        let began = Instant::now();
        loop {
            let line = self.line();
            assert!(began.elapsed() < PATIENCE, "no command in time");
            let Some(rest) = line.strip_prefix("{\"msg\":\"STAT\",\"cookie\":") else { return line };
            let cookie = rest.trim_end_matches('}');
            self.say(&format!("{{\"msg\":\"STATS\",\"cookie\":{cookie},\"stats\":[0.1,1,0.1,1]}}\n"));
        }
    }
}
