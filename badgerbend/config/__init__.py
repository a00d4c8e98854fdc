"""Settings written as S-expressions: parsed with positions, decoded into typed values, printed with their defaults."""
