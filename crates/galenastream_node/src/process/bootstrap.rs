//! What a process must know before it can read the settings of the platform.

use std::{
    fs,
    net::{SocketAddr, SocketAddrV4},
    path::{Path, PathBuf},
};

use galenastream_ownership::{PlaceId, ServiceId, VmId};
use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

/// Traffic threads of a process whose settings do not name their number.
const DEFAULT_TRAFFIC_THREADS: u32 = 2;

/// The most traffic threads of a process.
const MAX_TRAFFIC_THREADS: u32 = 64;

/// The longest name of a service or a place, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// What a process must know before it can read the settings of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bootstrap {
    /// Where other nodes reach this one, by UDP and TCP. Names the VM.
    pub vm_address: SocketAddrV4,
    /// Where callers reach this node by HTTP.
    pub caller_address: SocketAddr,
    /// Where the target, operators and monitoring reach this node by HTTP.
    pub admin_address: SocketAddr,
    /// The name of the place that the VM stands in.
    pub place: String,
    /// The name of the service that the target beside this node belongs to.
    pub service: String,
    /// Where the platform is.
    pub platform: PlatformAddresses,
    /// How many threads carry traffic.
    pub traffic_threads: usize,
}

/// Where the platform is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// The table service.
    pub table_address: SocketAddr,
    /// The object store.
    pub object_address: SocketAddr,
}

/// Why a bootstrap file is refused.
#[derive(Debug, Error)]
pub enum BootstrapError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}; pass the path of a readable TOML file by --settings", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not TOML, lacks a field, or has one that is not known.
    #[error("{}:{line}: {message}; remedy: compare the file with the one in the README", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        message: String,
    },
    /// A field has a value that is not allowed.
    #[error("{}:{line}: {field} = {value}: allowed is {allowed}; remedy: {remedy}", file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The field.
        field: &'static str,
        /// The value as it was given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
        /// What to do.
        remedy: &'static str,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BootstrapFile {
    vm_address: Spanned<String>,
    caller_address: Spanned<String>,
    admin_address: Spanned<String>,
    place: Spanned<String>,
    service: Spanned<String>,
    platform: PlatformFile,
    traffic_threads: Option<Spanned<u32>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformFile {
    table_address: Spanned<String>,
    object_address: Spanned<String>,
}

impl Bootstrap {
    /// Reads and checks a file.
    pub fn load(file: &Path) -> Result<Self, BootstrapError> {
        let text = fs::read_to_string(file)
            .map_err(|source| BootstrapError::Unreadable { file: file.to_owned(), source })?;
        Self::parse(file, &text)
    }

    /// Checks the text of a file. The path is only named in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, BootstrapError> {
        let parsed: BootstrapFile = toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            BootstrapError::Malformed {
                file: file.to_owned(),
                line: line_at(text, offset),
                message: error.message().trim_end().to_owned(),
            }
        })?;
        let check = FieldCheck { file, text };
        Ok(Self {
            vm_address: check.vm_address(&parsed.vm_address)?,
            caller_address: check.address("caller_address", &parsed.caller_address)?,
            admin_address: check.address("admin_address", &parsed.admin_address)?,
            place: check.name("place", &parsed.place)?,
            service: check.name("service", &parsed.service)?,
            platform: PlatformAddresses {
                table_address: check
                    .address("platform.table_address", &parsed.platform.table_address)?,
                object_address: check
                    .address("platform.object_address", &parsed.platform.object_address)?,
            },
            traffic_threads: check.traffic_threads(parsed.traffic_threads.as_ref())?,
        })
    }

    /// The VM.
    pub fn vm(&self) -> VmId {
        self.vm_address.into()
    }

    /// The id of the service.
    pub fn service_id(&self) -> ServiceId {
        ServiceId::from_name(&self.service)
    }

    /// The id of the place.
    pub fn place_id(&self) -> PlaceId {
        PlaceId::from_name(&self.place)
    }
}

struct FieldCheck<'a> {
    file: &'a Path,
    text: &'a str,
}

impl FieldCheck<'_> {
    fn vm_address(&self, value: &Spanned<String>) -> Result<SocketAddrV4, BootstrapError> {
        let parsed = value.get_ref().parse::<SocketAddrV4>().ok();
        let usable = parsed.filter(|it| it.port() != 0 && !it.ip().is_unspecified());
        usable.ok_or_else(|| {
            self.refuse(
                "vm_address",
                value,
                "an IPv4 address of this VM with a port from 1 to 65535",
                "write the address at which other VMs reach this one, as in \"10.0.0.7:7400\"",
            )
        })
    }

    fn address(
        &self,
        field: &'static str,
        value: &Spanned<String>,
    ) -> Result<SocketAddr, BootstrapError> {
        let parsed = value.get_ref().parse::<SocketAddr>().ok();
        parsed.filter(|it| it.port() != 0).ok_or_else(|| {
            self.refuse(
                field,
                value,
                "an IP address with a port from 1 to 65535",
                "write an IP number and a port, as in \"10.0.0.7:7401\"; names are not looked up",
            )
        })
    }

    fn name(&self, field: &'static str, value: &Spanned<String>) -> Result<String, BootstrapError> {
        let name = value.get_ref();
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name.bytes().all(|it| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-');
        if is_valid {
            return Ok(name.clone());
        }
        Err(self.refuse(
            field,
            value,
            "1 to 64 of a-z, 0-9 and \"-\"",
            "write the name as it stands in the settings tree",
        ))
    }

    fn traffic_threads(&self, value: Option<&Spanned<u32>>) -> Result<usize, BootstrapError> {
        let Some(value) = value else {
            return Ok(DEFAULT_TRAFFIC_THREADS as usize);
        };
        if (1..=MAX_TRAFFIC_THREADS).contains(value.get_ref()) {
            return Ok(*value.get_ref() as usize);
        }
        Err(self.refuse(
            "traffic_threads",
            value,
            "1 to 64",
            "write how many cores the process may use, or remove the line",
        ))
    }

    fn refuse<T: std::fmt::Debug>(
        &self,
        field: &'static str,
        value: &Spanned<T>,
        allowed: &'static str,
        remedy: &'static str,
    ) -> BootstrapError {
        BootstrapError::Value {
            file: self.file.to_owned(),
            line: line_at(self.text, value.span().start),
            field,
            value: format!("{:?}", value.get_ref()),
            allowed,
            remedy,
        }
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    let before = text.get(..offset).unwrap_or(text);
    before.matches('\n').count() + 1
}
