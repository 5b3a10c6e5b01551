//! The operator file: an INI file that enables and configures a server's features beyond its
//! platform's.
//!
//! [`read`] parses and checks the text, and returns the settings or every error with its line. It
//! does no I/O. It does not know which handlers exist; [`Names::indices`] resolves their names
//! later. A feature whose section is absent or has `enabled = off` is `None`.
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
/// Settings of the fleet's membership.
pub mod membership;
mod names;
/// Quotas and counters of the whole fleet.
pub mod quota;
mod section;
/// The upstream backends.
pub mod upstream;

pub use error::{OperatorFileError, OperatorFileErrors, Place, Problem};
pub use names::Names;

use file::OperatorFile;

/// The settings of an operator file. Features that are off are `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Concurrency limits by pool of handlers, and the reserve.
    pub concurrency: Option<concurrency::PoolsConfig>,
    /// The idempotency store on disk.
    pub idempotency_store: Option<idempotency_store::IdempotencyStoreConfig>,
    /// Settings of the fleet's membership.
    pub membership: Option<membership::MembershipConfig>,
    /// The control socket.
    pub control_socket: Option<control::ControlSocket>,
    /// Quotas and counters of the whole fleet.
    pub quota: Option<quota::QuotaConfig>,
    /// The upstream backends.
    pub upstream: Option<upstream::RoutingConfig>,
}

/// Reads the text of an operator file. `name` is the name of the file in error messages.
///
/// # Errors
/// Returns all errors in the order of their lines, or only the syntax error if the text is not INI.
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
