//! Decodes the platform's list of VMs, row by row: a row that cannot be read names no VM, and the
//! others hold.

use fleet::Vm;
use serde::Deserialize;
use serde_json::value::RawValue;
use smol_str::{SmolStr, format_smolstr};

/// The rows of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Rows that could be read.
    pub vms: Vec<Vm>,
    /// Why each of the others could not, with its position.
    pub rejected: Vec<SmolStr>,
}

#[derive(Deserialize)]
struct Rows<'a> {
    #[serde(borrow)]
    vms: Vec<&'a RawValue>,
}

impl List {
    /// Decodes a list.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a list.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let rows: Rows<'_> = serde_json::from_slice(bytes)?;
        let mut list = Self::default();
        for (position, row) in rows.vms.iter().enumerate() {
            match serde_json::from_str(row.get()) {
                Ok(vm) => list.vms.push(vm),
                Err(error) => list.rejected.push(format_smolstr!("row {position}: {error}")),
            }
        }
        Ok(list)
    }
}
