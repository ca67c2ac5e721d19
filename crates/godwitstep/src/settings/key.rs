//! Definition of settings keys: name, allowed values and default.

/// Definition of one settings key.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Name in the JSON object.
    pub name: &'static str,
    /// Type and range of allowed values.
    pub form: Form,
    /// Default, or whether the key is required.
    pub presence: Presence,
    /// One line for the reference page and the command line.
    pub help: &'static str,
}

/// Type and range of the values that a key allows.
#[derive(Debug, Clone, Copy)]
pub enum Form {
    /// Name of a resource, machine or process.
    Name,
    /// IP address and port.
    Address,
    /// List of addresses without duplicates.
    Addresses {
        /// Maximum length. The minimum is 1.
        max_len: usize,
    },
    /// Shared secret; never printed.
    Secret {
        /// Minimum length. Unit: bytes.
        min_len: usize,
        /// Maximum length. Unit: bytes.
        max_len: usize,
    },
    /// Unsigned integer.
    Integer {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// One of a fixed set of strings.
    Choice(&'static [&'static str]),
    /// Nested object with its own keys.
    Group(&'static [Key]),
}

/// Whether a key is required, and its default if it is not.
#[derive(Debug, Clone, Copy)]
pub enum Presence {
    /// The key is required.
    Required,
    /// The key is optional and has no default.
    Optional,
    /// The key defaults to this integer.
    Integer(u64),
    /// The key defaults to this string.
    Choice(&'static str),
}

impl Key {
    /// Defines a required key.
    #[must_use]
    pub const fn required(name: &'static str, form: Form, help: &'static str) -> Self {
        Self {
            name,
            form,
            presence: Presence::Required,
            help,
        }
    }

    /// Sets whether the key is required and its default.
    #[must_use]
    pub const fn presence(mut self, presence: Presence) -> Self {
        self.presence = presence;
        self
    }
}

impl Form {
    /// Describes the allowed values, for faults and the reference page.
    #[must_use]
    pub fn allowed(&self) -> String {
        match self {
            Self::Name => "1 to 128 letters, digits, '-', '_' or '.'".into(),
            Self::Address => "IP:PORT, such as 10.0.0.1:7000 or [fd00::1]:7000".into(),
            Self::Addresses { max_len } => format!("a list of 1 to {max_len} IP:PORT, each once"),
            Self::Secret { min_len, max_len } => {
                format!("a string of {min_len} to {max_len} bytes")
            }
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Choice(words) => {
                let quoted: Vec<_> = words.iter().map(|word| format!("\"{word}\"")).collect();
                format!("one of {}", quoted.join(", "))
            }
            Self::Group(_) => "an object".into(),
        }
    }
}

/// Returns the paths and definitions of all keys that can be set on the command line.
///
/// Secrets are excluded, because other users of a host can read the arguments of a process.
#[must_use]
pub fn flags(keys: &'static [Key]) -> Vec<(String, &'static Key)> {
    let mut flags = Vec::new();
    for key in keys {
        match key.form {
            Form::Secret { .. } => {}
            Form::Group(inner) => flags.extend(
                self::flags(inner)
                    .into_iter()
                    .map(|(path, inner)| (format!("{}.{path}", key.name), inner)),
            ),
            _ => flags.push((key.name.to_owned(), key)),
        }
    }
    flags
}
