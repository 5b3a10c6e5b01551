//! A stand-in for the engine, after the protocol page: numbered notices, one link at a time, runs that go on while
//! there is no link. It keeps neither results nor keys.

use crate::text::{Random, base64, field, plain, unix_ms};
use crate::world::World;
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Notices that are kept for the next link.
const KEPT: usize = 4000;

/// How long runs take and how many calls they make.
#[derive(Clone)]
pub struct Work {
    /// Shortest and longest time of a run, without its calls, in microseconds.
    pub micros: (u64, u64),
    /// Calls of a run, by class.
    pub calls: HashMap<String, u32>,
    /// Whether runs can be stopped.
    pub halts: bool,
    /// Length of a result.
    pub result_bytes: usize,
}

struct Run {
    calls_left: u32,
    paused: bool,
    /// The number of the notice of the call that it waits for.
    at_call: Option<u64>,
    step: u64,
}

struct State {
    started: Instant,
    serial: u64,
    notices: VecDeque<(u64, String)>,
    link: Option<(u64, TcpStream)>,
    links: u64,
    /// The engine reads nothing until this link is closed.
    deaf: bool,
    runs: HashMap<String, Run>,
    random: Random,
    dead: bool,
    /// The link breaks in the middle of the next notice that a run has ended.
    break_in_next_end: bool,
    rough: bool,
    slow: u64,
    /// Runs that wait for the end of a hang.
    hung: Vec<String>,
}

/// The engine of one incarnation of a server.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    world: World,
    work: Work,
}

