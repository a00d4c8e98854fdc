"""The feed on sockets: relays and followers of `feed` over TCP. They decide nothing."""
