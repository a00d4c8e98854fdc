"""HTTP/1.1 on asyncio protocol classes, parsed by httptools. It has no knowledge of queries or decisions."""
