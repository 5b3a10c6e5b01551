//! A stand-in of the engine, as the protocol page describes it: one link at a time, numbered notices
//! that are kept, runs that continue while there is no link. A run works, makes its calls one after the
//! other, works again and ends `good`, with its own id in the result.

use crate::later::Later;
use crate::record::Record;
use crate::text::{base64, member, number};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the runs of a class do.
#[derive(Clone, Copy)]
pub struct Work {
    pub class: &'static str,
    pub before_ms: u64,
    pub calls: u32,
    pub after_ms: u64,
}

struct Run {
    class: String,
    calls_left: u32,
    /// Serial of the NEED that the run waits at.
    waits: Option<u64>,
    over: bool,
}

#[derive(Default)]
struct State {
    /// Number of the server's life that this engine works for.
    life: u64,
    notices: Vec<String>,
    link: Option<TcpStream>,
    runs: HashMap<String, Run>,
    /// Requests that came to the process: id to class and body.
    came: HashMap<String, (String, String)>,
    over: HashSet<String>,
}

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    works: Arc<Vec<Work>>,
    later: Later,
    record: Arc<Record>,
    /// Addresses that have moved.
    closed: Arc<Mutex<Vec<SocketAddr>>>,
    /// Ids in the order in which their runs were started, with the milliseconds.
    pub started: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Engine {
    pub fn start(name: &str, works: &[Work], later: &Later, record: &Arc<Record>) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Engine {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            works: Arc::new(works.to_vec()),
            later: later.clone(),
            record: record.clone(),
            closed: Arc::default(),
            started: Arc::default(),
        };
        let accepting = engine.clone();
        std::thread::spawn(move || accepting.accept(&listener));
        engine
    }

    /// Listens at one more address, as after a move by a new configuration.
    pub fn listen_again(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let accepting = self.clone();
        std::thread::spawn(move || accepting.accept(&listener));
        address
    }

    /// Begins a new life: the engine is killed and started together with its server.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        let life = state.life + 1;
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        *state = State { life, ..State::default() };
    }

    /// Breaks the link, as a bad peer does.
    pub fn break_link(&self) {
        if let Some(link) = self.state.lock().unwrap().link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// A request comes to the process.
    pub fn request_came(&self, id: &str, class: &str, body: &str) {
        let mut state = self.state.lock().unwrap();
        state.came.insert(id.into(), (class.into(), body.into()));
    }

    /// A request is answered or given up: a run that waits at a call ends there.
    pub fn request_over(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.over.insert(id.into());
        if state.runs.get(id).is_some_and(|run| !run.over && run.waits.is_some()) {
            self.done(&mut state, id, "cut", "");
        }
    }

    /// Accepts links until the address is closed.
    fn accept(&self, listener: &TcpListener) {
        let _ = listener.set_nonblocking(true);
        let Ok(address) = listener.local_addr() else { return };
        while !self.closed.lock().unwrap().contains(&address) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let engine = self.clone();
            std::thread::spawn(move || engine.serve(stream));
        }
    }

    /// The address has moved: it accepts nothing new, and the link there is closed after 1.5 s.
    pub fn close_address(&self, address: SocketAddr) {
        self.closed.lock().unwrap().push(address);
        let engine = self.clone();
        self.later.after(1_500, move || {
            let mut state = engine.state.lock().unwrap();
            if state.link.as_ref().and_then(|link| link.local_addr().ok()) == Some(address)
                && let Some(link) = state.link.take()
            {
                let _ = link.shutdown(Shutdown::Both);
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut life = None;
        for line in BufReader::new(reading).lines() {
            let Ok(line) = line else { return };
            let mut state = self.state.lock().unwrap();
            if line.contains("\"ATTACH\"") {
                life = Some(state.life);
                let serial = number(&line, "serial").unwrap_or(0) as usize;
                if let Some(former) = state.link.replace(stream.try_clone().unwrap()) {
                    let _ = former.shutdown(Shutdown::Both);
                }
                let mut bytes = "{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":60000}\n".to_string();
                for notice in state.notices.iter().skip(serial) {
                    bytes += notice;
                }
                let _ = state.link.as_ref().unwrap().write_all(bytes.as_bytes());
                self.record.line(format!("{}: link, notices after {serial}", self.name));
                continue;
            }
            let is_current =
                state.link.as_ref().and_then(|link| link.peer_addr().ok()) == stream.peer_addr().ok();
            if life != Some(state.life) || !is_current {
                return;
            }
            self.command(&mut state, &line);
        }
    }

    fn command(&self, state: &mut State, line: &str) {
        let id = member(line, "call").unwrap_or_default().to_string();
        match member(line, "msg").unwrap_or_default() {
            "STAT" => {
                let on_cores = state.runs.values().filter(|r| !r.over && r.waits.is_none()).count();
                let cookie = member(line, "cookie").unwrap_or_default();
                let stats = format!(
                    "{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[0.1,{on_cores},0.1,0.1]}}\n"
                );
                self.write(state, &stats);
            }
            "RUN" => self.run(state, &id, line),
            "FEED" => {
                if let Some(run) = state.runs.get_mut(&id)
                    && run.waits.take().is_some()
                    && !run.over
                {
                    self.work_on(state, &id);
                }
            }
            "SKIP" => {
                let serial = number(line, "serial");
                if let Some(run) = state.runs.get_mut(&id)
                    && run.waits == serial
                    && !run.over
                {
                    run.waits = None;
                    self.work_on(state, &id);
                }
            }
            "HALT" if state.runs.get(&id).is_some_and(|run| !run.over) => {
                self.done(state, &id, "cut", "");
            }
            _ => {}
        }
    }

    fn run(&self, state: &mut State, id: &str, line: &str) {
        if let Some(run) = state.runs.get(id) {
            if run.over {
                self.done(state, id, "gone", "");
            }
            return;
        }
        let class = member(line, "service").unwrap_or_default().to_string();
        let body = member(line, "blob").unwrap_or_default().to_string();
        if state.came.get(id) != Some(&(class.clone(), body)) {
            self.record.line(format!("{}: RUN {id} {class} is of no request", self.name));
            let no = format!("{{\"msg\":\"NO\",\"how\":\"RUN\",\"call\":\"{id}\"}}\n");
            return self.write(state, &no);
        }
        if state.over.contains(id) {
            return self.done(state, id, "gone", "");
        }
        let work = *self.works.iter().find(|work| work.class == class).expect("a class");
        self.record.line(format!("{}: run of {id} starts", self.name));
        self.started.lock().unwrap().push((self.record.ms(), id.into()));
        let run = Run { class, calls_left: work.calls, waits: None, over: false };
        state.runs.insert(id.into(), run);
        self.schedule(state, id, work.before_ms);
    }

    fn schedule(&self, state: &State, id: &str, ms: u64) {
        let (engine, id, life) = (self.clone(), id.to_string(), state.life);
        self.later.after(ms, move || {
            let mut state = engine.state.lock().unwrap();
            if state.life == life {
                engine.step(&mut state, &id);
            }
        });
    }

    fn work_on(&self, state: &mut State, id: &str) {
        let run = &state.runs[id];
        let work = *self.works.iter().find(|work| work.class == run.class).expect("a class");
        self.schedule(state, id, work.after_ms);
    }

    /// The run goes on to its next call or its end.
    fn step(&self, state: &mut State, id: &str) {
        let Some(run) = state.runs.get_mut(id).filter(|run| !run.over) else { return };
        if run.calls_left == 0 {
            let result = base64(format!("result of {id}").as_bytes());
            return self.done(state, id, "good", &result);
        }
        run.calls_left -= 1;
        if state.over.contains(id) {
            return self.done(state, id, "cut", "");
        }
        let serial = state.notices.len() as u64 + 1;
        state.runs.get_mut(id).unwrap().waits = Some(serial);
        let body = base64(format!("call {serial} of {id}").as_bytes());
        let need =
            format!("{{\"msg\":\"NEED\",\"serial\":{serial},\"call\":\"{id}\",\"blob\":\"{body}\"}}\n");
        self.notice(state, need);
    }

    fn done(&self, state: &mut State, id: &str, how: &str, result: &str) {
        let serial = state.notices.len() + 1;
        if let Some(run) = state.runs.get_mut(id) {
            run.over = true;
            run.waits = None;
        }
        self.record.line(format!("{}: run of {id} is over, {how}", self.name));
        let done = format!(
            "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{id}\",\"how\":\"{how}\",\"duration\":5,\"blob\":\"{result}\"}}\n"
        );
        self.notice(state, done);
    }

    fn notice(&self, state: &mut State, line: String) {
        self.write(state, &line);
        state.notices.push(line);
    }

    fn write(&self, state: &mut State, line: &str) {
        if let Some(link) = &mut state.link {
            let _ = link.write_all(line.as_bytes());
        }
    }
}
