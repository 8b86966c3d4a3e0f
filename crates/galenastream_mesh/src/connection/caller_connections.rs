//! Serves callers.

use std::sync::{Arc, atomic::Ordering};

use http::{HeaderValue, header};
use tokio::net::TcpListener;

use super::accept::{accept_all, serve_http};
use crate::{process::Traffic, request::answer_caller};

/// Serves callers until the process ends.
///
/// Uses hyper below `volo-http`: when a caller leaves, the request in progress has to end, and
/// `volo-http`'s server does not promise that.
pub async fn serve_callers(traffic: Arc<Traffic>, listener: TcpListener) {
    accept_all(listener, |stream| {
        let traffic = traffic.clone();
        tokio::spawn(serve_http(stream, move |request| {
            let traffic = traffic.clone();
            async move {
                let mut response = answer_caller(&traffic, request).await;
                if traffic.context.is_closing.load(Ordering::Relaxed) {
                    // The caller opens its next connection elsewhere.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                response
            }
        }));
    })
    .await;
}
