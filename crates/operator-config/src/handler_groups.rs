//! Sections that group handlers: pools, budgets and backends.

use crate::error::Problem;
use crate::file::File;
use crate::names::Names;
use crate::section::Section;

/// The key with the names of a group's handlers.
pub(crate) const HANDLERS: &str = "handlers";

/// Reads the handlers of a group, which has at least one.
pub(crate) fn read(file: &mut File, section: &Section, kind: &'static str) -> Names {
    let handlers = file.names(section, HANDLERS);
    if handlers.names.is_empty() {
        file.key_error(section, HANDLERS, Problem::NoHandlers(kind));
    }
    handlers
}

/// Reports the first handler that belongs to an earlier group of the same kind. `earlier` holds the
/// names of these groups with their handlers.
pub(crate) fn check_disjoint<'a>(
    file: &mut File,
    section: &Section,
    kind: &'static str,
    handlers: &Names,
    earlier: impl Iterator<Item = (&'a String, &'a Names)> + Clone,
) {
    let problem = handlers.names.iter().find_map(|handler| {
        let has_handler = |(_, other): &(&String, &Names)| other.names.contains(handler);
        let (name, _) = earlier.clone().find(has_handler)?;
        Some(Problem::HandlerInTwoGroups {
            handler: handler.clone(),
            kind,
            name: name.clone(),
        })
    });
    if let Some(problem) = problem {
        file.key_error(section, HANDLERS, problem);
    }
}
