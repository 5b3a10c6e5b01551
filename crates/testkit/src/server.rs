//! The real program, run as a process against fakes.
//!
//! [`Server`](crate::server::Server) owns the process and its configuration files. Any failure
//! along the way is a failure of the test: the functions panic.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Environment variables that the program reads.
const ENVIRONMENT_VARIABLES: [&str; 5] = [
    "RELAY_CONFIG",
    "RELAY_NAME",
    "RELAY_LISTEN",
    "MADDERBAY_LOG",
    "MADDERBAY_OPERATOR",
];
/// Interval between checks whether the process has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Event of the log line that ends with the address on which the program listens.
const LISTENING_EVENT: &str = "server: listening";

/// Addresses of the services that a server calls.
#[derive(Clone, Copy)]
pub struct Dependencies {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Address of the catalogue.
    pub catalogue: SocketAddr,
}

/// Writes `text` to a new file with a unique name in the temporary directory, and returns its path.
///
/// # Panics
///
/// If it can't be written.
pub fn write_config(text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("madderbay-{}-{number}", std::process::id()));
    std::fs::write(&path, text).expect("configuration file is written");
    path
}

/// Returns a configuration of the program as JSON: the address to listen on, the services that it
/// calls, the maximum number of its connections, the maximum time of a shutdown in milliseconds,
/// and the platform's settings.
pub fn configuration(
    listen: &str,
    dependencies: Dependencies,
    sockets: usize,
    stop_ms: u64,
    settings: &str,
) -> String {
    let Dependencies {
        engine,
        registry,
        catalogue,
    } = dependencies;
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"engine\":\"{engine}\",\"registry\":\"{registry}\",\
         \"catalog\":\"{catalogue}\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{stop_ms},\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":{sockets}}},\"settings\":{settings}}}"
    )
}

