//! A stand-in for a load balancer: connections that carry up to 32 open requests, and the answers read on them.

use crate::text::{Random, field, unix_ms};
use crate::world::{Answer, Try, World};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Requests that may be open on one connection.
const MAX_OPEN: usize = 32;

#[derive(Default)]
struct Link {
    stream: Option<TcpStream>,
    next_id: u64,
    open: HashMap<u64, String>,
    /// Withdrawn requests: one answer may still come.
    withdrawn: HashMap<u64, String>,
    /// The server has said that the connection will end, or it has ended.
    closed: bool,
}

/// One connection.
#[derive(Clone)]
pub struct Connection {
    link: Arc<Mutex<Link>>,
    world: World,
    sender: u64,
    life: u64,
}

/// What a request says.
#[derive(Clone)]
pub struct Ask {
    pub class: String,
    pub key: Option<String>,
    pub body: String,
    pub allow_ms: u64,
    pub room: f64,
    pub effort_ms: f64,
}

impl Connection {
    pub fn open(
        world: &World,
        address: SocketAddr,
        sender: u64,
        life: u64,
    ) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_nodelay(true)?;
        let reader = stream.try_clone()?;
        let connection = Connection {
            link: Arc::new(Mutex::new(Link {
                stream: Some(stream),
                ..Link::default()
            })),
            world: world.clone(),
            sender,
            life,
        };
        let reading = connection.clone();
        std::thread::spawn(move || reading.read(reader));
        Ok(connection)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Sends one try. Returns its name, or nothing if the connection takes none.
    pub fn send(&self, ask: &Ask) -> Option<String> {
        let name = self.world.new_name();
        self.send_as(&name, ask).then_some(name)
    }

