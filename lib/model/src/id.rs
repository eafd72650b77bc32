//! Newtype identifiers.
//!
//! Names are shared immutable strings, so that cloning one costs a reference count and no copy.

use std::fmt;
use std::sync::Arc;

/// Longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// A name that does not follow the naming rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{subject} {name:?} is not a valid name (hint: use 1 to 64 letters, digits, '.', '_' or '-', \
     starting with a letter or digit)"
)]
pub struct NameError {
    /// What the name was meant to identify.
    pub subject: &'static str,
    /// The rejected text, cut to a printable length.
    pub name: String,
}

fn is_valid_name(text: &str) -> bool {
    let first_is_alphanumeric = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let all_allowed = text
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    first_is_alphanumeric && all_allowed && text.len() <= NAME_MAX_BYTES
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type_name:ident, $subject:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
        #[serde(transparent)]
        pub struct $type_name(Arc<str>);

        impl $type_name {
            /// Checks `text` against the naming rule.
            ///
            /// # Errors
            ///
            /// Returns [`NameError`] if the rule is broken.
            pub fn new(text: &str) -> Result<Self, NameError> {
                if is_valid_name(text) {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(NameError {
                        subject: $subject,
                        name: text.chars().take(NAME_MAX_BYTES).collect(),
                    })
                }
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type_name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type_name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl std::str::FromStr for $type_name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl<'de> serde::Deserialize<'de> for $type_name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    };
}

name_type!(
    /// Identifies one entry host process.
    HostId,
    "entry host"
);
name_type!(
    /// Names an availability zone.
    ZoneName,
    "availability zone"
);
name_type!(
    /// Names a client account.
    ClientAccountName,
    "client account"
);
name_type!(
    /// Identifies a backend server.
    BackendServerId,
    "backend server"
);
name_type!(
    /// Names a rack of backend servers.
    RackName,
    "rack"
);
name_type!(
    /// Names a kind of work in the sheet.
    KindName,
    "kind"
);
name_type!(
    /// The key that a caller chooses to make its submission idempotent.
    IdempotencyKey,
    "idempotency key"
);
name_type!(
    /// Identifies a request, the same in every availability zone.
    RequestId,
    "request"
);

name_type!(
    /// Identifies a job, as its caller chose it.
    JobId,
    "job"
);
name_type!(
    /// Names a queue.
    QueueName,
    "queue"
);
name_type!(
    /// Names a service: the pool of backend servers that runs the tasks of some queues.
    ServiceName,
    "service"
);

/// Number of hexadecimal digits of a digest that a request id keeps.
const REQUEST_ID_HEX_DIGITS: usize = 32;

impl RequestId {
    /// The id of the request that `account` submits under `key`.
    ///
    /// Derived from both, so that a submission repeated in another availability zone meets the
    /// same row of the table.
    pub fn derive(account: &ClientAccountName, key: &IdempotencyKey) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(account.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_str().as_bytes());
        let digits = hasher.finalize().to_hex();
        Self(Arc::from(format!("r{}", &digits[..REQUEST_ID_HEX_DIGITS])))
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $type_name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type_name(pub $inner);

        impl $type_name {
            /// The number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $type_name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type!(
    /// Fencing number of a zone's scheduler lease. Grows by one at each change of holder; zero is
    /// held by nobody.
    Epoch,
    u64
);
number_type!(
    /// Counts the attempts to run one request, from 1.
    Attempt,
    u32
);
number_type!(
    /// Version of the sheet. Only rises; zero stands for no sheet.
    SheetVersion,
    u64
);
number_type!(
    /// Position of a member within its gang, from 0.
    Rank,
    u32
);
number_type!(
    /// Version of the operators' terms. Only rises; zero stands for none.
    TermsVersion,
    u64
);
number_type!(
    /// Numbers the starts of one task, from 1. Members of a gang share it.
    Run,
    u32
);
