//! Takes the balancers' connections, as many as the limit on descriptors leaves, and serves each in a task of
//! its own: a bad peer or a panic ends there.

use crate::core::serve::Shared;
use crate::downstream::json_rpc::Front;
use crate::support::clock::Clock;
use crate::support::io::{Outbox, drive_peer};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Descriptors kept for the program's own: standard streams, runtime, listener, links; and the part of all
/// that calls to the catalogue may need.
const OWN: usize = 16;
const CALLS_PART: usize = 8;
/// Connections beyond the room that are served at once, to be told so; further ones wait with the machine.
const BEYOND: usize = 4;
/// Wait for one of them to be over.
const LOOK: Duration = Duration::from_millis(5);
/// Wait after an accept that failed, most often for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);

/// The descriptors that are not the program's own.
pub fn others(descriptors: usize) -> usize {
    descriptors.saturating_sub(OWN)
}

/// How many connections a limit on descriptors leaves room for; none where it is too small to serve.
pub fn room(descriptors: usize) -> Option<usize> {
    descriptors
        .checked_sub(OWN + descriptors / CALLS_PART)
        .filter(|n| *n > 0)
}

/// Tells the core that a connection is over, however it ended; where the core is at work, once it is free.
struct Ends {
    no: u64,
    clock: Rc<Clock>,
    serve: Shared,
}

impl Drop for Ends {
    fn drop(&mut self) {
        match self.serve.try_borrow_mut() {
            Ok(mut serve) => serve.closed(self.clock.now(), self.no),
            Err(_) => {
                let (no, clock, serve) = (self.no, self.clock.clone(), self.serve.clone());
                tokio::task::spawn_local(async move {
                    while serve
                        .try_borrow_mut()
                        .map(|mut s| s.closed(clock.now(), no))
                        .is_err()
                    {
                        tokio::task::yield_now().await;
                    }
                });
            }
        }
    }
}

/// Takes connections until it is told to stop.
pub async fn run(
    listener: TcpListener,
    room: usize,
    clock: Rc<Clock>,
    serve: Shared,
    stop: Rc<Notify>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let found = find_room(room, &clock, &serve).await;
                take(stream, found, &clock, &serve);
            }
            Err(e) => {
                log::warn!("accept failed: {e}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    // What the machine has accepted may carry a req already, and closing would lose it.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    for stream in waiting(&listener) {
        let found = serve.borrow().connections() < room;
        if let Ok(stream) = TcpStream::from_std(stream) {
            take(stream, found, &clock, &serve);
        }
    }
    log::info!("listening no more");
}

/// The connections that the machine has accepted and nobody took; none is waited for.
pub fn waiting(listener: &std::net::TcpListener) -> impl Iterator<Item = std::net::TcpStream> {
    let next = || {
        listener
            .accept()
            .ok()
            .filter(|(s, _)| s.set_nonblocking(true).is_ok())
            .map(|(s, _)| s)
    };
    std::iter::from_fn(next)
}

fn take(stream: TcpStream, room: bool, clock: &Rc<Clock>, serve: &Shared) {
    // It counts from here on, not from its task's first turn: many may be accepted before that.
    let (out, now) = (Outbox::default(), clock.now());
    let mut core = serve.borrow_mut();
    // Never closed unread: the machine has accepted it, and what is written to it is owed an answer.
    let no = if room {
        core.opened(now, out.clone())
    } else {
        core.opened_beyond(now, out.clone())
    };
    let ends = Ends {
        no,
        clock: clock.clone(),
        serve: serve.clone(),
    };
    tokio::task::spawn_local(connection(stream, out, ends));
}

/// Has connections end that carry nothing, until there is room for one more. False where all carry something:
/// the next is told so, once few enough others are being told.
async fn find_room(room: usize, clock: &Clock, serve: &Shared) -> bool {
    while serve.borrow().connections() >= room {
        if !serve.borrow_mut().make_room(clock.now()) {
            if serve.borrow().beyond() < BEYOND {
                return false;
            }
            tokio::time::sleep(LOOK).await;
        }
        tokio::task::yield_now().await;
    }
    true
}

async fn connection(stream: TcpStream, out: Outbox, ends: Ends) {
    let mut front = Front::new(ends.no);
    let fed = |bytes: &[u8]| front.fed(ends.clock.now(), bytes, &mut ends.serve.borrow_mut());
    if let Err(e) = drive_peer(&stream, &out, fed).await {
        log::debug!("connection {} broke: {e}", ends.no);
    }
}
