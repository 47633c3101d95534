"""The example settings are valid, and the committed files are up to date."""

import json
import pathlib
import unittest

from parameterized import parameterized

from examples.deployments import REGIONS_BY_DEPLOYMENT, generate_settings
from turmericmast.fleet.document import parse_document
from turmericmast.settings import parse_settings

FOLDER = pathlib.Path(__file__).parent.parent / 'examples'


class ExamplesTest(unittest.TestCase):
    """Complete deployments, checked by the parsers of the programs."""

    @parameterized.expand(
        [(deployment,) for deployment in REGIONS_BY_DEPLOYMENT]
    )
    def test_settings_are_valid(self, deployment: str) -> None:
        documents = dict(generate_settings(deployment))
        self.assertEqual(36, len(documents))
        for name, document in documents.items():
            parsed = parse_settings(json.dumps(document))
            with self.subTest(name):
                self.assertEqual(name, parsed.unwrap().name)

    @parameterized.expand(
        [(deployment,) for deployment in REGIONS_BY_DEPLOYMENT]
    )
    def test_committed_files_are_up_to_date(self, deployment: str) -> None:
        documents = dict(generate_settings(deployment))
        for path in (FOLDER / deployment).glob('*-*.json'):
            with self.subTest(path.name):
                committed = json.loads(path.read_text(encoding='utf-8'))
                self.assertEqual(documents[path.stem], committed)

    @parameterized.expand(
        [(deployment,) for deployment in REGIONS_BY_DEPLOYMENT]
    )
    def test_fleet_document(self, deployment: str) -> None:
        text = (FOLDER / deployment / 'fleet.json').read_text(encoding='utf-8')
        document = parse_document(text).unwrap()
        for exception in document.exceptions:
            self.assertTrue(exception.reason)
