"""The ledger aggregate: keyed requests run at most once."""

from turmericmast.ledger.ledger import Ledger as Ledger
from turmericmast.ledger.ledger import Standing as Standing
from turmericmast.ledger.record import KeptAnswer as KeptAnswer
from turmericmast.ledger.record import RecordState as RecordState
from turmericmast.ledger.record import Verdict as Verdict
