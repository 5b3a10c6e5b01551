//! One real server: its files, its process and the signals to it.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Settings of a small deployment, like those of `deploy/example.json`.
pub const SETTINGS: &str = r#"{
  "classes": [
   {"name": "search", "aim_us": 2700000, "hard_limit_us": 11000000, "importance": 1.0, "late_worth": 0.2, "effect": "read_like"},
   {"name": "book", "aim_us": 4000000, "hard_limit_us": 11000000, "importance": 3.0, "late_worth": 0.2,
    "effect": "idempotency_key", "repeat_window_us": 30000000}],
  "tenants": [{"name": "acme", "allowance_per_s": 5000.0}],
  "family_info": {"n_cores": 4, "memory_kb": 100000.0, "blowup": 4.0, "key_kb": 8.0, "preemption": "freeze",
   "below": "one_for_all", "dep_share": 16.0, "share_span_us": 5000000, "linger_us": 200000,
   "class_calls": [true, true], "class_skip_worth": [0.6, 0.0], "passes_deadline": true, "readiness": true,
   "say": "allowance", "upstreams": 3, "keepalive_max_us": 30000000,
   "meters": ["core_use", "on_cores", "heap_share", "links"]},
  "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
  "rules": {"tip_multiple": 5.0, "drain_grace_us": 2000000}, "servers": 2}"#;

/// The addresses of the platform that a server is told.
#[derive(Clone, Copy)]
pub struct Platform {
    pub engine: SocketAddr,
    pub registry: SocketAddr,
    pub catalogue: SocketAddr,
}

pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    folder: PathBuf,
    settings: String,
    pub sockets: u32,
    child: Option<Child>,
    record: Arc<Record>,
}

/// The processes that were started and have not been seen to end.
static STARTED: Mutex<Vec<u32>> = Mutex::new(vec![]);

/// Ends the program with 2, and all servers that it started, if it is still running after `limit`.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for process in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
        }
        eprintln!("not run: over {} s", limit.as_secs());
        std::process::exit(2);
    });
}

fn forget(process: u32) {
    STARTED.lock().unwrap().retain(|started| *started != process);
}

pub fn free_tcp_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

pub fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().unwrap()
}

impl Server {
    pub fn new(name: &str, folder: &Path, settings: &str, record: &Arc<Record>) -> Server {
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("a folder");
        Server {
            name: name.into(),
            address: free_tcp_address(),
            folder,
            settings: settings.into(),
            sockets: 512,
            child: None,
            record: record.clone(),
        }
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Writes the platform's JSON file, whole.
    pub fn write_config(&self, platform: &Platform) {
        let Server { name, address, settings, sockets, .. } = self;
        let Platform { engine, registry, catalogue } = platform;
        let json = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"engine\":\"{engine}\",\"registry\":\"{registry}\",\"catalog\":\"{catalogue}\",\
             \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\"settings\":{settings}}}"
        );
        self.replace("config.json", &json);
    }

    pub fn write_operator(&self, text: &str) {
        self.replace("operator.ini", text);
    }

    fn replace(&self, name: &str, text: &str) {
        let new = self.file("new");
        fs::write(&new, text).expect("a file");
        fs::rename(new, self.file(name)).expect("a file");
    }

    /// Starts the program as the deploy file does, with this server's own files.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.file("log.txt")).unwrap();
        let operator = self.file("operator.ini");
        // The platform's limit on descriptors binds.
        let command = format!(
            "ulimit -n {}; exec target/release/madderbay --operator {}",
            self.sockets,
            operator.display()
        );
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("RELAY_CONFIG", self.file("config.json"))
            .env("RELAY_NAME", &self.name)
            .env("RELAY_LISTEN", self.address.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the server starts");
        self.record.line(format!("{}: started as process {}", self.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Waits until a health check is answered with `"fit":true`.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if self.is_fit() {
                self.record.line(format!("{}: ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_fit(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
        let mut line = String::new();
        let _ = BufReader::new(stream).read_line(&mut line);
        line.contains("\"fit\":true")
    }

    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        self.record.line(format!("{}: signal {signal}", self.name));
        let _ = Command::new("kill").args([&format!("-{signal}"), &child.id().to_string()]).status();
    }

    /// Waits for the end of the process; returns whether it ended in time.
    pub fn wait_end(&mut self, ms: u64) -> bool {
        let deadline = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < deadline {
            if let Some(child) = &mut self.child
                && let Ok(Some(status)) = child.try_wait()
            {
                self.record.line(format!("{}: process ended, {status}", self.name));
                forget(child.id());
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
            self.record.line(format!("{}: killed", self.name));
        }
    }

    /// Copies the server's log into the record.
    pub fn record_log(&self) {
        let text = fs::read_to_string(self.file("log.txt")).unwrap_or_default();
        for line in text.lines() {
            self.record.line(format!("{} log: {line}", self.name));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}
