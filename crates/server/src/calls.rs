//! The catalogue: calls out over few connections, replies back in any order.

use crate::door::{Name, spelt};
use crate::drive::Outbox;
use madderbay::face::Outcome;
use madderbay::time::{At, Span};
use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Connections that stand idle for 10 s are closed by the catalogue; ours go well before.
const IDLE_MOST: Span = Span::millis(5_000);
/// Longer than any legal reply line or body.
const LINE_MOST: usize = 128;
const BODY_MOST: usize = 64 << 10;
/// A connection not made by then proves as much as a refused one: on it no call ran.
const CONNECT: Duration = Duration::from_millis(500);

/// Calls given up in a row without a reply between them, from which a connection takes no more: it may have
/// gone silent without breaking, and each call on it would only run out of time.
const UNHEARD_MOST: u32 = 4;

/// A call that is out, and where its bytes begin in what its connection sends.
struct Made {
    id: u64,
    at: At,
    begins: u64,
}

struct Wire {
    no: u64,
    out: Outbox,
    calls: HashMap<Name, Made>,
    /// Given up on here: a reply may still cross, so no second call for the same req goes this way.
    given_up: HashSet<Name>,
    unheard: u32,
    used: At,
}

/// All calls in hand and the connections that they are on.
#[derive(Default)]
pub struct Desk {
    wires: Vec<Wire>,
    numbers: u64,
    /// Connections wanted, for the driver to open.
    pub wanted: Vec<(u64, Outbox)>,
}

impl Desk {
    pub fn fetch(&mut self, now: At, id: u64, name: &Name, patience: Span, body: &[u8]) {
        let fit = self.wires.iter().position(|w| w.unheard < UNHEARD_MOST && !w.given_up.contains(name));
        let at = fit.unwrap_or_else(|| {
            self.numbers += 1;
            let out = Outbox::default();
            self.wanted.push((self.numbers, out.clone()));
            let (calls, given_up) = (HashMap::new(), HashSet::new());
            self.wires.push(Wire { no: self.numbers, out, calls, given_up, unheard: 0, used: now });
            self.wires.len() - 1
        });
        let wire = &mut self.wires[at];
        wire.calls.insert(*name, Made { id, at: now, begins: wire.out.queued() });
        wire.used = now;
        wire.out.put(|b| {
            let millis = (patience.as_micros() / 1000).max(1);
            let _ = write!(b, "FETCH {} {millis} {}\r\n", spelt(name), body.len());
            b.extend_from_slice(body);
            b.extend_from_slice(b"\r\n");
        });
    }

    /// Gives a call up; tells whose it was and how long it took. It may have had its effect, and may still
    /// have it where it was not sent yet: its bytes stay queued, so that nothing is proven.
    pub fn quit(&mut self, now: At, name: &Name) -> Option<(u64, Span)> {
        let wire = self.wires.iter_mut().find(|w| w.calls.contains_key(name))?;
        let call = wire.calls.remove(name)?;
        wire.given_up.insert(*name);
        wire.unheard += 1;
        wire.used = now;
        wire.out.put(|b| {
            let _ = write!(b, "QUIT {}\r\n", spelt(name));
        });
        Some((call.id, now - call.at))
    }

    /// A reply on a connection; nothing if its call was given up.
    pub fn replied(&mut self, now: At, no: u64, name: &Name) -> Option<(u64, Span)> {
        let wire = self.wires.iter_mut().find(|w| w.no == no)?;
        wire.given_up.remove(name);
        wire.unheard = 0;
        wire.used = now;
        wire.calls.remove(name).map(|call| (call.id, now - call.at))
    }

    /// A connection is over: what was on it never ran where it was not sent, else may have run.
    pub fn ended(&mut self, now: At, no: u64, out: &Outbox) -> Vec<(u64, Outcome, Span)> {
        let Some(at) = self.wires.iter().position(|w| w.no == no) else { return vec![] };
        let wire = self.wires.remove(at);
        let how = |c: &Made| if out.written() > c.begins { Outcome::CutOff } else { Outcome::Unreached };
        let mut over: Vec<_> = wire.calls.values().map(|c| (c.id, how(c), now - c.at)).collect();
        over.sort_by_key(|o| o.0);
        over
    }

    /// The req is over: no more calls for it, so late replies can't be mistaken.
    pub fn forget(&mut self, name: &Name) {
        self.wires.iter_mut().for_each(|w| {
            w.given_up.remove(name);
        });
    }

