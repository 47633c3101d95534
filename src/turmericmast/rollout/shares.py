"""Shares of a service's requests that go to the new version."""

from typing import Final

from turmericmast.rollout.records import FULL_SHARE

RISING_SHARES: Final = (150, 400, FULL_SHARE)
"""Thousandths of the requests after the evidence is good.

A version may be bad only under load. With the undecided share before them and
up to half of the last one, the steps add up to less than the exposure share
over the whole time budget."""
EVIDENT_SHARE: Final = RISING_SHARES[0]
"""Smallest share of a version whose evidence is good."""