    fn send_as(&self, name: &str, ask: &Ask) -> bool {
        let mut link = self.lock();
        if link.closed || link.open.len() >= MAX_OPEN {
            return false;
        }
        link.next_id += 1;
        let id = link.next_id;
        let since = unix_ms();
        let key = ask
            .key
            .as_ref()
            .map_or(String::new(), |k| format!(",\"replay\":\"{k}\""));
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"ref\":\"{name}\",\"since\":{since},\"sender\":{},\"project\":\"acme\",\"allow\":{},\"effort\":{},\"room\":{},\"class_rank\":0.5{key},\"bytes\":\"{}\"}}}}\n",
            ask.class, self.sender, ask.allow_ms, ask.effort_ms, ask.room, ask.body
        );
        self.world.with(|t| {
            t.order.push(name.to_string());
            t.tries.insert(
                name.to_string(),
                Try {
                    class: ask.class.clone(),
                    key: ask.key.clone(),
                    body: ask.body.clone(),
                    life: self.life,
                    since_ms: since,
                    allow_ms: ask.allow_ms,
                    room: ask.room,
                    answer: None,
                    answered_ms: 0,
                    answers: 0,
                    gone: false,
                    runs: vec![],
                    calls: 0,
                },
            );
        });
        let key = ask.key.as_deref().unwrap_or("-");
        self.world
            .note(format!("sent {name} {} key={key}", ask.class));
        link.open.insert(id, name.to_string());
        let forms = std::env::var("WITH").is_ok_and(|w| w.contains("pieces"));
        let mut random = Random::new(since * 1000 + id);
        let line = if forms {
            other_form(&line, &mut random)
        } else {
            line
        };
        let pieces = if forms {
            1 + random.below(4) as usize
        } else {
            1
        };
        let written = link.stream.as_mut().is_some_and(|s| {
            line.as_bytes()
                .chunks(line.len().div_ceil(pieces))
                .all(|piece| {
                    let written = s.write_all(piece).is_ok();
                    if pieces > 1 {
                        std::thread::sleep(Duration::from_micros(random.below(1500)));
                    }
                    written
                })
        });
        if !written {
            // Not the whole request was written, so the server does not have it.
            link.open.remove(&id);
            link.closed = true;
            self.world.note(format!("not written {name}"));
            self.world.with(|t| {
                t.tries.remove(name);
                t.order.retain(|n| n != name);
            });
        }
        written
    }

    /// Withdraws a try: the client waits no longer.
    pub fn forget(&self, name: &str) {
        let mut link = self.lock();
        let Some(id) = link
            .open
            .iter()
            .find(|(_, n)| *n == name)
            .map(|(id, _)| *id)
        else {
            return;
        };
        self.world.with(|t| {
            if let Some(t) = t.tries.get_mut(name) {
                t.gone = true;
            }
        });
        self.world.note(format!("forget {name}"));
        link.open.remove(&id);
        link.withdrawn.insert(id, name.to_string());
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{{\"id\":{id},\"ref\":\"{name}\"}}}}\n"
        );
        if let Some(stream) = &mut link.stream {
            let _ = stream.write_all(line.as_bytes());
        }
    }

    /// Closes the connection; nobody waits for what is open on it.
    pub fn close(&self) {
        let mut link = self.lock();
        link.closed = true;
        let open: Vec<String> = link.open.drain().map(|(_, n)| n).collect();
        self.world.with(|t| {
            for name in &open {
                if let Some(t) = t.tries.get_mut(name) {
                    t.gone = true;
                }
            }
        });
        if let Some(stream) = link.stream.take() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn read(&self, stream: TcpStream) {
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            match lines.read_line(&mut line) {
                Ok(n) if n > 0 && line.ends_with('\n') => self.line(&line),
                _ => break,
            }
        }
        let mut link = self.lock();
        link.closed = true;
        if let Some(stream) = link.stream.take() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        for (_, name) in link.open.drain() {
            // What crosses the end of a connection within 50 ms is sent again.
            let crossed = self.world.with(|t| {
                let sent = t.tries.get_mut(&name)?;
                let crossed = unix_ms() - sent.since_ms <= 50;
                sent.gone |= crossed;
                crossed.then_some(())
            });
            if crossed.is_some() {
                self.world.note(format!("crossed {name}"));
            }
            self.settle(&name, Answer::Lost);
        }
    }

    fn line(&self, line: &str) {
        if field(line, "method") == Some("leaving") {
            self.world.note("leaving");
            let mut link = self.lock();
            link.closed = true;
            if link.open.is_empty()
                && let Some(stream) = link.stream.take()
            {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            return;
        }
        let id: Option<u64> = field(line, "id").and_then(|id| id.parse().ok());
        let answer = if line.contains("\"result\"") {
            Answer::Served(field(line, "bytes").unwrap_or("").to_string())
        } else if field(line, "code") == Some("-32002") {
            Answer::Refused
        } else {
            Answer::Failed
        };
        let mut link = self.lock();
        if let Some(name) = id.and_then(|id| link.withdrawn.remove(&id)) {
            drop(link);
            return self.settle(&name, answer);
        }
        let Some(name) = id.and_then(|id| link.open.remove(&id)) else {
            if link.stream.is_some() {
                self.world
                    .broken(format!("an answer to no open request: {}", line.trim_end()));
            }
            return;
        };
        let ends = link.closed && link.open.is_empty();
        if let Some(stream) = link.stream.take_if(|_| ends) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(link);
        self.settle(&name, answer);
    }

    fn settle(&self, name: &str, answer: Answer) {
        let short = match &answer {
            Answer::Served(_) => "served",
            Answer::Refused => "refused",
            Answer::Failed => "failed",
            Answer::Lost => "lost",
        };
        self.world.note(format!("answer {name} {short}"));
        self.world.with(|t| {
            if let Some(t) = t.tries.get_mut(name) {
                if answer != Answer::Lost {
                    t.answers += 1;
                }
                if t.answer.is_none() {
                    t.answer = Some(answer);
                    t.answered_ms = unix_ms();
                }
            }
        });
    }
}

/// Writes a line in another form that JSON allows: with spaces, escapes, and another end.
fn other_form(line: &str, random: &mut Random) -> String {
    let mut out = String::new();
    let mut in_text = false;
    for c in line.trim_end().chars() {
        match c {
            '"' => {
                in_text = !in_text;
                out.push(c);
            }
            '/' if in_text && random.chance(500) => out.push_str("\\/"),
            c if in_text && c.is_ascii_alphanumeric() && random.chance(30) => {
                out.push_str(&format!("\\u{:04x}", c as u32));
            }
            ',' | ':' | '{' | '}' if !in_text => {
                if random.chance(100) {
                    out.push(' ');
                }
                out.push(c);
                if random.chance(100) {
                    out.push('\t');
                }
            }
            c => out.push(c),
        }
    }
    out.push_str(if random.chance(500) { "\r\n" } else { "\n" });
    out
}