/// Returns a command that runs the program with this configuration file. All other environment
/// variables that the program reads are removed.
pub fn command(binary: &Path, config: Option<&Path>) -> Command {
    let mut command = Command::new(binary);
    for name in ENVIRONMENT_VARIABLES {
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

/// A running server. Dropping it kills the process and removes its files.
pub struct Server {
    child: Child,
    /// The rest of the log, until [`follow`](Server::follow) takes it.
    log: Option<BufReader<ChildStderr>>,
    /// Lines of the log from before the server listened.
    pub before: Vec<String>,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Path of the server's configuration file.
    pub path: PathBuf,
    /// Path of the server's operator file, if it has one.
    pub operator: Option<PathBuf>,
    files: Vec<PathBuf>,
}

impl Server {
    /// Starts a server with a configuration and optionally an operator file, and waits until it
    /// listens.
    ///
    /// # Panics
    ///
    /// If the program doesn't start, or ends before it listens.
    pub fn start(binary: &Path, configuration: &str, operator: Option<&str>) -> Server {
        Server::start_ahead(binary, configuration, operator, "0")
    }

    /// Like [`start`](Server::start), with the log level `debug`.
    ///
    /// # Panics
    ///
    /// If the program doesn't start, or ends before it listens.
    pub fn start_with_debug_log(
        binary: &Path,
        configuration: &str,
        operator: Option<&str>,
    ) -> Server {
        let path = write_config(configuration);
        let operator = operator.map(write_config);
        let mut command = command(binary, Some(&path));
        command.env("MADDERBAY_LOG", "debug");
        Server::spawn(command, path, operator)
    }

    /// Like [`start`](Server::start), with a Unix clock that is ahead by a number of milliseconds,
    /// given as on the command line.
    ///
    /// # Panics
    ///
    /// If the program doesn't start, or ends before it listens.
    pub fn start_ahead(
        binary: &Path,
        configuration: &str,
        operator: Option<&str>,
        ahead_ms: &str,
    ) -> Server {
        let path = write_config(configuration);
        let operator = operator.map(write_config);
        let mut command = command(binary, Some(&path));
        if ahead_ms != "0" {
            command.arg(format!("--unix-ahead-ms={ahead_ms}"));
        }
        Server::spawn(command, path, operator)
    }

    /// Starts the process and waits until it listens.
    fn spawn(mut command: Command, path: PathBuf, operator: Option<PathBuf>) -> Server {
        if let Some(file) = &operator {
            command.arg("--operator").arg(file);
        }
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let (before, address) = wait_until_it_listens(&mut log);
        Server {
            child,
            log: Some(log),
            before,
            address,
            files: std::iter::once(&path).chain(&operator).cloned().collect(),
            path,
            operator,
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time that the process has used, in seconds; 0 if the system does not
    /// report it.
    pub fn cpu(&self) -> f64 {
        let path = format!("/proc/{}/schedstat", self.pid());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let nanos = text.split_whitespace().next();
        nanos
            .and_then(|nanos| nanos.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1e9
    }

    /// Returns the resident memory of the process in KB; 0 if the system does not report it.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Sends a signal to the process, given by its name with a leading hyphen, as in `-TERM`.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([name, &self.pid().to_string()])
            .status();
        assert!(done.expect("kill can be run").success());
    }

    /// Sends a signal like [`signal`](Server::signal), and ignores the failure if the process has
    /// already ended.
    pub fn try_signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.pid().to_string()])
            .stderr(Stdio::null())
            .status();
    }

    /// Waits for a line of the log that contains `text`, and returns the line.
    ///
    /// # Panics
    ///
    /// If the log ends before such a line, or if [`follow`](Server::follow) was called.
    pub fn log_at(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let log = self.log.as_mut().expect("the log is not followed");
            assert!(
                log.read_line(&mut line).expect("the log can be read") > 0,
                "the log ended without a line that contains '{text}'"
            );
        }
        line
    }

    /// Returns a channel that receives each further line of the log with the time at which it was
    /// read. The channel ends with the log.
    ///
    /// # Panics
    ///
    /// If it was called before.
    pub fn follow(&mut self) -> Receiver<(Instant, String)> {
        let log = self.log.take().expect("the log is followed only once");
        let (lines, received) = channel();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if lines.send((Instant::now(), line)).is_err() {
                    return;
                }
            }
        });
        received
    }

    /// Waits until the process ends by itself, for at most `timeout`, and returns its exit status;
    /// `None` if it is still running.
    ///
    /// # Panics
    ///
    /// If the system does not report whether the process has ended.
    pub fn ended_within(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let began = Instant::now();
        loop {
            let status = self
                .child
                .try_wait()
                .expect("the process status is available");
            if status.is_some() || began.elapsed() >= timeout {
                return status;
            }
            std::thread::sleep(END_CHECK_INTERVAL);
        }
    }

    /// Waits until the process ends by itself. The rest of the log is lost unless it is followed.
    ///
    /// # Panics
    ///
    /// If the process ends with a failure.
    pub fn over(mut self) {
        self.log = None;
        assert!(
            self.child
                .wait()
                .expect("the process can be waited for")
                .success()
        );
    }

    /// Waits until the process ends by itself, and returns the rest of the log.
    ///
    /// # Panics
    ///
    /// If the process ends with a failure, or if [`follow`](Server::follow) was called.
    pub fn ended(mut self) -> String {
        let mut log = String::new();
        self.log
            .take()
            .expect("the log is not followed")
            .read_to_string(&mut log)
            .expect("the log can be read");
        assert!(
            self.child
                .wait()
                .expect("the process can be waited for")
                .success()
        );
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

/// Reads the log until the server listens; returns the earlier lines and the address.
fn wait_until_it_listens(log: &mut impl BufRead) -> (Vec<String>, SocketAddr) {
    let mut line = String::new();
    let mut before = vec![];
    while !line.contains(LISTENING_EVENT) {
        before.extend((!line.is_empty()).then(|| std::mem::take(&mut line)));
        assert!(
            log.read_line(&mut line).expect("the log can be read") > 0,
            "the server ended before it listened: {before:?}"
        );
    }
    let address = line
        .trim()
        .rsplit('=')
        .next()
        .and_then(|address| address.parse().ok());
    let address = address.unwrap_or_else(|| panic!("no address in the log line '{line}'"));
    (before, address)
}
