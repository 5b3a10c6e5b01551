//! The program under review, started with the command of the deploy file.

use crate::world::World;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setrlimit(resource: i32, limits: *const u64) -> i32;
}

/// The same on x86-64 and on arm64.
const RLIMIT_NOFILE: i32 = 7;
pub const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Addresses that the configuration names.
#[derive(Clone, Copy)]
pub struct Peers {
    pub engine: SocketAddr,
    pub registry: SocketAddr,
    pub catalogue: SocketAddr,
}

/// A running server.
pub struct Server {
    child: Child,
    pub listen: SocketAddr,
}

/// The processes that were started and may still run.
static STARTED: Mutex<Vec<i32>> = Mutex::new(vec![]);

/// Ends all processes that were started and not waited for.
pub fn end_all() {
    let started = STARTED.lock().map(|s| s.clone()).unwrap_or_default();
    for pid in started {
        // SAFETY: it only sends a signal to a process that this one started and has not waited for.
        unsafe {
            kill(pid, SIGKILL);
        }
    }
}

/// Returns an address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a local address")
}

/// Writes a configuration.
pub fn write_config(path: &Path, listen: SocketAddr, peers: Peers, stop_ms: u64, settings: &str) {
    let Peers {
        engine,
        registry,
        catalogue,
    } = peers;
    let sockets = std::env::var("SOCKETS").unwrap_or("512".into());
    let text = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"engine\":\"{engine}\",\"registry\":\"{registry}\",\"catalog\":\"{catalogue}\",\n\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{stop_ms},\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\n\"settings\":{settings}}}"
    );
    let new = path.with_extension("new");
    std::fs::write(&new, text).expect("the configuration is written");
    std::fs::rename(&new, path).expect("the configuration is in place");
}

impl Server {
    /// Starts the server with this operator file. `root` is the root of the repository.
    pub fn start(
        world: &World,
        config: &Path,
        operator: &Path,
        listen: SocketAddr,
        log: &Path,
    ) -> Server {
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".into());
        let program = PathBuf::from(root).join("target/release/madderbay");
        let out = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log opens");
        let mut command = Command::new(program);
        if let Ok(limit) = std::env::var("NOFILE").unwrap_or_default().parse::<u64>() {
            // The limit on descriptors, as a platform sets it for the process.
            let set = move || {
                let limits = [limit, limit];
                // SAFETY: it reads two numbers and changes only the limit of the child.
                match unsafe { setrlimit(RLIMIT_NOFILE, limits.as_ptr()) } {
                    0 => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                }
            };
            // SAFETY: the closure calls nothing but one system call.
            unsafe {
                command.pre_exec(set);
            }
        }
        let child = command
            .arg("--operator")
            .arg(operator)
            .env("RELAY_CONFIG", config)
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("a second handle"))
            .stderr(out)
            .spawn()
            .expect("the server starts");
        world.note(format!("server: started, listen={listen}"));
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id() as i32);
        }
        Server { child, listen }
    }

    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: it only sends a signal to a process that this one started and has not waited for.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// Ends the server at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|pid| *pid != self.child.id() as i32);
        }
    }

    /// Returns the exit status, if the server has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the server accepts connections.
    pub fn wait_listening(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if TcpStream::connect_timeout(&self.listen, Duration::from_millis(200)).is_ok() {
                return true;
            }
            if self.ended().is_some() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}

/// Sends a signal to a process that this one started.
pub fn signal_to(pid: i32, signal: i32) {
    // SAFETY: it only sends a signal.
    unsafe {
        kill(pid, signal);
    }
}
