"""A broker's subscription to the feed: it replicates the feed and activates published configurations."""
