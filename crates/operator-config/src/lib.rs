//! The operator file: what a server does beyond its platform, as INI. It is read and checked whole before
//! anything starts; everything that is wrong is told, each in one line with file, line and key.
//!
//! ```
//! let text = "[pools]\nenabled = on\n[pool seats]\nhandlers = book\nweigth = 2\n";
//! let wrong = madderbay_operator_config::read("op.ini", text).unwrap_err();
//! let known = "calls, calls_weight, handlers, runs, weight";
//! assert_eq!(wrong, [format!("op.ini:5: [pool seats] weigth: no such key; known are {known}")]);
//! ```

mod file;
pub mod kept;
pub mod members;
pub mod pools;
pub mod routes;
pub mod shared;

use file::File;
pub use file::Names;

/// All parts; what is off is nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub pools: Option<pools::Pools>,
    pub kept: Option<kept::KeptResults>,
    pub members: Option<members::Members>,
    pub control: Option<members::Control>,
    pub shared: Option<shared::Shared>,
    pub routes: Option<routes::Routes>,
}

/// Reads a file's text; `name` is what the lines say it is called. Every line that is wrong is told.
pub fn read(name: &str, text: &str) -> Result<Operator, Vec<String>> {
    let mut file = File::read(name, text)?;
    let pools = pools::read(&mut file);
    let kept = kept::read(&mut file);
    let members = members::read(&mut file);
    let control = members::control(&mut file);
    let shared = shared::read(&mut file, members.is_some());
    let routes = routes::read(&mut file, members.as_ref().map(|m| m.zone.as_str()));
    file.done(Operator {
        pools,
        kept,
        members,
        control,
        shared,
        routes,
    })
}
