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
//! A script is a list of lines, each a keyword and its arguments with spaces between. `#` begins a
//! comment that ends with the line; empty lines are ignored. A line that does not follow the
//! grammar is a [`ScriptError`](crate::fleet::script::ScriptError) with the file, the line, the
//! word, and what was expected in its place.
//!
//! | word | meaning |
//! | --- | --- |
//! | SERVER | a server by its name: `n1`, `n2`, ... |
//! | GROUP | a SERVER, a ZONE (its servers), or `all` |
//! | SERVERS | one GROUP or more |
//! | TIME | `8s` or `40ms` |
//! | TERM | the TIME within which a condition must hold |
//! | FRACTION | a number from 0 to 1 |
//! | N | a whole number |
//! | STATE | `joining`, `alive`, `suspect`, `draining`, `down`, `left`; `unknown` for no member |
//!
//! The setup, which applies to the lines below it:
//!
//! | line | meaning |
//! | --- | --- |
//! | `servers N` | the servers `n1` to nN; none is started |
//! | `zone ZONE SERVERS` | puts servers into a zone; they are in `north` otherwise |
//! | `set KEY=VALUE ...` | sets some of the keys below |
//!
//! | key | meaning |
//! | --- | --- |
//! | `down_retention=TIME` | how long a member that is down is remembered |
//! | `suspicion=TIME` | how long a member is suspect before it is declared down |
//! | `probe=TIME` | the time between two probes of a server |
//! | `max_members=N` | the most members that a server holds |
//! | `join=SERVER,...` | the servers that each one joins through; `n1` by default |
//! | `window=TIME` | requests are counted over it |
//! | `capacity=N` | a quota of N calls in flight for the whole fleet |
//! | `max_servers=N` | after `capacity`: the number of servers that the quota is for |
//! | `slots=on` | after `capacity`: each server has a configured slot; `off` by default |
//! | `lease=TIME` | after `capacity`: how long a lease lasts |
//! | `max_call=TIME` | after `capacity`: the longest time of a call |
//! | `call=TIME` | after `capacity`: the mean time of a call |
//!
//! Actions, which are done at once:
//!
//! | line | meaning |
//! | --- | --- |
//! | `start SERVERS [name=SERVER] [clock=[-]TIME]` | starts servers, under the name of another and with a Unix clock ahead of the true one (or behind it) if given |
//! | `kill SERVERS` | SIGKILL |
//! | `stop SERVERS`, `continue SERVERS` | SIGSTOP, SIGCONT |
//! | `drain SERVERS` | SIGTERM: each drains, leaves and ends |
//! | <code>partition SERVERS &#124; SERVERS ...</code> | partitions the network into these groups |
//! | `oneway SERVER > SERVERS` | datagrams from the first to the others are lost |
//! | `heal` | ends all partitions, those of one direction too |
//! | `loss FRACTION` | this fraction of all datagrams is lost |
//! | `duplicate FRACTION` | this fraction of all datagrams arrives twice |
//! | `corrupt FRACTION` | this fraction of all datagrams has one bit changed |
//! | `delay TIME TIME` | delays each datagram by a time between these |
//! | `calm` | ends loss, duplication, corruption and delay |
//! | `replay SERVER` | sends again all datagrams that were sent to a server |
//! | `demand SERVERS N` | each has demand for N calls at a time from here on |
//! | `capacity SERVERS N` | the operator sets the capacity of the quota to N at each, which reloads it |
//! | `peak N` | fails if more than N calls were in flight since the last such line |
//! | `for TIME` | simulated only: lets time pass |
//! | `downs N` | simulated only: fails if more than N servers were declared down that ran and were connected |
//!
//! Conditions, which are waited for:
//!
//! | line | meaning |
//! | --- | --- |
//! | `settle TERM` | all servers that run and are connected hold exactly each other alive, with one digest |
//! | `view GROUP SERVER STATE TERM` | in the views of the group the server has this state |
//! | `connectivity GROUP WORD TERM` | each judges its own connectivity `complete`, `partial` or `isolated` |
//! | `quota-at-least GROUP N TERM` | each may use at least N calls of the quota |
//! | `quota-at-most GROUP N TERM` | each may use at most N calls of the quota |
//! | `in-flight-at-least SERVERS N TERM` | together they have at least N calls in flight |
//!
//! ```
//! use madderbay_testkit::fleet::script::Script;
//! let script = Script::read("crash", "servers 3\nstart all\nsettle 10s\nkill n3\nview n1 n3 down 8s");
//! assert_eq!(script.unwrap().steps.len(), 6);
//! let error = Script::read("crash", "servers 3\nkill n4").err().unwrap();
//! assert_eq!(error.to_string(), "crash:2: 'n4': a server is expected, as in n1");
//! ```

mod action;
mod condition_checks;
mod error;
mod parser;
mod runner;
mod setup;
mod words;

pub use action::{Action, Condition, Step};
pub(in crate::fleet) use condition_checks::ConditionChecks;
pub use error::{ActionError, Expected, ScriptError, ScriptFailure};
pub use runner::{ConditionTime, Fleet, load_scripts};
pub use setup::{FleetSetup, QuotaSetup};
pub(in crate::fleet) use words::state_by_name;

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
