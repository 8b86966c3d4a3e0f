//! The object store's protocol: the part of the S3 REST protocol that galenastream uses.

use bytes::Bytes;
use http::{Method, StatusCode, header, request::Parts};
use volo_http::response::Response;

use super::table::Objects;
use crate::reply;

/// The object store.
#[derive(Debug, Default)]
pub(crate) struct ObjectService {
    objects: Objects,
}

impl ObjectService {
    pub(crate) fn handle(&self, parts: &Parts, body: Bytes) -> Response {
        let path = parts.uri.path();
        match parts.method {
            Method::GET => match self.objects.get(path) {
                Some(content) => reply(StatusCode::OK, "application/octet-stream", content),
                None => fault(StatusCode::NOT_FOUND, "NoSuchKey"),
            },
            Method::PUT => self.put(parts, body),
            _ => fault(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed"),
        }
    }

    fn put(&self, parts: &Parts, body: Bytes) -> Response {
        let only_new = parts.headers.get(header::IF_NONE_MATCH).is_some_and(|it| it == "*");
        if self.objects.put(parts.uri.path(), body, only_new) {
            return reply(StatusCode::OK, "application/xml", Bytes::new());
        }
        fault(StatusCode::PRECONDITION_FAILED, "PreconditionFailed")
    }
}

fn fault(status: StatusCode, code: &str) -> Response {
    let body = format!("<?xml version=\"1.0\"?><Error><Code>{code}</Code></Error>");
    reply(status, "application/xml", Bytes::from(body))
}
