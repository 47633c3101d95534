"""A load balancer for servers whose load shifts in milliseconds.

The decisions can be used without the processes around them: aggregates take
events and a clock, and return the actions to take. Import the root of an
aggregate from its module, such as ``turmericmast.target.target.Target``: a
program then loads only what it runs, which shortens its start.
"""
