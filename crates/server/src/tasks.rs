//! The tasks of a running server. The table lists what each task does and when it ends.
//!
//! All tasks run on the single thread of the server's `LocalSet`, and none is awaited; a shutdown only checks whether the
//! listener's has ended. Tasks that still exist after the shutdown are dropped with the set, after
//! [`Server`](crate::server::Server) and before the process ends.
//!
//! | task | runs | ends |
//! | --- | --- | --- |
//! | store events | with `[kept-results]`: passes events of the writer thread to the core | with that thread or the set |
//! | gossip | with `[members]`: exchanges datagrams with the fleet, and runs the backends' timers | with the set |
//! | backends | with `[routes]` and without `[members]`: runs the backends' timers | with the set |
//! | control socket | with `[control]`: accepts clients, four at a time | with the set |
//! | control client, one each | answers its queries | when the client closes, stalls or fails, or with the set |
//! | engine | maintains the link to the engine | with the set |
//! | catalogue | opens connections for upstream calls | with the set |
//! | call connection, one each | sends calls and reads their replies | when either side closes it, or with the set |
//! | registration | reports to the registry | with the set |
//! | tick loop | the decision module's only timer: runs its turns | with the set |
//! | listener | accepts downstream connections | on shutdown, once the backlog is accepted, or with the set |
//! | connection, one each | reads requests, writes answers | when its peer or the core closes it, or with the set |
//! | late close | reports a connection that ended while the core was borrowed | once it is reported, or with the set |
//!
//! There are two more threads. The logger's thread is started by `main` and ends with the process. The thread that
//! writes durable results is started with the store and ends when the core drops its end of the channel, or with the
//! process. It is not joined, since a result counts as durable only once the thread has reported it.

use crate::reloadable_values::ReloadableValues;
use madderbay_server::core::durability::StorageEvent;
use madderbay_server::core::event_loop::SharedEventLoop;
use madderbay_server::downstream::{listener, registration};
use madderbay_server::fleet::backends::Backends;
use madderbay_server::fleet::control_socket::{self, Sources};
use madderbay_server::fleet::gossip::{self, Fleet};
use madderbay_server::support::clock::Clock;
use madderbay_server::upstream::{calls, engine};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::net::{TcpListener, UdpSocket, UnixListener};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{JoinHandle, spawn_local};

/// Maximum sleep of the tick loop while no timer is set.
const MAX_IDLE: StdDuration = StdDuration::from_secs(1);

/// Starts the task that passes the writer thread's events to the core.
pub(crate) fn spawn_store_events(
    mut events: UnboundedReceiver<StorageEvent>,
    clock: &Rc<Clock>,
    core: &SharedEventLoop,
) {
    let clock = clock.clone();
    let core = core.clone();
    spawn_local(async move {
        while let Some(event) = events.recv().await {
            core.borrow_mut().storage_event(clock.now(), event);
        }
        let ended = StorageEvent::writer_ended_for_good();
        core.borrow_mut().storage_event(clock.now(), ended);
    });
}

/// Starts the gossip task.
pub(crate) fn spawn_gossip(socket: &Rc<UdpSocket>, fleet: &Rc<Fleet>) {
    spawn_local(gossip::run(socket.clone(), fleet.clone()));
}

/// Starts the task that drives the backends of a server without a fleet.
pub(crate) fn spawn_backends(backends: &Rc<Backends>) {
    spawn_local(backends.clone().run());
}

/// Starts the task that accepts clients of the control socket.
pub(crate) fn spawn_control_socket(listener: UnixListener, sources: Sources) {
    spawn_local(control_socket::run(listener, sources));
}

/// Starts the drivers of engine, catalogue and registry, and the tick loop.
pub(crate) fn spawn_drivers(
    name: &str,
    reloadable: &ReloadableValues,
    clock: &Rc<Clock>,
    core: &SharedEventLoop,
) {
    spawn_local(engine::run(
        reloadable.engine(),
        clock.clone(),
        core.clone(),
    ));
    spawn_local(calls::run(
        reloadable.catalogue(),
        clock.clone(),
        core.clone(),
    ));
    spawn_local(registration::run(
        reloadable.registry(),
        name.to_string(),
        core.clone(),
    ));
    spawn_local(tick_loop(clock.clone(), core.clone()));
}

/// The task that accepts downstream connections.
pub(crate) struct ListenerTask {
    stop: Rc<Notify>,
    task: JoinHandle<()>,
}

impl ListenerTask {
    /// Closes the listener once the connections in the backlog are accepted.
    pub(crate) fn stop(&self) {
        self.stop.notify_one();
    }

    /// Reports whether connections may still be accepted: the listener is open, or its backlog is not yet taken.
    pub(crate) fn is_running(&self) -> bool {
        !self.task.is_finished()
    }
}

/// Starts the task that accepts downstream connections until it is stopped.
pub(crate) fn spawn_listener(
    listener: TcpListener,
    max_connections: usize,
    clock: &Rc<Clock>,
    core: &SharedEventLoop,
) -> ListenerTask {
    let stop = Rc::new(Notify::new());
    let task = spawn_local(listener::run(
        listener,
        max_connections,
        clock.clone(),
        core.clone(),
        stop.clone(),
    ));
    ListenerTask { stop, task }
}

/// The only timer of the decision module: runs a turn at its next timer deadline, and whenever the core reports pending
/// work. It yields to the other tasks first, so that all input that is ready is read before the turn.
async fn tick_loop(clock: Rc<Clock>, core: SharedEventLoop) {
    let changed = core.borrow().work_pending();
    loop {
        let wait = time_to_next_turn(&clock, &core);
        tokio::select! {
            biased;
            () = changed.notified() => {}
            () = tokio::time::sleep(wait) => {}
        }
        tokio::task::yield_now().await;
        let run_turn = || core.borrow_mut().run_turn(clock.now());
        if catch_unwind(AssertUnwindSafe(run_turn)).is_err() {
            log::error!("server: decision turn panicked");
        }
    }
}

/// Returns the time to the next timer deadline, or [`MAX_IDLE`] if there is none.
fn time_to_next_turn(clock: &Clock, core: &SharedEventLoop) -> StdDuration {
    let deadline = core.borrow().next_deadline();
    let now = clock.now();
    deadline.map_or(MAX_IDLE, |deadline| {
        StdDuration::from_micros((deadline - now).as_micros())
    })
}
