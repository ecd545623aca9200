"""Generate the table of settings in docs/OPERATIONS.md; run by ``make reference``."""

from __future__ import annotations

import re

from ryelever.settings import settings_table

from .test_settings import OPERATIONS


def main() -> None:
    """Replace the table between the two comments that mark its beginning and end."""
    text = re.sub(
        r"(<!-- settings -->\n).*?(<!-- end of settings -->)",
        lambda match: f"{match[1]}{settings_table()}{match[2]}",
        OPERATIONS.read_text(),
        flags=re.S,
    )
    OPERATIONS.write_text(text)


if __name__ == "__main__":
    main()
