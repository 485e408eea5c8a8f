"""Entry point of ``python -m flamingoway.platform``."""

import sys

from .serve import main

if __name__ == "__main__":
    sys.exit(main())
