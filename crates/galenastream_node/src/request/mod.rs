//! What lives for one request.

mod caller_request;
pub mod headers;
mod in_progress;
mod ingress;
mod owner;
mod refusal;
mod reply;
mod response;
mod route_lookup;
mod ticket_run;
mod ticket_text;

pub use caller_request::*;
pub use galenastream_runtime::append_all;
pub use headers::end_to_end;
pub use in_progress::*;
pub use ingress::*;
pub use owner::*;
pub use refusal::*;
pub use reply::*;
pub use response::*;
pub use route_lookup::*;
pub use ticket_run::*;
pub use ticket_text::*;
