//! A req and a keyed req's tries as the module keeps them, under small numbers. Nothing is decided here.

use crate::interface::{Actions, Arrival};
use crate::time::{Duration, Timestamp};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;

new_key_type! {
    /// The number of a req in hand.
    pub struct No;
    /// The number of a keyed req's key.
    pub struct KeyNo;
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Held,
    /// Waits for another try of the same req to start.
    Following,
    /// Waits for another try's answer.
    Joined,
    Running,
    /// Stands at a call that has not been made.
    AtCall,
    Calling,
}

impl Stage {
    pub fn started(self) -> bool {
        matches!(self, Stage::Running | Stage::AtCall | Stage::Calling)
    }
}

/// What a due time is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Answer(No),
    Call(No),
    Stop(No),
    Lapse(KeyNo),
    Forget(KeyNo),
}

#[derive(Clone, Debug, Default)]
pub struct Req {
    pub id: u64,
    pub handler: usize,
    pub tenant: usize,
    pub reached: Timestamp,
    pub target: Timestamp,
    pub due: Timestamp,
    pub hint: Option<Duration>,
    pub kb: f64,
    pub repeats: u64,
    pub value: f64,
    pub stage: Stage,
    pub started: Timestamp,
    pub allowance: Duration,
    /// A call was skipped.
    pub trimmed: bool,
    pub answered: bool,
    /// It was to end long ago, and takes no worker any more.
    pub hung: bool,
    /// Calls made that came to nothing.
    pub tries: u32,
    pub key: Option<KeyNo>,
}

impl Req {
    pub fn read(a: &Arrival, reached: Timestamp, target: Timestamp, due: Timestamp, value: f64) -> Req {
        Req {
            id: a.id,
            handler: a.handler,
            tenant: a.tenant,
            reached,
            target,
            due,
            hint: a.work_hint.filter(|w| *w > Duration::ZERO),
            kb: a.memory_kb,
            repeats: a.retry_of,
            value,
            ..Req::default()
        }
    }

    /// The run goes on without the call that it stands at.
    pub fn skip(&mut self, out: &mut dyn Actions) {
        (self.stage, self.trimmed) = (Stage::Running, true);
        out.skip_call(self.id);
    }
}

/// All tries of one keyed req on this server.
#[derive(Clone, Debug, Default)]
pub struct Key {
    pub leader: Option<No>,
    pub ran: bool,
    /// When its entry in the server's table runs out, while it has one.
    pub entry: Option<Timestamp>,
    pub followers: Vec<No>,
    pub members: Vec<u64>,
}

/// The reqs in hand and the memory that they take; ids from outside become numbers here.
#[derive(Default)]
pub struct Book {
    pub reqs: SlotMap<No, Req>,
    ids: HashMap<u64, No>,
    pub held_kb: f64,
    pub run_kb: f64,
    pub running: usize,
    /// Runs and calls out of each handler.
    pub loads: Vec<[usize; 2]>,
}

impl Book {
    pub fn of(handlers: usize) -> Book {
        Book { loads: vec![[0, 0]; handlers], ..Book::default() }
    }

    /// The req of this id, if it is in hand and like that.
    pub fn find(&self, id: u64, like: impl Fn(&Req) -> bool) -> Option<No> {
        self.ids.get(&id).copied().filter(|r| like(&self.reqs[*r]))
    }

    pub fn add(&mut self, req: Req) -> No {
        let (id, kb) = (req.id, req.kb);
        let r = self.reqs.insert(req);
        self.ids.insert(id, r);
        self.held_kb += kb;
        r
    }

    pub fn start(&mut self, r: No) {
        let req = &mut self.reqs[r];
        req.stage = Stage::Running;
        self.held_kb -= req.kb;
        self.run_kb += req.kb;
        self.running += 1;
        self.loads[req.handler][0] += 1;
    }

    /// The req's call is out, or was.
    pub fn calling(&mut self, r: No, stage: Stage) {
        let req = &mut self.reqs[r];
        let load = &mut self.loads[req.handler][1];
        *load -= usize::from(req.stage == Stage::Calling);
        *load += usize::from(stage == Stage::Calling);
        req.stage = stage;
    }

    /// A run at a call that was to end long ago gives its places up; its memory stays taken.
    pub fn hang(&mut self, r: No) {
        self.calling(r, Stage::AtCall);
        let req = &mut self.reqs[r];
        if !std::mem::replace(&mut req.hung, true) {
            self.running -= 1;
            self.loads[req.handler][0] -= 1;
        }
    }

    /// What a group of handlers has of runs and calls.
    pub fn load(&self, handlers: &[usize]) -> [usize; 2] {
        let sum = |i: usize| handlers.iter().filter_map(|h| self.loads.get(*h)).map(|l| l[i]).sum();
        [sum(0), sum(1)]
    }

    pub fn remove(&mut self, r: No) {
        let Some(req) = self.reqs.remove(r) else { return };
        self.ids.remove(&req.id);
        if req.stage.started() {
            self.run_kb -= req.kb;
            self.running -= usize::from(!req.hung);
            self.loads[req.handler][0] -= usize::from(!req.hung);
            self.loads[req.handler][1] -= usize::from(req.stage == Stage::Calling);
        } else {
            self.held_kb -= req.kb;
        }
    }
}

/// The keys of keyed reqs and which ids belong to each.
#[derive(Default)]
pub struct KeyBook {
    pub keys: SlotMap<KeyNo, Key>,
    of: HashMap<u64, KeyNo>,
    pub entries: usize,
}

impl KeyBook {
    /// The key that any of these ids is known under, else a new one; all of them are known under it after.
    pub fn bind(&mut self, ids: &[u64]) -> KeyNo {
        let known = ids.iter().find_map(|i| self.of.get(i).copied());
        let key = known.unwrap_or_else(|| self.keys.insert(Key::default()));
        for id in ids {
            if self.of.insert(*id, key).is_none() {
                self.keys[key].members.push(*id);
            }
        }
        key
    }

    /// Takes a key's entry off the table if it has run out.
    pub fn lapse(&mut self, now: Timestamp, key: KeyNo) {
        if let Some(k) = self.keys.get_mut(key).filter(|k| k.entry.is_some_and(|t| t <= now)) {
            k.entry = None;
            self.entries -= 1;
        }
    }

    pub fn remove(&mut self, key: KeyNo) {
        let Some(k) = self.keys.remove(key) else { return };
        self.entries -= usize::from(k.entry.is_some());
        for id in k.members {
            self.of.remove(&id);
        }
    }
}