impl Engine {
    pub fn start(world: &World, address: &str, seed: u64, work: Work) -> Engine {
        let listener = TcpListener::bind(address).expect("the engine's address is free");
        let engine = Engine {
            address: listener.local_addr().expect("a local address"),
            state: Arc::new(Mutex::new(State {
                started: Instant::now(),
                serial: 0,
                notices: VecDeque::new(),
                link: None,
                links: 0,
                deaf: false,
                runs: HashMap::new(),
                random: Random::new(seed),
                dead: false,
                break_in_next_end: false,
                rough: false,
                slow: 1,
                hung: vec![],
            })),
            world: world.clone(),
            work,
        };
        engine.listen(listener);
        let ending = engine.clone();
        std::thread::spawn(move || {
            while !ending.lock().dead {
                ending.end_unawaited();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        engine
    }

    /// Listens at one more address, as after a move.
    pub fn also_listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        self.listen(listener);
        address
    }

    fn listen(&self, listener: TcpListener) {
        let engine = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                if engine.lock().dead {
                    return;
                }
                let _ = stream.set_nodelay(true);
                let engine = engine.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Ends the engine, with all its runs.
    pub fn kill(&self) {
        let mut state = self.lock();
        state.dead = true;
        state.runs.clear();
        if let Some((_, link)) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Makes runs slower by this factor from now on; 0 lets the cores hang: runs neither go on nor can be stopped.
    pub fn set_slow(&self, factor: u64) {
        let mut state = self.lock();
        state.slow = factor;
        if factor > 0 {
            let hung: Vec<String> = state.hung.drain(..).collect();
            for call in hung {
                self.schedule(&mut state, &call);
            }
        }
    }

    /// Lets the link break in the middle of the next notice that a run has ended.
    pub fn break_in_next_end(&self) {
        self.lock().break_in_next_end = true;
    }

    /// Returns the number of runs on the cores, and the memory of held and running requests in KB, a run taking four
    /// times that of its request.
    pub fn load(&self) -> (usize, f64) {
        let state = self.lock();
        let on_cores = state
            .runs
            .values()
            .filter(|r| r.at_call.is_none() && !r.paused)
            .count();
        let memory = self.world.with(|t| {
            let room = |name: &String| t.tries.get(name).map_or(0.0, |t| t.room);
            let running: f64 = state.runs.keys().map(room).sum();
            let held: f64 = t
                .order
                .iter()
                .rev()
                .take(2000)
                .filter(|n| !state.runs.contains_key(*n))
                .filter_map(|n| t.tries.get(n))
                .filter(|t| t.answer.is_none() && !t.gone && unix_ms() > t.since_ms + 100)
                .map(|t| t.room)
                .sum();
            held + 4.0 * running
        });
        (on_cores, memory)
    }

    /// Lets notices arrive in pieces, some twice, with remarks between them.
    pub fn set_rough(&self) {
        self.lock().rough = true;
    }

    /// Breaks the link. What came on it in the last `lost` before is not read.
    pub fn break_link(&self, lost: Duration) {
        if lost > Duration::ZERO {
            self.lock().deaf = true;
            std::thread::sleep(lost);
        }
        let mut state = self.lock();
        state.deaf = false;
        if let Some((_, link)) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut number = 0;
        let mut line = String::new();
        loop {
            line.clear();
            match lines.read_line(&mut line) {
                Ok(n) if n > 0 && line.ends_with('\n') => {}
                _ => return,
            }
            let mut state = self.lock();
            if state.dead {
                return;
            }
            let msg = field(&line, "msg").unwrap_or("").to_string();
            if msg == "ATTACH" {
                let read: u64 = field(&line, "serial")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                state.links += 1;
                number = state.links;
                state.deaf = false;
                if let Some((_, old)) = state.link.take() {
                    let _ = old.shutdown(Shutdown::Both);
                }
                let ms = state.started.elapsed().as_millis();
                let mut hello =
                    format!("{{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":{ms}}}\n");
                for (serial, notice) in &state.notices {
                    if *serial > read {
                        hello.push_str(notice);
                    }
                }
                self.world.note(format!("engine: attach serial={read}"));
                state.link = stream.try_clone().ok().map(|s| (number, s));
                state.write(&hello);
                continue;
            }
            if state.deaf || state.link.as_ref().is_none_or(|(n, _)| *n != number) {
                continue;
            }
            self.command(&mut state, &msg, &line);
        }
    }

    fn command(&self, state: &mut State, msg: &str, line: &str) {
        let call = field(line, "call").unwrap_or("").to_string();
        if msg != "STAT" {
            self.world.note(format!("engine: {msg} {call}"));
        }
        match msg {
            "STAT" => {
                let cookie = field(line, "cookie").unwrap_or("");
                let on_cores = state
                    .runs
                    .values()
                    .filter(|r| r.at_call.is_none() && !r.paused)
                    .count();
                let stats = format!(
                    "{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[0.3,{on_cores},0.2,10]}}\n"
                );
                state.write(&stats);
            }
            "RUN" => self.run(state, &call, line),
            "HALT" if !self.work.halts => {
                state.write(&format!(
                    "{{\"msg\":\"NO\",\"how\":\"HALT\",\"call\":\"{call}\"}}\n"
                ));
            }
            "HALT" if state.slow == 0 => {}
            "HALT" => {
                let over = self.is_over(&call);
                if let Some(run) = state.runs.get_mut(&call) {
                    run.paused = true;
                    run.step += 1;
                    if over {
                        state.runs.remove(&call);
                    }
                    self.done(state, &call, "cut", "");
                } else if self.world.with(|t| !t.tries.contains_key(&call)) {
                    state.write(&format!(
                        "{{\"msg\":\"NO\",\"how\":\"HALT\",\"call\":\"{call}\"}}\n"
                    ));
                }
            }
            "RESUME" => {
                if let Some(run) = state.runs.get_mut(&call)
                    && run.paused
                {
                    run.paused = false;
                    self.schedule(state, &call);
                }
            }
            "FEED" | "SKIP" => {
                let serial: Option<u64> = field(line, "serial").and_then(|n| n.parse().ok());
                if let Some(run) = state.runs.get_mut(&call) {
                    let waits = match (msg, run.at_call) {
                        ("FEED", Some(_)) => true,
                        ("SKIP", at) => at.is_some() && at == serial,
                        _ => false,
                    };
                    if waits {
                        run.at_call = None;
                        self.schedule(state, &call);
                    }
                }
            }
            _ => {
                self.world
                    .broken(format!("the engine was sent what is no command: {line}"));
            }
        }
    }

    fn is_over(&self, call: &str) -> bool {
        self.world.with(|t| {
            t.tries
                .get(call)
                .is_none_or(|t| t.gone || t.answer.is_some())
        })
    }

    fn run(&self, state: &mut State, call: &str, line: &str) {
        let class = plain(field(line, "service").unwrap_or(""));
        let blob = plain(field(line, "blob").unwrap_or(""));
        let known = self.world.with(|t| {
            let known = t.tries.get(call)?;
            Some((
                known.class == class && known.body == blob,
                known.gone || known.answer.is_some(),
            ))
        });
        match known {
            None => {
                state.write(&format!(
                    "{{\"msg\":\"NO\",\"how\":\"RUN\",\"call\":\"{call}\"}}\n"
                ));
                return;
            }
            Some((false, _)) => {
                if !std::env::var("WITH").is_ok_and(|w| w.contains("bad")) {
                    self.world.broken(format!(
                        "class or body of {call} reached the engine changed"
                    ));
                }
                state.write(&format!(
                    "{{\"msg\":\"NO\",\"how\":\"RUN\",\"call\":\"{call}\"}}\n"
                ));
                return;
            }
            Some((true, _)) if state.runs.contains_key(call) => return,
            Some((true, true)) => {
                self.done(state, call, "gone", "");
                return;
            }
            // Another reading of the page, for comparison only: a request is over once its run has ended.
            Some((true, false))
                if std::env::var("ENDED").is_ok_and(|e| e == "gone") && self.has_run(call) =>
            {
                self.done(state, call, "gone", "");
                return;
            }
            Some((true, false)) => {}
        }
        self.world.note(format!("engine: run of {call} begins"));
        self.world.with(|t| {
            if let Some(t) = t.tries.get_mut(call) {
                t.runs.push(unix_ms());
            }
        });
        let calls = self.work.calls.get(&class).copied().unwrap_or(0);
        state.runs.insert(
            call.into(),
            Run {
                calls_left: calls,
                paused: false,
                at_call: None,
                step: 0,
            },
        );
        self.schedule(state, call);
    }

    fn has_run(&self, call: &str) -> bool {
        self.world
            .with(|t| t.tries.get(call).is_some_and(|t| !t.runs.is_empty()))
    }

    /// Lets a run go on to its next call or its end.
    fn schedule(&self, state: &mut State, call: &str) {
        let (low, high) = self.work.micros;
        let micros = (low + state.random.below(high - low + 1)) * state.slow.max(1);
        let Some(run) = state.runs.get_mut(call) else {
            return;
        };
        run.step += 1;
        let step = run.step;
        let engine = self.clone();
        let call = call.to_string();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_micros(micros));
            engine.go_on(&call, step);
        });
    }

