//! Names and formats of the rows that the platform defines.

use camphorbeam_jobs::maintenance;
use camphorbeam_model::{fleet, id, terms};
use camphorbeam_platform::store;

/// The rows of one partition whose keys are in a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// The table that contains the rows.
    pub table: String,
    /// The partition of the table.
    pub part: String,
    /// The smallest key of the range.
    pub from: String,
    /// The smallest key after the range.
    pub to: String,
}

impl RowRange {
    /// The rows whose keys begin with `prefix`, which ends with an ASCII character.
    pub fn with_prefix(table: &str, part: &str, prefix: &str) -> Self {
        let mut to = prefix.to_owned();
        if let Some(last) = to.pop() {
            to.push(char::from(last as u8 + 1));
        }
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            from: prefix.to_owned(),
            to,
        }
    }

    /// The smallest range that contains this one and `other`, if both are of the same partition.
    pub fn joined(&self, other: &Self) -> Option<Self> {
        let is_same_part = (&self.table, &self.part) == (&other.table, &other.part);
        is_same_part.then(|| Self {
            from: self.from.clone().min(other.from.clone()),
            to: self.to.clone().max(other.to.clone()),
            ..self.clone()
        })
    }

    /// Whether the row with this key is in the range.
    pub fn contains(&self, key: &store::RowKey) -> bool {
        key.table == self.table
            && key.part == self.part
            && (self.from.as_str()..self.to.as_str()).contains(&key.key.as_str())
    }
}

/// Locates and decodes the rows that operators and backend servers write.
pub trait PlatformSchema: Send + Sync {
    /// Key of the row that holds the operators' newest terms.
    fn terms_key(&self) -> store::RowKey;

    /// Decodes the operators' terms.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid.
    fn decode_terms(&self, text: &str) -> anyhow::Result<terms::Terms>;

    /// Rows with which operators request the evacuation of a zone. They are read as soon as they
    /// change if they are in the table of [`Self::terms_key`], else only regularly.
    fn evacuation_range(&self) -> RowRange;

    /// Decodes the key of such a row and returns the zone.
    ///
    /// # Errors
    ///
    /// Fails if the key doesn't name a zone.
    fn decode_evacuation(&self, key: &store::RowKey) -> anyhow::Result<id::ZoneName>;

    /// Rows with which operators request maintenance; `None` if the platform has none. They are
    /// followed if they are in the partition of [`Self::evacuation_range`].
    fn wave_range(&self) -> Option<RowRange> {
        None
    }

    /// Decodes a request for maintenance.
    ///
    /// # Errors
    ///
    /// Fails if the row doesn't describe one.
    fn decode_wave(&self, row: &store::Row) -> anyhow::Result<maintenance::Wave> {
        anyhow::bail!("{} is not a request for maintenance", row.key.key)
    }

    /// Key and value of the row that reports the state of the wave with this key. Has to be in the
    /// partition of the wave's row.
    fn encode_wave_status(&self, wave_key: &str, is_completed: bool) -> (store::RowKey, String) {
        let text = if is_completed { "completed" } else { "running" };
        (store::RowKey::new("status", "", wave_key), text.to_owned())
    }

    /// Table in which backend servers register, in the partition with the empty name.
    fn server_registry_table(&self) -> &'static str;

    /// Decodes the registration of a backend server.
    ///
    /// # Errors
    ///
    /// Fails if the row doesn't describe a usable server.
    fn decode_server(&self, row: &store::Row) -> anyhow::Result<fleet::ServerEntry>;
}
