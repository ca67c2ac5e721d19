//! Definitions of settings keys.

/// Definition of one key.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Name in the JSON object.
    pub name: &'static str,
    /// Which values are allowed.
    pub form: Form,
    /// What holds if the key is left out.
    pub presence: Presence,
    /// One line for the reference page and the command line.
    pub help: &'static str,
}

/// Which values a key allows.
#[derive(Debug, Clone, Copy)]
pub enum Form {
    /// Name of a resource, machine or process.
    Name,
    /// IP address and port.
    Address,
    /// List of addresses without repetition.
    Addresses {
        /// Greatest length. The least is 1.
        most: usize,
    },
    /// Shared secret; never shown.
    Secret {
        /// Least length in bytes.
        least: usize,
        /// Greatest length in bytes.
        most: usize,
    },
    /// Whole number.
    Integer {
        /// Least value.
        low: u64,
        /// Greatest value.
        high: u64,
    },
    /// One of a few words.
    Word(&'static [&'static str]),
    /// Object with keys of its own.
    Group(&'static [Key]),
}

/// What holds if a key is left out.
#[derive(Debug, Clone, Copy)]
pub enum Presence {
    /// It must be given.
    Required,
    /// It may be absent.
    Optional,
    /// It has this value.
    Integer(u64),
    /// It has this value.
    Word(&'static str),
}

impl Key {
    /// Returns a key that must be given.
    #[must_use]
    pub const fn required(name: &'static str, form: Form, help: &'static str) -> Self {
        Self {
            name,
            form,
            presence: Presence::Required,
            help,
        }
    }

    /// Sets what holds if the key is left out.
    #[must_use]
    pub const fn presence(mut self, presence: Presence) -> Self {
        self.presence = presence;
        self
    }
}

impl Form {
    /// Returns a description of the allowed values.
    #[must_use]
    pub fn allowed(&self) -> String {
        match self {
            Self::Name => "1 to 128 letters, digits, '-', '_' or '.'".into(),
            Self::Address => "IP:PORT, such as 10.0.0.1:7000 or [fd00::1]:7000".into(),
            Self::Addresses { most } => format!("a list of 1 to {most} IP:PORT, each once"),
            Self::Secret { least, most } => format!("a string of {least} to {most} bytes"),
            Self::Integer { low, high } => format!("a whole number from {low} to {high}"),
            Self::Word(words) => {
                let quoted: Vec<_> = words.iter().map(|word| format!("\"{word}\"")).collect();
                format!("one of {}", quoted.join(", "))
            }
            Self::Group(_) => "an object".into(),
        }
    }
}

/// Returns the paths of all keys that can be set on the command line, with their definitions.
///
/// Secrets are left out, because other users of a host can read the arguments of a process.
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
