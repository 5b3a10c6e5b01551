//! The state of the model (servers, upstream calls and messages in transit) and its transitions.

use super::defect::{Defect, restart_pending_request, subtract_return};
use crate::ledger::*;
use madderbay::time::Duration;

const SERVERS: usize = 3;
/// Base quotas of the servers. One server has all units, so that every call of another server needs
/// a lease.
const BASE_QUOTAS: [u32; SERVERS] = [2, 0, 0];
pub(super) const CAPACITY: usize = 2;
const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_micros(2),
    max_call: Duration::from_micros(1),
    guard: Duration::ZERO,
};
/// Limits on the length of one history.
const MAX_TICKS: u64 = 5;
const INITIAL_LEASES_EXPIRED_TICK: u64 = 4;
const MAX_ENVELOPES_IN_TRANSIT: usize = 2;
const MAX_REQUESTS: u8 = 2;
const MAX_RETURNS: u8 = 1;

/// Number of faults that may still be injected into a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct FaultBudget {
    pub(super) pauses: u8,
    pub(super) crashes: u8,
    pub(super) duplicates: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum ModelMessage {
    Request {
        request_id: u32,
        units: u32,
    },
    Grant {
        request_id: u32,
        units: u32,
    },
    Return {
        request_id: u32,
        kept_units: u32,
        returned_units: u32,
    },
}

/// One incarnation of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Address {
    server: usize,
    incarnation: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Envelope {
    from: Address,
    to: Address,
    message: ModelMessage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    ledger: Ledger,
    incarnation: u8,
    paused: bool,
    /// Calls that ended while the server was paused. The ledger counts their ends when it resumes.
    uncounted_ends: u32,
}

/// A call in flight upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Call {
    caller: Address,
    ends_by: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    now: u64,
    servers: Vec<Server>,
    calls: Vec<Call>,
    in_transit: Vec<Envelope>,
    requests: u8,
    returns: u8,
    faults: FaultBudget,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    Tick,
    StartCall { server: usize },
    EndCall { server: usize },
    Request { from: usize, to: usize, units: u32 },
    Release { from: usize, kept_units: u32 },
    Deliver { envelope: usize },
    DeliverDuplicate { envelope: usize },
    Lose { envelope: usize },
    Pause { server: usize },
    Resume { server: usize },
    Crash { server: usize },
}

/// Returns a different identifier for each incarnation of each server.
fn incarnation_id(of: Address) -> IncarnationId {
    IncarnationId(of.server as u32 * 10 + u32::from(of.incarnation))
}

fn address(id: IncarnationId) -> Address {
    Address {
        server: id.0 as usize / 10,
        incarnation: (id.0 % 10) as u8,
    }
}

impl World {
    pub(super) fn new(faults: FaultBudget) -> World {
        let server = |base_quota: &u32| {
            let ledger = Ledger::new(TERMS, *base_quota, Timestamp::from_micros(0));
            Server {
                ledger,
                incarnation: 0,
                paused: false,
                uncounted_ends: 0,
            }
        };
        World {
            now: 0,
            servers: BASE_QUOTAS.iter().map(server).collect(),
            calls: vec![],
            in_transit: vec![],
            requests: 0,
            returns: 0,
            faults,
        }
    }

    pub(super) fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn calls_of(&self, server: usize) -> usize {
        self.calls
            .iter()
            .filter(|c| c.caller.server == server)
            .count()
    }

    /// Reports whether a lease that was granted at the start has expired.
    pub(super) fn initial_leases_expired(&self) -> bool {
        self.now >= INITIAL_LEASES_EXPIRED_TICK
    }

    pub(super) fn has_requests(&self) -> bool {
        self.requests > 0
    }

    /// Appends all steps that are possible in this state.
    pub(super) fn push_steps(&self, steps: &mut Vec<Step>) {
        if self.now < MAX_TICKS {
            steps.push(Step::Tick);
        }
        (0..SERVERS).for_each(|server| self.push_server_steps(server, steps));
        for envelope in 0..self.in_transit.len() {
            steps.extend([Step::Deliver { envelope }, Step::Lose { envelope }]);
            if self.faults.duplicates > 0 {
                steps.push(Step::DeliverDuplicate { envelope });
            }
        }
    }

