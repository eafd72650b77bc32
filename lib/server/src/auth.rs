//! Access tokens of callers, operators and entry hosts.
//!
//! A token consists of its subject and a keyed hash of the subject. The key is derived from a
//! secret that all entry hosts share. So no list of tokens has to be stored or distributed, and the
//! token of one caller reveals nothing about the token of another.

use std::fmt;
use std::sync::Arc;

use camphorbeam_model::{id, verdict};

/// Context string for deriving the key from the secret.
const KEY_CONTEXT: &str = "camphorbeam 2026-12 access tokens";

/// Minimum length of the secret, in bytes. The callers of [`Keyring::new`] remove white space
/// around the secret first.
pub const SECRET_MIN_BYTES: usize = 16;

/// The holder of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// A caller of one client account.
    Caller(id::ClientAccountName),
    /// An operator or support engineer.
    Operator,
    /// Another entry host.
    Peer,
}

/// Issues and verifies tokens.
#[derive(Clone)]
pub struct Keyring {
    key: [u8; blake3::KEY_LEN],
}

// Hides the key from logs and messages.
impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keyring")
    }
}

/// The secret is shorter than [`SECRET_MIN_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the secret has fewer than {SECRET_MIN_BYTES} bytes (hint: generate a random one and give it \
     to every entry host)"
)]
pub struct SecretError;

impl Keyring {
    /// Creates a keyring whose key is derived from `secret`.
    ///
    /// # Errors
    ///
    /// Returns [`SecretError`] if the secret is too short.
    pub fn new(secret: &str) -> Result<Self, SecretError> {
        match secret.len() {
            length if length < SECRET_MIN_BYTES => Err(SecretError),
            _ => Ok(Self {
                key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
            }),
        }
    }

    /// Returns the token for `identity`.
    pub fn token(&self, identity: &Identity) -> Arc<str> {
        let subject = subject_of(identity);
        let mac = self.mac(&subject);
        Arc::from(format!("{subject}:{}", mac.to_hex()))
    }

    /// Returns the identity that `token` was issued for, or `None` if it is not valid.
    pub fn identify(&self, token: &str) -> Option<Identity> {
        let (subject, mac) = token.rsplit_once(':')?;
        let given_mac = blake3::Hash::from_hex(mac).ok()?;
        // `blake3::Hash` compares in constant time.
        match self.mac(subject) == given_mac {
            true => parse_subject(subject),
            false => None,
        }
    }

    fn mac(&self, subject: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.key, subject.as_bytes())
    }
}

fn subject_of(identity: &Identity) -> String {
    match identity {
        Identity::Caller(account) => format!("caller:{account}"),
        Identity::Operator => "operator".to_owned(),
        Identity::Peer => "peer".to_owned(),
    }
}

fn parse_subject(subject: &str) -> Option<Identity> {
    match subject.split_once(':') {
        Some(("caller", account)) => account.parse().ok().map(Identity::Caller),
        None if subject == "operator" => Some(Identity::Operator),
        None if subject == "peer" => Some(Identity::Peer),
        _ => None,
    }
}

/// Returns the refusal for a call without a valid token.
pub fn unauthenticated() -> verdict::Refusal {
    verdict::Refusal::new(
        verdict::RefusalCode::Unauthenticated,
        "no valid token in the authorization header",
        "send \"authorization: Bearer TOKEN\" with a token made by `camphorbeam token`",
    )
}

/// Returns the refusal for a call whose token does not give access to `object`.
pub fn forbidden(object: &str) -> verdict::Refusal {
    verdict::Refusal::new(
        verdict::RefusalCode::Forbidden,
        format!("the token does not give access to {object}"),
        "use a token of the client account concerned, or an operator's",
    )
}
