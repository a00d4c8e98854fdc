"""A broker's subscription to the feed: it replicates the feed and activates the configurations it brings."""
