//! The tasks of a running server, each started by one function here, and what ends it.
//!
//! All tasks run on the one thread of the server's `LocalSet`, and none is awaited. What is left of them when the
//! shutdown is over is dropped with the set, after [`Server`](crate::server::Server) and before the process ends.
//!
//! | task | runs | ends |
//! | --- | --- | --- |
//! | store events | with `[kept-results]`: brings reports of the writing thread to the core | with that thread, or the set |
//! | gossip | with `[members]`: datagrams of the fleet, and the backends' timers and gossip | with the set |
//! | backends | with `[routes]`, without `[members]`: the backends' timers | with the set |
//! | control socket | with `[control]`: accepts clients, four at a time | with the set |
//! | control client, one each | answers its queries | when the client closes, stalls or errs, or with the set |
//! | engine | keeps the link to the engine | with the set |
//! | catalogue | opens connections for calls upstream | with the set |
//! | call connection, one each | sends calls and reads their answers | when either side closes it, or with the set |
//! | registration | reports to the registry | with the set |
//! | tick loop | the one timer; settles the decisions | with the set |
//! | listener | accepts connections from downstream | by the shutdown, once the backlog is taken, or with the set |
//! | connection, one each | reads requests, writes answers | when its peer or the core ends it, or with the set |
//! | late close | where a connection ended while the core was borrowed: reports that | when it is reported, or with the set |
//!
//! Two threads are beside them. The logger's is started by `main` and ends with the process. The thread that writes
//! durable results is started with the store and ends when the core drops its side of the channel, or with the
//! process; nobody joins it, since a result counts as durable only once the thread has reported it.

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
use tokio::task::spawn_local;

/// Longest sleep of the tick loop where no timer is set.
const MAX_IDLE: StdDuration = StdDuration::from_secs(1);

/// Starts the task that brings the writing thread's reports to the core.
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

/// Starts the task that accepts connections from downstream, until `stop` is notified.
pub(crate) fn spawn_listener(
    listener: TcpListener,
    max_connections: usize,
    clock: &Rc<Clock>,
    core: &SharedEventLoop,
    stop: &Rc<Notify>,
) {
    spawn_local(listener::run(
        listener,
        max_connections,
        clock.clone(),
        core.clone(),
        stop.clone(),
    ));
}

/// The one timer of the decisions. A turn is taken at the next deadline, and whenever something has changed; by then
/// all input that was ready has been taken in, since the other tasks run first.
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
            log::error!("server: turn failed");
        }
    }
}

/// The time to the next deadline, or [`MAX_IDLE`] without one.
fn time_to_next_turn(clock: &Clock, core: &SharedEventLoop) -> StdDuration {
    let deadline = core.borrow().next_deadline();
    let now = clock.now();
    deadline.map_or(MAX_IDLE, |deadline| {
        StdDuration::from_micros((deadline - now).as_micros())
    })
}
