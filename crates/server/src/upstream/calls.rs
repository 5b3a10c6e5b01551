//! The catalogue, and backends that speak as it does: calls out, each on a connection that it has to itself, and their replies back. A reply that
//! is spoilt, or never comes, so costs no other call; and a call is given up by closing its connection.

use crate::support::clock::Clock;
use crate::support::io::{Outbox, connect, drive_link};
use crate::support::name::{Name, spelt};
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};
use std::cell::RefCell;
use std::collections::HashSet;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::sync::{Notify, watch};

/// A connection idle for longer takes no more calls: the catalogue may have closed or forgotten it, and a
/// call that meets its reset can't be told from one that ran.
const IDLE_MOST: Duration = Duration::from_millis(1_000);
/// Longer than any legal reply line or body.
const LINE_MOST: usize = 64;
const BODY_MOST: usize = 64 << 10;
/// A connection not made by then proves as much as a refused one: on it no call ran.
const CONNECT: StdDuration = StdDuration::from_millis(500);

/// A call that is out, and where its bytes begin in what its connection sends.
struct Made {
    id: u64,
    name: Name,
    at: Timestamp,
    begins: u64,
}

struct Wire {
    no: u64,
    /// Where it leads; nothing: to the catalogue, wherever that is.
    to: Option<SocketAddr>,
    out: Outbox,
    call: Option<Made>,
    /// Reqs in hand that have called here: a second copy of a reply may still come, so they call elsewhere.
    met: HashSet<Name>,
    used: Timestamp,
    /// It leads to an address that has been left.
    left: bool,
}

impl Wire {
    /// Fit for one more call, once it carries none.
    fn fresh(&self, now: Timestamp) -> bool {
        !self.left && now - self.used < IDLE_MOST
    }
}

/// All calls in hand and the connections that they are on; no more than the runs in hand.
#[derive(Default)]
pub struct CallDispatcher {
    wires: Vec<Wire>,
    numbers: u64,
    /// Connections wanted, for the driver to open, and what tells it.
    pub wanted: Vec<(u64, Outbox, Option<SocketAddr>)>,
    dial: Rc<Notify>,
}

/// Who hears how calls come out.
pub trait CallObserver {
    fn desk(&mut self) -> &mut CallDispatcher;
    /// Whether one more connection may be opened beside so many.
    fn may_dial(&self, open: usize) -> bool;
    /// A reply on the connection `wire`.
    fn call_over(&mut self, now: Timestamp, wire: u64, name: &Name, how: Outcome, body: &[u8]);
    /// A connection is over.
    fn call_lost(&mut self, now: Timestamp, wire: u64);
    /// A reply could not be read.
    fn unread(&mut self);
}

/// Whose call is over, how and after what time.
pub type EndedCall = (u64, Outcome, Duration);

impl CallDispatcher {
    /// Sends a call to the catalogue, or to a backend; gives the number of the connection that it is on.
    pub fn fetch(
        &mut self,
        now: Timestamp,
        id: u64,
        name: &Name,
        patience: Duration,
        body: &[u8],
        to: Option<SocketAddr>,
    ) -> u64 {
        // The one used last is the least likely to have been forgotten.
        let free = |w: &&mut Wire| w.to == to && w.call.is_none() && w.fresh(now);
        let fit = self
            .wires
            .iter_mut()
            .filter(free)
            .filter(|w| !w.met.contains(name))
            .max_by_key(|w| w.used);
        let wire = match fit {
            Some(wire) => wire,
            None => {
                self.numbers += 1;
                let (no, out) = (self.numbers, Outbox::default());
                self.wanted.push((no, out.clone(), to));
                self.dial.notify_one();
                let met = HashSet::new();
                self.wires.push(Wire {
                    no,
                    to,
                    out,
                    call: None,
                    met,
                    used: now,
                    left: false,
                });
                self.wires.last_mut().expect("just made")
            }
        };
        wire.call = Some(Made {
            id,
            name: *name,
            at: now,
            begins: wire.out.queued(),
        });
        wire.met.insert(*name);
        wire.out.put(|b| {
            let millis = (patience.as_micros() / 1000).max(1);
            let _ = write!(b, "FETCH {} {millis} {}\r\n", spelt(name), body.len());
            b.extend_from_slice(body);
            b.extend_from_slice(b"\r\n");
        });
        wire.no
    }

    /// Gives a call up, and its connection with it: what was not sent never will be.
    pub fn quit(&mut self, now: Timestamp, name: &Name) -> Option<EndedCall> {
        self.end(now, Outcome::TimedOut, |w| {
            w.call.as_ref().is_some_and(|c| c.name == *name)
        })
    }

    /// The same for the call on one connection.
    pub fn quit_wire(&mut self, now: Timestamp, no: u64) -> Option<EndedCall> {
        self.end(now, Outcome::TimedOut, |w| w.no == no && w.call.is_some())
    }

    /// A reply on a connection; nothing if it is not that of the call in hand there.
    pub fn replied(&mut self, now: Timestamp, no: u64, name: &Name) -> Option<(u64, Duration)> {
        let wire = self.wires.iter_mut().find(|w| w.no == no)?;
        let call = wire.call.take_if(|c| c.name == *name)?;
        wire.used = now;
        if wire.left {
            wire.out.cut();
        }
        Some((call.id, now - call.at))
    }

    /// A connection is over, and with it the call on it.
    pub fn ended(&mut self, now: Timestamp, no: u64) -> Option<EndedCall> {
        self.end(now, Outcome::Disconnected, |w| w.no == no)
    }

