//! All findings about a document.

use smol_str::format_smolstr;

use crate::{Bounds, Cause, Document, Finding, compare, review};

/// A document decoded as far as possible.
#[derive(Clone, Debug)]
pub struct Decoded {
    /// Document; `None` if the text has errors of syntax.
    pub document: Option<Document>,
    /// Findings of the decoder.
    pub findings: Vec<Finding>,
}

impl Decoded {
    /// Returns the findings about parts that cannot be decoded.
    fn undecoded(&self) -> impl Iterator<Item = &Finding> {
        let findings = self.findings.iter();
        findings.filter(|finding| matches!(finding.cause, Cause::Syntax | Cause::Field))
    }

    fn complete(&self) -> Option<&Document> {
        self.document.as_ref().filter(|_| self.undecoded().next().is_none())
    }
}

/// Returns all findings about a document, with the differences from the version in force if there is
/// one. Differences are only listed between documents that can be decoded completely.
pub fn check(decoded: &Decoded, in_force: Option<&Decoded>, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = decoded.findings.clone();
    if let Some(document) = &decoded.document {
        findings.extend(review(document, bounds));
    }
    let Some(in_force) = in_force else { return findings };
    for finding in in_force.undecoded() {
        let place = format_smolstr!("in force: {}", finding.place);
        findings.push(Finding::new(Cause::InForce, place, finding.reason.clone()));
    }
    if let (Some(before), Some(after)) = (in_force.complete(), decoded.complete()) {
        if before.has_routes == after.has_routes {
            findings.extend(compare(before, after));
        } else {
            let reason = "has another format than the document";
            findings.push(Finding::new(Cause::InForce, "in force", reason));
        }
    }
    findings
}
