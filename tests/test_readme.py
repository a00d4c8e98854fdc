"""Runs the code example of the README, so that the documentation cannot get out of step with the API."""

import re
from pathlib import Path


def test_readme_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S).group(1)
    exec(code, {})
    out = capsys.readouterr().out
    assert out.count("Send(") == 2
