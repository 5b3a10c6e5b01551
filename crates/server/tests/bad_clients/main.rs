//! The program beside clients that behave badly. What a sound client gets, and the memory of the process, must stay
//! within their bounds whatever one client does.

#[path = "../common/mod.rs"]
mod common;
mod departure;
mod flood;
mod memory;
#[path = "../common/program.rs"]
mod program;
mod support;
