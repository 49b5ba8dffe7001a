//! Names of the HTTP header fields that forwarding uses.

/// The names of the header fields that callers, this router and backend servers
/// exchange.
///
/// The names depend on the deployment, so the binary passes them in.
#[derive(Clone, Copy, Debug)]
pub struct FieldNames {
    /// The caller's request id; backend servers echo it.
    pub request: &'static str,
    /// How many more milliseconds the caller waits.
    pub time_left: &'static str,
    /// Number of prompt tokens and the maximum number of output tokens.
    pub usage: &'static str,
    /// Description of the prompt's parts.
    pub prompt: &'static str,
    /// Id of the last event that the caller of a stream has received.
    pub last_event: &'static str,
    /// Id of the caller's request that brought the first event of a stream which
    /// this one continues.
    pub resumes: &'static str,
    /// Set by this router: the organisation that sent the request.
    pub organisation: &'static str,
    /// Set by this router: the id of the server for which the request is meant.
    pub expected_server: &'static str,
    /// Set by this router: the request's priority.
    pub priority: &'static str,
    /// Set by a server that did not run the request.
    pub not_run: &'static str,
    /// A server's receipt for a request. Each success bears one.
    pub receipt: &'static str,
    /// A server's load: requests running, requests waiting, slots, and from some servers
    /// how long work takes now, in percent of the usual time.
    pub load: &'static str,
    /// Set by a server that is leaving.
    pub leaving: &'static str,
    /// How many more milliseconds the server is cold.
    pub cold: &'static str,
    /// Id of the server that answers a question for its health.
    pub server_id: &'static str,
    /// Requests per second that a server in need accepts from all instances.
    pub limit: &'static str,
    /// Rejections per second that a fragile server survives.
    pub fragile: &'static str,
    /// Further fields that only the system may set. They are removed from
    /// callers' requests.
    pub reserved: &'static [&'static str],
}
