"""Write the generated table of docs/OPERATIONS.md: ``make reference``."""

from __future__ import annotations

import re

from ryelever.settings import settings_table

from .test_settings import OPERATIONS


def main() -> None:
    """Replace the table between its two marks."""
    text = re.sub(
        r"(<!-- settings -->\n).*?(<!-- end of settings -->)",
        lambda found: f"{found[1]}{settings_table()}{found[2]}",
        OPERATIONS.read_text(),
        flags=re.S,
    )
    OPERATIONS.write_text(text)


if __name__ == "__main__":
    main()