    /// Closes what stands idle, before the other side does: no call is sent into a closing connection. One
    /// that takes no more calls goes as soon as none is on it.
    pub fn tidy(&mut self, now: At) {
        self.wires.retain(|w| {
            let keep = !w.calls.is_empty() || (w.unheard < UNHEARD_MOST && now - w.used < IDLE_MOST);
            if !keep {
                w.out.close();
            }
            keep
        });
    }

    pub fn out(&self) -> usize {
        self.wires.iter().map(|w| w.calls.len()).sum()
    }
}

/// Reads the replies of one connection.
#[derive(Default)]
pub struct Replies {
    part: Vec<u8>,
}

/// One reply: whose call, how it came out, and the body if it went well.
pub type Reply<'a> = (Name, Outcome, &'a [u8]);

impl Replies {
    /// Calls `each` for every whole reply; false when the stream can't be read on.
    pub fn feed(&mut self, bytes: &[u8], mut each: impl FnMut(Reply)) -> bool {
        self.part.extend_from_slice(bytes);
        let mut from = 0;
        let good = loop {
            match reply(&self.part[from..]) {
                Ok(Some((reply, used))) => {
                    each(reply);
                    from += used;
                }
                Ok(None) => break true,
                Err(()) => break false,
            }
        };
        self.part.drain(..from);
        good
    }
}

fn reply(bytes: &[u8]) -> Result<Option<(Reply<'_>, usize)>, ()> {
    let Some(end) = bytes.iter().take(LINE_MOST).position(|b| *b == b'\n') else {
        return if bytes.len() < LINE_MOST { Ok(None) } else { Err(()) };
    };
    let line = std::str::from_utf8(bytes[..end].strip_suffix(b"\r").ok_or(())?).map_err(|_| ())?;
    let mut words = line.split(' ');
    let (name, word) = (words.next().ok_or(())?, words.next().ok_or(())?);
    let name: Name = name.as_bytes().try_into().map_err(|_| ())?;
    let how = match word {
        "DATA" => {
            let len: usize =
                words.next().and_then(|n| n.parse().ok()).filter(|n| *n <= BODY_MOST).ok_or(())?;
            let body = end + 1..end + 1 + len;
            let Some(close) = bytes.get(body.end..body.end + 2) else { return Ok(None) };
            return if close == b"\r\n" {
                Ok(Some(((name, Outcome::Done, &bytes[body.clone()]), body.end + 2)))
            } else {
                Err(())
            };
        }
        "LATER" => Outcome::Shed,
        "FAULT" => Outcome::Errored,
        "TOOSLOW" => Outcome::TimedOut,
        "NOUSE" => Outcome::Unreached,
        _ => return Err(()),
    };
    Ok(Some(((name, how, &[]), end + 1)))
}

/// The driver: opens the connections that the desk wants and serves each until it is over. Without an address
/// none can be made, and no call runs.
pub async fn run(
    address: Option<std::net::SocketAddr>, clock: Rc<crate::clock::Clock>, serve: crate::serve::Shared,
) {
    loop {
        let wanted = std::mem::take(&mut serve.borrow_mut().hands.calls.wanted);
        for (no, out) in wanted {
            let (clock, serve) = (clock.clone(), serve.clone());
            tokio::task::spawn_local(async move {
                let mut replies = Replies::default();
                let connect = async {
                    match address {
                        Some(address) => TcpStream::connect(address).await,
                        None => Err(ErrorKind::AddrNotAvailable.into()),
                    }
                };
                let end = match timeout(CONNECT, connect).await {
                    Ok(Ok(stream)) => {
                        crate::drive::drive_link(&stream, &out, |bytes| {
                            let now = clock.now();
                            let mut serve = serve.borrow_mut();
                            let whole = replies.feed(bytes, |(name, how, body)| {
                                serve.call_over(now, no, &name, how, body);
                            });
                            if !whole {
                                serve.hands.counters.bad_replies += 1;
                                log::warn!("catalogue: a reply that can't be read; connection closed");
                            }
                            whole
                        })
                        .await
                    }
                    Ok(Err(e)) => Err(e),
                    Err(_) => Err(ErrorKind::TimedOut.into()),
                };
                if let Err(e) = end {
                    log::info!("catalogue: connection lost: {e}");
                }
                serve.borrow_mut().calls_lost(clock.now(), no, &out);
            });
        }
        let dial = serve.borrow().hands.dial.clone();
        dial.notified().await;
    }
}
