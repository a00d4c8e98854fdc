"""Guards on the decisions themselves."""

import ast
from pathlib import Path

MODULE = Path(__file__).parent.parent / "badgerbend" / "decisions" / "aggregator.py"


def test_module_stays_within_the_projects_width():
    assert max(map(len, MODULE.read_text().splitlines())) <= 120


def test_module_names_its_interface_first_and_reads_no_clock():
    text = MODULE.read_text()
    assert "badgerbend/api.py" in "\n".join(text.splitlines()[:3])
    names = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            names |= {a.name for a in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module)
    allowed = {"__future__", "random", "bisect", "collections", "itertools", "math", "statistics"}
    allowed |= {"badgerbend", "badgerbend.api"}
    assert names <= allowed
