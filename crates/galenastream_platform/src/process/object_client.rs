//! Client of the object store.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};

use super::endpoint::{Endpoint, ServiceError, ServiceRequest};
use crate::{GetError, PlatformLimits, PutError};

/// Client of one bucket. Cheap to clone; clones share connections and limits.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    endpoint: Arc<Endpoint>,
    bucket: Arc<str>,
}

impl ObjectClient {
    /// Creates a client of a bucket of the store at an address such as `http://10.0.0.1:9000`.
    pub fn new(endpoint: &str, bucket: &str, limits: PlatformLimits) -> Self {
        Self { endpoint: Arc::new(Endpoint::new(endpoint, limits)), bucket: bucket.into() }
    }

    /// Reads an object; `None` if there is none of this name.
    pub async fn get(&self, name: &str) -> Result<Option<Bytes>, GetError> {
        let request = ServiceRequest {
            operation: "get_object",
            method: Method::GET,
            path: &self.path(name),
            headers: &[],
            body: Bytes::new(),
        };
        let answer = match self.endpoint.call(request).await {
            Ok(answer) => answer,
            Err(ServiceError::NotSent(reason) | ServiceError::Unknown(reason)) => {
                return Err(GetError::Unavailable { reason });
            }
        };
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_client_error() => {
                Err(GetError::Refused { reason: status.to_string() })
            }
            status => Err(GetError::Unavailable { reason: status.to_string() }),
        }
    }

    /// Writes an object of a new name. Fails with a conflict if the name is taken.
    pub async fn put_new(&self, name: &str, content: Bytes) -> Result<(), PutError> {
        let request = ServiceRequest {
            operation: "put_object",
            method: Method::PUT,
            path: &self.path(name),
            headers: &[("if-none-match", "*"), ("content-type", "application/octet-stream")],
            body: content,
        };
        let answer = match self.endpoint.call(request).await {
            Ok(answer) => answer,
            Err(ServiceError::NotSent(reason)) => return Err(PutError::NotSent { reason }),
            Err(ServiceError::Unknown(reason)) => return Err(PutError::Unknown { reason }),
        };
        match answer.status {
            // The store's own answer to a write has no body.
            StatusCode::OK if answer.body.is_empty() => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(PutError::Conflict),
            status if status.is_client_error() => {
                Err(PutError::Refused { reason: status.to_string() })
            }
            status => Err(PutError::Unknown { reason: status.to_string() }),
        }
    }

    fn path(&self, name: &str) -> String {
        format!("/{}/{name}", self.bucket)
    }
}
