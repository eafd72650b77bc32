//! Newtypes for names, versions, epochs and indices.
//!
//! Names are reference-counted immutable strings, so that cloning a name doesn't copy its text.

use std::fmt;
use std::sync::Arc;

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Error for text that isn't a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{subject} {name:?} is not a valid name (hint: use 1 to 64 letters, digits, '.', '_' or '-', \
     starting with a letter or digit)"
)]
pub struct NameError {
    /// What the name was to identify, such as "queue".
    pub subject: &'static str,
    /// The rejected text, truncated to 64 characters.
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
            /// Validates `text` and wraps it.
            ///
            /// # Errors
            ///
            /// Returns [`NameError`] if `text` isn't a valid name.
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
    /// Identifies an entry host process.
    HostId,
    "entry host"
);
name_type!(
    /// Name of an availability zone.
    ZoneName,
    "availability zone"
);
name_type!(
    /// Name of a client account.
    ClientAccountName,
    "client account"
);
name_type!(
    /// Identifies a backend server.
    BackendServerId,
    "backend server"
);
name_type!(
    /// Name of a rack of backend servers.
    RackName,
    "rack"
);
name_type!(
    /// Name of a kind of work that the sheet defines.
    KindName,
    "kind"
);
name_type!(
    /// Key that a caller chooses so that it can repeat a submission safely.
    IdempotencyKey,
    "idempotency key"
);
name_type!(
    /// Identifies a request across all availability zones.
    RequestId,
    "request"
);

name_type!(
    /// Identifies a job; chosen by its caller.
    JobId,
    "job"
);
name_type!(
    /// Name of a queue.
    QueueName,
    "queue"
);
name_type!(
    /// Name of a service, which is the pool of backend servers that runs the tasks of some queues.
    ServiceName,
    "service"
);

/// Number of leading hexadecimal digits of the digest in a request id.
const REQUEST_ID_HEX_DIGITS: usize = 32;

impl RequestId {
    /// Returns the id of the request that `account` submits with `key`.
    ///
    /// The id depends on nothing else, so that a submission that is repeated in another
    /// availability zone refers to the same row of the table.
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
            /// Returns the successor of this number.
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
    /// Fencing token of the scheduler lease of an availability zone. It increases by one with each
    /// acquisition of the lease, but not with renewals. No holder has epoch 0.
    Epoch,
    u64
);
number_type!(
    /// Number of an attempt to run a request, from 1.
    Attempt,
    u32
);
number_type!(
    /// Version of the sheet. It never decreases; 0 means that there is no sheet.
    SheetVersion,
    u64
);
number_type!(
    /// Index of a member within its gang, from 0.
    Rank,
    u32
);
number_type!(
    /// Version of the operators' [terms](crate::terms::Terms). It never decreases; 0 means that
    /// there are no terms.
    TermsVersion,
    u64
);
number_type!(
    /// Number of a run of a job's task, from 1. All members of a gang have the same number. For
    /// requests, see [`Attempt`].
    Run,
    u32
);
