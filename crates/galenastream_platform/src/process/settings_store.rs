//! Versions of the settings: a pointer row, and one immutable object for each version.

use bytes::Bytes;
use galenastream_ownership::{RowVersion, SettingsVersion, WriteId};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::{GetError, ObjectClient, PutError, TableClient, TableRow};

const POINTER_KEY: &str = "current";

/// How often a write whose fate is not known is sent before that is reported.
const MAX_ATTEMPTS: u32 = 5;

/// Which version of the settings is in force, and where its tree lies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsPointer {
    /// The version.
    pub version: SettingsVersion,
    /// The name of the object that holds the tree.
    pub object: String,
    /// The hash of the tree, by which a damaged one is told.
    pub content_hash: u64,
}

/// Why a version was not published.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PublishError {
    /// Another version was published in the meantime. Nothing was changed.
    #[error("the settings are at version {}, not the one that was read; read them again, merge and apply anew", current.0)]
    Conflict {
        /// The version in force.
        current: SettingsVersion,
    },
    /// Nobody knows whether the version was published.
    #[error("it is not known whether version {} was published ({reason}); run `galenastreamctl settings show` before applying anew", version.0)]
    Unknown {
        /// The version that was to be published.
        version: SettingsVersion,
        /// What happened.
        reason: String,
    },
    /// The platform could not be asked. Nothing was changed.
    #[error("nothing was published ({reason}); apply again when the platform answers")]
    NotPublished {
        /// What happened.
        reason: String,
    },
}

/// The versions of the settings in the platform.
#[derive(Debug, Clone)]
pub struct SettingsStore {
    table: TableClient,
    objects: ObjectClient,
}

/// The payload of the pointer row.
#[derive(Debug, Serialize, Deserialize)]
struct PointerPayload {
    object: String,
    content_hash: u64,
}

impl SettingsStore {
    /// Creates the store of settings on a table and a bucket.
    pub fn new(table: TableClient, objects: ObjectClient) -> Self {
        Self { table, objects }
    }

    /// Reads which version is in force; `None` before the first one.
    pub async fn current(&self) -> Result<Option<SettingsPointer>, GetError> {
        match self.table.get(POINTER_KEY).await? {
            Some(row) => read_pointer(&row).map(Some),
            None => Ok(None),
        }
    }

    /// Reads the tree of a version, as TOML.
    pub async fn load(&self, pointer: &SettingsPointer) -> Result<String, GetError> {
        let object = &pointer.object;
        let Some(content) = self.objects.get(object).await? else {
            return Err(GetError::Damaged { reason: format!("object `{object}` is absent") });
        };
        if xxh3_64(&content) != pointer.content_hash {
            return Err(GetError::Damaged { reason: format!("object `{object}` was changed") });
        }
        String::from_utf8(content.into())
            .map_err(|it| GetError::Damaged { reason: format!("object `{object}`: {it}") })
    }

    /// Publishes a tree as the version after `expected`; zero if there is none yet.
    ///
    /// Of several publishers that read the same version one succeeds, the others get a conflict.
    pub async fn publish(
        &self,
        expected: SettingsVersion,
        toml: &str,
    ) -> Result<SettingsVersion, PublishError> {
        let publication = Publication::new(expected, toml);
        self.write_object(&publication, toml).await?;
        self.write_pointer(&publication).await
    }

    async fn write_object(
        &self,
        publication: &Publication,
        toml: &str,
    ) -> Result<(), PublishError> {
        let content = Bytes::copy_from_slice(toml.as_bytes());
        let mut reason = String::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.objects.put_new(&publication.object, content.clone()).await {
                // The name is this publication's own: a conflict is its own earlier attempt.
                Ok(()) | Err(PutError::Conflict) => return Ok(()),
                Err(error @ PutError::Refused { .. }) => {
                    return Err(PublishError::NotPublished { reason: error.to_string() });
                }
                Err(error) => reason = error.to_string(),
            }
        }
        // An object that no pointer names is of no effect, whether it was written or not.
        Err(PublishError::NotPublished { reason })
    }

    async fn write_pointer(
        &self,
        publication: &Publication,
    ) -> Result<SettingsVersion, PublishError> {
        let mut may_apply = false;
        let mut reason = String::new();
        for _ in 0..MAX_ATTEMPTS {
            let payload = publication.payload();
            let put = self.table.put(POINTER_KEY, publication.expected, publication.write, payload);
            match put.await {
                Ok(_) => return Ok(publication.version),
                Err(PutError::Conflict) => return self.resolve(publication, may_apply).await,
                Err(PutError::Unknown { reason: unknown }) => {
                    may_apply = true;
                    reason = unknown;
                }
                Err(error) => reason = error.to_string(),
            }
        }
        if may_apply {
            return Err(publication.unknown(reason));
        }
        Err(PublishError::NotPublished { reason })
    }

    /// Decides after a conflict whether an earlier attempt of the same publication caused it.
    async fn resolve(
        &self,
        publication: &Publication,
        may_apply: bool,
    ) -> Result<SettingsVersion, PublishError> {
        let mut reason = String::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.table.get(POINTER_KEY).await {
                Ok(row) => return publication.judge(row.as_ref(), may_apply),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(publication.unknown(reason))
    }
}

/// One attempt to publish a version.
#[derive(Debug)]
struct Publication {
    expected: Option<RowVersion>,
    version: SettingsVersion,
    write: WriteId,
    object: String,
    content_hash: u64,
}

impl Publication {
    fn new(expected: SettingsVersion, toml: &str) -> Self {
        let version = SettingsVersion(expected.0 + 1);
        let write = WriteId(rand::random());
        Self {
            expected: (expected.0 > 0).then_some(RowVersion(expected.0)),
            version,
            write,
            object: format!("settings/{}-{:016x}.toml", version.0, write.0),
            content_hash: xxh3_64(toml.as_bytes()),
        }
    }

    fn payload(&self) -> Bytes {
        let payload =
            serde_json::json!({ "object": self.object, "content_hash": self.content_hash });
        Bytes::from(payload.to_string())
    }

    fn judge(
        &self,
        row: Option<&TableRow>,
        may_apply: bool,
    ) -> Result<SettingsVersion, PublishError> {
        let current = row.map_or(SettingsVersion(0), |it| SettingsVersion(it.version.0));
        if row.is_some_and(|it| it.write == self.write) {
            return Ok(self.version);
        }
        if may_apply && current > self.version {
            let reason = format!("version {} has been published since", current.0);
            return Err(self.unknown(reason));
        }
        Err(PublishError::Conflict { current })
    }

    fn unknown(&self, reason: String) -> PublishError {
        PublishError::Unknown { version: self.version, reason }
    }
}

fn read_pointer(row: &TableRow) -> Result<SettingsPointer, GetError> {
    let payload: PointerPayload = serde_json::from_slice(&row.payload)
        .map_err(|it| GetError::Damaged { reason: format!("row `{POINTER_KEY}`: {it}") })?;
    Ok(SettingsPointer {
        version: SettingsVersion(row.version.0),
        object: payload.object,
        content_hash: payload.content_hash,
    })
}
