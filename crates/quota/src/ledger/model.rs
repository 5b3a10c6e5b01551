//! Three ledgers and all that may happen between them, explored exhaustively: questions, grants and returns
//! that are lost, doubled and late, servers that pause, crash and come back knowing nothing, calls that go on
//! below for as long as they may. Whatever is wanted, by whomever, is tried in every order.

use super::*;
use stateright::{Checker, Model, Property};

const SERVERS: usize = 3;
/// Birthrights: one server has all, so that every call of another is on a loan.
const OWN: [u32; SERVERS] = [2, 0, 0];
const WHOLE: usize = 2;
const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_micros(2),
    max_call: Duration::from_micros(1),
    guard: Duration::ZERO,
};
/// Ticks played, messages under way at a time, and what is done at the most in one history.
const TICKS: u64 = 5;
const UNDER_WAY: usize = 2;
const ASKS: u8 = 2;
const BACKS: u8 = 1;

/// What may be planted, to show that it would be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    Sound,
    /// A lease counts from when its grant was received.
    FromReceipt,
    /// A return takes off what it gave back, each time it comes.
    ReturnAdds,
    /// A server that comes back uses its birthright at once.
    NoWait,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Word {
    Ask { number: u32, units: u32 },
    Grant { number: u32, units: u32 },
    Back { number: u32, keep: u32, less: u32 },
}

/// From and to whom, and of which lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Letter {
    from: (usize, u8),
    to: (usize, u8),
    word: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    ledger: Ledger,
    life: u8,
    stopped: bool,
    /// Calls that ended while it was stopped, of which it hears when it goes on.
    unheard: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    servers: Vec<Server>,
    /// Calls in hand below: whose, of which life, when they must be over.
    calls: Vec<(usize, u8, u64)>,
    letters: Vec<Letter>,
    asks: u8,
    backs: u8,
    /// Pauses, crashes and doubled letters that are left to happen.
    trouble: [u8; 3],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Deed {
    Tick,
    Start(usize),
    End(usize),
    Ask { from: usize, to: usize, units: u32 },
    GiveBack { from: usize, keep: u32 },
    Arrives(usize),
    ArrivesTwice(usize),
    Lost(usize),
    Stop(usize),
    Continue(usize),
    Crash(usize),
}

struct Ways {
    fault: Fault,
    trouble: [u8; 3],
}

/// Lives of other servers are others of their own.
fn who(of: (usize, u8)) -> Who {
    of.0 as Who * 10 + Who::from(of.1)
}

impl World {
    fn at(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    fn send(&mut self, from: usize, to: (usize, u8), word: Word) {
        if self.letters.len() < UNDER_WAY {
            let from = (from, self.servers[from].life);
            self.letters.push(Letter { from, to, word });
            self.letters.sort_unstable();
        }
    }

    fn over(&mut self, at: usize) {
        let (of, life, _) = self.calls.remove(at);
        let server = &mut self.servers[of];
        if server.life != life {
            return;
        }
        if server.stopped {
            server.unheard += 1;
        } else {
            server.ledger.ended();
        }
    }

    fn arrives(&mut self, letter: Letter, fault: Fault) {
        let (now, to) = (self.at(), letter.to.0);
        let server = &mut self.servers[to];
        if server.stopped || server.life != letter.to.1 {
            return;
        }
        let from = who(letter.from);
        match letter.word {
            Word::Ask { number, units } => {
                if let Some(units) = server.ledger.grant(now, from, number, units) {
                    self.send(to, letter.from, Word::Grant { number, units });
                }
            }
            Word::Grant { number, units } => {
                if fault == Fault::FromReceipt
                    && let Some(asked) = server
                        .ledger
                        .taken
                        .get_mut(&from)
                        .and_then(|t| t.asked.as_mut())
                {
                    asked.1 = now;
                }
                server.ledger.granted(now, from, number, units);
            }
            Word::Back { number, less, .. } if fault == Fault::ReturnAdds => {
                if let Some(given) = server.ledger.given.get_mut(&from) {
                    let layers = given.layers.iter_mut().filter(|l| l.number <= number);
                    layers.for_each(|l| l.units = l.units.saturating_sub(less));
                }
            }
            Word::Back { number, keep, .. } => server.ledger.returned(from, number, keep),
        }
    }
}

impl Model for Ways {
    type State = World;
    type Action = Deed;

    fn init_states(&self) -> Vec<World> {
        let server = |s: usize| {
            let ledger = Ledger::new(TERMS, OWN[s], Timestamp::from_micros(0));
            Server {
                ledger,
                life: 0,
                stopped: false,
                unheard: 0,
            }
        };
        let servers = (0..SERVERS).map(server).collect();
        let (calls, letters) = (vec![], vec![]);
        vec![World {
            now: 0,
            servers,
            calls,
            letters,
            asks: 0,
            backs: 0,
            trouble: self.trouble,
        }]
    }

