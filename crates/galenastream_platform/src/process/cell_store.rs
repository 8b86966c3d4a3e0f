//! The rows of cells in the table service.

use galenastream_ownership::{CellId, CellRow, StoreOperation, StoreReply, StoredRow};
use galenastream_wire::{decode_row, encode_row};

use crate::{GetError, PutError, TableClient, TableRow};

/// The rows of cells. Carries out what the control thread asks of the platform.
#[derive(Debug, Clone)]
pub struct CellStore {
    table: TableClient,
}

impl CellStore {
    /// Creates the store of cells on a table.
    pub fn new(table: TableClient) -> Self {
        Self { table }
    }

    /// Carries out an operation. The reply says what is known about it, however it went.
    pub async fn execute(&self, operation: StoreOperation) -> StoreReply {
        match operation {
            StoreOperation::Read { cell } => self.read_reply(cell).await,
            StoreOperation::Write { expected, write, row } => {
                let key = row_key(row.cell);
                match self.table.put(&key, expected, write, encode_row(&row)).await {
                    Ok(version) => StoreReply::Written(version),
                    Err(error) => write_failure(row.cell, &error),
                }
            }
        }
    }

    /// Reads a cell's row. Use it from tools; the control thread uses [`execute`](Self::execute).
    pub async fn read(&self, cell: CellId) -> Result<Option<StoredRow>, GetError> {
        match self.table.get(&row_key(cell)).await? {
            Some(stored) => read_stored(cell, &stored).map(Some),
            None => Ok(None),
        }
    }

    async fn read_reply(&self, cell: CellId) -> StoreReply {
        match self.read(cell).await {
            Ok(row) => StoreReply::Row(row),
            Err(error) => {
                log::warn!(event = "cell_read_failed", cell:% = cell; "{error}");
                StoreReply::Unknown
            }
        }
    }
}

fn write_failure(cell: CellId, error: &PutError) -> StoreReply {
    log::warn!(event = "cell_write_failed", cell:% = cell; "{error}");
    match error {
        PutError::Conflict => StoreReply::Conflict,
        PutError::Unknown { .. } => StoreReply::Unknown,
        PutError::NotSent { .. } | PutError::Refused { .. } => StoreReply::NotSent,
    }
}

fn read_stored(cell: CellId, stored: &TableRow) -> Result<StoredRow, GetError> {
    let row: CellRow = decode_row(&stored.payload)
        .map_err(|it| GetError::Damaged { reason: format!("row of cell {cell}: {it}") })?;
    if row.cell != cell {
        let reason = format!("the row of cell {cell} holds cell {}", row.cell);
        return Err(GetError::Damaged { reason });
    }
    Ok(StoredRow { version: stored.version, write: stored.write, row })
}

fn row_key(cell: CellId) -> String {
    format!("cell/{cell}")
}
