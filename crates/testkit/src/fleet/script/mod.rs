//! Fault scripts: what is done to a fleet, and the conditions that must hold within a time, a line
//! each.
//!
//! [`Script::read`](crate::fleet::script::Script::read) parses a script;
//! [`Script::play`](crate::fleet::script::Script::play) plays it on any
//! [`Fleet`](crate::fleet::script::Fleet). A script never sleeps for a fixed time on real
//! processes: it waits for a condition, and each condition has a term.
//!
//! # Grammar
//!
//! A line has a keyword and arguments, with spaces between. `#` begins a comment; empty lines are
//! ignored. SERVERS is one or more of `n1`, a zone and `all`; SERVER is one of `n1`, `n2`, ...;
//! TIME is `8s` or `40ms`; PART is a number from 0 to 1; TERM is the TIME within which a condition
//! must hold.
//!
//! The setup, which applies to the lines below it:
//!
//! | line | meaning |
//! | --- | --- |
//! | `servers N` | the servers `n1` to nN; none is started |
//! | `zone ZONE SERVERS` | puts servers into a zone; they are in `north` otherwise |
//! | `set KEY=VALUE ...` | sets some of the keys below |
//!
//! The keys are `memory=TIME` (how long a member that is down is remembered), `suspicion=TIME`,
//! `probe=TIME`, `most=N` (members at most), `join=SERVER,...` (`n1` by default), `window=TIME`
//! (requests are counted over it) and `budget=N` (a budget of N calls in flight for the whole
//! fleet). After `budget`: `servers=N` (servers that it is for), `seats=on` (each server has a slot
//! of its own), `lease=TIME`, `longest=TIME` (the longest call) and `call=TIME` (what a call
//! takes).
//!
//! Actions:
//!
//! | line | meaning |
//! | --- | --- |
//! | `start SERVERS [clock=[-]TIME]` | starts servers under their own names, with another Unix clock if given |
//! | `namesake SERVER SERVER` | starts the first server under the name of the second |
//! | `kill SERVERS` | SIGKILL |
//! | `stop SERVERS`, `continue SERVERS` | SIGSTOP, SIGCONT |
//! | `drain SERVERS` | SIGTERM: each drains, leaves and ends |
//! | <code>cut SERVERS &#124; SERVERS ...</code> | partitions the network into these groups |
//! | `oneway SERVER > SERVERS` | datagrams from the first to the others are lost |
//! | `heal` | ends all cuts, those of one way too |
//! | `loss PART`, `double PART`, `spoil PART` | of all datagrams this part is lost, doubled, or has a bit changed |
//! | `delay TIME TIME` | delays each datagram by a time between these |
//! | `calm` | ends loss, doubling, spoiling and delay |
//! | `replay SERVER` | sends again all datagrams that were sent to a server |
//! | `demand SERVERS N` | each has work for N calls at a time from here on |
//! | `budget SERVERS N` | the operator sets the budget to N at each, which reloads it |
//! | `peak N` | fails if more than N calls were in flight since the last such line |
//! | `for TIME` | simulated only: lets time pass |
//! | `downs N` | simulated only: fails if more than N servers were declared down that ran and were connected |
//!
//! Conditions:
//!
//! | line | meaning |
//! | --- | --- |
//! | `settle TERM` | all servers that run and are connected hold exactly each other alive, with one digest |
//! | `sees SERVERS SERVER STATE TERM` | they hold the server `joining`, `alive`, `suspect`, `draining`, `down`, `left` or `unknown` |
//! | `hears SERVERS WORD TERM` | they receive from the fleet: `whole`, `part` or `alone` |
//! | `has SERVERS N TERM` | each may use at least N calls of the budget |
//! | `spares SERVERS N TERM` | each may use at most N calls of the budget |
//! | `uses SERVERS N TERM` | together they have at least N calls in flight |
//!
//! ```
//! use madderbay_testkit::fleet::script::Script;
//! let script = Script::read("crash", "servers 3\nstart all\nsettle 10s\nkill n3\nsees n1 n3 down 8s");
//! assert_eq!(script.unwrap().steps.len(), 6);
//! let error = Script::read("crash", "servers 3\nkill n4").err().unwrap();
//! assert_eq!(error.to_string(), "crash:2: 'n4': a server is expected, as in n1");
//! ```

mod action;
mod error;
mod parser;
mod runner;
mod setup;

pub use action::{Action, Condition, Step};
pub use error::{ActionError, Expected, ScriptError, ScriptFailure};
pub use runner::{ConditionTime, Fleet, load_scripts};
pub use setup::{FleetSetup, QuotaSetup};

/// A parsed script.
#[derive(Debug)]
pub struct Script {
    /// How the fleet is set up.
    pub setup: FleetSetup,
    /// The steps in their order, each with its line number, from 1.
    pub steps: Vec<(usize, Step)>,
}

/// The name of a server, by its index from 0.
pub fn name(server: usize) -> String {
    format!("n{}", server + 1)
}
