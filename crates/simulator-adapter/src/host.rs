//! Many instances on one wire: events become calls on their modules, results become replies.

use crate::wire::{self, Batch, Fields, Reply};
use madderbay::decide::Decider;
use madderbay::interface::{Arrival, Gauges, Outcome};
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::{self as settings, Settings};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

struct Instance {
    decider: Decider,
    handlers: usize,
    tenants: usize,
    says_wait: bool,
    on_cores: Option<usize>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    reply: Reply,
}

/// What can't be played: settings, or what came on the wire.
#[derive(Debug)]
pub enum Wrong {
    Set(String),
    Wire(String),
}

impl From<String> for Wrong {
    fn from(what: String) -> Wrong {
        Wrong::Wire(what)
    }
}

impl From<Wrong> for String {
    fn from(wrong: Wrong) -> String {
        match wrong {
            Wrong::Set(what) | Wrong::Wire(what) => what,
        }
    }
}

impl Wrong {
    fn at(self, place: impl Fn(String) -> String) -> Wrong {
        match self {
            Wrong::Set(what) => Wrong::Set(place(what)),
            Wrong::Wire(what) => Wrong::Wire(place(what)),
        }
    }
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        1 => Outcome::Completed,
        2 => Outcome::Failed,
        3 => Outcome::Rejected,
        4 => Outcome::TimedOut,
        5 => Outcome::Unreachable,
        6 => Outcome::Disconnected,
        7 => Outcome::Cancelled,
        8 => Outcome::AlreadyEnded,
        _ => return Err(format!("outcome {code} is unknown")),
    })
}

impl Host {
    /// Plays one batch and gives the frame that answers it.
    pub fn play(&mut self, batch: &Batch) -> Result<Vec<u8>, Wrong> {
        let now = Timestamp::from_micros(batch.clock);
        let mut fields = Fields::new(&batch.body);
        let mut touched: Vec<u16> = vec![];
        for n in 0..batch.count {
            let place = |e: String| format!("record {} of {}: {e}", n + 1, batch.count);
            let code = fields.u8().map_err(place)?;
            let who = fields.u16().map_err(place)?;
            touched.retain(|t| *t != who || code != wire::KILL);
            self.event(now, code, who, &mut fields)
                .map_err(|e| e.at(place))?;
            if code != wire::KILL && !touched.contains(&who) {
                touched.push(who);
            }
        }
        if fields.rest() > 0 {
            return Err(format!(
                "frame: {} bytes left after {} records",
                fields.rest(),
                batch.count
            )
            .into());
        }
        for who in touched {
            self.guarded(who, |i, out| i.decider.settle(now, out))?;
        }
        Ok(self.reply.frame())
    }

    /// Lets an instance decide; a failure inside the decision code is declared on the wire.
    fn guarded(
        &mut self,
        who: u16,
        act: impl FnOnce(&mut Instance, &mut Reply),
    ) -> Result<(), Wrong> {
        let instance = self
            .instances
            .get_mut(&who)
            .ok_or_else(|| format!("instance {who} was never begun"))?;
        self.reply.who = who;
        let reply = &mut self.reply;
        if let Err(cause) = catch_unwind(AssertUnwindSafe(|| act(instance, reply))) {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            self.reply.fault(
                text.or(cause.downcast_ref::<&str>().copied())
                    .unwrap_or("the decision code failed"),
            );
        }
        Ok(())
    }

    fn event(&mut self, now: Timestamp, code: u8, who: u16, f: &mut Fields) -> Result<(), Wrong> {
        match code {
            wire::BEGIN => {
                let seed = f.u64()?;
                let len = f.u32()? as usize;
                let s = settings::read(f.bytes(len)?).map_err(|e| Wrong::Set(e.to_string()))?;
                self.instances.insert(who, Instance::new(now, seed, &s));
                self.guarded(who, |i, out| i.decider.on_start(out))
            }
            wire::QUERY => {
                let known = self
                    .instances
                    .get(&who)
                    .ok_or_else(|| format!("instance {who} was never begun"))?;
                let a = arrival(f, known)?;
                self.guarded(who, |i, out| i.decider.on_arrival(now, &a, out))
            }
            wire::ENDED => {
                let (id, how, spent) = (f.u64()?, outcome(f.u8()?)?, f.span()?);
                self.guarded(who, |i, _| i.decider.on_run_ended(now, id, how, spent))
            }
            wire::AWAITING => {
                let id = f.u64()?;
                self.guarded(who, |i, out| i.decider.on_call_needed(now, id, out))
            }
            wire::DEP_REPLY => {
                let (id, how, spent) = (f.u64()?, outcome(f.u8()?)?, f.span()?);
                self.guarded(who, |i, out| {
                    i.decider.on_call_finished(now, id, how, spent, out)
                })
            }
            wire::WIND_DOWN => {
                let left = f.span()?;
                self.guarded(who, |i, _| i.decider.drain(now, left))
            }
            wire::ABANDONED => {
                let id = f.u64()?;
                self.guarded(who, |i, out| i.decider.on_client_gone(now, id, out))
            }
            wire::BELL => {
                f.u64()?;
                let n = f.u8()?;
                let values = (0..n)
                    .map(|_| f.f32())
                    .collect::<Result<Vec<f64>, String>>()?;
                self.guarded(who, |i, out| {
                    let read = |at: Option<usize>| at.and_then(|at| values.get(at)).copied();
                    let gauges = Gauges {
                        run_queue: read(i.on_cores),
                    };
                    i.decider.on_tick(now, &gauges, out);
                })
            }
            wire::KILL => {
                let was = self.instances.remove(&who);
                was.map(|_| ())
                    .ok_or_else(|| format!("instance {who} was never begun").into())
            }
            _ => Err(format!("event code {code} is unknown").into()),
        }
    }
}

fn arrival(f: &mut Fields, known: &Instance) -> Result<Arrival, String> {
    let (id, handler, tenant, subject) = (f.u64()?, f.u16()? as usize, f.u32()? as usize, f.u64()?);
    let (wait, hint, held_kb, rank) = (f.span()?, f.span()?, f.f32()?, f.f32()?);
    let (bits, from, unread_for, repeats) = (f.u8()?, f.u16()?, f.span()?, f.u64()?);
    if handler >= known.handlers {
        return Err(format!(
            "request {id}: class {handler} of {} classes",
            known.handlers
        ));
    }
    if tenant >= known.tenants.max(1) {
        return Err(format!(
            "request {id}: tenant {tenant} of {} tenants",
            known.tenants
        ));
    }
    if held_kb < 0.0 {
        return Err(format!("request {id}: held_kb is under 0"));
    }
    if known.decider.contains(id) {
        return Err(format!("request {id}: read a second time"));
    }
    let wait = if known.says_wait {
        wait
    } else {
        Duration::ZERO
    };
    let hint = (bits & 1 != 0).then_some(hint);
    let retry = bits & 2 != 0;
    Ok(Arrival {
        id,
        client: from,
        handler,
        tenant,
        subject,
        timeout: wait,
        work_hint: hint,
        memory_kb: held_kb,
        rank,
        is_retry: retry,
        read_delay: unread_for,
        retry_of: repeats,
    })
}

impl Instance {
    fn new(now: Timestamp, seed: u64, s: &Settings) -> Instance {
        Instance {
            decider: s.decider(now, seed),
            handlers: s.handlers.len(),
            tenants: s.tenants.len(),
            says_wait: s.rules.requests_carry_timeout,
            on_cores: s.meter("on_cores"),
        }
    }
}
