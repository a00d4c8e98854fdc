"""Communication with peer brokers: membership over UDP and knowledge records over HTTP; and the own snapshot file."""
