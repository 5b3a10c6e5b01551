//! Plays scenario files against the decision module.
//!
//! A scenario is a text file: lines that set the server up, then lines with events and checks.
//! `#` begins a comment. Words are separated by blanks. Below, words in square brackets are
//! optional, and the default of `NAME=` follows in parentheses. A duration is a number and its unit
//! (`250ms`, `2s`). [`madderbay::interface`] documents the meaning and the unit of each setting.
//!
//! # Set-up
//!
//! ```text
//! machine   [cores=] (2) [memory_kb=] (1000) [running_memory_factor=] (4) [key_memory_kb=] (1)
//!           [cancellation=unsupported|discards|pauses] (pauses) [max_concurrency_per_core=] (5)
//!           [starts_cold] [cold_speed=] (0.2) [warm_up=] (10s)
//! handler   NAME [objective=] (1s) [timeout=] (4s) [weight=] (1) [late_weight=] (0)
//!           [keyed|non_idempotent] [idempotency_window=] (10s) [calls] [partial_weight=] (0)
//! tenant    [requests_per_second=] (1)
//! upstream  shared|tier [quota=] (1) [abandoned_call_lifetime=] (200ms) [averaging_window=] (5s)
//! clients   [count=] (1) [load_report=unused|floor|allowance|weight] (unused)
//!           [max_retry_after=] (0s) [marks_retries] [max_idle=] (0s)
//! position  [servers=] (1) [tier=] (0) [over_quota_weight=] (0.05)
//! rules     [drain_grace=] (0s) [requests_carry_timeout=yes|no] (yes)
//! ```
//!
//! Each `handler` and `tenant` line adds one. Tenants are numbered from 0.
//!
//! # Events
//!
//! ```text
//! TIME [xTIMES/INTERVAL] EVENT [; TIME [xTIMES/INTERVAL] EVENT]...
//! ```
//!
//! TIME counts from the start of the file, or with a leading `+` from the first time of the line.
//! With `x20/50ms` the event happens twenty times, 50 ms apart, and its identifier increases by one
//! each time; the later events of the line are repeated likewise, unless they have a repetition of
//! their own. Events with the same time form one batch. In between the timer fires every 10 ms.
//!
//! ```text
//! request ID HANDLER [client=] (ID) [tenant=] (0) [timeout=] (4s) [work_hint=] [memory_kb=] (1)
//!         [retry] [read_delay=] (0s) [retry_of=] (0)    a request is read
//! completed ID DURATION                  its run ends with a result, after that run time
//! failed ID DURATION                     its run ends with an error, after that run time
//! cancelled ID                           its run ends by a cancellation
//! call_needed ID                         its run waits for an upstream call
//! call_finished ID OUTCOME DURATION      the call ends after that time; OUTCOME is completed,
//!                                        failed, rejected, timed_out or unreachable
//! client_gone ID                         its client is gone
//! drain DURATION                         a graceful shutdown begins, that long before the stop
//! ceiling HANDLER[,HANDLER]... [runs=] [calls=] [start_interval=] (0s)
//!                                        the group's ceiling from then on
//! run_queue NUMBER                       the gauge of the run queue from then on
//! pause DURATION                         the process pauses: the timer fires late
//! wait                                   time passes without an event
//! ```
//!
//! # Checks
//!
//! ```text
//! > ACTION            an action since the start of the last event line begins with ACTION
//! ! ACTION            no action since the start of the last event line begins with ACTION
//! = ACTION COUNT      COUNT actions of the file so far begin with ACTION; COUNT is a number, or a
//!                     range such as 3..5
//! = *TEXT COUNT       COUNT actions of the file so far contain TEXT
//! ~ FIGURE <|> NUMBER the figure is below or above the number; FIGURE is budget (in seconds),
//!                     admitted_fraction, concurrency_limit, or clients (seen recently)
//! ```
//!
//! An action is a line of text: the method of [`madderbay::interface::Actions`] without the prefix
//! `set_`, the identifier, and the other arguments. Times are in whole milliseconds. ACTION is the
//! beginning of such a line: `start 1` matches the start of request 1 and of requests 10 to 19,
//! which scenarios use for groups of requests, and `load_report 0.` matches any report below 1.
//!
//! ```text
//! start ID      cancel ID     fail ID      skip_call ID      remove_key ID      join_attempt ID
//! reject ID final|retry_elsewhere retry_after|no_retry_after
//! call ID 225ms     store_key ID 9950ms     idle_limit 200ms     load_report 0.50     health true
//! ```
//!
//! The actions of the server's start count with those of the first event line.

mod actions;
mod checks;
mod error;
mod events;
mod player;
mod script;
mod setup;
mod words;

pub(crate) use error::{Problem, ScriptError};

use player::Player;
use script::Script;

/// Plays the text of a scenario file and returns a line of text for each failed check.
pub(crate) fn play(name: &str, text: &str) -> Result<Vec<String>, ScriptError> {
    let script = Script::parse(name, text)?;
    Ok(Player::new(&script).play())
}
