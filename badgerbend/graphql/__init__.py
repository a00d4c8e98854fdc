"""The GraphQL federation front end, and the requests to servers, which are subgraphs themselves."""
