//! Measures pools against the program without them, between fakes on loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example pools limits [SEEDS [VARIANT]]
//!     ... pools quotas [SEEDS [QUOTA]]

mod limits;
mod quotas;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("limits") => limits::main(),
        Some("quotas") => quotas::main(),
        _ => eprintln!("limits or quotas"),
    }
}
