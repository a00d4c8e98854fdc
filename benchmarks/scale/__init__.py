"""Parts of the scale tests, one module a role; `benchmarks/capacity.py` runs them."""
