//! The table service's protocol: the part of DynamoDB JSON 1.0 that galenastream uses.

use bytes::Bytes;
use http::{StatusCode, request::Parts};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use volo_http::response::Response;

use super::table::{Attributes, RowCondition, RowName, Tables};
use crate::reply;

const GET_ITEM: &str = "DynamoDB_20120810.GetItem";
const PUT_ITEM: &str = "DynamoDB_20120810.PutItem";
const ERROR_PREFIX: &str = "com.amazonaws.dynamodb.v20120810#";
const KEY_ATTRIBUTE: &str = "pk";

/// The table service.
#[derive(Debug, Default)]
pub(crate) struct TableService {
    tables: Tables,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct GetItem {
    table_name: String,
    key: Attributes,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct PutItem {
    table_name: String,
    item: Attributes,
    condition_expression: Option<String>,
    #[serde(default)]
    expression_attribute_names: Map<String, Value>,
    #[serde(default)]
    expression_attribute_values: Map<String, Value>,
}

/// An error of the protocol.
#[derive(Debug)]
struct ServiceFault {
    kind: &'static str,
    message: String,
}

impl TableService {
    pub(crate) fn is_write(parts: &Parts) -> bool {
        target(parts) == PUT_ITEM
    }

    pub(crate) fn handle(&self, parts: &Parts, body: &[u8]) -> Response {
        let result = match target(parts) {
            GET_ITEM => self.get_item(body),
            PUT_ITEM => self.put_item(body),
            other => Err(ServiceFault {
                kind: "UnknownOperationException",
                message: format!("unknown operation {other:?}"),
            }),
        };
        match result {
            Ok(answer) => answer_with(StatusCode::OK, &answer),
            Err(fault) => {
                let kind = format!("{ERROR_PREFIX}{}", fault.kind);
                let answer = json!({ "__type": kind, "message": fault.message });
                answer_with(StatusCode::BAD_REQUEST, &answer)
            }
        }
    }

    fn get_item(&self, body: &[u8]) -> Result<Value, ServiceFault> {
        let request: GetItem =
            serde_json::from_slice(body).map_err(|it| invalid(it.to_string()))?;
        let name = RowName { table: request.table_name, key: key_of(&request.key)? };
        Ok(match self.tables.get(&name) {
            Some(row) => json!({ "Item": row }),
            None => json!({}),
        })
    }

    fn put_item(&self, body: &[u8]) -> Result<Value, ServiceFault> {
        let request: PutItem =
            serde_json::from_slice(body).map_err(|it| invalid(it.to_string()))?;
        let condition = request.condition()?;
        let name = RowName { table: request.table_name, key: key_of(&request.item)? };
        if self.tables.put(name, request.item, &condition) {
            return Ok(json!({}));
        }
        Err(ServiceFault {
            kind: "ConditionalCheckFailedException",
            message: "The conditional request failed".to_owned(),
        })
    }
}

impl PutItem {
    fn condition(&self) -> Result<RowCondition, ServiceFault> {
        let Some(expression) = &self.condition_expression else {
            return Ok(RowCondition::Always);
        };
        if expression.trim() == format!("attribute_not_exists({KEY_ATTRIBUTE})") {
            return Ok(RowCondition::Absent);
        }
        let Some((attribute, value)) = expression.split_once('=') else {
            return Err(invalid(format!("the condition {expression:?} is not supported")));
        };
        let value = self.expression_attribute_values.get(value.trim());
        let value = value.ok_or_else(|| invalid(format!("{expression:?} names no value")))?;
        let attribute = self.attribute_name(attribute.trim());
        Ok(RowCondition::AttributeIs { attribute, value: value.clone() })
    }

    fn attribute_name(&self, name: &str) -> String {
        let placed = self.expression_attribute_names.get(name).and_then(Value::as_str);
        placed.unwrap_or(name).to_owned()
    }
}

fn target(parts: &Parts) -> &str {
    parts.headers.get("x-amz-target").and_then(|it| it.to_str().ok()).unwrap_or_default()
}

fn key_of(attributes: &Attributes) -> Result<String, ServiceFault> {
    let key = attributes.get(KEY_ATTRIBUTE).and_then(|it| it.get("S")).and_then(Value::as_str);
    key.map(str::to_owned).ok_or_else(|| invalid(format!("no attribute `{KEY_ATTRIBUTE}`")))
}

fn invalid(message: String) -> ServiceFault {
    ServiceFault { kind: "ValidationException", message }
}

fn answer_with(status: StatusCode, answer: &Value) -> Response {
    reply(status, "application/x-amz-json-1.0", Bytes::from(answer.to_string()))
}
