"""The software version that began each stream, known at several gateways.

Targets of several software versions may serve one pool, and what two versions write does not fit
together. The gateway that forwards the first event of a stream sends the origin of the stream to a
few gateways in several data centres. A gateway that continues the stream asks these. Origins hold
a keyed digest and a version, and no data of the customer.
"""
