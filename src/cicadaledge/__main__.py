"""Entry point of `python -m cicadaledge`."""

from cicadaledge.cli import main

if __name__ == "__main__":
    main()
