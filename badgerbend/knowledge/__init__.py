"""Records of what a broker has observed of servers, for its peers, and how far the records of peers are trusted."""
