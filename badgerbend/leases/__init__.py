"""What one broker at a time does for all: named duties, held by leases whose epochs only grow. Pure."""
