"""Check the example deployments and that their files are up to date."""

import json
import pathlib
import unittest

from parameterized import parameterized

from examples.deployments import SITES, settings_of
from turmericmast.fleet.document import parse_document
from turmericmast.settings import parse_settings

FOLDER = pathlib.Path(__file__).parent.parent / 'examples'


class ExamplesTest(unittest.TestCase):
    """Parse the files of each site with the parsers that programs use."""

    @parameterized.expand([(site,) for site in SITES])
    def test_every_process_has_good_settings(self, site: str) -> None:
        documents = dict(settings_of(site))
        self.assertEqual(36, len(documents))
        for name, document in documents.items():
            parsed = parse_settings(json.dumps(document))
            with self.subTest(name):
                self.assertEqual(name, parsed.unwrap().name)

    @parameterized.expand([(site,) for site in SITES])
    def test_committed_files_are_what_is_written(self, site: str) -> None:
        documents = dict(settings_of(site))
        for path in (FOLDER / site).glob('*-*.json'):
            with self.subTest(path.name):
                committed = json.loads(path.read_text(encoding='utf-8'))
                self.assertEqual(documents[path.stem], committed)

    @parameterized.expand([(site,) for site in SITES])
    def test_fleet_document(self, site: str) -> None:
        text = (FOLDER / site / 'fleet.json').read_text(encoding='utf-8')
        document = parse_document(text).unwrap()
        for exception in document.exceptions:
            self.assertTrue(exception.reason)
