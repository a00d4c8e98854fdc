"""One more way in and out: the platform's configuration, its clients, its nodes' frames, its list of members."""
