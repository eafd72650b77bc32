//! Keys of the tasks of a gang, and their placement.

use std::fmt;
use std::str::FromStr;

use crate::id;

/// Identifies a member task of an attempt to run a request.
///
/// Serialized as the short text `request/attempt/rank`, because each renewal of task leases lists
/// the keys of all tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    pub request: id::RequestId,
    pub attempt: id::Attempt,
    pub rank: id::Rank,
}

/// Error for text that isn't a [`TaskKey`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} does not name a task (hint: write REQUEST/ATTEMPT/RANK)")]
pub struct TaskKeyError {
    /// The rejected text, truncated to 128 characters.
    pub text: String,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.request, self.attempt, self.rank)
    }
}

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, TaskKeyError> {
        parse_task_key(text).ok_or_else(|| TaskKeyError {
            text: text.chars().take(2 * id::NAME_MAX_BYTES).collect(),
        })
    }
}

fn parse_task_key(text: &str) -> Option<TaskKey> {
    let mut parts = text.splitn(3, '/');
    let request = id::RequestId::new(parts.next()?).ok()?;
    let attempt = id::Attempt(parse_number(parts.next()?)?);
    let rank = id::Rank(parse_number(parts.next()?)?);
    Some(TaskKey {
        request,
        attempt,
        rank,
    })
}

/// Parses a decimal number without a sign or leading zeros, so that each task has exactly one text
/// form.
fn parse_number(text: &str) -> Option<u32> {
    let is_plain = text == "0" || text.starts_with(|c: char| matches!(c, '1'..='9'));
    text.parse().ok().filter(|_| is_plain)
}

impl serde::Serialize for TaskKey {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

struct TaskKeyVisitor;

impl serde::de::Visitor<'_> for TaskKeyVisitor {
    type Value = TaskKey;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a task as request/attempt/rank")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<TaskKey, E> {
        text.parse().map_err(E::custom)
    }
}

impl<'de> serde::Deserialize<'de> for TaskKey {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TaskKeyVisitor)
    }
}

/// A member of a gang, which is one task on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The backend server that the member is placed on.
    pub server: id::BackendServerId,
    /// Numbers of the accelerators that the member uses on the server.
    pub accelerators: Vec<u32>,
}
