//! Bodies of the table service's protocol.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use galenastream_ownership::{RowVersion, WriteId};
use serde::{Deserialize, Serialize};

use crate::{GetError, TableRow};

const KEY_ABSENT: &str = "attribute_not_exists(pk)";
// `version` is a reserved word of the service's expressions, hence the placeholder.
const VERSION_EXPECTED: &str = "#version = :expected";
const CONDITION_FAILED: &str = "ConditionalCheckFailedException";

/// The body of `GetItem`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct GetItemBody<'a> {
    table_name: &'a str,
    key: KeyAttributes<'a>,
    consistent_read: bool,
}

#[derive(Debug, Serialize)]
struct KeyAttributes<'a> {
    pk: Text<'a>,
}

impl<'a> GetItemBody<'a> {
    pub(crate) fn new(table: &'a str, key: &'a str) -> Self {
        Self {
            table_name: table,
            key: KeyAttributes { pk: Text { value: key } },
            consistent_read: true,
        }
    }
}

/// The body of `PutItem`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct PutItemBody<'a> {
    table_name: &'a str,
    item: ItemAttributes<'a>,
    condition_expression: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    expression_attribute_names: Option<VersionName>,
    #[serde(skip_serializing_if = "Option::is_none")]
    expression_attribute_values: Option<ExpectedValues>,
}

#[derive(Debug, Serialize)]
struct ItemAttributes<'a> {
    pk: Text<'a>,
    version: Number,
    write: Number,
    payload: Binary,
}

#[derive(Debug, Serialize)]
struct VersionName {
    #[serde(rename = "#version")]
    version: &'static str,
}

#[derive(Debug, Serialize)]
struct ExpectedValues {
    #[serde(rename = ":expected")]
    expected: Number,
}

impl<'a> PutItemBody<'a> {
    pub(crate) fn new(
        table: &'a str,
        key: &'a str,
        expected: Option<RowVersion>,
        row: &TableRow,
    ) -> Self {
        let item = ItemAttributes {
            pk: Text { value: key },
            version: Number::new(row.version.0),
            write: Number::new(row.write.0),
            payload: Binary { value: BASE64_STANDARD.encode(&row.payload) },
        };
        Self {
            table_name: table,
            item,
            condition_expression: expected.map_or(KEY_ABSENT, |_| VERSION_EXPECTED),
            expression_attribute_names: expected.map(|_| VersionName { version: "version" }),
            expression_attribute_values: expected
                .map(|it| ExpectedValues { expected: Number::new(it.0) }),
        }
    }
}

#[derive(Debug, Serialize)]
struct Text<'a> {
    #[serde(rename = "S")]
    value: &'a str,
}

#[derive(Debug, Serialize, Deserialize)]
struct Number {
    #[serde(rename = "N")]
    value: String,
}

impl Number {
    fn new(value: u64) -> Self {
        Self { value: value.to_string() }
    }

    fn read(&self, attribute: &str) -> Result<u64, GetError> {
        self.value.parse().map_err(|_| damaged(format!("`{attribute}` is {:?}", self.value)))
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct Binary {
    #[serde(rename = "B")]
    value: String,
}

/// The answer to `GetItem`.
#[derive(Debug, Deserialize)]
pub(crate) struct GetItemAnswer {
    #[serde(rename = "Item")]
    item: Option<AnswerAttributes>,
}

#[derive(Debug, Deserialize)]
struct AnswerAttributes {
    version: Number,
    write: Number,
    payload: Binary,
}

impl GetItemAnswer {
    /// Reads the answer; `None` if there is no such row.
    pub(crate) fn read(body: &[u8]) -> Result<Option<TableRow>, GetError> {
        let answer: Self = serde_json::from_slice(body).map_err(|it| damaged(it.to_string()))?;
        let Some(item) = answer.item else {
            return Ok(None);
        };
        let payload = BASE64_STANDARD
            .decode(&item.payload.value)
            .map_err(|it| damaged(format!("`payload`: {it}")))?;
        Ok(Some(TableRow {
            version: RowVersion(item.version.read("version")?),
            write: WriteId(item.write.read("write")?),
            payload: Bytes::from(payload),
        }))
    }
}

/// The answer to a request that failed.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorAnswer {
    #[serde(rename = "__type")]
    kind: String,
    #[serde(default, alias = "Message")]
    message: String,
}

impl ErrorAnswer {
    /// Reads the answer; `None` if it does not come from the table service.
    pub(crate) fn read(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Whether the condition of a write did not hold.
    pub(crate) fn is_condition_failed(&self) -> bool {
        self.kind.ends_with(CONDITION_FAILED)
    }

    /// The service's own words.
    pub(crate) fn into_reason(self) -> String {
        format!("{}: {}", self.kind, self.message)
    }
}

fn damaged(reason: String) -> GetError {
    GetError::Damaged { reason }
}
