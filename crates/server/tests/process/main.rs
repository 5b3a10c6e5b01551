//! The real program on loopback, between an engine, a catalogue, a registry and load balancers that the tests play.

#[path = "../common/mod.rs"]
mod common;
mod connections;
mod operator_file;
#[path = "../common/program.rs"]
mod program;
mod reload;
mod serving;
mod shutdown;
mod startup;
mod support;
