"""Sites: which comes first, how much may spill to another, and how a lost one comes back. Pure."""
