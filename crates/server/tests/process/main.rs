//! The real program on loopback addresses. The tests play its engine, its catalogue, its registry and its load
//! balancers.

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
