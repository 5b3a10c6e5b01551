//! The real program, started between stand-ins.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// Where a server finds the others.
#[derive(Clone, Copy)]
pub struct Dependencies {
    pub engine: SocketAddr,
    pub registry: SocketAddr,
    pub catalogue: SocketAddr,
}

/// A file of this text, under a name of its own.
pub fn write_config(text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("madderbay-{}-{n}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

pub fn configuration(
    listen: &str,
    others: Dependencies,
    sockets: usize,
    stop_ms: u64,
    settings: &str,
) -> String {
    let Dependencies {
        engine,
        registry,
        catalogue,
    } = others;
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"engine\":\"{engine}\",\"registry\":\"{registry}\",\
         \"catalog\":\"{catalogue}\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{stop_ms},\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":{sockets}}},\"settings\":{settings}}}"
    )
}

/// The program with nothing in its environment that is not told here.
pub fn command(binary: &Path, config: Option<&Path>) -> Command {
    let mut command = Command::new(binary);
    for name in [
        "RELAY_CONFIG",
        "RELAY_NAME",
        "RELAY_LISTEN",
        "MADDERBAY_LOG",
        "MADDERBAY_OPERATOR",
    ] {
        command.env_remove(name);
    }
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    if let Some(path) = config {
        command.env("RELAY_CONFIG", path);
    }
    command
}

pub struct Server {
    child: Child,
    /// Nothing once it is followed.
    log: Option<BufReader<ChildStderr>>,
    /// Lines of the log from before it listened.
    pub before: Vec<String>,
    pub address: SocketAddr,
    /// Its configuration.
    pub path: PathBuf,
    /// Its operator file, if it has one.
    pub operator: Option<PathBuf>,
    files: Vec<PathBuf>,
}

impl Server {
    /// Starts it with a configuration and, if there is one, an operator file.
    pub fn start(binary: &Path, configuration: &str, operator: Option<&str>) -> Server {
        Server::start_ahead(binary, configuration, operator, "0")
    }

    /// The same on a Unix clock that is ahead by so many milliseconds.
    pub fn start_ahead(
        binary: &Path,
        configuration: &str,
        operator: Option<&str>,
        ahead_ms: &str,
    ) -> Server {
        let path = write_config(configuration);
        let mut files = vec![path.clone()];
        let mut command = command(binary, Some(&path));
        let operator = operator.map(write_config);
        if let Some(file) = &operator {
            command.arg("--operator").arg(file);
            files.push(file.clone());
        }
        if ahead_ms != "0" {
            command.arg(format!("--unix-ahead-ms={ahead_ms}"));
        }
        let mut child = command.spawn().expect("the binary starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut line = String::new();
        let mut before = vec![];
        while !line.contains("server: listening") {
            before.extend((!line.is_empty()).then(|| std::mem::take(&mut line)));
            assert!(
                log.read_line(&mut line).expect("a line") > 0,
                "it does not listen: {before:?}"
            );
        }
        let address = line.trim().rsplit('=').next().and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address in '{line}'"));
        Server {
            child,
            log: Some(log),
            before,
            address,
            path,
            operator,
            files,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Processor time that it has used, in seconds; 0 where the system does not tell.
    pub fn cpu(&self) -> f64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid())).unwrap_or_default();
        text.split_whitespace()
            .next()
            .and_then(|n| n.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1e9
    }

    /// Memory that it has resident, in KB; 0 where the system does not tell.
    pub fn memory_kb(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([name, &self.pid().to_string()])
            .status();
        assert!(done.expect("kill runs").success());
    }

    /// Waits for a line of the log that holds this, and gives it.
    pub fn log_at(&mut self, part: &str) -> String {
        let mut line = String::new();
        while !line.contains(part) {
            line.clear();
            let log = self.log.as_mut().expect("not followed");
            assert!(
                log.read_line(&mut line).expect("a line") > 0,
                "the log ends before '{part}'"
            );
        }
        line
    }

    /// From here on each line of the log as it comes, with the time; the end of the log ends it.
    pub fn follow(&mut self) -> Receiver<(Instant, String)> {
        let log = self.log.take().expect("followed once");
        let (to, from) = channel();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if to.send((Instant::now(), line)).is_err() {
                    return;
                }
            }
        });
        from
    }

    /// Waits for it to end by itself, whose log is followed or not wanted.
    pub fn over(mut self) {
        self.log = None;
        assert!(self.child.wait().expect("an end").success());
    }

    /// The rest of the log after the server has ended by itself.
    pub fn ended(mut self) -> String {
        let mut log = String::new();
        self.log
            .take()
            .expect("not followed")
            .read_to_string(&mut log)
            .expect("the log");
        assert!(self.child.wait().expect("an end").success());
        log
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}
