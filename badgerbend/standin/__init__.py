"""Stand-ins for what surrounds a broker (rate servers, server list, clients, faults), and audits of their records."""