    /// Takes a connection off. Of a call on it that was not sent it says that it never ran, else `sent`.
    fn end(
        &mut self,
        now: Timestamp,
        sent: Outcome,
        which: impl FnMut(&Wire) -> bool,
    ) -> Option<EndedCall> {
        let at = self.wires.iter().position(which)?;
        let wire = self.wires.swap_remove(at);
        wire.out.cut();
        let call = wire.call?;
        let how = if wire.out.written() > call.begins {
            sent
        } else {
            Outcome::Unreachable
        };
        Some((call.id, how, now - call.at))
    }

    /// The req is over: no more calls for it, so late replies can't be mistaken.
    pub fn forget(&mut self, name: &Name) {
        self.wires.iter_mut().for_each(|w| {
            w.met.remove(name);
        });
    }

    /// The catalogue has moved: calls in hand may still come back, new ones go to the new address.
    pub fn moved(&mut self, now: Timestamp) {
        self.wires
            .iter_mut()
            .filter(|w| w.to.is_none())
            .for_each(|w| w.left = true);
        self.tidy(now);
    }

    /// Closes what stands idle.
    pub fn tidy(&mut self, now: Timestamp) {
        self.wires.retain(|w| {
            let keep = w.call.is_some() || w.fresh(now);
            if !keep {
                w.out.cut();
            }
            keep
        });
    }

    pub fn out(&self) -> usize {
        self.wires.iter().filter(|w| w.call.is_some()).count()
    }
}

/// Reads the replies of one connection.
#[derive(Default)]
pub struct ReplyReader {
    part: Vec<u8>,
}

/// One reply: whose call, how it came out, and the body if it went well.
pub type Reply<'a> = (Name, Outcome, &'a [u8]);

impl ReplyReader {
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
        // Noise is told before its line ends, which may be never.
        let name = bytes.iter().take(16).all(u8::is_ascii_hexdigit);
        let so_far = name && bytes.get(16).is_none_or(|b| *b == b' ') && bytes.len() < LINE_MOST;
        return if so_far { Ok(None) } else { Err(()) };
    };
    let line = std::str::from_utf8(bytes[..end].strip_suffix(b"\r").ok_or(())?).map_err(|_| ())?;
    let mut words = line.split(' ');
    let (name, word) = (words.next().ok_or(())?, words.next().ok_or(())?);
    let name: Name = name.as_bytes().try_into().map_err(|_| ())?;
    let how = match word {
        "DATA" => {
            let len: usize = words
                .next()
                .and_then(|n| n.parse().ok())
                .filter(|n| *n <= BODY_MOST)
                .ok_or(())?;
            let body = end + 1..end + 1 + len;
            let Some(close) = bytes.get(body.end..body.end + 2) else {
                return Ok(None);
            };
            return if close == b"\r\n" {
                Ok(Some((
                    (name, Outcome::Completed, &bytes[body.clone()]),
                    body.end + 2,
                )))
            } else {
                Err(())
            };
        }
        "LATER" => Outcome::Rejected,
        "FAULT" => Outcome::Failed,
        "TOOSLOW" => Outcome::TimedOut,
        "NOUSE" => Outcome::Unreachable,
        _ => return Err(()),
    };
    Ok(Some(((name, how, &[]), end + 1)))
}

/// The driver: opens the connections that the desk wants and serves each until it is over. Without an address
/// none can be made, and no call runs.
pub async fn run<C: CallObserver + 'static>(
    mut address: watch::Receiver<Option<SocketAddr>>,
    clock: Rc<Clock>,
    core: Rc<RefCell<C>>,
) {
    let dial = core.borrow_mut().desk().dial.clone();
    let open = Rc::new(());
    loop {
        let at = *address.borrow_and_update();
        let wanted = std::mem::take(&mut core.borrow_mut().desk().wanted);
        for (no, out, to) in wanted {
            if !core.borrow().may_dial(Rc::strong_count(&open) - 1) {
                log::debug!("catalogue: no descriptor available for call");
                core.borrow_mut().call_lost(clock.now(), no);
                continue;
            }
            let (clock, core, open) = (clock.clone(), core.clone(), open.clone());
            tokio::task::spawn_local(async move {
                let _open = open;
                if let Err(e) = connection(to.or(at), no, &out, &clock, &core).await {
                    match to {
                        Some(backend) => {
                            log::info!("backend: connection lost, address={backend}, error={e}");
                        }
                        None => log::info!("catalogue: connection lost, error={e}"),
                    }
                }
                core.borrow_mut().call_lost(clock.now(), no);
            });
        }
        tokio::select! {
            () = dial.notified() => {}
            Ok(()) = address.changed() => core.borrow_mut().desk().moved(clock.now()),
        }
    }
}

async fn connection<C: CallObserver>(
    address: Option<SocketAddr>,
    no: u64,
    out: &Outbox,
    clock: &Clock,
    core: &RefCell<C>,
) -> std::io::Result<()> {
    let address = address.ok_or(ErrorKind::AddrNotAvailable)?;
    let stream = connect(address, CONNECT).await?;
    let mut replies = ReplyReader::default();
    let fed = |bytes: &[u8]| {
        let (now, mut core) = (clock.now(), core.borrow_mut());
        let whole = replies.feed(bytes, |(name, how, body)| {
            core.call_over(now, no, &name, how, body)
        });
        if !whole {
            core.unread();
            log::debug!("catalogue: unreadable reply received and connection closed");
        }
        whole
    };
    drive_link(&stream, out, fed).await
}
