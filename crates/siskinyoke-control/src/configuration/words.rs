//! The forms of names and addresses, the same in settings and in the configuration.

/// The longest name; names stand in metrics and log lines.
pub const NAME_MAX: usize = 128;

/// Marks that any name may hold beside letters and digits.
pub const NAME_MARKS: &str = "-_.";

/// Tells whether a text is a name: letters, digits and some marks.
pub fn is_name(text: &str, marks: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || marks.contains(c);
    !text.is_empty() && text.len() <= NAME_MAX && text.chars().all(plain)
}

/// Tells whether a text is `host:port` with a port that can be connected to.
pub fn is_address(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else {
        return false;
    };
    let plain = |c: char| !c.is_whitespace() && c != '/';
    !host.is_empty() && host.chars().all(plain) && port.parse::<u16>().is_ok_and(|port| port > 0)
}
