//! The operator file: what a server does beyond its platform, as INI. It is read and checked whole before
//! anything starts; everything that is wrong is told, each in one line with file, line and key.
//!
//! ```
//! let text = "[pools]\nenabled = on\n[pool seats]\nhandlers = book\nweigth = 2\n";
//! let wrong = madderbay_operator_config::read("op.ini", text).unwrap_err();
//! let known = "calls, calls_weight, handlers, runs, weight";
//! assert_eq!(wrong, [format!("op.ini:5: [pool seats] weigth: no such key; known are {known}")]);
//! ```

pub mod concurrency;
pub mod control;
mod file;
pub mod idempotency_store;
pub mod membership;
pub mod quota;
pub mod upstream;

use file::File;
pub use file::Names;

/// All parts; what is off is nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub pools: Option<concurrency::Pools>,
    pub kept: Option<idempotency_store::KeptResults>,
    pub members: Option<membership::Members>,
    pub control: Option<control::Control>,
    pub shared: Option<quota::Shared>,
    pub routes: Option<upstream::Routes>,
}

/// Reads a file's text; `name` is what the lines say it is called. Every line that is wrong is told.
pub fn read(name: &str, text: &str) -> Result<Operator, Vec<String>> {
    let mut file = File::read(name, text)?;
    let pools = concurrency::read(&mut file);
    let kept = idempotency_store::read(&mut file);
    let members = membership::read(&mut file);
    let control = control::read(&mut file);
    let shared = quota::read(&mut file, members.is_some());
    let routes = upstream::read(&mut file, members.as_ref().map(|m| m.zone.as_str()));
    file.done(Operator {
        pools,
        kept,
        members,
        control,
        shared,
        routes,
    })
}
