"""Generations of a broker: the components built for one configuration, and the handover from one set to the next.

New requests go to the current generation. A request that began under an earlier generation ends under it; the earlier
generation drains until its last query and its last attempt have ended, both of which are bounded by deadlines. The
connection pools, the endpoint list, the metrics and the site preference are shared by all generations.
"""
