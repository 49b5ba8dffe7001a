//! Backend servers: what is known of each one, and which one serves a request.
