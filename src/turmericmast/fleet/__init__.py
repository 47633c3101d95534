"""The fleet aggregate: configuration by defaults and exceptions."""

from turmericmast.fleet.document import FleetDocument as FleetDocument
from turmericmast.fleet.document import parse_document as parse_document
from turmericmast.fleet.explanation import explain as explain
from turmericmast.fleet.fleet import Fleet as Fleet
from turmericmast.fleet.fleet import FleetVersion as FleetVersion
from turmericmast.fleet.fleet import Proposal as Proposal
from turmericmast.fleet.values import Values as Values
