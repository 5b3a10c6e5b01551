//! Fault scripts. Each line of a script is an action on a fleet, or a condition that must hold
//! within a time limit.
//!
//! [`Script::read`](crate::fleet::script::Script::read) parses a script;
//! [`Script::play`](crate::fleet::script::Script::play) executes it on any
//! [`Fleet`](crate::fleet::script::Fleet). On real processes a script never sleeps for a fixed
//! time: it waits for conditions, each of which has a time limit, its term.
//!
//! # Grammar
//!
//! Each line of a script is a keyword followed by its arguments, separated by spaces. A comment
//! starts with `#` and ends with the line. Empty lines are ignored. A line that does not follow the
//! grammar is reported as a [`ScriptError`](crate::fleet::script::ScriptError) with the file, the
//! line number, the invalid word, and what was expected in its place.
//!
//! | word | meaning |
//! | --- | --- |
//! | SERVER | the name of a server: `n1`, `n2`, ... |
//! | GROUP | a SERVER, a ZONE (all its servers), or `all` |
//! | SERVERS | one or more GROUPs |
//! | TIME | `8s` or `40ms` |
//! | TERM | the time limit of a condition, a TIME |
//! | FRACTION | a number from 0 to 1 |
//! | N | a whole number |
//! | STATE | `joining`, `alive`, `suspect`, `draining`, `down`, `left`, or `unknown` for a member that the view must not contain |
//!
//! Setup lines apply to the lines below them:
//!
//! | line | meaning |
//! | --- | --- |
//! | `servers N` | creates the servers `n1` to nN without starting them |
//! | `zone ZONE SERVERS` | puts servers into a zone; the default zone is `north` |
//! | `set KEY=VALUE ...` | sets one or more of the keys below |
//!
//! | key | meaning |
//! | --- | --- |
//! | `down_retention=TIME` | how long a member that is down is remembered |
//! | `suspicion=TIME` | how long a member is suspect before it is declared down |
//! | `probe=TIME` | interval between two probes by a server |
//! | `max_members=N` | maximum number of members in a server's view |
//! | `join=SERVER,...` | the servers through which each server joins the fleet; `n1` by default |
//! | `window=TIME` | length of the window over which requests are counted |
//! | `capacity=N` | a quota of N calls in flight for the whole fleet |
//! | `max_servers=N` | after `capacity`: number of servers that share the quota |
//! | `slots=on` | after `capacity`: whether each server has a configured slot; `off` by default |
//! | `lease=TIME` | after `capacity`: how long a lease lasts |
//! | `max_call=TIME` | after `capacity`: maximum duration of a call |
//! | `call=TIME` | after `capacity`: mean duration of a call |
//!
//! Actions are performed immediately:
//!
//! | line | meaning |
//! | --- | --- |
//! | `start SERVERS [name=SERVER] [clock=[-]TIME]` | starts servers, optionally under the name of another server, and with a Unix clock ahead of the true time (behind it with `-`) |
//! | `kill SERVERS` | SIGKILL |
//! | `stop SERVERS`, `continue SERVERS` | SIGSTOP, SIGCONT |
//! | `drain SERVERS` | SIGTERM: each server drains, leaves the fleet and exits |
//! | <code>partition SERVERS &#124; SERVERS ...</code> | partitions the network into these groups |
//! | `oneway SERVER > SERVERS` | drops all datagrams from the first server to the others |
//! | `heal` | ends all partitions, including one-way ones |
//! | `loss FRACTION` | drops this fraction of all datagrams |
//! | `duplicate FRACTION` | duplicates this fraction of all datagrams |
//! | `corrupt FRACTION` | flips one bit in this fraction of all datagrams |
//! | `delay TIME TIME` | delays each datagram by a random time between these two |
//! | `calm` | ends loss, duplication, corruption and delay |
//! | `replay SERVER` | sends the retained datagrams of a server to it again |
//! | `demand SERVERS N` | sets the demand of each server to N concurrent calls |
//! | `capacity SERVERS N` | sets the capacity of the quota to N in the settings of each server, which reloads them |
//! | `peak N` | fails if more than N calls were in flight at any time since the previous `peak` line |
//! | `for TIME` | simulated fleets only: advances the time |
//! | `downs N` | simulated fleets only: fails if more than N servers were declared down although they ran and were connected |
//!
//! A condition makes the script wait until it holds. The script fails if the condition does not
//! hold within its time limit:
//!
//! | line | meaning |
//! | --- | --- |
//! | `settle TERM` | each running server has exactly the connected servers as members, none joining or suspect, and their views have the same digest |
//! | `view GROUP SERVER STATE TERM` | the server has this state in the views of the group |
//! | `connectivity GROUP WORD TERM` | each server reports the connectivity `complete`, `partial` or `isolated` |
//! | `quota-at-least GROUP N TERM` | each server may use at least N calls of the quota |
//! | `quota-at-most GROUP N TERM` | each server may use at most N calls of the quota |
//! | `in-flight-at-least SERVERS N TERM` | the servers together have at least N calls in flight |
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
    /// Setup of the fleet.
    pub setup: FleetSetup,
    /// The steps in order, each with its line number, from 1.
    pub steps: Vec<(usize, Step)>,
}

/// Returns the name of the server with this index, from 0.
pub fn name(server: usize) -> String {
    format!("n{}", server + 1)
}
