"""A load balancer for servers whose load shifts in milliseconds.

The decisions are usable without the processes around them: aggregates take
events and a clock and return what is to be done.
"""

from turmericmast.call import Call as Call
from turmericmast.entry.entry import Entry as Entry
from turmericmast.exceptions import TurmericmastError as TurmericmastError
from turmericmast.fleet import Fleet as Fleet
from turmericmast.ledger import Ledger as Ledger
from turmericmast.region import Region as Region
from turmericmast.replica.replica import Replica as Replica
from turmericmast.service import Service as Service
from turmericmast.settings import Settings as Settings
from turmericmast.settings import load_settings as load_settings
from turmericmast.target import Target as Target
from turmericmast.version import VERSION as VERSION
