//! Header names of the interface, given by whoever translates it.

/// The names of header fields that carry what forwarding needs.
///
/// They belong to the deployment, so they are data and not constants here.
#[derive(Clone, Copy, Debug)]
pub struct FieldNames {
    /// The caller's id of the request; echoed by backend servers.
    pub request: &'static str,
    /// Milliseconds that the caller still waits.
    pub time_left: &'static str,
    /// Prompt tokens and most output tokens.
    pub usage: &'static str,
    /// Parts of the prompt.
    pub prompt: &'static str,
    /// The last event that the caller of a stream has.
    pub last_event: &'static str,
    /// Set by this router: the organisation.
    pub organisation: &'static str,
    /// Set by this router: the server's life that is meant.
    pub expected_server: &'static str,
    /// Set by this router: the request's rank.
    pub priority: &'static str,
    /// A server's word that it did not run the request.
    pub not_run: &'static str,
    /// A server's load: running, waiting, slots.
    pub load: &'static str,
    /// A server's word that it leaves.
    pub leaving: &'static str,
    /// Further fields that only the system may set; a caller's are dropped.
    pub reserved: &'static [&'static str],
}
