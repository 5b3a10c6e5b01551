//! One end of a connection, line by line, played by hand.

use crate::WAIT_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

pub fn loopback_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub struct Peer(pub BufReader<TcpStream>);

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time-out");
        Peer(BufReader::new(stream))
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        Peer::new(listener.accept().expect("a connection").0)
    }

    pub fn say(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("written");
    }

    /// The next line, or nothing at the end.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line in time");
        line.trim_end().to_string()
    }

    /// The commands to an engine that have come by now; questions for the gauges among them are answered.
    pub fn pending(&mut self) -> String {
        let mut found = String::new();
        loop {
            if self.0.buffer().is_empty() {
                self.0.get_ref().set_nonblocking(true).expect("set");
                let came = self.0.fill_buf().map(<[u8]>::len);
                self.0.get_ref().set_nonblocking(false).expect("set");
                if came.unwrap_or(0) == 0 {
                    return found;
                }
            }
            let line = self.line();
            if !self.gauged(&line) {
                found += &(line + "\n");
            }
        }
    }

    /// Answers a question for the gauges; false where the line is none.
    fn gauged(&mut self, line: &str) -> bool {
        let Some(rest) = line.strip_prefix("{\"msg\":\"STAT\",\"cookie\":") else {
            return false;
        };
        let cookie = rest.trim_end_matches('}');
        self.say(&format!(
            "{{\"msg\":\"STATS\",\"cookie\":{cookie},\"stats\":[0.1,1,0.1,1]}}\n"
        ));
        true
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
            assert!(began.elapsed() < WAIT_TIMEOUT, "no command in time");
            if !self.gauged(&line) {
                return line;
            }
        }
    }
}
