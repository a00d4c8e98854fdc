"""What a broker has observed of servers, as a record for its peers, and how far the records of peers are trusted."""
