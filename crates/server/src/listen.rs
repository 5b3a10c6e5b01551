//! Takes the balancers' connections, as many as the limit on descriptors leaves, and serves each in a task of
//! its own: a bad peer or a panic ends there.

use crate::clock::Clock;
use crate::drive::{Outbox, drive};
use crate::front::Front;
use crate::serve::Shared;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Descriptors kept for the program's own: standard streams, runtime, listener, links, a few to spare.
const OWN: usize = 24;
/// Wait after an accept that failed, most often for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);

/// How many connections a limit on descriptors leaves room for; none where it is too small to serve.
pub fn room(descriptors: usize) -> Option<usize> {
    descriptors.checked_sub(OWN).filter(|n| *n > 0)
}

/// Tells the core that a connection is over, however it ended.
struct Ends {
    no: u64,
    clock: Rc<Clock>,
    serve: Shared,
}

impl Drop for Ends {
    fn drop(&mut self) {
        if let Ok(mut serve) = self.serve.try_borrow_mut() {
            serve.closed(self.clock.now(), self.no);
        }
    }
}

pub async fn run(listener: TcpListener, room: usize, clock: Rc<Clock>, serve: Shared) {
    let room = Arc::new(Semaphore::new(room));
    loop {
        let Ok(place) = room.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("accept failed: {e}");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let (clock, serve) = (clock.clone(), serve.clone());
        tokio::task::spawn_local(async move {
            connection(stream, clock, serve).await;
            drop(place);
        });
    }
}

async fn connection(stream: TcpStream, clock: Rc<Clock>, serve: Shared) {
    let out = Outbox::default();
    let no = serve.borrow_mut().opened(clock.now(), out.clone());
    let _ends = Ends { no, clock: clock.clone(), serve: serve.clone() };
    let mut front = Front::new(no);
    let end = drive(&stream, &out, |bytes| front.fed(clock.now(), bytes, &mut serve.borrow_mut())).await;
    if let Err(e) = end {
        log::debug!("connection {no} broke: {e}");
    }
}
