//! The shape of a log line, and the comparison of a quoted line with a line of the program.

/// Text that stands for any value, or for any word of an event.
const VALUE_PLACEHOLDER: &str = "...";

fn is_word(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    text.starts_with(|c: char| c.is_ascii_lowercase()) && text.chars().all(is_allowed)
}

fn is_key(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

/// Reports whether the text is `component: event, key=value, key=value`, with each value accepted by `is_value`.
pub(crate) fn has_shape(text: &str, is_value: impl Fn(&str) -> bool) -> bool {
    let Some((component, rest)) = text.split_once(": ") else {
        return false;
    };
    let mut parts = rest.split(", ");
    let event = parts.next().unwrap_or_default();
    let is_pair = |pair: &str| {
        let pair = pair.split_once('=');
        pair.is_some_and(|(key, value)| is_key(key) && is_value(value))
    };
    is_word(component) && event.split(' ').all(is_word) && parts.all(is_pair)
}

/// Returns the line with `...` in place of each value.
pub(crate) fn normalised(line: &str) -> String {
    let without_value = |part: &str| match part.split_once('=') {
        Some((key, _)) if is_key(key) => format!("{key}={VALUE_PLACEHOLDER}"),
        _ => part.to_string(),
    };
    let parts: Vec<String> = line.split(", ").map(without_value).collect();
    parts.join(", ")
}

/// Reports whether `quoted`, from a page, quotes `line`. Values are ignored, and `...` in the event of `quoted` stands
/// for any word.
pub(crate) fn is_quote_of(quoted: &str, line: &str) -> bool {
    let (quoted, line) = (normalised(quoted), normalised(line));
    let (quoted, line): (Vec<_>, Vec<_>) = (quoted.split(' ').collect(), line.split(' ').collect());
    let is_same = |(quoted, word): (&&str, &&str)| {
        quoted == word
            || quoted.trim_end_matches(',') == VALUE_PLACEHOLDER
                && quoted.ends_with(',') == word.ends_with(',')
    };
    quoted.len() == line.len() && quoted.iter().zip(&line).all(is_same)
}
