//! The operator file: what a server does beyond its platform, as INI.
//!
//! [`read`] is given the text and returns checked records, or every error with its line. It does
//! no I/O, and it knows no handlers: whether a name is one is decided later, by [`Names::indices`].
//! A part whose section is absent or says `enabled = off` is `None`.
//!
//! ```
//! let text = "[pools]\nenabled = on\n[pool seats]\nhandlers = book\nweigth = 2\n";
//! let errors = madderbay_operator_config::read("op.ini", text).unwrap_err();
//! let known = "calls, calls_weight, handlers, runs, weight";
//! let expected = format!("op.ini:5: [pool seats] weigth: no such key; known are {known}");
//! assert_eq!(errors.lines(), [expected]);
//! ```

/// Concurrency limits by pool of handlers.
pub mod concurrency;
/// The control socket.
pub mod control;
mod error;
mod file;
mod handler_groups;
/// The idempotency store on disk.
pub mod idempotency_store;
mod keys;
/// The view of the fleet.
pub mod membership;
mod names;
/// Quotas and counters of the whole fleet.
pub mod quota;
mod section;
/// The backends upstream.
pub mod upstream;

pub use error::{OperatorFileError, OperatorFileErrors, Place, Problem};
pub use names::Names;

use file::OperatorFile;

/// Everything that an operator file says; what is off is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Concurrency limits by pool of handlers, and the reserve.
    pub concurrency: Option<concurrency::PoolsConfig>,
    /// The idempotency store on disk.
    pub idempotency_store: Option<idempotency_store::IdempotencyStoreConfig>,
    /// The view of the fleet.
    pub membership: Option<membership::MembershipConfig>,
    /// The control socket.
    pub control_socket: Option<control::ControlSocket>,
    /// Quotas and counters of the whole fleet.
    pub quota: Option<quota::QuotaConfig>,
    /// The backends upstream.
    pub upstream: Option<upstream::RoutingConfig>,
}

/// Reads the text of an operator file. `name` is the file's name in the errors.
///
/// # Errors
/// Everything that is wrong, in the order of the lines. Where the text is not INI, that alone.
pub fn read(name: &str, text: &str) -> Result<OperatorConfig, OperatorFileErrors> {
    let mut file = OperatorFile::parse(name, text)?;
    let concurrency = concurrency::read(&mut file);
    let idempotency_store = idempotency_store::read(&mut file);
    let membership = membership::read(&mut file);
    let control_socket = control::read(&mut file);
    let quota = quota::read(&mut file, membership.is_some());
    let upstream = upstream::read(&mut file, membership.as_ref().map(|m| m.zone.as_str()));
    file.finish()?;
    Ok(OperatorConfig {
        concurrency,
        idempotency_store,
        membership,
        control_socket,
        quota,
        upstream,
    })
}
