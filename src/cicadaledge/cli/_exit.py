"""Exit codes of the command line."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CUT_REQUESTS = 4
EXIT_RECORD_WARNINGS = 5  # routers accept the configuration; something in it is doubtful
EXIT_RECORD_ERRORS = 6  # routers reject the configuration
