//! The platform's two services, listening.

use std::{net::SocketAddr, sync::Arc};

use super::{
    FaultSwitch, PlatformFaults,
    object_service::ObjectService,
    service::{FaultyService, PlatformService},
    table_service::TableService,
};
use crate::HttpServer;

/// The platform's two services, listening. All their content is lost when the process ends.
#[derive(Debug)]
pub struct PlatformStandin {
    tables: HttpServer,
    objects: HttpServer,
    table_faults: Arc<FaultSwitch>,
    object_faults: Arc<FaultSwitch>,
}

impl PlatformStandin {
    /// Starts both services, each at its address; port zero for any.
    pub async fn start(
        table_address: SocketAddr,
        object_address: SocketAddr,
    ) -> anyhow::Result<Self> {
        let table_faults = Arc::new(FaultSwitch::new());
        let object_faults = Arc::new(FaultSwitch::new());
        let tables = PlatformService::Tables(Arc::new(TableService::default()));
        let objects = PlatformService::Objects(Arc::new(ObjectService::default()));
        let tables = FaultyService::new(tables, Arc::clone(&table_faults));
        let objects = FaultyService::new(objects, Arc::clone(&object_faults));
        Ok(Self {
            tables: HttpServer::start(table_address, tables).await?,
            objects: HttpServer::start(object_address, objects).await?,
            table_faults,
            object_faults,
        })
    }

    /// Where the table service listens.
    pub fn table_address(&self) -> SocketAddr {
        self.tables.address()
    }

    /// Where the object store listens.
    pub fn object_address(&self) -> SocketAddr {
        self.objects.address()
    }

    /// Sets the faults of the table service.
    pub fn set_table_faults(&self, faults: PlatformFaults) {
        self.table_faults.set(faults);
    }

    /// Sets the faults of the object store.
    pub fn set_object_faults(&self, faults: PlatformFaults) {
        self.object_faults.set(faults);
    }

    /// Stops both services.
    pub fn close(self) {
        self.tables.close();
        self.objects.close();
    }
}
