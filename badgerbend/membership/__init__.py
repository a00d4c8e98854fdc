"""Group membership of brokers: SWIM with the extensions of Lifeguard, as a pure state machine."""
