"""Server discovery: watches on lists of servers, and the node numbers by which the aggregator knows the servers."""
