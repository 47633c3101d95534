"""A load balancer for servers whose load shifts in milliseconds.

The decisions are usable without the processes around them: aggregates take
events and a clock and return what is to be done. Import the root of an
aggregate from its module, such as ``turmericmast.target.target.Target``: a
program loads only what it runs, which shortens its start.
"""