    /// Applies a step. Returns `None` if it is impossible in this state.
    pub(super) fn apply(&mut self, step: Step, defect: Defect) -> Option<()> {
        match step {
            Step::Tick => self.tick(),
            Step::StartCall { server } => self.start_call(server),
            Step::EndCall { server } => {
                let caller = self.address_of(server);
                let at = self.calls.iter().position(|c| c.caller == caller)?;
                self.end_call(at);
            }
            Step::Request { from, to, units } => self.request(from, to, units),
            Step::Release { from, kept_units } => self.release(from, kept_units)?,
            Step::Deliver { envelope } => {
                let envelope = self.in_transit.remove(envelope);
                self.deliver(envelope, defect);
            }
            Step::DeliverDuplicate { envelope } => {
                self.faults.duplicates -= 1;
                let envelope = self.in_transit[envelope];
                self.deliver(envelope, defect);
            }
            Step::Lose { envelope } => {
                self.in_transit.remove(envelope);
            }
            Step::Pause { server } => {
                self.faults.pauses -= 1;
                self.servers[server].paused = true;
            }
            Step::Resume { server } => self.resume(server),
            Step::Crash { server } => self.crash(server, defect),
        }
        Some(())
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    fn address_of(&self, server: usize) -> Address {
        Address {
            server,
            incarnation: self.servers[server].incarnation,
        }
    }

    fn send(&mut self, from: usize, to: Address, message: ModelMessage) {
        if self.in_transit.len() < MAX_ENVELOPES_IN_TRANSIT {
            let from = self.address_of(from);
            self.in_transit.push(Envelope { from, to, message });
            self.in_transit.sort_unstable();
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        while let Some(at) = self.calls.iter().position(|c| c.ends_by <= self.now) {
            self.end_call(at);
        }
    }

    fn start_call(&mut self, server: usize) {
        self.servers[server].ledger.call_started();
        let ends_by = self.now + TERMS.max_call.as_micros();
        let caller = self.address_of(server);
        self.calls.push(Call { caller, ends_by });
        self.calls.sort_unstable();
    }

    fn end_call(&mut self, at: usize) {
        let caller = self.calls.remove(at).caller;
        let server = &mut self.servers[caller.server];
        if server.incarnation != caller.incarnation {
            return;
        }
        if server.paused {
            server.uncounted_ends += 1;
        } else {
            server.ledger.call_ended();
        }
    }

    fn request(&mut self, from: usize, to: usize, units: u32) {
        self.requests += 1;
        let (now, to) = (self.time(), self.address_of(to));
        let request_id = self.servers[from]
            .ledger
            .new_request(now, incarnation_id(to));
        self.send(from, to, ModelMessage::Request { request_id, units });
    }

    fn release(&mut self, from: usize, kept_units: u32) -> Option<()> {
        let now = self.time();
        let ledger = &mut self.servers[from].ledger;
        let lessor = ledger.open_leases(now).next()?.lessor;
        let leased_units = ledger.leased_from(now, lessor);
        ledger.release(lessor, kept_units);
        let LeaseReturn {
            request_id,
            kept_units,
            ..
        } = ledger.take_returns(now).pop()?;
        self.returns += 1;
        let returned_units = leased_units - kept_units;
        let message = ModelMessage::Return {
            request_id,
            kept_units,
            returned_units,
        };
        self.send(from, address(lessor), message);
        Some(())
    }

    fn deliver(&mut self, envelope: Envelope, defect: Defect) {
        let (now, to) = (self.time(), envelope.to.server);
        let server = &mut self.servers[to];
        if server.paused || server.incarnation != envelope.to.incarnation {
            return;
        }
        let from = incarnation_id(envelope.from);
        match envelope.message {
            ModelMessage::Request { request_id, units } => {
                if let Some(units) = server.ledger.answer_request(now, from, request_id, units) {
                    self.send(to, envelope.from, ModelMessage::Grant { request_id, units });
                }
            }
            ModelMessage::Grant { request_id, units } => {
                if defect == Defect::LeaseFromReceipt {
                    restart_pending_request(&mut server.ledger, now, from);
                }
                // As in the server, a rejected grant has no effect.
                let _ = server.ledger.accept_grant(now, from, request_id, units);
            }
            ModelMessage::Return {
                request_id,
                returned_units,
                ..
            } if defect == Defect::ReturnSubtracts => {
                subtract_return(&mut server.ledger, from, request_id, returned_units);
            }
            ModelMessage::Return {
                request_id,
                kept_units,
                ..
            } => {
                server.ledger.handle_return(from, request_id, kept_units);
            }
        }
    }

    fn resume(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.paused = false;
        let ends = std::mem::take(&mut server.uncounted_ends);
        (0..ends).for_each(|_| server.ledger.call_ended());
    }

    /// Restarts the server at once, without its state. Its calls stay in flight upstream.
    fn crash(&mut self, server: usize, defect: Defect) {
        self.faults.crashes -= 1;
        let no_wait = defect == Defect::NoStartupWait;
        let wait = if no_wait {
            Duration::ZERO
        } else {
            TERMS.lessor_hold()
        };
        let ledger = Ledger::new(TERMS, BASE_QUOTAS[server], self.time() + wait);
        let incarnation = self.servers[server].incarnation + 1;
        self.servers[server] = Server {
            ledger,
            incarnation,
            paused: false,
            uncounted_ends: 0,
        };
    }

    /// Appends the steps that are possible for one server.
    fn push_server_steps(&self, at: usize, steps: &mut Vec<Step>) {
        let (now, server) = (self.time(), &self.servers[at]);
        if server.paused {
            steps.push(Step::Resume { server: at });
            return;
        }
        if server.ledger.may_start(now) {
            steps.push(Step::StartCall { server: at });
        }
        if self.calls.iter().any(|c| c.caller == self.address_of(at)) {
            steps.push(Step::EndCall { server: at });
        }
        if self.faults.pauses > 0 {
            steps.push(Step::Pause { server: at });
        }
        if self.faults.crashes > 0 {
            steps.push(Step::Crash { server: at });
        }
        if self.in_transit.len() == MAX_ENVELOPES_IN_TRANSIT {
            return;
        }
        // The server that has all units never requests any.
        if at > 0 && self.requests < MAX_REQUESTS {
            steps.extend((1..=2).map(|units| Step::Request {
                from: at,
                to: 0,
                units,
            }));
        }
        let leased = server.ledger.leased(now);
        if leased > 0 && self.returns < MAX_RETURNS {
            steps.extend((0..leased).map(|kept_units| Step::Release {
                from: at,
                kept_units,
            }));
        }
    }
}
