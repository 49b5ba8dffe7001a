//! Orders to model engines: fencing numbers, issuing and reading back.
