//! Plays scenario files against the decision module.
//!
//! A scenario is a text file: lines that set the server up, then lines with events and checks.
//! `#` begins a comment. Words are separated by blanks, those in square brackets may be left out,
//! and `NAME=` has its default in round ones. A duration is a number and its unit (`250ms`, `2s`).
//! The words are those of [`madderbay::interface`], which says what they mean and their units.
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
//! TIME counts from the start of the file, or after a `+` from the first time of the line. With
//! `x20/50ms` the event happens twenty times, 50 ms apart, and its identifier counts up; the later
//! events of the line do the same, until one of them says otherwise. Events of one time are one
//! batch. In between the timer fires every 10 ms.
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
//! client_gone ID                         its client has gone
//! drain DURATION                         a graceful shutdown begins, that long before the stop
//! ceiling HANDLER[,HANDLER]... [runs=] [calls=] [start_interval=] (0s)
//!                                        the group's ceiling from then on
//! run_queue NUMBER                       the gauge of the run queue from then on
//! pause DURATION                         the process pauses: the timer fires late
//! wait                                   nothing but time passes
//! ```
//!
//! # Checks
//!
//! ```text
//! > ACTION            at least one action since the last event line began starts with this text
//! ! ACTION            none does
//! = ACTION COUNT      so many of the file so far do; COUNT is a number, or a range such as 3..5
//! = *TEXT COUNT       so many of the file so far contain this text
//! ~ FIGURE <|> NUMBER budget (in seconds), admitted_fraction, concurrency_limit, or clients (seen
//!                     of late)
//! ```
//!
//! An action is a line of text: the method of [`madderbay::interface::Actions`] without its `set_`,
//! the identifier, and what it was given. Times are in whole milliseconds. ACTION is the beginning of
//! such a line: `start 1` is met by the start of request 1 and of 10 to 19, which scenarios use for
//! groups of requests, and `load_report 0.` by any report below 1.
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

/// Plays a file's text; returns the checks that failed, a line each.
pub(crate) fn play(name: &str, text: &str) -> Result<Vec<String>, ScriptError> {
    let script = Script::parse(name, text)?;
    Ok(Player::new(&script).play())
}