    fn go_on(&self, call: &str, step: u64) {
        let mut state = self.lock();
        if state.dead {
            return;
        }
        let (next_serial, is_hung) = (state.serial + 1, state.slow == 0);
        let Some(run) = state.runs.get_mut(call) else {
            return;
        };
        if run.step != step || run.paused {
            return;
        }
        if is_hung {
            state.hung.push(call.into());
            return;
        }
        if run.calls_left > 0 {
            if self.is_over(call) {
                state.runs.remove(call);
                self.done(&mut state, call, "cut", "");
                return;
            }
            run.calls_left -= 1;
            run.at_call = Some(next_serial);
            let body = base64(format!("call of {call}").as_bytes());
            state.notice(|n| {
                format!(
                    "{{\"msg\":\"NEED\",\"serial\":{n},\"call\":\"{call}\",\"blob\":\"{body}\"}}\n"
                )
            });
            return;
        }
        state.runs.remove(call);
        let mut result = format!("result of {call} ");
        while result.len() < self.work.result_bytes {
            result.push('.');
        }
        let blob = base64(result.as_bytes());
        self.done(&mut state, call, "good", &blob);
    }

    fn done(&self, state: &mut State, call: &str, how: &str, blob: &str) {
        self.world
            .note(format!("engine: run of {call} ends, {how}"));
        let breaks = std::mem::take(&mut state.break_in_next_end) && state.link.is_some();
        let cut_link = if breaks { state.link.take() } else { None };
        state.notice(|n| {
            format!("{{\"msg\":\"DONE\",\"serial\":{n},\"call\":\"{call}\",\"how\":\"{how}\",\"duration\":1.5,\"blob\":\"{blob}\"}}\n")
        });
        if let Some((_, mut link)) = cut_link {
            let line = state
                .notices
                .back()
                .map(|(_, line)| line.clone())
                .unwrap_or_default();
            let _ = link.write_all(&line.as_bytes()[..line.len() / 2]);
            let _ = link.shutdown(Shutdown::Both);
            self.world
                .note("engine: the link breaks in the middle of this notice");
        }
    }

    /// Ends the runs that stand at a call and that nobody waits for.
    fn end_unawaited(&self) {
        let mut state = self.lock();
        let at_call: Vec<String> = state
            .runs
            .iter()
            .filter(|(_, r)| r.at_call.is_some())
            .map(|(c, _)| c.clone())
            .collect();
        for call in at_call {
            if self.is_over(&call) {
                state.runs.remove(&call);
                self.done(&mut state, &call, "cut", "");
            }
        }
    }
}

impl State {
    fn write(&mut self, text: &str) {
        if self.rough && text.contains("serial") {
            let serial = self.serial + 1;
            let mut all = text.to_string();
            if self.random.chance(200) {
                all.push_str(text);
            }
            if self.random.chance(100) {
                self.serial = serial;
                let note =
                    format!("{{\"msg\":\"NOTE\",\"serial\":{serial},\"how\":\"nothing\"}}\n");
                self.notices.push_back((serial, note.clone()));
                all.push_str(&note);
            }
            let cut = self.random.below(all.len() as u64) as usize;
            let (first, last) = all.as_bytes().split_at(cut);
            if let Some((_, link)) = &mut self.link {
                let _ = link.write_all(first);
                if self.random.chance(10) {
                    // The link breaks in the middle of a notice.
                    let _ = link.shutdown(Shutdown::Both);
                    self.link = None;
                    return;
                }
                std::thread::sleep(Duration::from_micros(100));
                let _ = link.write_all(last);
            }
            return;
        }
        if let Some((_, link)) = &mut self.link {
            let _ = link.write_all(text.as_bytes());
        }
    }

    fn notice(&mut self, text: impl FnOnce(u64) -> String) {
        self.serial += 1;
        let line = text(self.serial);
        self.notices.push_back((self.serial, line.clone()));
        if self.notices.len() > KEPT {
            self.notices.pop_front();
        }
        self.write(&line);
    }
}

/// Reports whether a result is that of a run of this try.
pub fn is_result_of(result: &str, name: &str) -> bool {
    // 27 bytes, so the digits end with the prefix.
    result.starts_with(&base64(format!("result of {name} ").as_bytes()))
}
