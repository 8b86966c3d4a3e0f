//! Client of the table service.

use std::sync::Arc;

use bytes::Bytes;
use galenastream_ownership::{RowVersion, WriteId};
use http::Method;
use serde::Serialize;

use super::endpoint::{Endpoint, ServiceAnswer, ServiceError, ServiceRequest};
use crate::{
    ErrorAnswer, GetError, GetItemAnswer, GetItemBody, PlatformLimits, PutError, PutItemBody,
    TableRow,
};

const FIRST_VERSION: RowVersion = RowVersion(1);
const CONTENT_TYPE: (&str, &str) = ("content-type", "application/x-amz-json-1.0");
const GET_ITEM: (&str, &str) = ("x-amz-target", "DynamoDB_20120810.GetItem");
const PUT_ITEM: (&str, &str) = ("x-amz-target", "DynamoDB_20120810.PutItem");

/// Client of one table. Cheap to clone; clones share connections and limits.
#[derive(Debug, Clone)]
pub struct TableClient {
    endpoint: Arc<Endpoint>,
    table: Arc<str>,
}

impl TableClient {
    /// Creates a client of a table of the service at an address such as `http://10.0.0.1:8000`.
    pub fn new(endpoint: &str, table: &str, limits: PlatformLimits) -> Self {
        Self { endpoint: Arc::new(Endpoint::new(endpoint, limits)), table: table.into() }
    }

    /// Reads a row as the last completed write left it.
    pub async fn get(&self, key: &str) -> Result<Option<TableRow>, GetError> {
        let body = GetItemBody::new(&self.table, key);
        let answer = match self.post("get_item", GET_ITEM, &body).await {
            Ok(answer) => answer,
            Err(ServiceError::NotSent(reason) | ServiceError::Unknown(reason)) => {
                return Err(GetError::Unavailable { reason });
            }
        };
        if answer.status.is_success() {
            return GetItemAnswer::read(&answer.body);
        }
        match ErrorAnswer::read(&answer.body) {
            Some(error) if answer.status.is_client_error() => {
                Err(GetError::Refused { reason: error.into_reason() })
            }
            _ => Err(GetError::Unavailable { reason: describe(&answer) }),
        }
    }

    /// Writes a row if it still has the expected version; `None`: if there is no row.
    pub async fn put(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        write: WriteId,
        payload: Bytes,
    ) -> Result<RowVersion, PutError> {
        let version = expected.map_or(FIRST_VERSION, |it| RowVersion(it.0 + 1));
        let row = TableRow { version, write, payload };
        let body = PutItemBody::new(&self.table, key, expected, &row);
        let answer = match self.post("put_item", PUT_ITEM, &body).await {
            Ok(answer) => answer,
            Err(ServiceError::NotSent(reason)) => return Err(PutError::NotSent { reason }),
            Err(ServiceError::Unknown(reason)) => return Err(PutError::Unknown { reason }),
        };
        read_put_answer(&answer)?;
        Ok(version)
    }

    async fn post<T: Serialize>(
        &self,
        operation: &'static str,
        target: (&'static str, &'static str),
        body: &T,
    ) -> Result<ServiceAnswer, ServiceError> {
        let body = serde_json::to_vec(body).map_err(|it| ServiceError::NotSent(it.to_string()))?;
        let request = ServiceRequest {
            operation,
            method: Method::POST,
            path: "/",
            headers: &[CONTENT_TYPE, target],
            body: Bytes::from(body),
        };
        self.endpoint.call(request).await
    }
}

fn read_put_answer(answer: &ServiceAnswer) -> Result<(), PutError> {
    if answer.status.is_success() {
        let body: Result<serde_json::Map<String, serde_json::Value>, _> =
            serde_json::from_slice(&answer.body);
        return match body {
            Ok(_) => Ok(()),
            Err(_) => Err(PutError::Unknown { reason: describe(answer) }),
        };
    }
    match ErrorAnswer::read(&answer.body) {
        Some(error) if answer.status.is_client_error() => {
            if error.is_condition_failed() {
                return Err(PutError::Conflict);
            }
            Err(PutError::Refused { reason: error.into_reason() })
        }
        _ => Err(PutError::Unknown { reason: describe(answer) }),
    }
}

fn describe(answer: &ServiceAnswer) -> String {
    format!("status {} with a body of {} bytes", answer.status, answer.body.len())
}
