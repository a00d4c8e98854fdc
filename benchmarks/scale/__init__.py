"""The scale benchmarks, which `benchmarks/capacity.py` runs, and the modules that they share."""
