//! Calls to grant, renew and revoke leases.

use std::time::Duration;

use crate::call::{GrantRequest, KeepaliveResponse, LeaseRequest, LeaseResponse, Number};
use crate::{Client, Error, Purpose};

/// Identifier of a lease.
pub type LeaseId = u64;

impl Client {
    /// Requests a lease. The `ttl` is rounded down to whole seconds, to at least one second.
    ///
    /// # Errors
    ///
    /// As [`Client::range`]. A lease whose answer was lost expires by itself.
    pub fn grant(&self, purpose: Purpose, ttl: Duration) -> Result<LeaseId, Error> {
        let body = GrantRequest { ttl: Number(ttl.as_secs().max(1)) };
        let answer: LeaseResponse = self.write("/v3/lease/grant", purpose, &body)?;
        Ok(answer.id.0)
    }

    /// Renews a lease and returns its remaining time, zero when it has expired. The caller must
    /// count the time from before the call.
    ///
    /// # Errors
    ///
    /// As [`Client::range`].
    pub fn keepalive(&self, purpose: Purpose, lease: LeaseId) -> Result<Duration, Error> {
        let body = LeaseRequest { id: Number(lease) };
        let answer: KeepaliveResponse = self.write("/v3/lease/keepalive", purpose, &body)?;
        Ok(Duration::from_secs(answer.result.ttl.0))
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// As [`Client::range`].
    pub fn revoke(&self, purpose: Purpose, lease: LeaseId) -> Result<(), Error> {
        let body = LeaseRequest { id: Number(lease) };
        let _: LeaseResponse = self.write("/v3/lease/revoke", purpose, &body)?;
        Ok(())
    }
}