    fn actions(&self, w: &World, deeds: &mut Vec<Deed>) {
        if w.now < TICKS {
            deeds.push(Deed::Tick);
        }
        let now = w.at();
        for (s, server) in w.servers.iter().enumerate() {
            if server.stopped {
                deeds.push(Deed::Continue(s));
                continue;
            }
            if server.ledger.may_start(now) {
                deeds.push(Deed::Start(s));
            }
            if w.calls.iter().any(|c| (c.0, c.1) == (s, server.life)) {
                deeds.push(Deed::End(s));
            }
            if w.trouble[0] > 0 {
                deeds.push(Deed::Stop(s));
            }
            if w.trouble[1] > 0 {
                deeds.push(Deed::Crash(s));
            }
            // The one that has all never needs to ask.
            if s > 0 && w.asks < ASKS && w.letters.len() < UNDER_WAY {
                deeds.extend((1..=2).map(|units| Deed::Ask {
                    from: s,
                    to: 0,
                    units,
                }));
            }
            let has = server.ledger.borrowed(now);
            if has > 0 && w.backs < BACKS && w.letters.len() < UNDER_WAY {
                deeds.extend((0..has).map(|keep| Deed::GiveBack { from: s, keep }));
            }
        }
        for at in 0..w.letters.len() {
            deeds.extend([Deed::Arrives(at), Deed::Lost(at)]);
            if w.trouble[2] > 0 {
                deeds.push(Deed::ArrivesTwice(at));
            }
        }
    }

    fn next_state(&self, w: &World, deed: Deed) -> Option<World> {
        let mut w = w.clone();
        let now = w.at();
        match deed {
            Deed::Tick => {
                w.now += 1;
                while let Some(at) = w.calls.iter().position(|c| c.2 <= w.now) {
                    w.over(at);
                }
            }
            Deed::Start(s) => {
                w.servers[s].ledger.started();
                let until = w.now + TERMS.max_call.as_micros();
                w.calls.push((s, w.servers[s].life, until));
                w.calls.sort_unstable();
            }
            Deed::End(s) => {
                let at = w
                    .calls
                    .iter()
                    .position(|c| (c.0, c.1) == (s, w.servers[s].life))?;
                w.over(at);
            }
            Deed::Ask { from, to, units } => {
                w.asks += 1;
                let to = (to, w.servers[to].life);
                let number = w.servers[from].ledger.ask(now, who(to));
                w.send(from, to, Word::Ask { number, units });
            }
            Deed::GiveBack { from, keep } => {
                let lender = w.servers[from].ledger.loans(now).next()?.0;
                let ledger = &mut w.servers[from].ledger;
                let had = ledger.borrowed_of(now, lender);
                ledger.give_back(lender, keep);
                let back = ledger.backs(now).pop()?;
                w.backs += 1;
                let to = (lender as usize / 10, (lender % 10) as u8);
                let word = Word::Back {
                    number: back.number,
                    keep: back.keep,
                    less: had - back.keep,
                };
                w.send(from, to, word);
            }
            Deed::Arrives(at) => {
                let letter = w.letters.remove(at);
                w.arrives(letter, self.fault);
            }
            Deed::ArrivesTwice(at) => {
                w.trouble[2] -= 1;
                let letter = w.letters[at];
                w.arrives(letter, self.fault);
            }
            Deed::Lost(at) => {
                w.letters.remove(at);
            }
            Deed::Stop(s) => {
                w.trouble[0] -= 1;
                w.servers[s].stopped = true;
            }
            Deed::Continue(s) => {
                let server = &mut w.servers[s];
                server.stopped = false;
                (0..std::mem::take(&mut server.unheard)).for_each(|_| server.ledger.ended());
            }
            Deed::Crash(s) => {
                w.trouble[1] -= 1;
                // Its calls go on below; it is back at once, knowing nothing.
                let wait = if self.fault == Fault::NoWait {
                    Duration::ZERO
                } else {
                    TERMS.held()
                };
                let ledger = Ledger::new(TERMS, OWN[s], now + wait);
                w.servers[s] = Server {
                    ledger,
                    life: w.servers[s].life + 1,
                    stopped: false,
                    unheard: 0,
                };
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Ways>> {
        vec![
            Property::always("never more than the whole", |_, w: &World| {
                w.calls.len() <= WHOLE
            }),
            Property::sometimes("idle units reach who wants them", |_, w: &World| {
                w.calls.iter().filter(|c| c.0 == 1).count() == WHOLE
            }),
            Property::sometimes("and come back", |_, w: &World| {
                w.now >= 4 && w.asks > 0 && w.calls.iter().filter(|c| c.0 == 0).count() == WHOLE
            }),
        ]
    }
}

fn explored(fault: Fault, trouble: [u8; 3]) -> (usize, Vec<&'static str>) {
    let checker = Ways { fault, trouble }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    (
        checker.unique_state_count(),
        checker.discoveries().into_keys().collect(),
    )
}

fn found(fault: Fault, trouble: [u8; 3]) -> bool {
    explored(fault, trouble)
        .1
        .contains(&"never more than the whole")
}

#[test]
fn no_history_uses_more_than_the_whole() {
    for trouble in [[1, 0, 0], [0, 1, 0], [0, 0, 1]] {
        let (states, mut seen) = explored(Fault::Sound, trouble);
        seen.sort_unstable();
        assert_eq!(
            seen,
            ["and come back", "idle units reach who wants them"],
            "{trouble:?}"
        );
        assert!(states > 10_000, "{states} states are no exploration");
        println!("{trouble:?}: {states} states");
    }
}

#[test]
fn planted_faults_are_found() {
    assert!(found(Fault::FromReceipt, [0, 0, 0]));
    assert!(found(Fault::ReturnAdds, [0, 0, 1]));
    assert!(found(Fault::NoWait, [0, 1, 0]));
}
